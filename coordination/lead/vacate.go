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
// they delay the reassignment of the keys of unresponsive targets: if the store refuses only the
// leader and a target stops answering a moment later, that target's keys stay unserved for 8 s.
//
// So the leader asks. Its replies to reports say that the store does not answer it; relays among
// its followers then call the store, and report whether it answered. If it answered one of them,
// the leader announces that it gave the lease up: that it does not act under the lease any more,
// and when all its grants will have expired. An instance that has received this need neither wait
// for the lease to expire nor for the longest hold.
//
// The announcement applies to a term, not to a version of the lease row: a renewal that was on its
// way may still take effect.

const (
	// renewalOverdueAfter is how long a renewal of the lease must be overdue before the leader asks
	// whether the store answers others. A healthy store answers within 20 ms. It is also how long a
	// relay reports, after a probe of the store for the leader, that the store answered.
	renewalOverdueAfter = 300 * time.Millisecond
	// maxPromptResponse is the time within which the store must answer a relay for the response to
	// count. A store that is slow for all instances takes longer, and the leader goes on.
	maxPromptResponse = 150 * time.Millisecond
)

// givenUpTerm is the announcement of a former leader that it gave its term up: it does not act in
// it any more. Replies contain it as Vacated and VacatedHeld.
type givenUpTerm struct {
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
	case t.actions <- t.giveUpByAnnouncement:
	default:
		// The queue of actions is full; the next report repeats this.
	}
}

// giveUpByAnnouncement ends this leadership without a write to the store; replies to reports
// announce it. It runs in the term's loop.
func (t *term) giveUpByAnnouncement() {
	now := t.c.clock.Now()
	if t.ended || !t.suspectsCutOff(now) {
		return
	}
	t.mu.Lock()
	t.holder.GivenUp()
	t.mu.Unlock()
	t.ended = true
	grantsUntil := t.grantsUntil(now)
	t.c.mu.Lock()
	t.c.givenUpTerm = givenUpTerm{t.stored.lease.Term, grantsUntil}
	t.c.mu.Unlock()
	t.c.log("lease-given-up", "term", t.stored.lease.Term, "reason", "the store answers others", "held_ms", grantsUntil.Sub(now).Milliseconds())
	t.stopOnce.Do(func() { close(t.stop) })
}

// grantsUntil returns when all grants of this term, and of earlier ones, have expired.
func (t *term) grantsUntil(now clock.Instant) clock.Instant {
	until := now
	for _, m := range t.managers {
		until = until.Later(m.HeldUntil(now))
	}
	for service := range t.stored.maps {
		if t.managers[service] == nil {
			// The rules are not known here yet; former leaders may have granted the service's keys.
			until = until.Later(now.Add(assign.GrantLifetime(t.c.config.HoldMax)))
		}
	}
	return until
}

// givenUpNotice returns the newest term that is known here to have been given up, and the time
// until all its grants have expired.
func (c *Coordinator) givenUpNotice() (term uint64, grantsLeft time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUpTerm.term, max(0, c.givenUpTerm.grantsUntil.Sub(c.clock.Now()))
}

// noteGivenUp notes a term that a reply announces as given up, if it is newer than the known one.
func (c *Coordinator) noteGivenUp(term uint64, grantsLeft time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term > c.givenUpTerm.term {
		c.givenUpTerm = givenUpTerm{term, c.clock.Now().Add(grantsLeft)}
	}
}

// probeStore calls the store for a leader that the store does not answer, if this instance is a
// store relay.
func (c *Coordinator) probeStore(ctx context.Context) {
	if !c.isStoreRelay() {
		return
	}
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, maxPromptResponse)
	defer cancel()
	_, err := c.readStored(callCtx)
	if now := c.clock.Now(); err == nil && now.Sub(begun) < maxPromptResponse {
		c.mu.Lock()
		c.storeAnsweredAt = now
		c.mu.Unlock()
	}
}
