package lead

import (
	"context"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
)

// The first instance that finds the lease free takes it. After an outage, and after all were killed,
// that may be a small one: it answers the reports of all others and renews all grants with a sixth
// of a core over a link of 10 Mbit/s. What its followers know then grows too old, so that all of
// them read the store, reports are not answered in time, and a change of the configuration is known
// seconds late.
//
// So it leads until a much larger one reports, and then gives the lease up for it.
const (
	// largerBy is how many times its own part of a core another instance must have.
	largerBy = 2
	// outrankedBid is how long a small instance holds its bid back for a lease that was given up while
	// a much larger one was there. Two small ones led in turn before a large one had heard of it.
	outrankedBid = 800 * time.Millisecond
	// standBack is how long an instance that has handed the lease over does not bid: the time in
	// which a larger one, whose report has just been refused, has looked at the lease and bid.
	standBack = 1500 * time.Millisecond
	// handOverEvery is the time between two times that an instance hands the lease over. A larger one
	// may be cut off from the store, and cannot take it.
	handOverEvery = 30 * time.Second
)

// handOver gives the lease up when a much larger instance has reported.
func (t *term) handOver(ctx context.Context, now clock.Instant) {
	if t.committing || t.dark || t.suspects(now) {
		return
	}
	larger := t.muchLargerMember()
	if larger == "" || !t.c.mayHandOver(now) {
		return
	}
	t.ended = true
	t.c.log("lease-handed-over", "term", t.stored.lease.Term, "larger", larger)
	go t.resign(ctx)
}

// muchLargerMember names a much larger instance that has reported in this term; empty: none has.
func (t *term) muchLargerMember() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if m.reported && !m.leaving && muchLarger(m.Instance, t.c.config.Self) {
			return id
		}
	}
	return ""
}

func muchLarger(other, self view.Instance) bool { return other.Weight >= largerBy*self.Weight }

// outranked reports whether a much larger instance was present a moment ago. It is given time to
// bid for a lease whose holder has just left it.
func (c *Coordinator) outranked() bool {
	return slices.ContainsFunc(c.board.Load().Instances, func(i view.Instance) bool { return muchLarger(i, c.config.Self) })
}

// mayHandOver reports whether this instance may hand the lease over now, and notes that it does.
func (c *Coordinator) mayHandOver(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handedOver != clock.Never && now.Sub(c.handedOver) < handOverEvery {
		return false
	}
	c.handedOver = now
	return true
}

// standsBack reports whether this instance leaves the lease to a larger one.
func (c *Coordinator) standsBack() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handedOver != clock.Never && c.clock.Now().Sub(c.handedOver) < standBack
}
