package permit

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/targetstatus"
)

// An overloaded target reports in its responses how many requests a second it accepts from all
// instances together. Its keeper sees all requests to the target and enforces this limit. Each
// instance that gets such a response forwards the limit to the keeper: when it returns the permit,
// and again with each ask, so that a new keeper learns it from the first instance that knows it.

// minBurst is the minimum number of requests that a target with a limit may get at once after a
// time without requests. With a burst of one, requests would wait although the target accepts more
// than arrive.
const minBurst = 2

// rateLimit enforces the limit that a target has reported.
type rateLimit struct {
	// limiter is nil if the target reports no limit.
	limiter *rate.Limiter
	// answeredAt is when the target last responded, with or without a limit.
	answeredAt clock.Instant
}

// limiterTime converts an instant to the time type of the limiter.
func limiterTime(now clock.Instant) time.Time { return time.Unix(0, int64(now)) }

// setLimit records how many requests a second the target accepts from all instances together, as it
// reported at the given time; 0 means no limit.
//
// The first request is let through after a whole interval, so that the old and the new keeper
// together stay within the limit when the keeper changes.
func (l *rateLimit) setLimit(perSecond float64, at, now clock.Instant) {
	if at <= l.answeredAt {
		return
	}
	l.answeredAt = at
	if perSecond == 0 {
		l.limiter = nil
		return
	}
	burst := max(minBurst, int(perSecond))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.limiter.AllowN(limiterTime(now), burst)
		return
	}
	l.limiter.SetLimitAt(limiterTime(now), rate.Limit(perSecond))
	l.limiter.SetBurstAt(limiterTime(now), burst)
}

// untilAllowed returns the time until the limit allows the next request.
func (l *rateLimit) untilAllowed(now clock.Instant) time.Duration {
	if l.limiter == nil {
		return 0
	}
	missing := 1 - l.limiter.TokensAt(limiterTime(now))
	return max(0, time.Duration(missing/float64(l.limiter.Limit())*float64(time.Second)))
}

// consume counts a request against the limit.
func (l *rateLimit) consume(now clock.Instant) {
	if l.limiter != nil {
		l.limiter.AllowN(limiterTime(now), 1)
	}
}

// perSecond returns how many requests a second the target accepts; limited is false if it reports
// no limit.
func (l *rateLimit) perSecond() (perSecond float64, limited bool) {
	if l.limiter == nil {
		return 0, false
	}
	return float64(l.limiter.Limit()), true
}

// allLimited reports whether all targets of the pool report limits.
func (p *pool) allLimited() bool {
	return !slices.ContainsFunc(p.current, func(t *poolTarget) bool { return t.limiter == nil })
}

// recordLimits records the limits that targets of the pool have reported to an instance.
func (p *pool) recordLimits(list []targetstatus.Limit, now clock.Instant) {
	for _, l := range list {
		if t := p.targets[l.Target]; t != nil {
			t.setLimit(l.PerSecond, now.Add(-l.Age), now)
		}
	}
}
