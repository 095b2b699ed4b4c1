package soak

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

const (
	// minLimit and maxLimit are the smallest and largest limit that targets report, in requests a
	// second.
	minLimit = 2
	maxLimit = 12
	// minLimitPeriod and maxLimitPeriod limit how long a target reports limits.
	minLimitPeriod = standin.LimitTolerance + 2*time.Second
	maxLimitPeriod = 10 * time.Second
	// maxLimitPause is the longest time between two targets with limits.
	maxLimitPause = 3 * time.Second
	// limitDelay is how long an instance may still exceed a limit after it has forwarded the limit.
	limitDelay = 500 * time.Millisecond
)

// startLimits makes one target after another report a limit for all instances together, change it and
// withdraw it. The returned function stops that. It uses a random generator of its own.
func (s *soak) startLimits() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 3))
		limit := func() float64 { return minLimit + random.Float64()*(maxLimit-minLimit) }
		for sleep(stop, time.Duration(random.Int64N(int64(maxLimitPause)))) {
			target := random.IntN(len(s.deployment.targets))
			length := minLimitPeriod + time.Duration(random.Int64N(int64(maxLimitPeriod-minLimitPeriod)))
			s.setLimit(target, limit())
			sleep(stop, length/2)
			s.setLimit(target, limit())
			sleep(stop, length/2)
			s.setLimit(target, 0)
		}
	})
}

// setLimit makes target n report a limit, if it can be reached. 0 means no limit.
func (s *soak) setLimit(n int, perSecond float64) {
	client := controlClient()
	resp, err := client.PostForm("http://"+s.deployment.targetAddresses[n]+"/standin/limit", url.Values{"per-second": {fmt.Sprint(perSecond)}})
	if err != nil {
		// The target is down or paused by another fault.
		return
	}
	resp.Body.Close()
	s.Progress("seed %d: %s reports a limit of %.1f a second", s.Seed, s.deployment.targets[n].name, perSecond)
}

// limitedRequest is a run at a target with a limit, through an instance that had received the limit.
// startedAt is the Unix time in nanoseconds, limit the limit in requests a second.
type limitedRequest struct {
	startedAt int64
	limit     float64
}

// checkLimits finds targets with a limit that got more requests than it allows through all instances
// together that had received it. An instance has received a limit once it has forwarded it to a caller,
// and until it is interrupted.
func checkLimits(results map[string]CallResult, runs []standin.Record, interrupted map[string][]time.Time) []string {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b standin.Record) int { return int(a.StartedAt - b.StartedAt) })
	receivedLimit := map[instanceAndTarget]time.Time{}
	byTarget := map[string][]limitedRequest{}
	for _, r := range runs {
		if r.Limit == 0 {
			continue
		}
		result := results[r.Request]
		pair := instanceAndTarget{result.Instance, r.Target}
		startedAt := time.Unix(0, r.StartedAt)
		since := startedAt.Add(-time.Duration(r.LimitAge))
		at, received := receivedLimit[pair]
		// A report of an earlier limit does not count, and neither does one before an interruption.
		applies := received && at.After(since) && startedAt.Sub(at) >= limitDelay && !anyBetween(interrupted[result.Instance], at, startedAt)
		if applies && time.Duration(r.LimitAge) >= standin.LimitTolerance {
			byTarget[r.Target] = append(byTarget[r.Target], limitedRequest{r.StartedAt, r.Limit})
		}
		if result.Limited && (!received || at.Before(since) || anyBetween(interrupted[result.Instance], at, result.Received)) {
			receivedLimit[pair] = result.Received
		}
	}
	var violations []string
	for target, list := range byTarget {
		if count, allowed := windowWithLargestExcess(list); float64(count) > allowed {
			violations = append(violations, fmt.Sprintf("%s got %d requests within %v from instances that had received its limit; %.0f are allowed", target, count, standin.LimitWindow, allowed))
		}
	}
	slices.Sort(violations)
	return violations
}

// windowWithLargestExcess returns the number of requests in the window with the largest excess over the
// allowed number, and that allowed number. The window has the length standin.LimitWindow.
func windowWithLargestExcess(list []limitedRequest) (count int, allowed float64) {
	first := 0
	for i := range list {
		for list[i].startedAt-list[first].startedAt > int64(standin.LimitWindow) {
			first++
		}
		limit := 0.0
		for _, r := range list[first : i+1] {
			limit = max(limit, r.limit)
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
