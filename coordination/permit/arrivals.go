package permit

import (
	"math"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// rateWindow is the time constant of the rates in a contended pool. Bursts last a few seconds, and a
// pool of one target gets a few requests a second of each kind.
const rateWindow = 2 * time.Second

// decayingSum is a sum whose terms lose weight exponentially with their age.
type decayingSum struct {
	sum float64
	at  clock.Instant
}

// add adds a term.
func (s *decayingSum) add(term float64, now clock.Instant) {
	s.sum = s.value(now) + term
	s.at = now
}

// value returns the sum as of now.
func (s *decayingSum) value(now clock.Instant) float64 {
	return s.sum * math.Exp(-float64(now.Sub(s.at))/float64(rateWindow))
}

// kind is what a contended pool knows about the requests of one rule.
type kind struct {
	priority int
	// arrivals counts the first asks of callers, grants the permits.
	arrivals, grants decayingSum
}

// recordArrival counts an ask of the rule. Asks of callers that return are not counted: they arrive
// because of refusals, and their work is known from their reservations.
func (c *contention) recordArrival(a Ask, now clock.Instant) {
	k := c.kinds[a.Rule]
	if k == nil {
		k = &kind{}
		c.kinds[a.Rule] = k
	}
	k.priority = a.Priority
	if !a.Returning {
		k.arrivals.add(1, now)
	}
}

// recordGrant counts a permit for a request of the rule.
func (c *contention) recordGrant(rule string, now clock.Instant) {
	if k := c.kinds[rule]; k != nil {
		k.grants.add(1, now)
	}
}

// arrivalRate returns how many requests a second of the kind are expected at least: the rate over the
// window, or since the pool became contended if that is shorter, less its standard deviation. In a
// pool that gets few requests, chance differences of the rate would otherwise cause refusals.
func (c *contention) arrivalRate(k *kind, now clock.Instant) float64 {
	count := k.arrivals.value(now)
	window := rateWindow.Seconds() * (1 - math.Exp(-float64(now.Sub(c.since))/float64(rateWindow)))
	if window <= 0 {
		return 0
	}
	return max(0, count-math.Sqrt(count)) / window
}

// expectedLoad returns the number of slots of an average target that the requests expected to arrive
// ahead of the given rank will occupy.
func (p *pool) expectedLoad(r rank, now clock.Instant) float64 {
	slots := 0.0
	for rule, k := range p.contention.kinds {
		if r.late || k.priority < r.priority {
			slots += p.contention.arrivalRate(k, now) * p.expectedDuration(Ask{Rule: rule}).Seconds()
		}
	}
	return slots
}

// guaranteedShare returns the share of the pool's grants below which a waiting kind counts as
// starved: minKindShare, but at most half of its share of the arrivals, so that a rare kind is not
// served better than a more urgent one.
func (p *pool) guaranteedShare(rule string, now clock.Instant) float64 {
	own := p.contention.kinds[rule]
	if own == nil {
		return 0
	}
	all := 0.0
	for _, k := range p.contention.kinds {
		all += k.arrivals.value(now)
	}
	if all == 0 {
		return minKindShare
	}
	return min(minKindShare, own.arrivals.value(now)/all/2)
}

// isStarved reports whether a kind has recently had less than its guaranteed share of the grants.
func (p *pool) isStarved(rule string, now clock.Instant) bool {
	own, all := 0.0, 0.0
	for other, k := range p.contention.kinds {
		grants := k.grants.value(now)
		all += grants
		if other == rule {
			own = grants
		}
	}
	return own < p.guaranteedShare(rule, now)*all
}
