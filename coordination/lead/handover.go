package lead

import (
	"context"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
)

// The first instance that finds the lease free takes it. After an outage, or after all instances
// were killed, that may be a small one with a sixth of a core and a 10 Mbit/s link. It has to
// answer the reports of all others and renew all grants. Its followers' snapshots then become
// stale, so that all of them read the store, reports time out, and a change of the configuration is
// known seconds late.
//
// So a small instance leads only until a much larger one reports, and then hands the lease over.
const (
	// muchLargerFactor is the ratio of core shares from which on an instance counts as much larger.
	muchLargerFactor = 2
	// outrankedBidDelay is how long a small instance delays its bid for a lease that was given up
	// while a much larger instance was present. Without it small instances lead in turn before the
	// large one has learnt that the lease is free.
	outrankedBidDelay = 800 * time.Millisecond
	// handOverBidPause is how long an instance that has handed the lease over does not bid. In that
	// time the larger instance, whose report has just been refused, reads the lease and bids.
	handOverBidPause = 1500 * time.Millisecond
	// handOverInterval is the minimum time between two handovers by an instance. The larger
	// instance may be cut off from the store and unable to take the lease.
	handOverInterval = 30 * time.Second
)

// handOver gives the lease up when a much larger instance has reported.
func (t *term) handOver(ctx context.Context, now clock.Instant) {
	if t.committing || t.storeUnavailable || t.suspectsCutOff(now) {
		return
	}
	larger := t.muchLargerMember()
	if larger == "" || !t.c.beginHandOver(now) {
		return
	}
	t.ended = true
	t.c.log("lease-handed-over", "term", t.stored.lease.Term, "larger", larger)
	go t.resign(ctx)
}

// muchLargerMember returns the ID of a much larger instance that has reported in this term; empty
// if there is none.
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

func muchLarger(other, self view.Instance) bool { return other.Weight >= muchLargerFactor*self.Weight }

// knowsMuchLarger reports whether the snapshot lists a much larger instance. Such an instance is
// given time to bid for a lease whose holder has just left.
func (c *Coordinator) knowsMuchLarger() bool {
	return slices.ContainsFunc(c.board.Snapshot().Instances, func(i view.Instance) bool { return muchLarger(i, c.config.Self) })
}

// beginHandOver reports whether this instance may hand the lease over now, and if so notes that it
// does.
func (c *Coordinator) beginHandOver(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handedOverAt != clock.Never && now.Sub(c.handedOverAt) < handOverInterval {
		return false
	}
	c.handedOverAt = now
	return true
}

// pausesBids reports whether this instance leaves the lease to a larger one.
func (c *Coordinator) pausesBids() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handedOverAt != clock.Never && c.clock.Now().Sub(c.handedOverAt) < handOverBidPause
}
