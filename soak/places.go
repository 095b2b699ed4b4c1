package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/state/rulestore"
)

const (
	// coldFor and coldRate are what the rules of the soak say of targets that have started.
	coldFor  = 2 * time.Second
	coldRate = 20
	// evacuateWithin is how long after an evacuation was asked for requests may still reach the targets of
	// its data centre, through an instance that was in touch all the while.
	evacuateWithin = 5 * time.Second
	// evacuateFor is how long one is in force, evacuatePause the longest time between two.
	evacuateFor   = evacuateWithin + 2*time.Second
	evacuatePause = 2 * time.Second
	// evacuateTimeout bounds one change of them.
	evacuateTimeout = 5 * time.Second
)

// span is a time in which something was so.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool { return s.from.Before(to) && from.Before(s.to) }

// spans are times by the address of an instance. They are safe for concurrent use.
type spans struct {
	mu sync.Mutex
	of map[string][]span
}

func (s *spans) note(address string, from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of == nil {
		s.of = map[string][]span{}
	}
	s.of[address] = append(s.of[address], span{from, to})
}

// evacuation is a time in which a data centre was evacuated, as the store acknowledged it.
type evacuation struct {
	dataCentre string
	span
}

// asked are the data centres that operators want evacuated, or have taken back. Its lock is held while one is
// written.
type asked struct {
	mu sync.Mutex
	of map[string]bool
}

// writeAgain writes again what the store may have lost, or found again: the rules and all evacuations.
func (s *soak) writeAgain() {
	if err := s.changes.Change(); err != nil {
		s.Progress("seed %d: the rules were not written again: %v", s.Seed, err)
	}
	s.asked.mu.Lock()
	defer s.asked.mu.Unlock()
	for name, inForce := range s.asked.of {
		if !s.write(name, inForce) {
			s.Progress("seed %d: the evacuation of %s was not written again", s.Seed, name)
		}
	}
}

// startEvacuations evacuates one data centre after the other. The returned function ends that, takes the
// last one back and returns them all.
func (s *soak) startEvacuations() (finish func() []evacuation) {
	var list []evacuation
	end := during(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 2))
		for wait(stop, time.Duration(random.Int64N(int64(evacuatePause)))) {
			name := dataCentre(random.IntN(dataCentres))
			from, ok := s.evacuate(name, true)
			if !ok {
				// It may be in force all the same.
				s.takeBack(name)
				continue
			}
			goOn := wait(stop, evacuateFor)
			to := time.Now()
			s.takeBack(name)
			list = append(list, evacuation{name, span{from, to}})
			if !goOn {
				return
			}
		}
	})
	return func() []evacuation {
		end()
		return list
	}
}

// takeBack takes a data centre back, however often it has to be asked for.
func (s *soak) takeBack(name string) {
	for {
		if _, ok := s.evacuate(name, false); ok {
			return
		}
	}
}

// wait reports whether a time has passed before stop was closed.
func wait(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// evacuate asks for a data centre to be evacuated or takes it back, and returns when that was acknowledged.
func (s *soak) evacuate(name string, inForce bool) (acknowledged time.Time, ok bool) {
	s.asked.mu.Lock()
	defer s.asked.mu.Unlock()
	if !s.write(name, inForce) {
		return time.Time{}, false
	}
	if s.asked.of == nil {
		s.asked.of = map[string]bool{}
	}
	s.asked.of[name] = inForce
	s.Progress("seed %d: %s is evacuated: %t", s.Seed, name, inForce)
	return time.Now(), true
}

// write writes whether a data centre is evacuated, and reports whether that was acknowledged.
func (s *soak) write(name string, inForce bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), evacuateTimeout)
	defer cancel()
	store := platform.NewStore(s.fleet.storeAt)
	defer store.Close()
	if err := rulestore.Evacuate(ctx, store, name, inForce); err != nil {
		s.Progress("%v", err)
		return false
	}
	return true
}

// checkEvacuations sees whether requests reached targets of a data centre that had been evacuated for long,
// through an instance that was in touch all the while.
func checkEvacuations(told map[string]Told, runs []standin.Record, evacuations []evacuation, outOfTouch map[string][]span) []string {
	var wrong []string
	for _, r := range runs {
		begun := time.Unix(0, r.Begun)
		for _, e := range evacuations {
			if r.DataCentre != e.dataCentre || begun.Sub(e.from) <= evacuateWithin || begun.After(e.to) {
				continue
			}
			t := told[r.Request]
			excused := slices.ContainsFunc(outOfTouch[t.Instance], func(s span) bool { return s.overlaps(begun.Add(-evacuateWithin), begun) })
			if !excused {
				wrong = append(wrong, fmt.Sprintf("%s reached %s in %s %v after that had been evacuated, through %s",
					r.Request, r.Target, r.DataCentre, begun.Sub(e.from).Round(time.Millisecond), t.Instance))
			}
		}
	}
	slices.Sort(wrong)
	return wrong
}

// checkCold sees whether cold targets got more requests in a second than they bear, through all instances
// together.
func checkCold(runs []standin.Record) []string {
	byTarget := map[string][]int64{}
	for _, r := range runs {
		if r.Cold {
			byTarget[r.Target] = append(byTarget[r.Target], r.Begun)
		}
	}
	const most = int(coldRate*standin.ColdRateFactor + standin.ColdRateAllowance)
	var wrong []string
	for target, times := range byTarget {
		slices.Sort(times)
		for i := most; i < len(times); i++ {
			if in := time.Duration(times[i] - times[i-most]); in <= time.Second {
				wrong = append(wrong, fmt.Sprintf("%s got %d requests within %v while it was cold", target, most+1, in.Round(time.Millisecond)))
				break
			}
		}
	}
	slices.Sort(wrong)
	return wrong
}
