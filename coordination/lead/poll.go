package lead

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
)

// reads reports whether this instance has to read the store itself. The leading one does, and relays
// while nobody leads. Another one whose knowledge is old asks relays first, and reads if that does not
// help and the store answers, or may do so again: refused calls are paid for too.
func (c *Coordinator) reads(ctx context.Context) bool {
	relay := c.isRelay()
	now := c.clock.Now()
	age := now.Sub(c.board.CurrentAsOf())
	c.mu.Lock()
	must := c.term != nil || relay && c.lastSync == clock.Never
	c.mu.Unlock()
	switch {
	case must:
		return true
	case relay:
		return age > relayStaleAfter && c.mayTryStore(failedMost)
	case age <= staleAfter || c.relaysHelp(ctx):
		return false
	}
	return c.mayTryStore(c.tryAgain())
}

// mayTryStore reports whether the store answers this instance, or failed to do so long ago. A call that
// failed long ago says nothing: one that follows makes none, and would not notice that its leading
// instance has been cut off.
func (c *Coordinator) mayTryStore(pause time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeOK || c.clock.Now().Sub(c.failedAt) >= pause
}

// tryAgain returns how long after a call that failed this instance makes the next one. While relays
// answer, they notice when the store is back.
func (c *Coordinator) tryAgain() time.Duration {
	pause := c.shared(failedMost)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relaysAnsweredAt != clock.Never && c.clock.Now().Sub(c.relaysAnsweredAt) <= 2*longestPoll {
		return pause
	}
	return min(longestLook, pause)
}

// relaysHelp reports whether relays keep what this instance knows new enough, and asks them when it is
// time to.
func (c *Coordinator) relaysHelp(ctx context.Context) bool {
	if c.board.CurrentAsOf() == clock.Never {
		return false
	}
	if c.mayRefresh() {
		helped := c.refreshed(ctx)
		c.mu.Lock()
		c.relaysFailed = !helped
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.relaysFailed
}

// refreshed asks relays when what this instance knows has become old, and reports whether that has
// helped. They read by themselves a little earlier. Without them all instances would read the whole
// configuration and registry while a leading instance is turned away by the store, and again until another
// one leads.
func (c *Coordinator) refreshed(ctx context.Context) bool {
	relays := c.relays()
	if len(relays) == 0 {
		return false
	}
	first := int(xxhash.Sum64String(c.config.Self.ID) % uint64(len(relays)))
	for i := range relays {
		address := relays[(first+i)%len(relays)]
		if !c.mayAnswer(address) || !c.askSoon(ctx, address) {
			continue
		}
		c.mu.Lock()
		c.relaysAnsweredAt = c.clock.Now()
		c.mu.Unlock()
		if c.clock.Now().Sub(c.board.CurrentAsOf()) <= staleAfter {
			return true
		}
	}
	return false
}

// refreshTimeout bounds the question to one relay. Three that do not answer leave 0.4 s for a reading
// before what is known is 2 s old.
const refreshTimeout = 120 * time.Millisecond

// errNotSoon ends a question to a relay that did not answer soon. The connection stays: permits are
// asked for over it.
var errNotSoon = errors.New("lead: the relay did not answer soon")

// askSoon asks a relay that must answer soon.
func (c *Coordinator) askSoon(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeoutCause(ctx, refreshTimeout, errNotSoon)
	defer cancel()
	return c.ask(ctx, address, false)
}

// mayRefresh reports whether it is time to ask relays again, and notes that this instance does.
func (c *Coordinator) mayRefresh() bool {
	pause := min(longestPoll, c.shared(pollEvery))
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshAt != clock.Never && now.Sub(c.refreshAt) < pause {
		return false
	}
	c.refreshAt = now
	return true
}

// readRules keeps the configuration current while that is this instance's business.
func (c *Coordinator) readRules(ctx context.Context) {
	pause := newBackoff()
	// wait is how long a reading may wait for a change. The first one and one after a change do
	// not wait, so that they tell soon that there is none: when a change ended a feed is not
	// known, and what it brought counts as known since that began. With the next feed's wait
	// knowledge would be so old that all followers read the store themselves.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if !c.reads(ctx) {
			wait = 0
			sleep(ctx, pollEvery/4)
			continue
		}
		callCtx, done := c.untilBack(ctx)
		changed, err := c.reader.readRules(callCtx, wait)
		done()
		wait = rulesWait
		if err != nil || changed {
			wait = 0
		}
		if givenUp(callCtx, err) {
			continue
		}
		c.noteStore(ctx, err)
		c.pauseUntilBack(ctx, pause.after(err, 0))
	}
}

// readTargets keeps the registry current while that is this instance's business.
func (c *Coordinator) readTargets(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		if !c.reads(ctx) {
			sleep(ctx, pollEvery/4)
			continue
		}
		callCtx, done := c.untilBack(ctx)
		limited, cancel := context.WithTimeout(callCtx, callTimeout)
		err := c.reader.readTargets(limited)
		cancel()
		done()
		if givenUp(callCtx, err) {
			continue
		}
		c.noteStore(ctx, err)
		c.pauseUntilBack(ctx, pause.after(err, c.pollPause()))
	}
}

// noteStore logs when the store is lost and when it is back. A call that this instance gave up
// because it ends, as ctx tells, says nothing about the store.
func (c *Coordinator) noteStore(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failedAt = c.clock.Now()
	}
	if ok := err == nil; ok != c.storeOK {
		c.storeOK = ok
		if ok {
			c.endOutage()
			c.log("store-back")
		} else {
			c.lostAt = c.clock.Now()
			c.log("store-lost", "error", err.Error())
		}
	}
}
