package entry

import (
	"math/rand/v2"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/wire"
)

// wait waits for a change of the state, for at most pause, within the bounds of the
// request and the instance. A request that would wait too long is refused at once.
func (c *call) wait(changed <-chan struct{}, pause time.Duration) (refusal, bool) {
	now := c.h.clock.Now()
	if c.waitedSince == clock.Never {
		c.waitedSince = now
	}
	left := c.h.settings.Window - now.Sub(c.waitedSince)
	if left <= 0 {
		return notRun("unavailable", "the key is not served at present"), false
	}
	if c.h.waiting.Add(1) > int64(c.h.settings.MaxWaiting) {
		c.h.waiting.Add(-1)
		return notRun("unavailable", "the key is not served at present, and too many requests wait"), false
	}
	defer c.h.waiting.Add(-1)
	timer := time.NewTimer(min(left, pause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.ctx.Done():
		return notRun(reasonDeadline, "the deadline passed before the request could be sent"), false
	}
	return refusal{}, true
}

// afterFailure decides whether the request may be tried again. The answer to one that
// may not is final and given at once.
func (c *call) afterFailure(res result) (refusal, bool) {
	if c.r.Context().Err() != nil {
		// The caller has gone away; nobody reads the answer.
		return unknownOutcome("caller-gone"), false
	}
	if c.used || c.ctx.Err() != nil {
		return final(res), false
	}
	if res.outcome == wire.Unknown {
		return final(res), c.then.Idempotent && c.limits.budget.withdraw() && c.pause()
	}
	switch res.reason {
	case wire.NotRunFence, reasonUnreachable, reasonOwnerLost:
		// The key is changing hands, or will as soon as the loss is noticed.
		refused, ok := c.wait(c.state.Changed, movePause())
		return refused, ok
	case wire.NotRunShed, wire.NotRunDraining:
		return final(res), c.limits.budget.withdraw() && c.pause()
	}
	return final(res), false
}

func final(res result) refusal {
	if res.outcome == wire.Unknown {
		return unknownOutcome(res.reason)
	}
	return notRun(res.reason, "the request was not run: "+res.reason)
}

// Pauses between attempts, with jitter so that many instances do not try at once.
const (
	moveBackoff  = 5 * time.Millisecond
	retryBackoff = 10 * time.Millisecond
)

func movePause() time.Duration { return moveBackoff + rand.N(moveBackoff) }

func (c *call) pause() bool {
	timer := time.NewTimer(retryBackoff/2 + rand.N(retryBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
