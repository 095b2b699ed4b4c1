package permit

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
)

const (
	// smoothing is the weight of a new value in a running mean.
	smoothing = 0.1
	// maxFailureRate is the failure rate above which a target is ejected.
	maxFailureRate = 0.5
	// ejectionTime is how long a target that failed or could not be reached is not used.
	ejectionTime = 400 * time.Millisecond
	// reclaimDelay is the time after its deadline at which a permit is reclaimed. The instance that
	// has the permit gives the request up at the deadline; if it has crashed, nobody else returns
	// the permit.
	reclaimDelay = 500 * time.Millisecond
	// minRetryAfter is the minimum RetryAfter, so that refused callers do not retry before anything
	// can have changed.
	minRetryAfter = 200 * time.Millisecond
)

// poolTarget is the state of a target in a pool.
type poolTarget struct {
	Target
	slownessEstimate
	// inUse is the number of slots for which permits are granted.
	inUse       int
	failureRate float64
	// ejectedUntil is when the target may be used again after failures.
	ejectedUntil clock.Instant
	usedAt       clock.Instant
	listed       bool
	// coldSpaced is true while requests are spaced because the target is cold; nextColdSend is when
	// it may get the next one.
	coldSpaced   bool
	nextColdSend clock.Instant
	rateLimit
}

// grantedPermit is a permit that has been granted and not been returned yet.
type grantedPermit struct {
	target    string
	rule      string
	grantedAt clock.Instant
	deadline  clock.Instant
	// expected is the time that the request should take at an average target; slowness is the
	// estimated slowness of its target when the permit was granted.
	expected time.Duration
	slowness float64
	// suspect identifies the request if a target has crashed during it, see Ask.Suspect.
	suspect uint64
}

// pool hands out the slots of one target, or of interchangeable targets.
type pool struct {
	targets map[string]*poolTarget
	current []*poolTarget
	waiting []*waiter
	granted map[string]grantedPermit
	// meanDurations are the mean durations of each rule's requests at an average target.
	meanDurations map[string]time.Duration
	// contention is nil unless kinds of requests compete in the pool.
	contention *contention
}

func newPool() *pool {
	return &pool{targets: map[string]*poolTarget{}, granted: map[string]grantedPermit{}, meanDurations: map[string]time.Duration{}}
}

// setTargets replaces the list of targets. A target that is no longer in the list is retained until
// its permits are returned.
func (p *pool) setTargets(list []Target, now clock.Instant) {
	for _, t := range p.targets {
		t.listed = false
	}
	p.current = p.current[:0]
	for _, current := range list {
		t := p.targets[current.ID]
		if t == nil {
			t = &poolTarget{slownessEstimate: newSlownessEstimate(), ejectedUntil: clock.Never, usedAt: clock.Never, rateLimit: rateLimit{answeredAt: clock.Never}}
			p.targets[current.ID] = t
		}
		t.Target = current
		t.listed = true
		t.updateCold(now)
		p.current = append(p.current, t)
	}
	for id, t := range p.targets {
		if !t.listed && t.inUse == 0 {
			delete(p.targets, id)
		}
	}
}

// expectedDuration returns how long a request of the ask's rule should take at an average target.
func (p *pool) expectedDuration(a Ask) time.Duration {
	if mean, ok := p.meanDurations[a.Rule]; ok {
		return mean
	}
	const defaultDuration = 100 * time.Millisecond
	return defaultDuration
}

// isRunning reports whether a request with the given suspect ID is running at a target now.
func (p *pool) isRunning(suspect uint64) bool {
	if suspect == 0 {
		return false
	}
	for _, g := range p.granted {
		if g.suspect == suspect {
			return true
		}
	}
	return false
}

// pickTarget returns the target that the request should be sent to now, or nil if it should wait.
func (p *pool) pickTarget(w *waiter, now clock.Instant) *poolTarget {
	if p.isRunning(w.ask.Suspect) {
		return nil
	}
	best := p.bestTarget(w, now)
	if best != nil && best.DataCentre != w.ask.DataCentre && p.shouldWaitLocally(w, now) {
		return nil
	}
	return best
}

// bestTarget returns the target with a free slot that is expected to respond first, or nil.
func (p *pool) bestTarget(w *waiter, now clock.Instant) *poolTarget {
	var best *poolTarget
	bestExpected := time.Duration(0)
	measured := slices.ContainsFunc(p.current, func(t *poolTarget) bool { return t.measuredAt != clock.Never })
	for _, t := range p.current {
		if t.inUse >= t.Slots || now < t.ejectedUntil || t.mustWait(now) || slices.Contains(w.ask.Exclude, t.ID) {
			continue
		}
		if t.measuredAt == clock.Never && t.inUse > 0 && measured {
			continue
		}
		slowness := t.currentSlowness(now)
		if t.measuredAt == clock.Never {
			slowness = untriedSlowness
		}
		expected := time.Duration(float64(w.expected) * slowness * (1 + t.failureRate))
		if t.DataCentre != w.ask.DataCentre {
			expected += w.ask.Abroad
		}
		if len(p.current) > 1 && now.Add(expected) > w.deadline {
			continue
		}
		if best == nil || t.betterThan(expected, best, bestExpected) {
			best, bestExpected = t, expected
		}
	}
	return best
}

