package permit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
)

const (
	// minKindShare is the share of a contended pool's grants up to which a waiting kind goes before
	// more urgent ones.
	minKindShare = 1.0 / 8
	// contendedFor is how long a pool stays contended after the last ask with Contended set. Asks
	// of instances of an older build in that time are decided in the same way.
	contendedFor = 5 * time.Second
	// standingShare is the share of its aim that the oldest request of a standing queue has waited. In
	// a shorter queue the order by arrival has more requests in time.
	standingShare = 1.0 / 4
)

// contention is the state of a contended pool, in which kinds of requests compete for slots.
type contention struct {
	// since and until are when the pool became contended and when it stops being so.
	since, until clock.Instant
	// kinds holds the rates of each rule's requests.
	kinds        map[string]*kind
	reservations []reservation
	// standing holds the priorities whose queue is a standing one: a request that can be in time has
	// waited for standingShare of its aim.
	standing map[int]bool
}

// countContended counts what became of an ask for a permit in a contended pool.
func countContended(rule, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_permit_contended_total{rule=%q,result=%q}`, rule, result)).Inc()
}

// updateContention makes the pool contended if the ask is, and ends that with the first ask that
// arrives contendedFor or later after the last such one.
func (p *pool) updateContention(a Ask, now clock.Instant) {
	switch {
	case a.Contended:
		if p.contention == nil {
			p.contention = &contention{since: now, kinds: map[string]*kind{}, standing: map[int]bool{}}
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
	// newestFirst is set while the queue of the priority is a standing one.
	newestFirst bool
}

// before reports whether requests of this rank are served first. Requests that can be in time come
// first, then the more urgent, then those whose callers have waited longer.
//
// While more requests arrive than can be served, the oldest ones have just too little time left to be
// in time, and the order by arrival would make all of them late. The newest ones come first then.
func (r rank) before(other rank) bool {
	if r.late != other.late {
		return other.late
	}
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	if r.newestFirst && other.newestFirst && !r.late {
		return r.first > other.first
	}
	return r.first < other.first
}

// wholeAim returns the aim of the request's rule. An ask of an older build gives only the rest of it.
func (w *waiter) wholeAim() time.Duration {
	if w.ask.Aim == 0 {
		return w.ask.AimLeft
	}
	return w.ask.Aim
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
	return rank{late: !w.inTime(now), priority: w.ask.Priority, first: w.firstArrival(), newestFirst: w.newestFirst}
}

// updateStanding finds the priorities whose queue is a standing one, and sets newestFirst of the requests
// in it.
func (p *pool) updateStanding(now clock.Instant) {
	clear(p.contention.standing)
	for _, w := range p.waiting {
		if w.inTime(now) && float64(now.Sub(w.firstArrival())) >= standingShare*float64(w.wholeAim()) {
			p.contention.standing[w.ask.Priority] = true
		}
	}
	for _, w := range p.waiting {
		w.newestFirst = p.contention.standing[w.ask.Priority]
	}
}

// recordAsk updates the statistics of a contended pool with an ask that was granted at once or is not
// granted yet. An ask with NoQueue that gets no slot is not recorded: it is sent to another pool next.
func (p *pool) recordAsk(w *waiter, granted bool, now clock.Instant) {
	p.contention.recordArrival(w.ask, now)
	if granted {
		p.contention.takeReservation(w, now)
		countContended(w.ask.Rule, "granted")
	}
}

// precedes reports whether a comes before b in the queue.
func (p *pool) precedes(a, b *waiter, now clock.Instant) bool {
	if p.contention != nil {
		return a.rank(now).before(b.rank(now))
	}
	return a.precedes(b, now)
}

// admitContended decides whether an ask is queued. It is queued if it should get its slot within its
// aim, behind the requests that precede it and those that are expected to arrive meanwhile. If it is
// late already, or capacity was reserved for its return, it is also queued if it should be answered
// before its deadline.
//
// Refusing requests that should get a slot within their aim but would probably be late, since half or
// all of their expected duration is missing, leaves fewer of them in time: a refused caller returns
// after its aim, and durations vary so much that many of these requests are in time.
func (p *pool) admitContended(w *waiter, now clock.Instant) error {
	c := p.contention
	p.updateStanding(now)
	w.newestFirst = c.standing[w.ask.Priority]
	r := w.rank(now)
	reserved := c.takeReservation(w, now)
	wait := p.contendedWait(w, r, now)
	if !r.late {
		if now.Add(wait) <= p.latestContendedGrant(w) {
			if w.newestFirst {
				p.refuseOldest(w, now)
			}
			return nil
		}
		r.late = true
		wait = p.contendedWait(w, r, now)
	}
	if (reserved || !w.inTime(now)) && now.Add(wait+w.expectedNow) <= w.deadline {
		return nil
	}
	return p.refuseFull(w, wait, now)
}

// latestContendedGrant returns the latest time at which a request that is in time must get a slot to
// be queued now. If all targets report limits, the wait is known in advance, and the slot is left to a
// request that can be in time.
func (p *pool) latestContendedGrant(w *waiter) clock.Instant {
	if p.allLimited() {
		return w.aim.Add(-w.expectedNow)
	}
	return w.aim
}

// refuseFull returns the refusal of a request that would get its slot after the given wait, and
// reserves capacity for its return.
func (p *pool) refuseFull(w *waiter, wait time.Duration, now clock.Instant) *RefusedError {
	r := w.rank(now)
	r.late = true
	retryAfter := w.retryAfter(wait, now)
	if wait <= retryAfter && p.contention.reserve(w, r, retryAfter, now) {
		countContended(w.ask.Rule, "reserved")
	}
	countContended(w.ask.Rule, "refused-full")
	return &RefusedError{Reason: ReasonFull, RetryAfter: retryAfter}
}

// retryAfter returns the time after which the caller of a refused request should return. If no
// capacity is expected in the time that callers wait, it is that time: a later one has no effect.
func (w *waiter) retryAfter(wait time.Duration, now clock.Instant) time.Duration {
	longest := time.Duration(float64(w.deadline.Sub(now)) * callerWaitShare)
	return max(minRetryAfter, min(wait, longest))
}

// refuseOldest refuses the oldest queued request of the new one's priority if the queue is longer
// than its aim. The oldest ones of a standing queue are served last, and would be late.
func (p *pool) refuseOldest(w *waiter, now clock.Instant) {
	oldest := -1
	ahead, sameKind := time.Duration(0), time.Duration(0)
	for i, other := range p.waiting {
		if !other.inTime(now) || other.ask.Priority > w.ask.Priority {
			continue
		}
		ahead += other.expected
		if other.ask.Priority < w.ask.Priority {
			continue
		}
		if other.ask.Rule == w.ask.Rule {
			sameKind += other.expected
		}
		if oldest < 0 || other.firstArrival() < p.waiting[oldest].firstArrival() {
			oldest = i
		}
	}
	if oldest < 0 || now.Add(p.contendedWaitBehind(w, w.rank(now), ahead, sameKind, now)) <= w.aim {
		return
	}
	refused := p.waiting[oldest]
	p.waiting = slices.Delete(p.waiting, oldest, oldest+1)
	// After its return the request will be late.
	r := refused.rank(now)
	r.late = true
	refused.done <- decision{err: p.refuseFull(refused, p.contendedWait(refused, r, now), now)}
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
// the given waiting work: ahead is that of all kinds, sameKind the part of the request's own kind. If
// the kind is guaranteed a share of the slots, the wait is no longer than that behind sameKind there.
func (p *pool) contendedWaitBehind(w *waiter, r rank, ahead, sameKind time.Duration, now clock.Instant) time.Duration {
	c := p.capacity(w.expected, now)
	if c.rateLimitedSlots <= 0 {
		return ejectionTime
	}
	running := p.untilFirstFree(now)
	guaranteed := p.guaranteedShare(w.ask.Rule, now) * c.rateLimitedSlots
	wait := w.ask.Left
	if free := c.rateLimitedSlots - p.expectedLoad(r, now); free > 0 {
		free := capacity{equivalentSlots: free * c.equivalentSlots / c.rateLimitedSlots, rateLimitedSlots: free, untilNextSend: c.untilNextSend}
		wait = free.estimateWait(running, ahead)
		wait = p.contention.waitBehindReservations(r, wait, free.rateLimitedSlots, now)
	}
	if guaranteed > 0 && !r.late {
		guaranteedWait := c.estimateWait(running, 0) + workDuration(sameKind+w.expected, guaranteed)
		wait = min(wait, guaranteedWait)
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
	p.updateStanding(now)
	p.sortQueue(now)
	p.promoteStarved(now)
	// pickTarget reads the queue, so it is not compacted in place.
	remaining := make([]*waiter, 0, len(p.waiting))
	ahead, aheadByRule := time.Duration(0), map[string]time.Duration{}
	for _, w := range p.waiting {
		if now.Add(w.expectedNow/2) > w.deadline {
			p.refuseLate(w, 0, now)
			continue
		}
		if t := p.pickTarget(w, now); t != nil {
			w.left = true
			w.done <- decision{permit: p.grant(w, t, now)}
			continue
		}
		if r := w.rank(now); r.late {
			if wait := p.contendedWaitBehind(w, r, ahead, aheadByRule[w.ask.Rule], now); now.Add(wait+w.expectedNow/2) > w.deadline {
				p.refuseLate(w, wait, now)
				continue
			}
		}
		ahead += w.expected
		aheadByRule[w.ask.Rule] += w.expected
		remaining = append(remaining, w)
	}
	p.waiting = remaining
}

// refuseLate refuses a queued request that cannot be served before its deadline any more.
func (p *pool) refuseLate(w *waiter, wait time.Duration, now clock.Instant) {
	countContended(w.ask.Rule, "refused-late")
	w.left = true
	w.done <- decision{err: &RefusedError{Reason: ReasonLate, RetryAfter: w.retryAfter(wait, now)}}
}

// promoteStarved moves the first request of each starved kind to the front of the sorted queue, the
// more urgent kinds first. Requests that are late already are not moved: newer ones of the same kind
// can still be in time.
func (p *pool) promoteStarved(now clock.Instant) {
	var promoted []*waiter
	seen := map[string]bool{}
	for _, w := range p.waiting {
		if seen[w.ask.Rule] || !w.inTime(now) {
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
