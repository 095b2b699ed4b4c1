package lead

import (
	"context"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/lease"
)

// A leading instance that the store does not answer cannot tell whether the store is away or
// only itself turned off. In the first case the longest holds keep all keys served. In the second
// they keep others from giving on the keys of targets that are lost: with the leader alone turned
// away, keys of targets that fell silent a moment later were unserved from second 7 to second 15
// of a day.
//
// So it asks: it tells its followers that the store does not answer it, relays among them make a
// call, and tell it whether they got an answer. If one did, it gives the lease up by word: it does
// nothing under it any more, and says until when everything that it granted has run out. Whoever
// has heard that need not wait for the lease to run out, nor for the longest hold.
//
// The word holds for a term, not for a version of the lease's row: a renewal that was on its way
// may still take effect.

const (
	// suspectAfter is how long a renewal of the lease must be overdue for the leading instance to
	// ask whether the store answers others. A sound store answers within 20 ms.
	suspectAfter = 300 * time.Millisecond
	// promptAnswer is the longest time in which the store must answer a relay for that to count.
	// A store that is slow for all takes longer, and the leading instance goes on.
	promptAnswer = 150 * time.Millisecond
)

// vacated is the word of a former leading instance.
type vacated struct {
	// term is the one given up; 0: none.
	term uint64
	// heldUntil is when everything granted in it, and before, has run out.
	heldUntil clock.Instant
}

// suspects reports whether the store may have turned this leading instance away.
func (t *term) suspects(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	confirmed := t.holder.Until().Add(lease.SafetyMargin - lease.Duration)
	return now.Sub(confirmed) > lease.RenewEvery+suspectAfter
}

// heardOfStore takes the word of a follower that the store answers it.
func (t *term) heardOfStore() {
	if !t.suspects(t.c.clock.Now()) {
		return
	}
	select {
	case t.done <- t.vacate:
	default:
		// The loop is far behind; the next report tells it again.
	}
}

// vacate gives the lease up by word. It runs in the loop.
func (t *term) vacate() {
	now := t.c.clock.Now()
	if t.ended || !t.suspects(now) {
		return
	}
	t.mu.Lock()
	t.holder.Release()
	t.mu.Unlock()
	t.ended = true
	held := t.heldUntil(now)
	t.c.mu.Lock()
	t.c.vacated = vacated{t.stored.lease.Term, held}
	t.c.mu.Unlock()
	t.c.log("lease-given-up", "term", t.stored.lease.Term, "reason", "the store answers others", "held_ms", held.Sub(now).Milliseconds())
	t.stopOnce.Do(func() { close(t.stop) })
}

// heldUntil returns when everything granted in this term, and before it, has run out.
func (t *term) heldUntil(now clock.Instant) clock.Instant {
	held := now
	for _, m := range t.managers {
		held = held.Later(m.HeldUntil(now))
	}
	for service := range t.stored.maps {
		if t.managers[service] == nil {
			// The rules are not known here yet; former leading instances may have granted its keys.
			held = held.Later(now.Add(assign.GrantLifetime(t.c.config.HoldMax)))
		}
	}
	return held
}

// vacatedWord returns the term that was given up by word, as far as is known here, and how long
// until everything granted in it has run out.
func (c *Coordinator) vacatedWord() (term uint64, held time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vacated.term, max(0, c.vacated.heldUntil.Sub(c.clock.Now()))
}

// noteVacated takes the word of a former leading instance, or of one that has heard it.
func (c *Coordinator) noteVacated(term uint64, held time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term > c.vacated.term {
		c.vacated = vacated{term, c.clock.Now().Add(held)}
	}
}

// tryStore makes a call to the store for a leading instance that gets no answer.
func (c *Coordinator) tryStore(ctx context.Context) {
	if !c.isRelay() {
		return
	}
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, promptAnswer)
	defer cancel()
	_, err := c.readStored(callCtx)
	if now := c.clock.Now(); err == nil && now.Sub(begun) < promptAnswer {
		c.mu.Lock()
		c.answeredAt = now
		c.mu.Unlock()
	}
}
