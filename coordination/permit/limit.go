package permit

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/targetstatus"
)

// A target in need says in its answers how many requests a second it takes from all instances together. Its
// keeper sees all that goes to it, and goes by that. Each instance that was told tells the keeper: with the
// end of the request that was answered, and again with each ask, so that the next keeper knows it from the
// first instance on that is bound by it.

// leastBurst is how many requests a target with a limit may get at once after a pause, if that is more than
// it takes in a second. One at a time would have requests wait though the target takes more than come.
const leastBurst = 2

// allowance is how many requests a target may get.
type allowance struct {
	// limiter is nil where the target names no limit.
	limiter *rate.Limiter
	// heardAt is when it last said whether it does.
	heardAt clock.Instant
}

// moment is an instant as the limiter counts.
func moment(now clock.Instant) time.Time { return time.Unix(0, int64(now)) }

// heardLimit notes what a target has said at the given time: how many requests a second it takes from all
// instances together, 0: it names no limit.
//
// The first request is let through after a whole interval, so that the keepers before and after a change
// together stay within what the target takes.
func (a *allowance) heardLimit(perSecond float64, at, now clock.Instant) {
	if at <= a.heardAt {
		return
	}
	a.heardAt = at
	if perSecond == 0 {
		a.limiter = nil
		return
	}
	burst := max(leastBurst, int(perSecond))
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		a.limiter.AllowN(moment(now), burst)
		return
	}
	a.limiter.SetLimitAt(moment(now), rate.Limit(perSecond))
	a.limiter.SetBurstAt(moment(now), burst)
}

// untilAllowed returns the time until the target may get the next request.
func (a *allowance) untilAllowed(now clock.Instant) time.Duration {
	if a.limiter == nil {
		return 0
	}
	missing := 1 - a.limiter.TokensAt(moment(now))
	return max(0, time.Duration(missing/float64(a.limiter.Limit())*float64(time.Second)))
}

// spend notes that the target gets a request.
func (a *allowance) spend(now clock.Instant) {
	if a.limiter != nil {
		a.limiter.AllowN(moment(now), 1)
	}
}

// perSecond returns how many requests a second the target takes; limited is false where it names no limit.
func (a *allowance) perSecond() (perSecond float64, limited bool) {
	if a.limiter == nil {
		return 0, false
	}
	return float64(a.limiter.Limit()), true
}

// allLimited reports whether all targets of the pool name limits.
func (p *pool) allLimited() bool {
	return !slices.ContainsFunc(p.order, func(s *slot) bool { return s.limiter == nil })
}

// noteLimits takes what an instance was told by targets of the pool.
func (p *pool) noteLimits(list []targetstatus.Limit, now clock.Instant) {
	for _, l := range list {
		if s := p.slots[l.Target]; s != nil {
			s.heardLimit(l.PerSecond, now.Add(-l.Age), now)
		}
	}
}
