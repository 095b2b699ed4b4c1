package lead

import (
	"context"
	"errors"
	"time"
)

// errStoreAvailable cancels a call that began before another call showed that the store is
// available again.
var errStoreAvailable = errors.New("lead: the store is available again; the call is repeated")

// outage is a period in which the store does not answer this instance.
//
// A call that was sent during the outage is never answered, and a backoff pause that has grown
// continues after the store is available again. With only their own timeouts, such calls would
// delay changes that the store has acknowledged since. So when the first call is answered, all
// pending calls and pauses are cancelled and the calls are repeated.
type outage struct {
	// over is done when the store is available again.
	over context.Context
	end  context.CancelFunc
}

func newOutage() outage {
	over, end := context.WithCancel(context.Background())
	return outage{over, end}
}

// minOutage is the shortest outage after which pending calls are repeated. It is longer than a feed
// waits: if only single responses are lost, the store still answers a pending feed.
const minOutage = time.Second

// endOutage cancels pending calls and pauses, unless the outage was shorter than minOutage. The
// caller must hold the lock.
func (c *Coordinator) endOutage() {
	if c.clock.Now().Sub(c.storeUnavailableSince) < minOutage {
		return
	}
	c.outage.end()
	c.outage = newOutage()
}

// currentOutage returns the present outage, or the next one if the store is available.
func (c *Coordinator) currentOutage() outage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage
}

// untilStoreAvailable returns a context for a call that is cancelled when the store is available
// again.
func (c *Coordinator) untilStoreAvailable(ctx context.Context) (callCtx context.Context, done func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.currentOutage().over, func() { cancel(errStoreAvailable) })
	return callCtx, func() {
		stop()
		cancel(nil)
	}
}

// cancelledAtOutageEnd reports whether a call was cancelled because the store is available again.
func cancelledAtOutageEnd(callCtx context.Context, err error) bool {
	return err != nil && errors.Is(context.Cause(callCtx), errStoreAvailable)
}

// pauseUntilStoreAvailable pauses after a call, but not beyond the end of an outage.
func (c *Coordinator) pauseUntilStoreAvailable(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.currentOutage().over.Done():
	case <-ctx.Done():
	}
}
