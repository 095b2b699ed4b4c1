package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// crossDataCentreBaseCost is the time added to the expected duration of a request to a target
	// in another data centre: the network round trip, and a little for the traffic between data
	// centres, which costs money.
	crossDataCentreBaseCost = 10 * time.Millisecond
	// crossDataCentreCostPerKB is the time added for each KB of the response. A response of 90 KB
	// counts 0.37 s, so it comes from another data centre only if it would be late from the local
	// one.
	crossDataCentreCostPerKB = 4 * time.Millisecond
	// minCostToWaitLocally is the cost of another data centre from which on a request waits for a
	// slot in its own data centre although one in another is free. Below it, only the time until
	// the response matters.
	minCostToWaitLocally = 50 * time.Millisecond
	// localWaitMargin is the factor by which a request may take longer than expected and still be
	// answered within its aim after it has waited for a slot in its own data centre.
	localWaitMargin = 1.5
)

// CrossDataCentreCost returns the time by which a target in another data centre counts as slower,
// for responses of the given mean size in bytes.
func CrossDataCentreCost(bytes float64) time.Duration {
	return crossDataCentreBaseCost + time.Duration(bytes/1024*float64(crossDataCentreCostPerKB))
}

// shouldWaitLocally reports whether a request should wait for a slot in its own data centre
// although one is free in another: if the wait is shorter than the cost of the other data centre,
// and the response still arrives within the request's aim.
func (p *pool) shouldWaitLocally(w *waiter, now clock.Instant) bool {
	if w.ask.Abroad < minCostToWaitLocally {
		return false
	}
	slots := 0.0
	for _, t := range p.current {
		if t.DataCentre == w.ask.DataCentre && now >= t.ejectedUntil {
			slots += t.rateLimitedSlots(w.expected, now)
		}
	}
	if slots == 0 {
		return false
	}
	wait := workDuration(p.localWorkAhead(w, now), slots)
	expected := time.Duration(float64(w.expectedNow) * localWaitMargin)
	return wait < w.ask.Abroad && now.Add(wait+expected) < w.aim
}

// localWorkAhead returns the work that the targets in the asking instance's data centre have to do
// before a request.
func (p *pool) localWorkAhead(w *waiter, now clock.Instant) time.Duration {
	work := time.Duration(0)
	for _, g := range p.granted {
		if t := p.targets[g.target]; t != nil && t.DataCentre == w.ask.DataCentre {
			work += g.remainingWork(now)
		}
	}
	for _, other := range p.waiting {
		if other != w && !other.left && other.ask.DataCentre == w.ask.DataCentre && !p.precedes(w, other, now) {
			work += other.expected
		}
	}
	return work
}