// similarRatio is the ratio up to which two expected durations count as equal. The slowness of a
// target is known only while it is used, so among equal targets the least used one is chosen.
const similarRatio = 1.15

// betterThan reports whether the target is a better choice than another one, given the expected
// durations at both.
func (t *poolTarget) betterThan(expected time.Duration, other *poolTarget, otherExpected time.Duration) bool {
	if float64(expected)*similarRatio < float64(otherExpected) || float64(otherExpected)*similarRatio < float64(expected) {
		return expected < otherExpected
	}
	if a, b := t.inUse*other.Slots, other.inUse*t.Slots; a != b {
		return a < b
	}
	return t.usedAt < other.usedAt
}

// admit decides about a new ask: it grants a permit, queues the ask or refuses it.
func (p *pool) admit(w *waiter, now clock.Instant) (granted Permit, queued bool, err error) {
	if len(p.current) == 0 {
		return Permit{}, false, &RefusedError{Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	if !p.hasEligibleTarget(w) {
		return Permit{}, false, &RefusedError{Reason: ReasonNoTarget, RetryAfter: time.Second}
	}
	w.expectedNow = time.Duration(float64(w.expected) * p.meanSlowness(now))
	p.updateContention(w.ask, now)
	if p.isRunning(w.ask.Suspect) {
		return Permit{}, false, &RefusedError{Reason: ReasonSuspect, RetryAfter: max(minRetryAfter, w.expectedNow)}
	}
	if t := p.pickTarget(w, now); t != nil && !p.outranked(w, now) {
		if p.contention != nil {
			p.recordAsk(w, true, now)
		}
		return p.grant(w, t, now), false, nil
	}
	if p.contention != nil && !w.ask.NoQueue {
		p.recordAsk(w, false, now)
		if err := p.admitContended(w, now); err != nil {
			return Permit{}, false, err
		}
		countContended(w.ask.Rule, "queued")
		p.waiting = append(p.waiting, w)
		return Permit{}, true, nil
	}
	wait := p.estimateWait(w, now)
	if w.ask.NoQueue {
		return Permit{}, false, &RefusedError{Reason: ReasonBusy, RetryAfter: max(wait, time.Millisecond)}
	}
	if now.Add(wait) > p.latestGrant(w) {
		return Permit{}, false, &RefusedError{Reason: ReasonFull, RetryAfter: max(minRetryAfter, wait)}
	}
	p.waiting = append(p.waiting, w)
	return Permit{}, true, nil
}

// hasEligibleTarget reports whether there is a target that the request does not exclude. Without
// one, the request would wait in the queue until its deadline.
func (p *pool) hasEligibleTarget(w *waiter) bool {
	return slices.ContainsFunc(p.current, func(t *poolTarget) bool { return !slices.Contains(w.ask.Exclude, t.ID) })
}

// latestGrant returns the latest time at which a request must get a slot to be queued now. While
// there is more work than capacity, each request that is served late delays a later one, until all
// are late. So only requests that may still be in time are queued. The durations of requests vary
// so much that a request that gets its slot within its aim is often answered in time. A request
// that has been refused before is queued up to its deadline.
//
// If all targets report limits, the wait is known in advance. A request that would be late is then
// refused at once, which leaves the slot to a request that arrives when it is free.
func (p *pool) latestGrant(w *waiter) clock.Instant {
	if w.ask.Returning || w.aim <= w.arrived {
		return w.deadline
	}
	if p.allLimited() {
		return w.aim.Add(-w.expectedNow)
	}
	return w.aim
}

// outranked reports whether another request in the queue precedes this one and could be sent now.
func (p *pool) outranked(w *waiter, now clock.Instant) bool {
	return slices.ContainsFunc(p.waiting, func(other *waiter) bool { return p.precedes(other, w, now) && p.pickTarget(other, now) != nil })
}

// grant gives the request a slot of the target.
func (p *pool) grant(w *waiter, t *poolTarget, now clock.Instant) Permit {
	t.inUse++
	t.usedAt = now
	t.recordSend(now)
	if p.contention != nil {
		p.contention.recordGrant(w.ask.Rule, now)
	}
	p.granted[w.ask.ID] = grantedPermit{
		target: t.ID, rule: w.ask.Rule, grantedAt: now, deadline: w.deadline,
		expected: w.expected, slowness: t.currentSlowness(now), suspect: w.ask.Suspect,
	}
	return Permit{ID: w.ask.ID, Target: t.ID, Waited: now.Sub(w.arrived)}
}

// serveQueue grants free slots to queued requests, and refuses requests that can no longer be
// served in time because more urgent ones have arrived since they were queued. If these waited
// until their deadline, their callers would have no time left to retry.
func (p *pool) serveQueue(now clock.Instant) {
	if p.contention != nil {
		p.serveContendedQueue(now)
		return
	}
	p.sortQueue(now)
	remaining := p.waiting[:0]
	running, ahead := p.remainingWork(now), time.Duration(0)
	for _, w := range p.waiting {
		if t := p.pickTarget(w, now); t != nil && now.Add(w.expectedNow/2) <= w.deadline {
			w.done <- decision{permit: p.grant(w, t, now)}
			ahead += w.expected
			continue
		}
		if wait := p.capacity(w.expected, now).estimateWait(running, ahead); now.Add(wait+w.expectedNow/2) > w.deadline {
			w.done <- decision{err: &RefusedError{Reason: ReasonLate, RetryAfter: max(minRetryAfter, wait)}}
			continue
		}
		ahead += w.expected
		remaining = append(remaining, w)
	}
	clear(p.waiting[len(remaining):])
	p.waiting = remaining
}

// sortQueue updates the expected durations of the queued requests to the present slowness of the
// pool, and sorts the requests by them.
func (p *pool) sortQueue(now clock.Instant) {
	slowness := p.meanSlowness(now)
	for _, w := range p.waiting {
		w.expectedNow = time.Duration(float64(w.expected) * slowness)
	}
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		switch {
		case p.precedes(a, b, now):
			return -1
		case p.precedes(b, a, now):
			return 1
		}
		return 0
	})
}

