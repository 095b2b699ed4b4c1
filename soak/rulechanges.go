package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/state/rulestore"
)

const (
	// versionPath is a path whose requests are answered with the version of the rules that matched them.
	versionPath = "/soak-version"
	// maxFillerRules limits the number of rules that are added to the example rules. Each version has a
	// random number of them, less than this.
	maxFillerRules = 400
	// maxChangePause is the longest time between two changes of the rules. pollInterval is the time
	// between two requests for the version that an instance applies.
	maxChangePause = 700 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	// pollTimeout limits the wait for the response to such a request.
	pollTimeout = 500 * time.Millisecond
)

// RuleChanges repeatedly puts a new version of the rules in force and polls which version each
// instance applies. A process must not return to an older version.
type RuleChanges struct {
	deployment *Deployment
	http       *http.Client
	stop       chan struct{}
	running    sync.WaitGroup

	// random generates the content of the changes. applying is held while a change is made.
	applying sync.Mutex
	random   *rand.Rand

	mu sync.Mutex
	// acknowledged is the newest version that the store has acknowledged.
	acknowledged uint64
	violations   []string
}

// StartRuleChanges changes the rules of a deployment until Stop is called. It uses random generators
// of its own, so that it does not alter the faults of a seed.
func StartRuleChanges(d *Deployment, seed uint64) (*RuleChanges, error) {
	c := &RuleChanges{deployment: d, http: &http.Client{Timeout: pollTimeout}, stop: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1))}
	if err := c.Apply(); err != nil {
		return nil, err
	}
	c.running.Go(func() { c.applyRepeatedly(rand.New(rand.NewPCG(seed, 5))) })
	for i := range d.instances {
		c.running.Go(func() { c.watchInstance(i) })
	}
	return c, nil
}

// Stop ends the changes and returns the violations that were found.
func (c *RuleChanges) Stop() []string {
	close(c.stop)
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// violation records a violation.
func (c *RuleChanges) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// sleep waits for d and returns true, or returns false as soon as Stop is called.
func (c *RuleChanges) sleep(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// applyRepeatedly applies changes until Stop is called.
func (c *RuleChanges) applyRepeatedly(random *rand.Rand) {
	for c.sleep(time.Duration(random.Int64N(int64(maxChangePause)))) {
		if err := c.Apply(); err != nil {
			c.violation("the rules could not be changed: %v", err)
		}
	}
}

// Apply stores the next version of the rules.
func (c *RuleChanges) Apply() error {
	c.applying.Lock()
	defer c.applying.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	store := platform.NewStore(c.deployment.storeAddress)
	defer store.Close()
	for {
		current, err := rulestore.Current(ctx, store)
		if err != nil {
			return err
		}
		c.mu.Lock()
		next := c.acknowledged + 1
		c.mu.Unlock()
		next = max(next, current.Version+1)
		version, err := rulestore.Apply(ctx, store, current.Version, rulestore.Record{Version: next, Author: "soak", Text: rulesText(next, c.random)})
		if errors.Is(err, rulestore.ErrConflict) {
			// The store was restored from a backup after its version was read.
			continue
		}
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.acknowledged = version
		c.mu.Unlock()
		return nil
	}
}

// rulesText returns the example rules with a rule that answers with the version, and with a random
// number of filler rules.
func rulesText(version uint64, random *rand.Rand) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[rule]]\nname = \"version\"\nwhen = { path = %q }\nthen = { refuse = { status = 410, message = \"version-%d\" } }\n", versionPath, version)
	for i := range random.IntN(maxFillerRules) {
		fmt.Fprintf(&b, "[[rule]]\nname = \"filler %d\"\nwhen = { path = \"/filler/%d\" }\nthen = { route = \"dispatch\", priority = %d }\n", i, i, random.IntN(2))
	}
	return b.String() + examples.Rules
}

// watchInstance polls the version that instance i applies, and records a violation when the same
// process returns to an older one.
func (c *RuleChanges) watchInstance(i int) {
	p := c.deployment.instances[i]
	lastPID, lastVersion := 0, uint64(0)
	for c.sleep(pollInterval) {
		pid := p.pid()
		version, err := c.appliedVersion(c.deployment.callerAddresses[i])
		if err != nil || pid != p.pid() {
			// The instance is down, unreachable or was restarted: which version it applies is unknown.
			continue
		}
		if pid == lastPID && version < lastVersion {
			c.violation("%s returned from version %d of the rules to %d", p.name, lastVersion, version)
		}
		lastPID, lastVersion = pid, version
	}
}

// appliedVersion requests the version that an instance applies.
func (c *RuleChanges) appliedVersion(address string) (uint64, error) {
	resp, err := c.http.Get("http://" + address + versionPath)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	_, number, found := strings.Cut(string(body), "version-")
	if !found {
		return 0, errors.New("soak: the response contains no version")
	}
	var version uint64
	_, err = fmt.Sscan(number, &version)
	return version, err
}

// awaitNewestVersion waits until every instance applies the newest acknowledged version.
func (c *RuleChanges) awaitNewestVersion() error {
	c.mu.Lock()
	newest := c.acknowledged
	c.mu.Unlock()
	deadline := time.Now().Add(settleTimeout)
	for i, address := range c.deployment.callerAddresses {
		for {
			version, err := c.appliedVersion(address)
			if err == nil && version == newest {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("recovery: instance %d applies version %d of the rules, not %d (%v)", i+1, version, newest, err)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
