package lead

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
)

// shouldReadStore reports whether this instance has to read the store itself. The leader does, and
// relays do while nobody leads. Any other instance with a stale snapshot asks relays first. It
// reads the store if that does not help, provided that the store answers or may be called again:
// refused calls cost money too.
func (c *Coordinator) shouldReadStore(ctx context.Context) bool {
	relay := c.isStoreRelay()
	now := c.clock.Now()
	age := now.Sub(c.board.CurrentAsOf())
	c.mu.Lock()
	must := c.term != nil || relay && c.lastSync == clock.Never
	c.mu.Unlock()
	switch {
	case must:
		return true
	case relay:
		return age > relayStaleAfter && c.mayCallStore(maxBackoff)
	case age <= staleAfter || c.keptCurrentByRelays(ctx):
		return false
	}
	return c.mayCallStore(c.storeRetryPause())
}

// mayCallStore reports whether the store answers this instance, or last failed at least pause ago.
// An old failure does not show whether the store answers now: a follower makes no calls to the
// store, and must call it again when its leader has been cut off.
func (c *Coordinator) mayCallStore(pause time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeAvailable || c.clock.Now().Sub(c.storeFailedAt) >= pause
}

// storeRetryPause returns how long after a failed call this instance makes the next one. While
// relays reply, the pause may be long: they notice when the store is available again.
func (c *Coordinator) storeRetryPause() time.Duration {
	pause := c.scaleToFleet(maxBackoff)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relaysRepliedAt != clock.Never && c.clock.Now().Sub(c.relaysRepliedAt) <= 2*maxPollInterval {
		return pause
	}
	return min(maxLeaseReadInterval, pause)
}

// keptCurrentByRelays reports whether relays keep this instance's snapshot fresh enough, and asks
// them when it is time to.
func (c *Coordinator) keptCurrentByRelays(ctx context.Context) bool {
	if c.board.CurrentAsOf() == clock.Never {
		return false
	}
	if c.beginRefresh() {
		refreshed := c.refreshFromRelays(ctx)
		c.mu.Lock()
		c.refreshFailed = !refreshed
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.refreshFailed
}

// refreshFromRelays asks relays for a fresher snapshot, and reports whether this instance's
// snapshot is not stale any more. Relays read the store a little earlier than others. Without them
// all instances would read all rules and the whole registry while the store refuses the leader, and
// again until another instance leads.
func (c *Coordinator) refreshFromRelays(ctx context.Context) bool {
	relays := c.storeRelays()
	if len(relays) == 0 {
		return false
	}
	first := int(xxhash.Sum64String(c.config.Self.ID) % uint64(len(relays)))
	for i := range relays {
		address := relays[(first+i)%len(relays)]
		if !c.isResponsive(address) || !c.askWithinRefreshTimeout(ctx, address) {
			continue
		}
		c.mu.Lock()
		c.relaysRepliedAt = c.clock.Now()
		c.mu.Unlock()
		if c.clock.Now().Sub(c.board.CurrentAsOf()) <= staleAfter {
			return true
		}
	}
	return false
}

// refreshTimeout limits the wait for the reply of one relay. If three relays do not reply, 0.4 s
// are left for a read before the snapshot is 2 s old.
const refreshTimeout = 120 * time.Millisecond

// errRefreshTimeout cancels a call to a relay that did not reply in time. The connection stays
// open, because requests for permits use it too.
var errRefreshTimeout = errors.New("lead: the relay did not reply within the refresh timeout")

// askWithinRefreshTimeout asks one relay, which must reply within refreshTimeout.
func (c *Coordinator) askWithinRefreshTimeout(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeoutCause(ctx, refreshTimeout, errRefreshTimeout)
	defer cancel()
	return c.askRelay(ctx, address, false)
}

// beginRefresh reports whether it is time to ask relays again, and if so notes that this instance
// does.
func (c *Coordinator) beginRefresh() bool {
	pause := min(maxPollInterval, c.scaleToFleet(pollInterval))
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshedAt != clock.Never && now.Sub(c.refreshedAt) < pause {
		return false
	}
	c.refreshedAt = now
	return true
}

// pollRules keeps the rules and the evacuated data centres current while this instance has to read
// them.
func (c *Coordinator) pollRules(ctx context.Context) {
	pause := newBackoff()
	// wait is how long a read may wait for a change; a read that waits is a feed. The first read
	// and the one after a change do not wait, so that they soon confirm the current state. The time
	// at which a change ended a feed is not known, so its result counts as read when the feed
	// began. If the next feed waited too, the snapshot would become so old that all followers read
	// the store themselves.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if !c.shouldReadStore(ctx) {
			wait = 0
			sleep(ctx, pollInterval/4)
			continue
		}
		callCtx, done := c.untilStoreAvailable(ctx)
		changed, err := c.reader.readRules(callCtx, wait)
		done()
		wait = rulesFeedWait
		if err != nil || changed {
			wait = 0
		}
		if cancelledAtOutageEnd(callCtx, err) {
			continue
		}
		c.noteStoreResult(ctx, err)
		c.pauseUntilStoreAvailable(ctx, pause.after(err, 0))
	}
}

// pollTargets keeps the registry current while this instance has to read it.
func (c *Coordinator) pollTargets(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		if !c.shouldReadStore(ctx) {
			sleep(ctx, pollInterval/4)
			continue
		}
		callCtx, done := c.untilStoreAvailable(ctx)
		limited, cancel := context.WithTimeout(callCtx, callTimeout)
		err := c.reader.readTargets(limited)
		cancel()
		done()
		if cancelledAtOutageEnd(callCtx, err) {
			continue
		}
		c.noteStoreResult(ctx, err)
		c.pauseUntilStoreAvailable(ctx, pause.after(err, c.pollPause()))
	}
}

// noteStoreResult records the result of a call to the store, and logs when the store becomes
// unavailable and when it is available again. A call that failed because ctx is done, when this
// instance shuts down, says nothing about the store.
func (c *Coordinator) noteStoreResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.storeFailedAt = c.clock.Now()
	}
	if ok := err == nil; ok != c.storeAvailable {
		c.storeAvailable = ok
		if ok {
			c.endOutage()
			c.log("store-back")
		} else {
			c.storeUnavailableSince = c.clock.Now()
			c.log("store-lost", "error", err.Error())
		}
	}
}
