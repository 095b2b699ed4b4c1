package lead

import (
	"context"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/lease"
)

// A leader that the store does not answer cannot tell whether the store is unavailable or refuses
// only this leader. In the first case the longest holds keep all keys served. In the second case
// they delay the reassignment of keys of lost targets: if the store refuses only the leader and a
// target stops answering a moment later, that target's keys stay unserved for 8 s.
//
// So the leader asks. Its replies say that the store does not answer it; relays among its followers
// then call the store, and report whether they got an answer. If one did, the leader announces that
// it gives the lease up: it does not act under the lease any more, and states when all its grants
// will have expired. An instance that has received this need neither wait for the lease to expire
// nor for the longest hold.
//
// The announcement applies to a term, not to a version of the lease row: a renewal that was on its
// way may still take effect.

const (
	// renewalOverdueAfter is how long a renewal of the lease must be overdue before the leader asks
	// whether the store answers others. A healthy store answers within 20 ms.
	renewalOverdueAfter = 300 * time.Millisecond
	// maxPromptAnswer is the longest time in which the store must answer a relay for the answer to
	// count. A store that is slow for all instances takes longer, and the leader goes on.
	maxPromptAnswer = 150 * time.Millisecond
)

// vacatedTerm is the announcement of a former leader that it does not act in its term any more.
type vacatedTerm struct {
	// term is the term that was given up; 0 if there is none.
	term uint64
	// grantsUntil is when all grants of that term, and of earlier ones, have expired.
	grantsUntil clock.Instant
}

// suspectsCutOff reports whether the renewal of the lease is so late that the store may be refusing
// this leader.
func (t *term) suspectsCutOff(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	confirmed := t.holder.Until().Add(lease.SafetyMargin - lease.Duration)
	return now.Sub(confirmed) > lease.RenewEvery+renewalOverdueAfter
}

// noteStoreAnswersOthers handles the report of a follower that the store answers it.
func (t *term) noteStoreAnswersOthers() {
	if !t.suspectsCutOff(t.c.clock.Now()) {
		return
	}
	select {
	case t.actions <- t.vacate:
	default:
		// The loop is far behind; the next report says it again.
	}
}

// vacate ends this leadership by announcement, without a write to the store. It runs in the term's
// loop.
func (t *term) vacate() {
	now := t.c.clock.Now()
	if t.ended || !t.suspectsCutOff(now) {
		return
	}
	t.mu.Lock()
	t.holder.GivenUp()
	t.mu.Unlock()
	t.ended = true
	held := t.grantsUntil(now)
	t.c.mu.Lock()
	t.c.vacatedTerm = vacatedTerm{t.stored.lease.Term, held}
	t.c.mu.Unlock()
	t.c.log("lease-given-up", "term", t.stored.lease.Term, "reason", "the store answers others", "held_ms", held.Sub(now).Milliseconds())
	t.stopOnce.Do(func() { close(t.stop) })
}

// grantsUntil returns when all grants of this term, and of earlier ones, have expired.
func (t *term) grantsUntil(now clock.Instant) clock.Instant {
	held := now
	for _, m := range t.managers {
		held = held.Later(m.HeldUntil(now))
	}
	for service := range t.stored.maps {
		if t.managers[service] == nil {
			// The rules are not known here yet; former leaders may have granted the service's keys.
			held = held.Later(now.Add(assign.GrantLifetime(t.c.config.HoldMax)))
		}
	}
	return held
}

// vacatedNotice returns the newest vacated term that is known here, and the time until all its
// grants have expired.
func (c *Coordinator) vacatedNotice() (term uint64, held time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vacatedTerm.term, max(0, c.vacatedTerm.grantsUntil.Sub(c.clock.Now()))
}

// noteVacated notes a vacated term from a report's reply, if it is newer than the known one.
func (c *Coordinator) noteVacated(term uint64, held time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term > c.vacatedTerm.term {
		c.vacatedTerm = vacatedTerm{term, c.clock.Now().Add(held)}
	}
}

// probeStore calls the store for a leader that gets no answers from it, if this instance is a store
// relay.
func (c *Coordinator) probeStore(ctx context.Context) {
	if !c.isStoreRelay() {
		return
	}
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, maxPromptAnswer)
	defer cancel()
	_, err := c.readStored(callCtx)
	if now := c.clock.Now(); err == nil && now.Sub(begun) < maxPromptAnswer {
		c.mu.Lock()
		c.storeAnsweredAt = now
		c.mu.Unlock()
	}
}
