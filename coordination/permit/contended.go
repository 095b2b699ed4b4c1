package permit

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// minKindShare is the share of a contended pool's grants up to which a waiting kind goes before
	// more urgent ones.
	minKindShare = 1.0 / 8
	// contendedFor is how long a pool stays contended after the last ask with Contended set. Asks
	// of instances of an older build in that time are decided in the same way.
	contendedFor = 5 * time.Second
)

// contention is the state of a contended pool, in which kinds of requests compete for slots.
type contention struct {
	// until is when the pool stops being contended.
	until clock.Instant
	// kinds holds the rates of each rule's requests.
	kinds        map[string]*kind
	reservations []reservation
}

// updateContention makes the pool contended if the ask is, and ends it some time after the last such
// ask.
func (p *pool) updateContention(a Ask, now clock.Instant) {
	switch {
	case a.Contended:
		if p.contention == nil {
			p.contention = &contention{kinds: map[string]*kind{}}
		}
		p.contention.until = now.Add(contendedFor)
	case p.contention != nil && now >= p.contention.until:
		p.contention = nil
	}
}

// rank is the place of a request in the order of a contended pool.
type rank struct {
	// late is set if the request can probably not be answered within its aim any more.
	late     bool
	priority int
	// first is when the caller first sent the request.
	first clock.Instant
}

