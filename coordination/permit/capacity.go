package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// capacity is what a pool can do now, as a number of slots of an average target.
type capacity struct {
	// slots are those of the targets that can be used.
	slots float64
	// does are the slots that do the same as these, for requests of which targets take only so many a
	// second.
	does float64
	// turn is the time until one of the targets may get the next request.
	turn time.Duration
}

// capacity returns what can be done of requests that are expected to take the given time.
func (p *pool) capacity(expected time.Duration, now clock.Instant) capacity {
	c := capacity{turn: p.untilTurn(now)}
	for _, s := range p.order {
		if now >= s.asideUntil {
			c.slots += s.speed(now)
			c.does += s.does(expected, now)
		}
	}
	return c
}

// wait returns how long a request waits for a slot behind work that is under way, and work that waits. What
// is under way needs a slot, and no turn any more.
func (c capacity) wait(running, waiting time.Duration) time.Duration {
	if c.does <= 0 {
		return asideFor
	}
	return max(c.turn, waitFor(running, c.slots)) + waitFor(waiting, c.does)
}

// slowness is how many times as long as at an average target requests take in the pool now.
func (p *pool) slowness(now clock.Instant) float64 {
	slots, does := 0.0, 0.0
	for _, s := range p.order {
		if now >= s.asideUntil {
			slots += float64(s.Slots)
			does += s.speed(now)
		}
	}
	if does == 0 {
		return 1
	}
	return slots / does
}

// wait estimates how long until the request would get a slot.
func (p *pool) wait(w *waiter, now clock.Instant) time.Duration {
	ahead := time.Duration(0)
	for _, v := range p.waiting {
		if !w.before(v, now) {
			ahead += v.expected
		}
	}
	return p.capacity(w.expected, now).wait(p.running(now), ahead)
}

// untilTurn returns the time until one of the targets may get the next request.
func (p *pool) untilTurn(now clock.Instant) time.Duration {
	if len(p.order) == 0 {
		return 0
	}
	least := p.order[0].untilTurn(now)
	for _, s := range p.order[1:] {
		least = min(least, s.untilTurn(now))
	}
	return least
}

// running returns the work that is left of the requests that have a slot.
func (p *pool) running(now clock.Instant) time.Duration {
	work := time.Duration(0)
	for _, u := range p.uses {
		work += u.left(now)
	}
	return work
}

// left is the work that is left of a request, as the time that an average target takes for it.
func (u use) left(now clock.Instant) time.Duration {
	done := time.Duration(float64(now.Sub(u.begun)) / u.slowness)
	return max(u.expected-done, u.expected/4)
}

// waitFor returns how long work takes that slots do beside each other.
func waitFor(work time.Duration, slots float64) time.Duration {
	if slots <= 0 {
		return asideFor
	}
	return time.Duration(float64(work) / slots)
}
