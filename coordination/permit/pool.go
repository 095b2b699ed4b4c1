package permit

import (
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// smoothing is the weight of a new duration in the running mean.
	smoothing = 0.1
	// failureLimit is the share of failures from which on a target is set aside.
	failureLimit = 0.5
	// asideFor is how long a target without an answer is not used.
	asideFor = 400 * time.Millisecond
	// overtime is how long after its deadline a permit is taken back. The instance that
	// has it gives up at the deadline; if it is gone nobody else would give it back.
	overtime = 500 * time.Millisecond
	// leastRetryAfter keeps refused callers from coming back before anything can have
	// changed.
	leastRetryAfter = 200 * time.Millisecond
)

// slot is a target as its pool knows it.
type slot struct {
	Target
	pace
	inUse      int
	failures   float64
	asideUntil clock.Instant
	usedAt     clock.Instant
	listed     bool
	// spaced says that requests are spaced since the target is cold; coldNext is when it may get the
	// next one.
	spaced   bool
	coldNext clock.Instant
	allowance
}

// use is a permit that has been handed out.
type use struct {
	target   string
	rule     string
	begun    clock.Instant
	deadline clock.Instant
	// expected is the time that the request should take at an average target, slowness how many times
	// as long its target was believed to take.
	expected time.Duration
	slowness float64
	// suspect names the request if a target has ended under it.
	suspect uint64
}

// pool hands out the slots of one target, or of the targets that serve the same.
type pool struct {
	slots   map[string]*slot
	order   []*slot
	waiting []*waiter
	uses    map[string]use
	// means is the mean duration of each rule's requests at a target of average speed.
	means map[string]time.Duration
}

func newPool() *pool {
	return &pool{slots: map[string]*slot{}, uses: map[string]use{}, means: map[string]time.Duration{}}
}

// setSlots takes the targets that are there now.
func (p *pool) setSlots(list []Target, now clock.Instant) {
	for _, s := range p.slots {
		s.listed = false
	}
	p.order = p.order[:0]
	for _, given := range list {
		s := p.slots[given.ID]
		if s == nil {
			s = &slot{pace: newPace(), asideUntil: clock.Never, usedAt: clock.Never, allowance: allowance{heardAt: clock.Never}}
			p.slots[given.ID] = s
		}
		s.Target = given
		s.listed = true
		s.noteCold(now)
		p.order = append(p.order, s)
	}
	for id, s := range p.slots {
		if !s.listed && s.inUse == 0 {
			delete(p.slots, id)
		}
	}
}

// expected returns how long a request of a rule should take at an average target.
func (p *pool) expected(a Ask) time.Duration {
	if mean, ok := p.means[a.Rule]; ok {
		return mean
	}
	const guess = 100 * time.Millisecond
	return guess
}

// tries reports whether a suspect request of a name is at a target now.
func (p *pool) tries(suspect uint64) bool {
	if suspect == 0 {
		return false
	}
	for _, u := range p.uses {
		if u.suspect == suspect {
			return true
		}
	}
	return false
}

// pick returns the target to which the request should go now, or nil if it should wait.
func (p *pool) pick(w *waiter, now clock.Instant) *slot {
	if p.tries(w.ask.Suspect) {
		return nil
	}
	best := p.best(w, now)
	if best != nil && best.DataCentre != w.ask.DataCentre && p.betterAtHome(w, now) {
		return nil
	}
	return best
}

// best returns the free target that should answer first, all told.
func (p *pool) best(w *waiter, now clock.Instant) *slot {
	var best *slot
	bestTime := time.Duration(0)
	measured := slices.ContainsFunc(p.order, func(s *slot) bool { return s.measuredAt != clock.Never })
	for _, s := range p.order {
		if s.inUse >= s.Slots || now < s.asideUntil || s.awaitsTurn(now) || slices.Contains(w.ask.Exclude, s.ID) {
			continue
		}
		if s.measuredAt == clock.Never && s.inUse > 0 && measured {
			continue
		}
		slowness := s.believedSlowness(now)
		if s.measuredAt == clock.Never {
			slowness = untried
		}
		took := time.Duration(float64(w.expected) * slowness * (1 + s.failures))
		if s.DataCentre != w.ask.DataCentre {
			took += w.ask.Abroad
		}
		if len(p.order) > 1 && now.Add(took) > w.deadline {
			continue
		}
		if best == nil || s.better(took, best, bestTime) {
			best, bestTime = s, took
		}
	}
	return best
}

