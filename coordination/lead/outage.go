package lead

import (
	"context"
	"errors"
	"time"
)

// errStoreBack ends a call that began before another one showed that the store is back.
var errStoreBack = errors.New("lead: the store is back; the call is made anew")

// outage lasts while the store does not answer this instance.
//
// A call that was sent while the store was silent is never answered, and a pause that has grown
// goes on when the store is back: with its own time limit alone a call would delay what the store has
// acknowledged since. Whatever waits is begun anew when the first call is answered.
type outage struct {
	// over is done when the store is back.
	over context.Context
	end  context.CancelFunc
}

func newOutage() outage {
	over, end := context.WithCancel(context.Background())
	return outage{over, end}
}

// shortOutage is how long the store must have been lost for what waits to be begun anew: longer than
// a feed waits. Where single answers are lost, what waits is answered.
const shortOutage = time.Second

// endOutage has what waits begun anew. The caller holds the lock.
func (c *Coordinator) endOutage() {
	if c.clock.Now().Sub(c.lostAt) < shortOutage {
		return
	}
	c.outage.end()
	c.outage = newOutage()
}

// currentOutage returns the outage there is, or the next one.
func (c *Coordinator) currentOutage() outage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage
}

// untilBack returns a context for a call that is given up when the store is back.
func (c *Coordinator) untilBack(ctx context.Context) (callCtx context.Context, done func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.currentOutage().over, func() { cancel(errStoreBack) })
	return callCtx, func() {
		stop()
		cancel(nil)
	}
}

// givenUp reports whether a call was given up because the store is back.
func givenUp(callCtx context.Context, err error) bool {
	return err != nil && errors.Is(context.Cause(callCtx), errStoreBack)
}

// pauseUntilBack pauses after a call, but not beyond the end of an outage.
func (c *Coordinator) pauseUntilBack(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.currentOutage().over.Done():
	case <-ctx.Done():
	}
}
