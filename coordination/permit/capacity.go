package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// capacity is the current throughput of a pool, as a number of slots of an average target.
type capacity struct {
	// equivalentSlots is the sum of slots times speed over the usable targets.
	equivalentSlots float64
	// rateLimitedSlots is equivalentSlots, reduced for targets that accept only a certain number of
	// requests a second.
	rateLimitedSlots float64
	// untilNextSend is the time until at least one target may get the next request.
	untilNextSend time.Duration
}

// capacity returns the pool's capacity for requests that are expected to take the given time.
func (p *pool) capacity(expected time.Duration, now clock.Instant) capacity {
	c := capacity{untilNextSend: p.untilNextSend(now)}
	for _, t := range p.current {
		if now >= t.ejectedUntil {
			c.equivalentSlots += t.equivalentSlots(now)
			c.rateLimitedSlots += t.rateLimitedSlots(expected, now)
		}
	}
	return c
}

// estimateWait returns how long a request waits for a slot behind the running and the waiting work.
// Running requests occupy slots, but no longer count against rate limits.
func (c capacity) estimateWait(running, waiting time.Duration) time.Duration {
	if c.rateLimitedSlots <= 0 {
		return ejectionTime
	}
	return max(c.untilNextSend, workDuration(running, c.equivalentSlots)) + workDuration(waiting, c.rateLimitedSlots)
}

// meanSlowness returns the time that requests take in the pool now, divided by the time that they
// take at an average target.
func (p *pool) meanSlowness(now clock.Instant) float64 {
	slots, equivalent := 0.0, 0.0
	for _, t := range p.current {
		if now >= t.ejectedUntil {
			slots += float64(t.Slots)
			equivalent += t.equivalentSlots(now)
		}
	}
	if equivalent == 0 {
		return 1
	}
	return slots / equivalent
}

// estimateWait estimates the time until the request would get a slot.
func (p *pool) estimateWait(w *waiter, now clock.Instant) time.Duration {
	ahead := time.Duration(0)
	for _, other := range p.waiting {
		if !p.precedes(w, other, now) {
			ahead += other.expected
		}
	}
	return p.capacity(w.expected, now).estimateWait(p.remainingWork(now), ahead)
}

// untilNextSend returns the time until at least one of the targets may get the next request.
func (p *pool) untilNextSend(now clock.Instant) time.Duration {
	if len(p.current) == 0 {
		return 0
	}
	least := p.current[0].untilNextSend(now)
	for _, t := range p.current[1:] {
		least = min(least, t.untilNextSend(now))
	}
	return least
}

// remainingWork returns the remaining work of all requests that have a slot.
func (p *pool) remainingWork(now clock.Instant) time.Duration {
	work := time.Duration(0)
	for _, g := range p.granted {
		work += g.remainingWork(now)
	}
	return work
}

// remainingWork returns the remaining work of a request, as the time that an average target takes
// for it.
func (g grantedPermit) remainingWork(now clock.Instant) time.Duration {
	done := time.Duration(float64(now.Sub(g.grantedAt)) / g.slowness)
	return max(g.expected-done, g.expected/4)
}

// workDuration returns how long the given number of slots take for work that they share.
func workDuration(work time.Duration, slots float64) time.Duration {
	if slots <= 0 {
		return ejectionTime
	}
	return time.Duration(float64(work) / slots)
}
