package lead

import (
	"context"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
)

// The first instance that finds the lease free takes it. After an outage, or after all instances
// were killed, that may be a small one with a sixth of a CPU core and a 10 Mbit/s link. It has to
// reply to the reports of all others and renew all grants. Its followers' snapshots then become
// stale, so that all of them read the store, reports time out, and a change of the rules is known
// seconds late.
//
// A small instance therefore leads only until a much larger one reports, and then gives the lease
// up. An instance is larger than another if its weight, its processor capacity in cores, is.
const (
	// muchLargerFactor is the ratio of weights at which an instance counts as much larger than
	// another.
	muchLargerFactor = 2
	// outrankedBidDelay is how long a small instance delays its bid for a lease that was given up
	// while a much larger instance was present. Without it, small instances would take the lease
	// one after another before the large one has read that it is free.
	outrankedBidDelay = 800 * time.Millisecond
	// giveUpBidPause is how long an instance that has given the lease up to a larger one does not
	// bid. In that time the larger instance, whose report has just been refused, reads the lease
	// and bids.
	giveUpBidPause = 1500 * time.Millisecond
	// giveUpInterval is the minimum time between two occasions on which an instance gives the lease
	// up to a larger one. The larger instance may be cut off from the store and unable to take the
	// lease.
	giveUpInterval = 30 * time.Second
)

// giveUpToLarger gives the lease up when a much larger instance has reported.
func (t *term) giveUpToLarger(ctx context.Context, now clock.Instant) {
	if t.committing || t.storeUnavailable || t.suspectsCutOff(now) {
		return
	}
	larger := t.muchLargerMember()
	if larger == "" || !t.c.beginGiveUpToLarger(now) {
		return
	}
	t.ended = true
	t.c.log("lease-handed-over", "term", t.stored.lease.Term, "larger", larger)
	go t.giveUp(ctx)
}

// muchLargerMember returns the ID of a much larger instance that has reported in this term; empty
// if there is none.
func (t *term) muchLargerMember() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if m.reported && !m.shuttingDown && muchLarger(m.Instance, t.c.config.Self) {
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

// beginGiveUpToLarger reports whether this instance may give the lease up to a larger one now, and
// if so notes that it does.
func (c *Coordinator) beginGiveUpToLarger(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gaveUpToLargerAt != clock.Never && now.Sub(c.gaveUpToLargerAt) < giveUpInterval {
		return false
	}
	c.gaveUpToLargerAt = now
	return true
}

// pausesBids reports whether this instance does not bid because it has just given the lease up to a
// larger one.
func (c *Coordinator) pausesBids() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gaveUpToLargerAt != clock.Never && c.clock.Now().Sub(c.gaveUpToLargerAt) < giveUpBidPause
}