// before reports whether requests of this rank are served first. Requests that can be in time come
// first, then the more urgent, then those whose callers have waited longer.
func (r rank) before(other rank) bool {
	if r.late != other.late {
		return other.late
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.first < other.first
}

// firstArrival returns when the caller first sent the request. It is known from the aim, of which
// AimLeft is the rest; an ask of an older build has no Aim and counts as new.
func (w *waiter) firstArrival() clock.Instant {
	if w.ask.Aim == 0 {
		return w.arrived
	}
	return w.aim.Add(-w.ask.Aim)
}

// rank returns the place of the request now.
func (w *waiter) rank(now clock.Instant) rank {
	return rank{late: !w.inTime(now), priority: w.ask.Priority, first: w.firstArrival()}
}

// precedes reports whether a comes before b in the queue.
func (p *pool) precedes(a, b *waiter, now clock.Instant) bool {
	if p.contention != nil {
		return a.rank(now).before(b.rank(now))
	}
	return a.precedes(b, now)
}

// admitContended decides whether an ask is queued. It is queued if it should get its slot within its
// aim, behind the requests that precede it and those that are expected to arrive meanwhile, or, if it
// is late already, if it should be answered before its deadline.
//
// Refusing requests that should get a slot within their aim but would probably be late, since half or
// all of their expected duration is missing, leaves fewer of them in time: a refused caller returns
// after its aim, and durations vary so much that many of these requests are in time.
func (p *pool) admitContended(w *waiter, now clock.Instant) error {
	c := p.contention
	current := w.rank(now)
	reserved := c.takeReservation(w, now)
	wait := p.contendedWait(w, current, now)
	if !current.late {
		if now.Add(wait) <= w.aim {
			return nil
		}
		current.late = true
		wait = p.contendedWait(w, current, now)
	}
	if (reserved || w.rank(now).late) && now.Add(wait+w.expectedNow) <= w.deadline {
		return nil
	}
	retryAfter := min(max(minRetryAfter, wait), max(minRetryAfter, w.ask.Left))
	c.reserve(w, current, retryAfter, now)
	return &RefusedError{Reason: ReasonFull, RetryAfter: retryAfter}
}

// contendedWait estimates the time until a request of the given rank would get a slot.
func (p *pool) contendedWait(w *waiter, r rank, now clock.Instant) time.Duration {
	ahead, sameKind := time.Duration(0), time.Duration(0)
	for _, other := range p.waiting {
		if other != w && !r.before(other.rank(now)) {
			ahead += other.expected
			if other.ask.Rule == w.ask.Rule {
				sameKind += other.expected
			}
		}
	}
	return p.contendedWaitBehind(w, r, ahead, sameKind, now)
}

// contendedWaitBehind estimates the time until a request of the given rank would get a slot, behind
// the given waiting work of all kinds and of its own.
func (p *pool) contendedWaitBehind(w *waiter, r rank, ahead, sameKind time.Duration, now clock.Instant) time.Duration {
	c := p.capacity(w.expected, now)
	running := p.untilFirstFree(now)
	guaranteed := p.guaranteedShare(w.ask.Rule, now) * c.rateLimitedSlots
	wait := w.ask.Left
	if free := c.rateLimitedSlots - p.expectedLoad(r, now); free > 0 {
		free := capacity{equivalentSlots: free * c.equivalentSlots / c.rateLimitedSlots, rateLimitedSlots: free, untilNextSend: c.untilNextSend}
		wait = free.estimateWait(running, ahead)
		wait = p.contention.waitBehindReservations(r, wait, free.rateLimitedSlots, now)
	}
	if guaranteed > 0 {
		starved := c.estimateWait(running, 0) + workDuration(sameKind+w.expected, guaranteed)
		wait = min(wait, starved)
	}
	return wait
}

// untilFirstFree returns the remaining work of all requests that have a slot, scaled so that divided
// by the slots it gives the time until the first of them is free. If n requests end at independent
// times, evenly distributed, the first ends after 2/(n+1) of the mean time.
func (p *pool) untilFirstFree(now clock.Instant) time.Duration {
	return p.remainingWork(now) * 2 / time.Duration(len(p.granted)+1)
}

// serveContendedQueue grants free slots to queued requests in the order of the contended pool, and
// refuses requests that cannot be served before their deadline any more.
func (p *pool) serveContendedQueue(now clock.Instant) {
	p.contention.expireReservations(now)
	slowness := p.meanSlowness(now)
	for _, w := range p.waiting {
		w.expectedNow = time.Duration(float64(w.expected) * slowness)
	}
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		ra, rb := a.rank(now), b.rank(now)
		switch {
		case ra.before(rb):
			return -1
		case rb.before(ra):
			return 1
		}
		return 0
	})
	p.promoteStarved(now)
	remaining := p.waiting[:0]
	ahead, aheadByRule := time.Duration(0), map[string]time.Duration{}
	for _, w := range p.waiting {
		if now.Add(w.expectedNow/2) > w.deadline {
			w.done <- decision{err: &RefusedError{Reason: ReasonLate, RetryAfter: minRetryAfter}}
			continue
		}
		if t := p.pickTarget(w, now); t != nil {
			w.done <- decision{permit: p.grant(w, t, now)}
			continue
		}
		if r := w.rank(now); r.late {
			if wait := p.contendedWaitBehind(w, r, ahead, aheadByRule[w.ask.Rule], now); now.Add(wait+w.expectedNow/2) > w.deadline {
				w.done <- decision{err: &RefusedError{Reason: ReasonLate, RetryAfter: max(minRetryAfter, wait)}}
				continue
			}
		}
		ahead += w.expected
		aheadByRule[w.ask.Rule] += w.expected
		remaining = append(remaining, w)
	}
	clear(p.waiting[len(remaining):])
	p.waiting = remaining
}

// promoteStarved moves the first request of each starved kind to the front of the sorted queue, the
// more urgent kinds first.
func (p *pool) promoteStarved(now clock.Instant) {
	var promoted []*waiter
	seen := map[string]bool{}
	for _, w := range p.waiting {
		if seen[w.ask.Rule] {
			continue
		}
		seen[w.ask.Rule] = true
		if p.isStarved(w.ask.Rule, now) {
			promoted = append(promoted, w)
		}
	}
	if len(promoted) == 0 {
		return
	}
	slices.SortStableFunc(promoted, func(a, b *waiter) int { return cmp.Compare(a.ask.Priority, b.ask.Priority) })
	rest := slices.DeleteFunc(slices.Clone(p.waiting), func(w *waiter) bool { return slices.Contains(promoted, w) })
	p.waiting = append(promoted, rest...)
}
