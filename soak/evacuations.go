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
	// coldTime is how long a target is cold after its start, and coldRate the number of requests a
	// second that it accepts meanwhile. The example rules have the same values.
	coldTime = 2 * time.Second
	coldRate = 20
	// evacuationDelay is how long after the store has acknowledged an evacuation requests may still reach
	// the targets of the data centre through an instance that was connected throughout.
	evacuationDelay = 5 * time.Second
	// evacuationPeriod is how long an evacuation is in force, and maxEvacuationPause the longest time
	// between two.
	evacuationPeriod   = evacuationDelay + 2*time.Second
	maxEvacuationPause = 2 * time.Second
	// evacuationTimeout limits the wait for the write that starts or ends an evacuation.
	evacuationTimeout = 5 * time.Second
)

// interval is a period of time.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool { return i.from.Before(to) && from.Before(i.to) }

// intervals holds periods by the address of an instance. It is safe for concurrent use.
type intervals struct {
	mu         sync.Mutex
	byInstance map[string][]interval
}

func (i *intervals) add(address string, from, to time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byInstance == nil {
		i.byInstance = map[string][]interval{}
	}
	i.byInstance[address] = append(i.byInstance[address], interval{from, to})
}

// evacuation is a period in which a data centre was evacuated: from the time at which the store
// acknowledged the start until the end was requested.
type evacuation struct {
	dataCentre string
	interval
}

// requestedEvacuations has, by data centre, whether the latest acknowledged change has started or
// ended its evacuation. The lock is held while a change is written.
type requestedEvacuations struct {
	mu      sync.Mutex
	inForce map[string]bool
}

// rewriteStore writes the rules and all evacuations again. The restored store may have lost newer
// changes and may contain older ones that have been undone since.
func (s *soak) rewriteStore() {
	if err := s.changes.Apply(); err != nil {
		s.Progress("seed %d: the rules could not be written again: %v", s.Seed, err)
	}
	s.evacuations.mu.Lock()
	defer s.evacuations.mu.Unlock()
	for name, inForce := range s.evacuations.inForce {
		if !s.writeEvacuation(name, inForce) {
			s.Progress("seed %d: the evacuation of %s could not be written again", s.Seed, name)
		}
	}
}

// startEvacuations evacuates one random data centre after another. The returned function stops that,
// ends the last evacuation and returns all of them.
func (s *soak) startEvacuations() (finish func() []evacuation) {
	var list []evacuation
	end := runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 2))
		for sleep(stop, time.Duration(random.Int64N(int64(maxEvacuationPause)))) {
			name := dataCentreName(random.IntN(dataCentres))
			from, ok := s.setEvacuated(name, true)
			if !ok {
				// The evacuation may be in force nevertheless.
				s.endEvacuation(name)
				continue
			}
			elapsed := sleep(stop, evacuationPeriod)
			to := time.Now()
			s.endEvacuation(name)
			list = append(list, evacuation{name, interval{from, to}})
			if !elapsed {
				return
			}
		}
	})
	return func() []evacuation {
		end()
		return list
	}
}

// endEvacuation ends the evacuation of a data centre. It retries until the store acknowledges that.
func (s *soak) endEvacuation(name string) {
	for {
		if _, ok := s.setEvacuated(name, false); ok {
			return
		}
	}
}

// sleep waits for d and returns true, or returns false as soon as stop is closed.
func sleep(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// setEvacuated starts or ends the evacuation of a data centre and returns the time at which the store
// acknowledged it.
func (s *soak) setEvacuated(name string, inForce bool) (acknowledged time.Time, ok bool) {
	s.evacuations.mu.Lock()
	defer s.evacuations.mu.Unlock()
	if !s.writeEvacuation(name, inForce) {
		return time.Time{}, false
	}
	if s.evacuations.inForce == nil {
		s.evacuations.inForce = map[string]bool{}
	}
	s.evacuations.inForce[name] = inForce
	s.Progress("seed %d: %s evacuated: %t", s.Seed, name, inForce)
	return time.Now(), true
}

// writeEvacuation writes to the store whether a data centre is evacuated, and reports whether the store
// acknowledged it.
func (s *soak) writeEvacuation(name string, inForce bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), evacuationTimeout)
	defer cancel()
	store := platform.NewStore(s.deployment.storeAddress)
	defer store.Close()
	if err := rulestore.SetEvacuated(ctx, store, name, inForce); err != nil {
		s.Progress("%v", err)
		return false
	}
	return true
}

// checkEvacuations finds runs at targets of a data centre that had been evacuated for more than
// evacuationDelay, if their instance was connected throughout that time. disconnected has the periods
// in which an instance was not, by its address for callers.
func checkEvacuations(results map[string]CallResult, runs []standin.Record, evacuations []evacuation, disconnected map[string][]interval) []string {
	var violations []string
	for _, r := range runs {
		startedAt := time.Unix(0, r.StartedAt)
		for _, e := range evacuations {
			if r.DataCentre != e.dataCentre || startedAt.Sub(e.from) <= evacuationDelay || startedAt.After(e.to) {
				continue
			}
			result := results[r.Request]
			wasDisconnected := slices.ContainsFunc(disconnected[result.Instance], func(i interval) bool { return i.overlaps(startedAt.Add(-evacuationDelay), startedAt) })
			if !wasDisconnected {
				violations = append(violations, fmt.Sprintf("%s reached %s in %s %v after the evacuation of that data centre, through %s",
					r.Request, r.Target, r.DataCentre, startedAt.Sub(e.from).Round(time.Millisecond), result.Instance))
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// checkColdRate finds cold targets that got more requests within a second than the cold rate allows,
// through all instances together.
func checkColdRate(runs []standin.Record) []string {
	byTarget := map[string][]int64{}
	for _, r := range runs {
		if r.Cold {
			byTarget[r.Target] = append(byTarget[r.Target], r.StartedAt)
		}
	}
	const maxRequests = int(coldRate*standin.ColdRateFactor + standin.ColdRateAllowance)
	var violations []string
	for target, times := range byTarget {
		slices.Sort(times)
		for i := maxRequests; i < len(times); i++ {
			if in := time.Duration(times[i] - times[i-maxRequests]); in <= time.Second {
				violations = append(violations, fmt.Sprintf("%s got %d requests within %v while it was cold", target, maxRequests+1, in.Round(time.Millisecond)))
				break
			}
		}
	}
	slices.Sort(violations)
	return violations
}