// report records the return of a permit and updates the statistics with the result of the request.
func (p *pool) report(r Report, now clock.Instant) {
	g, ok := p.granted[r.ID]
	if !ok {
		return
	}
	delete(p.granted, r.ID)
	t := p.targets[g.target]
	if t == nil {
		return
	}
	t.inUse--
	p.recordResult(t, g, r, now)
	if r.Heard {
		t.setLimit(r.Limit, now, now)
	}
}

// recordResult updates the slowness and the failure rate of a target, and ejects the target if
// necessary.
func (p *pool) recordResult(t *poolTarget, g grantedPermit, r Report, now clock.Instant) {
	if r.Slowness > 0 {
		t.recordReported(r.Slowness, now)
	}
	switch r.Result {
	case ResultServed:
		t.failureRate *= 1 - smoothing
		p.recordDuration(t, g.rule, r, now)
	case ResultFailed, ResultNotExecuted:
		t.failureRate = t.failureRate*(1-smoothing) + smoothing
		if t.failureRate > maxFailureRate && p.mayEject(now) {
			t.eject(r.Result, now)
		}
	case ResultUnreachable:
		if p.mayEject(now) {
			t.eject(r.Result, now)
		}
	case ResultDropped:
	}
}

// eject excludes the target from use for ejectionTime, because of a request with the given result.
func (t *poolTarget) eject(because Result, now clock.Instant) {
	t.ejectedUntil = now.Add(ejectionTime)
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_permit_ejections_total{result=%q}`, because)).Inc()
}

// recordDuration updates the mean duration of the rule's requests at an average target, and, if the
// target does not report its slowness, the target's measured slowness.
func (p *pool) recordDuration(t *poolTarget, rule string, r Report, now clock.Instant) {
	mean := p.meanDurations[rule]
	if r.Slowness > 0 {
		took := float64(r.Took) / r.Slowness
		if mean == 0 {
			mean = time.Duration(took)
		}
		p.meanDurations[rule] = time.Duration(float64(mean)*(1-smoothing/4) + took*smoothing/4)
		return
	}
	if mean == 0 {
		p.meanDurations[rule] = r.Took
		t.measuredAt = now
		return
	}
	t.slownessEstimate.record(float64(r.Took)/float64(mean), now)
	p.meanDurations[rule] = time.Duration(float64(mean)*(1-smoothing/4) + float64(r.Took)/t.meanSlowness*smoothing/4)
}

// mayEject reports whether one more target may be ejected. At most half of the targets of a pool
// are ejected: if more fail, the fault is probably not theirs, or nothing is gained by avoiding
// them.
func (p *pool) mayEject(now clock.Instant) bool {
	ejected := 0
	for _, t := range p.current {
		if now < t.ejectedUntil {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(p.current)
}

// reclaimExpired reclaims permits that were not returned, although the instances that got them have
// certainly given the requests up.
func (p *pool) reclaimExpired(now clock.Instant) {
	for id, g := range p.granted {
		if now >= g.deadline.Add(reclaimDelay) {
			p.report(Report{ID: id, Target: g.target, Result: ResultDropped}, now)
		}
	}
}

// abandon removes a queued ask whose caller has gone away, or records the return of its permit.
func (p *pool) abandon(id string, now clock.Instant) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.ask.ID == id })
	p.report(Report{ID: id, Result: ResultDropped}, now)
}
