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
	// minLimit and maxLimit bound the limits that targets announce, in requests a second.
	minLimit = 2
	maxLimit = 12
	// minLimitTime and maxLimitTime bound how long a target announces limits.
	minLimitTime = standin.LimitTolerance + 2*time.Second
	maxLimitTime = 10 * time.Second
	// maxLimitPause is the longest time between two targets with limits.
	maxLimitPause = 3 * time.Second
	// limitDelay is how long an instance may still exceed a limit after it has passed the limit on.
	limitDelay = 500 * time.Millisecond
)

// startLimits makes one target after another announce a limit for all instances together, change it
// and end it. The returned function stops that. It uses a random source of its own.
func (s *soak) startLimits() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 3))
		limit := func() float64 { return minLimit + random.Float64()*(maxLimit-minLimit) }
		for sleep(stop, time.Duration(random.Int64N(int64(maxLimitPause)))) {
			target := random.IntN(len(s.fleet.targets))
			length := minLimitTime + time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime)))
			s.setLimit(target, limit())
			sleep(stop, length/2)
			s.setLimit(target, limit())
			sleep(stop, length/2)
			s.setLimit(target, 0)
		}
	})
}

// setLimit makes target n announce a limit, if it can be reached; 0 ends the limit.
func (s *soak) setLimit(n int, perSecond float64) {
	client := http.Client{Timeout: startTimeout}
	resp, err := client.PostForm("http://"+s.fleet.targetAddresses[n]+"/standin/limit", url.Values{"per-second": {fmt.Sprint(perSecond)}})
	if err != nil {
		// The target is down or paused by another fault.
		return
	}
	resp.Body.Close()
	s.Progress("seed %d: %s announces a limit of %.1f a second", s.Seed, s.fleet.targets[n].name, perSecond)
}

// limitedRequest is a run at a target with a limit, through an instance that knew the limit. begun is
// the Unix time in nanoseconds, limit the limit in requests a second.
type limitedRequest struct {
	begun int64
	limit float64
}

// checkLimits finds targets with a limit that got more requests than it allows through all instances
// together that knew it. An instance knows a limit once it has passed it on to a caller, and forgets it
// when it is interrupted.
func checkLimits(results map[string]CallResult, runs []standin.Record, interrupted map[string][]time.Time) []string {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b standin.Record) int { return int(a.StartedAt - b.StartedAt) })
	learned := map[instanceTarget]time.Time{}
	byTarget := map[string][]limitedRequest{}
	for _, r := range runs {
		if r.Limit == 0 {
			continue
		}
		result := results[r.Request]
		pair := instanceTarget{result.Instance, r.Target}
		begun := time.Unix(0, r.StartedAt)
		since := begun.Add(-time.Duration(r.LimitAge))
		at, known := learned[pair]
		// An announcement of an earlier limit does not count, nor one before an interruption.
		binds := known && at.After(since) && begun.Sub(at) >= limitDelay && !anyBetween(interrupted[result.Instance], at, begun)
		if binds && time.Duration(r.LimitAge) >= standin.LimitTolerance {
			byTarget[r.Target] = append(byTarget[r.Target], limitedRequest{r.StartedAt, r.Limit})
		}
		if result.Limited && (!known || at.Before(since) || anyBetween(interrupted[result.Instance], at, result.Received)) {
			learned[pair] = result.Received
		}
	}
	var violations []string
	for target, list := range byTarget {
		if count, allowed := worstWindow(list); float64(count) > allowed {
			violations = append(violations, fmt.Sprintf("%s got %d requests within %v from instances that knew its limit; %.0f are allowed", target, count, standin.LimitWindow, allowed))
		}
	}
	slices.Sort(violations)
	return violations
}

// worstWindow returns the number of requests in the window with the largest excess over the allowed
// number, and that allowed number. The window has the length standin.LimitWindow.
func worstWindow(list []limitedRequest) (count int, allowed float64) {
	first := 0
	for i := range list {
		for list[i].begun-list[first].begun > int64(standin.LimitWindow) {
			first++
		}
		limit := 0.0
		for _, b := range list[first : i+1] {
			limit = max(limit, b.limit)
		}
		n, windowAllowed := i-first+1, standin.MaxRequestsInLimitWindow(limit)
		if allowed == 0 || float64(n)-windowAllowed > float64(count)-allowed {
			count, allowed = n, windowAllowed
		}
	}
	return count, allowed
}

// anyBetween reports whether any of the times is between from and to.
func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}
