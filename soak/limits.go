package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

const (
	// leastLimit and mostLimit bound the limits that targets name, in requests a second.
	leastLimit = 2
	mostLimit  = 12
	// limitedLeast and limitedMost bound the time for which one is named.
	limitedLeast = standin.LimitGrace + 2*time.Second
	limitedMost  = 10 * time.Second
	// limitPause is the longest time between two limits.
	limitPause = 3 * time.Second
	// toldBefore is how long before a request an instance must have passed the limit on to be bound by it.
	toldBefore = 500 * time.Millisecond
)

// startLimits has one target after the other name a limit for all instances together, change it and end it.
// The returned function ends that. It draws from numbers of its own.
func (s *soak) startLimits() (finish func()) {
	return during(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 3))
		limit := func() float64 { return leastLimit + random.Float64()*(mostLimit-leastLimit) }
		for wait(stop, time.Duration(random.Int64N(int64(limitPause)))) {
			target := random.IntN(len(s.fleet.targets))
			length := limitedLeast + time.Duration(random.Int64N(int64(limitedMost-limitedLeast)))
			s.tellLimit(target, limit())
			wait(stop, length/2)
			s.tellLimit(target, limit())
			wait(stop, length/2)
			s.tellLimit(target, 0)
		}
	})
}

// tellLimit makes a target name a limit, 0 for none, if it answers.
func (s *soak) tellLimit(n int, perSecond float64) {
	client := http.Client{Timeout: startTimeout}
	resp, err := client.PostForm("http://"+s.fleet.targetsAt[n]+"/standin/limit", url.Values{"per-second": {fmt.Sprint(perSecond)}})
	if err != nil {
		// It is down or stopped by another fault.
		return
	}
	resp.Body.Close()
	s.Progress("seed %d: %s names a limit of %.1f a second", s.Seed, s.fleet.targets[n].name, perSecond)
}

// bound is a request to a target that names a limit, through an instance that had been told of it.
type bound struct {
	begun int64
	limit float64
}

// checkLimits sees whether targets that name a limit got more than that through all instances together that
// had passed it on. An instance that was interrupted since has forgotten.
func checkLimits(told map[string]Told, runs []standin.Record, interrupted map[string][]time.Time) []string {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b standin.Record) int { return int(a.Begun - b.Begun) })
	heard := map[way]time.Time{}
	byTarget := map[string][]bound{}
	for _, r := range runs {
		if r.Limit == 0 {
			continue
		}
		t := told[r.Request]
		w := way{t.Instance, r.Target}
		begun := time.Unix(0, r.Begun)
		since := begun.Add(-time.Duration(r.Limited))
		at, known := heard[w]
		// What was heard of a former limit does not count, nor what was heard before an interruption.
		binds := known && at.After(since) && begun.Sub(at) >= toldBefore && !between(interrupted[t.Instance], at, begun)
		if binds && time.Duration(r.Limited) >= standin.LimitGrace {
			byTarget[r.Target] = append(byTarget[r.Target], bound{r.Begun, r.Limit})
		}
		if t.Limited && (!known || at.Before(since) || between(interrupted[t.Instance], at, t.Heard)) {
			heard[w] = t.Heard
		}
	}
	var wrong []string
	for target, list := range byTarget {
		if count, most := worstWindow(list); float64(count) > most {
			wrong = append(wrong, fmt.Sprintf("%s got %d requests within %v from instances that it had told its limit; %.0f are allowed", target, count, standin.LimitWindow, most))
		}
	}
	slices.Sort(wrong)
	return wrong
}

// worstWindow returns how many requests came in the window in which there were most beyond what is allowed,
// and how many are allowed there.
func worstWindow(list []bound) (count int, allowed float64) {
	first := 0
	for i := range list {
		for list[i].begun-list[first].begun > int64(standin.LimitWindow) {
			first++
		}
		limit := 0.0
		for _, b := range list[first : i+1] {
			limit = max(limit, b.limit)
		}
		n, most := i-first+1, standin.MaxRequestsInLimitWindow(limit)
		if allowed == 0 || float64(n)-most > float64(count)-allowed {
			count, allowed = n, most
		}
	}
	return count, allowed
}

// between reports whether one of some times is between two others.
func between(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}
