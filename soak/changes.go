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
	// versionPath is answered with the version of the rules that decided.
	versionPath = "/soak-version"
	// mostFillers bounds the rules beside those of the example, of which a change replaces some.
	mostFillers = 400
	// changeEvery is the longest time between two changes of the rules, askEvery that between
	// two looks at which version an instance follows.
	changeEvery = 700 * time.Millisecond
	askEvery    = 100 * time.Millisecond
	// askTimeout bounds such a look.
	askTimeout = 500 * time.Millisecond
)

// Changes puts one version of the rules into force after the other, and looks at which one each
// instance follows. A process must not go back to an older one.
type Changes struct {
	fleet *Fleet
	http  *http.Client
	stop  chan struct{}
	wait  sync.WaitGroup

	// random is where changes are drawn from; changing is held while one is made.
	changing sync.Mutex
	random   *rand.Rand

	mu sync.Mutex
	// acknowledged is the newest version.
	acknowledged uint64
	wrong        []string
}

// StartChanges changes the rules of a fleet until Stop. What it changes has a random source of its
// own, so that the faults of a seed stay what they are.
func StartChanges(f *Fleet, seed uint64) (*Changes, error) {
	c := &Changes{fleet: f, http: &http.Client{Timeout: askTimeout}, stop: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1))}
	if err := c.Change(); err != nil {
		return nil, err
	}
	c.wait.Go(func() { c.changeAll(rand.New(rand.NewPCG(seed, 5))) })
	for i := range f.instances {
		c.wait.Go(func() { c.look(i) })
	}
	return c, nil
}

// Stop ends the changes and returns what was wrong.
func (c *Changes) Stop() []string {
	close(c.stop)
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrong
}

func (c *Changes) found(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrong = append(c.wrong, fmt.Sprintf(format, args...))
}

// pause reports whether to go on after a pause.
func (c *Changes) pause(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (c *Changes) changeAll(random *rand.Rand) {
	for c.pause(time.Duration(random.Int64N(int64(changeEvery)))) {
		if err := c.Change(); err != nil {
			c.found("a change of the rules failed: %v", err)
		}
	}
}

// Change puts the next version into force.
func (c *Changes) Change() error {
	c.changing.Lock()
	defer c.changing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), settleFor)
	defer cancel()
	store := platform.NewStore(c.fleet.storeAt)
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
		version, err := rulestore.Apply(ctx, store, current.Version, rulestore.Record{Version: next, Author: "soak", Text: rulesOf(next, c.random)})
		if errors.Is(err, rulestore.ErrConflict) {
			// The store came back from a copy since it was read.
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

// rulesOf returns the example with a rule that tells the version, and a number of others.
func rulesOf(version uint64, random *rand.Rand) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[rule]]\nname = \"version\"\nwhen = { path = %q }\nthen = { refuse = { status = 410, message = \"version-%d\" } }\n", versionPath, version)
	for i := range random.IntN(mostFillers) {
		fmt.Fprintf(&b, "[[rule]]\nname = \"filler %d\"\nwhen = { path = \"/filler/%d\" }\nthen = { route = \"dispatch\", priority = %d }\n", i, i, random.IntN(2))
	}
	return b.String() + examples.Rules
}

// look notes when the process of an instance goes back to an older version.
func (c *Changes) look(i int) {
	p := c.fleet.instances[i]
	life, seen := 0, uint64(0)
	for c.pause(askEvery) {
		before := p.life()
		version, err := c.version(c.fleet.callersAt[i])
		if err != nil || before != p.life() {
			// It is down, or cannot be reached: what it follows is not known.
			continue
		}
		if before == life && version < seen {
			c.found("%s went back from version %d of the rules to %d", p.name, seen, version)
		}
		life, seen = before, version
	}
}

// version asks an instance which version it follows.
func (c *Changes) version(address string) (uint64, error) {
	resp, err := c.http.Get("http://" + address + versionPath)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	_, number, told := strings.Cut(string(body), "version-")
	if !told {
		return 0, errors.New("soak: no version is told")
	}
	var version uint64
	_, err = fmt.Sscan(number, &version)
	return version, err
}

// settled waits until every instance follows the newest version.
func (c *Changes) settled() error {
	c.mu.Lock()
	newest := c.acknowledged
	c.mu.Unlock()
	deadline := time.Now().Add(settleFor)
	for i, address := range c.fleet.callersAt {
		for {
			version, err := c.version(address)
			if err == nil && version == newest {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("recovery: instance %d follows version %d of the rules, not %d (%v)", i+1, version, newest, err)
			}
			time.Sleep(askEvery)
		}
	}
	return nil
}
