package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

// drainTime is how long after an instance has passed on an answer that says that its target leaves a
// request that is sent to the instance may still reach that target.
const drainTime = 2 * time.Second

// interruptions are the times at which processes were killed, stopped, gone on with or started. They are
// safe for concurrent use.
type interruptions struct {
	mu sync.Mutex
	of map[*process][]time.Time
}

func (i *interruptions) note(p *process) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.of == nil {
		i.of = map[*process][]time.Time{}
	}
	i.of[p] = append(i.of[p], time.Now())
}

// instances returns the interruptions of a fleet's instances, by the addresses for callers.
func (i *interruptions) instances(f *Fleet) map[string][]time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := map[string][]time.Time{}
	for n, p := range f.instances {
		out[f.callersAt[n]] = slices.Clone(i.of[p])
	}
	return out
}

const (
	// leavingLeast and leavingMost bound the time for which a target says that it leaves before it is
	// told to end.
	leavingLeast = 2500 * time.Millisecond
	leavingMost  = 6 * time.Second
	// leavingPause is the longest time between two of them.
	leavingPause = 3 * time.Second
)

// startLeaving has one target after the other say in its answers that it leaves, and nowhere else, and
// ends it a while later. The returned function ends that. It draws from numbers of its own, so that the
// other faults of a seed stay what they are.
func (s *soak) startLeaving() (finish func()) {
	return during(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 1))
		for wait(stop, time.Duration(random.Int64N(int64(leavingPause)))) {
			n := random.IntN(len(s.fleet.targets))
			s.tellLeaving(n)
			time.Sleep(leavingLeast + time.Duration(random.Int64N(int64(leavingMost-leavingLeast))))
			s.replace(s.fleet.targets[n])
		}
	})
}

// tellLeaving makes a target say that it leaves, if it answers.
func (s *soak) tellLeaving(n int) {
	client := http.Client{Timeout: startTimeout}
	resp, err := client.Post("http://"+s.fleet.targetsAt[n]+"/standin/leave", "", nil)
	if err != nil {
		// It is down or stopped by another fault.
		return
	}
	resp.Body.Close()
	s.Progress("seed %d: %s says that it leaves", s.Seed, s.fleet.targets[n].name)
}

// replace ends a process and starts it again.
func (s *soak) replace(p *process) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	p.end(stopFor)
	if err := p.start(); err != nil {
		s.Progress("%v", err)
	}
}

// way is an instance and one life of a target.
type way struct{ instance, target string }

// checkLeaving sees whether an instance goes on to send requests to a target that it was told leaves. One
// that was interrupted since has forgotten, or did not know how the time passed.
func checkLeaving(told map[string]Told, runs []standin.Record, interrupted map[string][]time.Time) []string {
	first := map[way]time.Time{}
	for _, r := range runs {
		t, known := told[r.Request]
		w := way{t.Instance, r.Target}
		if at, heard := first[w]; known && t.Leaving && (!heard || t.Heard.Before(at)) {
			first[w] = t.Heard
		}
	}
	var wrong []string
	for _, r := range runs {
		t := told[r.Request]
		at, heard := first[way{t.Instance, r.Target}]
		if !heard || t.Sent.Sub(at) <= drainTime {
			continue
		}
		if !between(interrupted[t.Instance], at, t.Sent) {
			wrong = append(wrong, fmt.Sprintf("%s was sent to %s %v after that had passed on that %s leaves, and reached it",
				r.Request, t.Instance, t.Sent.Sub(at).Round(time.Millisecond), r.Target))
		}
	}
	slices.Sort(wrong)
	return wrong
}
