package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

// leavingDelay is how long after an instance has forwarded a response that reports a leaving target
// requests that are sent to the instance may still reach that target.
const leavingDelay = 2 * time.Second

// interruptions holds the times at which processes were killed, terminated, paused, resumed or
// started again. It is safe for concurrent use.
type interruptions struct {
	mu        sync.Mutex
	byProcess map[*process][]time.Time
}

func (i *interruptions) add(p *process) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byProcess == nil {
		i.byProcess = map[*process][]time.Time{}
	}
	i.byProcess[p] = append(i.byProcess[p], time.Now())
}

// byInstance returns the interruptions of a deployment's instances by their addresses for callers.
func (i *interruptions) byInstance(d *Deployment) map[string][]time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := map[string][]time.Time{}
	for n, p := range d.instances {
		out[d.callerAddresses[n]] = slices.Clone(i.byProcess[p])
	}
	return out
}

const (
	// minLeavingPeriod and maxLeavingPeriod limit the time from the report of a target that it is
	// leaving to its termination.
	minLeavingPeriod = 2500 * time.Millisecond
	maxLeavingPeriod = 6 * time.Second
	// maxLeavingPause is the longest time between two leaving targets.
	maxLeavingPause = 3 * time.Second
)

// startLeaving makes one target after another report in its responses, and nowhere else, that it is
// leaving, and restarts it a while later. The returned function stops that. It uses a random generator
// of its own, so that it does not alter the other faults of a seed.
func (s *soak) startLeaving() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 1))
		for sleep(stop, time.Duration(random.Int64N(int64(maxLeavingPause)))) {
			n := random.IntN(len(s.deployment.targets))
			s.setLeaving(n)
			time.Sleep(minLeavingPeriod + time.Duration(random.Int64N(int64(maxLeavingPeriod-minLeavingPeriod))))
			s.restart(s.deployment.targets[n])
		}
	})
}

// setLeaving makes target n report that it is leaving, if it can be reached.
func (s *soak) setLeaving(n int) {
	client := controlClient()
	resp, err := client.Post("http://"+s.deployment.targetAddresses[n]+"/standin/leave", "", nil)
	if err != nil {
		// The target is down or paused by another fault.
		return
	}
	resp.Body.Close()
	s.Progress("seed %d: %s reports that it is leaving", s.Seed, s.deployment.targets[n].name)
}

// restart terminates a process, waits until it has exited and starts it again.
func (s *soak) restart(p *process) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	p.awaitExit(stopTimeout)
	if err := p.start(); err != nil {
		s.Progress("%v", err)
	}
}

// instanceAndTarget is the address of an instance and one process of a target.
type instanceAndTarget struct{ instance, target string }

// checkLeaving finds runs at a target that began from a request sent to an instance more than
// leavingDelay after that instance had forwarded the report that the target is leaving. A run through
// an instance that was interrupted in between is not counted: a restarted one no longer has the report,
// and a paused one could not act in time.
func checkLeaving(results map[string]CallResult, runs []standin.Record, interrupted map[string][]time.Time) []string {
	reported := map[instanceAndTarget]time.Time{}
	for _, r := range runs {
		result, known := results[r.Request]
		pair := instanceAndTarget{result.Instance, r.Target}
		if at, found := reported[pair]; known && result.Leaving && (!found || result.Received.Before(at)) {
			reported[pair] = result.Received
		}
	}
	var violations []string
	for _, r := range runs {
		result := results[r.Request]
		at, known := reported[instanceAndTarget{result.Instance, r.Target}]
		if !known || result.Sent.Sub(at) <= leavingDelay {
			continue
		}
		if !anyBetween(interrupted[result.Instance], at, result.Sent) {
			violations = append(violations, fmt.Sprintf("%s was sent to %s %v after that instance had forwarded the report that %s is leaving, but reached that target",
				r.Request, result.Instance, result.Sent.Sub(at).Round(time.Millisecond), r.Target))
		}
	}
	slices.Sort(violations)
	return violations
}
