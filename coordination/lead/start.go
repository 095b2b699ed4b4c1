package lead

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// Where no instance has ever led no caller is served yet. If each instance then read the
// configuration and the registry by itself and bid for the lease, each would make several calls, which are
// paid for, and be sent the whole of both. So all but the seeds wait for a seed to tell them.
//
// At any later start callers wait, and whoever starts reads at once: the holder of the lease may start later
// than the others after a loss of power, and requests that come meanwhile are refused.
const (
	// firstPatience is how long after its first start an instance leaves the reading to the seeds. They
	// may start 0.3 s after the others, and then read and tell all of them.
	firstPatience = 1200 * time.Millisecond
	// startAgain is the least time between two questions of an instance that starts.
	startAgain = 50 * time.Millisecond
)

// errKnowsNothing says that an instance that was asked for all it knows knows nothing itself.
var errKnowsNothing = errors.New("lead: the other instance knows nothing yet")

// settleStart is called after each look at the lease. At the first one it waits for the seeds where
// that is due, and then lets this instance read the store.
func (c *Coordinator) settleStart(ctx context.Context) {
	select {
	case <-c.mayRead:
		return
	default:
	}
	for c.leavesToSeeds() && c.board.CurrentAsOf() == clock.Never && ctx.Err() == nil {
		c.learn(ctx, c.config.Seeds[xxhash.Sum64String(c.config.Self.ID)%uint64(len(c.config.Seeds))])
	}
	close(c.mayRead)
}

// leavesToSeeds reports whether this instance leaves the first lease and the first reading to the seeds.
func (c *Coordinator) leavesToSeeds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.neverLed && len(c.config.Seeds) > 0 && !slices.Contains(c.config.Seeds, c.config.Self.Address) &&
		c.clock.Now().Sub(c.started) < firstPatience
}

// learn asks another instance for all that it knows.
func (c *Coordinator) learn(ctx context.Context, address string) {
	begun := c.clock.Now()
	if c.askAll(ctx, address, syncHold) != nil {
		sleep(ctx, startAgain-c.clock.Now().Sub(begun))
	}
}

// askAll asks an instance for all that it knows, however old, and takes it over. Wait is how long it
// may hold the question until it knows something. The error is errKnowsNothing if it does not.
func (c *Coordinator) askAll(ctx context.Context, address string, wait time.Duration) error {
	args := c.question()
	args.Starting = true
	args.Wait = wait
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, address, args)
	cancel()
	if err != nil {
		return err
	}
	if reply.TargetsRead == 0 || reply.RulesChanges == nil {
		return errKnowsNothing
	}
	if err := unpack(reply); err != nil {
		return err
	}
	c.adopt(begun, args, reply)
	if reply.Leader.Address != "" {
		c.mu.Lock()
		c.setLeader(reply.Leader)
		c.mu.Unlock()
	}
	if reply.Leading {
		// Otherwise relays would read what they have just been told.
		c.followed()
	}
	c.log("told-by-other", "address", address, "age_ms", reply.Age.Milliseconds())
	return nil
}

// awaitKnown waits until this instance knows something and who leads, or the time of a question is
// over. One that answered before it has taken the lease would have each of the others look again.
func (c *Coordinator) awaitKnown(ctx context.Context, args *peerapi.SyncArgs) {
	timer := time.NewTimer(min(args.Wait, syncHold))
	defer timer.Stop()
	for {
		snapshot := c.board.Load()
		c.mu.Lock()
		leader, found := c.leader, c.leaderKnown
		c.mu.Unlock()
		if leader.Address != "" && c.board.CurrentAsOf() != clock.Never {
			return
		}
		select {
		case <-snapshot.Changed:
		case <-found:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
