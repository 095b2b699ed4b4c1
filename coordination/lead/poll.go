package lead

import (
	"context"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// reads reports whether this instance has to read the store itself. While nobody leads
// relays do so for all. Another one whose knowledge is old reads too, but only when the
// store answers, or may do so again: each refused call of 90 instances is paid for.
func (c *Coordinator) reads() bool {
	relay := c.isRelay()
	pause := min(longestLook, c.shared(failedMost))
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != nil || relay && c.lastSync == clock.Never {
		return true
	}
	// A call that failed long ago says nothing: one that follows makes none, and would not
	// notice that its leading instance has been cut off.
	answers := c.storeOK || now.Sub(c.failedAt) >= pause
	return answers && now.Sub(c.board.KnownAt()) > staleAfter
}

// readRules keeps the configuration current while that is this instance's business.
func (c *Coordinator) readRules(ctx context.Context) {
	pause := newBackoff()
	// wait is how long a reading may wait for a change. The first one and one after a change do
	// not wait, so that they tell soon that there is none: when a change ended a feed is not
	// known, and what it brought counts as known since that began. With the next feed's wait
	// knowledge was 1.2 s old, from which on all followers read the store themselves.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if !c.reads() {
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
		if !c.reads() {
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
