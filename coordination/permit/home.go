package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// abroad is what a target in another data centre is counted slower: the way there and back,
	// and a little for the bytes between data centres, which are paid for.
	abroad = 10 * time.Millisecond
	// abroadEachKB is what each KB of the answer adds to that. An answer of 90 KB counts 0.37 s:
	// it comes from another data centre only where it would be late at home.
	abroadEachKB = 4 * time.Millisecond
	// leastWaitAtHome is the cost of going abroad from which on a request waits for a slot at home
	// though there is a free one abroad. Below, the wait is what matters.
	leastWaitAtHome = 50 * time.Millisecond
	// homeMargin is how much longer than expected a request may take that waits at home and must
	// still be answered within its aim.
	homeMargin = 1.5
)

// CrossDataCentreCost is what a target in another data centre is counted slower for answers of a mean size
// in bytes.
func CrossDataCentreCost(bytes float64) time.Duration {
	return abroad + time.Duration(bytes/1024*float64(abroadEachKB))
}

// betterAtHome reports whether a request for which only targets in other data centres are free
// should wait for one at home: where that takes less than going abroad costs, and the answer is
// still within its aim.
func (p *pool) betterAtHome(w *waiter, now clock.Instant) bool {
	if w.ask.Abroad < leastWaitAtHome {
		return false
	}
	slots := 0.0
	for _, s := range p.order {
		if s.DataCentre == w.ask.DataCentre && now >= s.asideUntil {
			slots += s.does(w.expected, now)
		}
	}
	if slots == 0 {
		return false
	}
	wait := waitFor(p.workAtHome(w, now), slots)
	took := time.Duration(float64(w.took) * homeMargin)
	return wait < w.ask.Abroad && now.Add(wait+took) < w.aim
}

// workAtHome returns the work that the targets of the asking data centre have before a request.
func (p *pool) workAtHome(w *waiter, now clock.Instant) time.Duration {
	work := time.Duration(0)
	for _, u := range p.uses {
		if s := p.slots[u.target]; s != nil && s.DataCentre == w.ask.DataCentre {
			work += u.left(now)
		}
	}
	for _, v := range p.waiting {
		if v != w && v.ask.DataCentre == w.ask.DataCentre && !w.before(v, now) {
			work += v.expected
		}
	}
	return work
}