// alike is the ratio of two expected times that count as the same. How fast a target is
// shows only when it is used, so that among equals the one is taken that was used least.
const alike = 1.15

func (s *slot) better(took time.Duration, other *slot, otherTook time.Duration) bool {
	if float64(took)*alike < float64(otherTook) || float64(otherTook)*alike < float64(took) {
		return took < otherTook
	}
	if a, b := s.inUse*other.Slots, other.inUse*s.Slots; a != b {
		return a < b
	}
	return s.usedAt < other.usedAt
}

// admit decides about a new ask: a permit, a place in the queue, or a refusal.
func (p *pool) admit(w *waiter, now clock.Instant) (granted Permit, queued bool, err error) {
	if len(p.order) == 0 {
		return Permit{}, false, &RefusedError{Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	if !p.serves(w) {
		return Permit{}, false, &RefusedError{Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	w.took = time.Duration(float64(w.expected) * p.slowness(now))
	if p.tries(w.ask.Suspect) {
		return Permit{}, false, &RefusedError{Reason: ReasonSuspect, RetryAfter: max(leastRetryAfter, w.took)}
	}
	if s := p.pick(w, now); s != nil && !p.outranked(w, now) {
		return p.grant(w, s, now), false, nil
	}
	wait := p.wait(w, now)
	if w.ask.NoQueue {
		return Permit{}, false, &RefusedError{Reason: ReasonBusy, RetryAfter: max(wait, time.Millisecond)}
	}
	if now.Add(wait) > p.worthUntil(w) {
		return Permit{}, false, &RefusedError{Reason: ReasonFull, RetryAfter: max(leastRetryAfter, wait)}
	}
	p.waiting = append(p.waiting, w)
	return Permit{}, true, nil
}

// serves reports whether there is a target that a request is not to avoid. One without would wait in the
// queue until its time is over.
func (p *pool) serves(w *waiter) bool {
	return slices.ContainsFunc(p.order, func(s *slot) bool { return !slices.Contains(w.ask.Exclude, s.ID) })
}

// worthUntil is until when a request must have a slot to be queued. While there is more work than slots,
// each request that is served late keeps a later one from being served in time, so that in the end all are
// late; so only those are queued that may still be in time. How long requests take varies so much that one
// that gets its slot within its aim often is. A request that has been refused before is let in up to its
// deadline.
//
// Where all targets name limits the wait for a turn is known beforehand. A request that would be late is then
// refused at once: the turn is left to one that comes when it is there.
func (p *pool) worthUntil(w *waiter) clock.Instant {
	if w.ask.Returning || w.aim <= w.arrived {
		return w.deadline
	}
	if p.allLimited() {
		return w.aim.Add(-w.took)
	}
	return w.aim
}

// outranked reports whether others in the queue come before the request.
func (p *pool) outranked(w *waiter, now clock.Instant) bool {
	return slices.ContainsFunc(p.waiting, func(v *waiter) bool { return v.before(w, now) && p.pick(v, now) != nil })
}

func (p *pool) grant(w *waiter, s *slot, now clock.Instant) Permit {
	s.inUse++
	s.usedAt = now
	s.took(now)
	p.uses[w.ask.ID] = use{
		target: s.ID, rule: w.ask.Rule, begun: now, deadline: w.deadline,
		expected: w.expected, slowness: s.believedSlowness(now), suspect: w.ask.Suspect,
	}
	return Permit{ID: w.ask.ID, Target: s.ID, Waited: now.Sub(w.arrived)}
}

// serve hands free slots to the queue, and refuses what will not be served in time any more:
// more urgent requests may have come since it was queued. Holding it until its time is over
// would leave its caller none to come back in.
func (p *pool) serve(now clock.Instant) {
	slowness := p.slowness(now)
	for _, w := range p.waiting {
		w.took = time.Duration(float64(w.expected) * slowness)
	}
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
	rest := p.waiting[:0]
	running, ahead := p.running(now), time.Duration(0)
	for _, w := range p.waiting {
		if s := p.pick(w, now); s != nil && now.Add(w.took/2) <= w.deadline {
			w.done <- answer{permit: p.grant(w, s, now)}
			ahead += w.expected
			continue
		}
		if wait := p.capacity(w.expected, now).wait(running, ahead); now.Add(wait+w.took/2) > w.deadline {
			w.done <- answer{err: &RefusedError{Reason: ReasonLate, RetryAfter: max(leastRetryAfter, wait)}}
			continue
		}
		ahead += w.expected
		rest = append(rest, w)
	}
	clear(p.waiting[len(rest):])
	p.waiting = rest
}

// report takes a permit back and learns from what became of the request.
func (p *pool) report(r Report, now clock.Instant) {
	u, ok := p.uses[r.ID]
	if !ok {
		return
	}
	delete(p.uses, r.ID)
	s := p.slots[u.target]
	if s == nil {
		return
	}
	s.inUse--
	p.learn(s, u, r, now)
	if r.Heard {
		s.heardLimit(r.Limit, now, now)
	}
}

func (p *pool) learn(s *slot, u use, r Report, now clock.Instant) {
	if r.Slowness > 0 {
		s.heard(r.Slowness, now)
	}
	switch r.Result {
	case Served:
		s.failures *= 1 - smoothing
		p.learnTime(s, u.rule, r, now)
	case Failed, Shed:
		s.failures = s.failures*(1-smoothing) + smoothing
		if s.failures > failureLimit && p.mayRest(now) {
			s.asideUntil = now.Add(asideFor)
		}
	case Unreachable:
		if p.mayRest(now) {
			s.asideUntil = now.Add(asideFor)
		}
	case Dropped:
	}
}

// learnTime learns from the time of an answer: how long the rule's requests take at an average target,
// and, where the target does not say so, how slow it is.
func (p *pool) learnTime(s *slot, rule string, r Report, now clock.Instant) {
	mean := p.means[rule]
	if r.Slowness > 0 {
		took := float64(r.Took) / r.Slowness
		if mean == 0 {
			mean = time.Duration(took)
		}
		p.means[rule] = time.Duration(float64(mean)*(1-smoothing/4) + took*smoothing/4)
		return
	}
	if mean == 0 {
		p.means[rule] = r.Took
		s.measuredAt = now
		return
	}
	s.pace.learn(float64(r.Took)/float64(mean), now)
	p.means[rule] = time.Duration(float64(mean)*(1-smoothing/4) + float64(r.Took)/s.slowness*smoothing/4)
}

// mayRest reports whether one more target may be set aside: never most of a pool, since
// then it is not the targets that are at fault, or nothing is gained by it.
func (p *pool) mayRest(now clock.Instant) bool {
	aside := 0
	for _, s := range p.order {
		if now < s.asideUntil {
			aside++
		}
	}
	return 2*(aside+1) <= len(p.order)
}

// reclaim takes back permits whose holder must have given up.
func (p *pool) reclaim(now clock.Instant) {
	for id, u := range p.uses {
		if now >= u.deadline.Add(overtime) {
			p.report(Report{ID: id, Target: u.target, Result: Dropped}, now)
		}
	}
}

// abandon removes an ask whose caller has gone, whether it waits or has its permit.
func (p *pool) abandon(id string, now clock.Instant) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.ask.ID == id })
	p.report(Report{ID: id, Result: Dropped}, now)
}
