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

// Until an instance has led for the first time, no callers are served yet. If each instance then
// read the rules and the registry itself and bid for the lease, each would make several calls to
// the store, which cost money, and would receive all rules and the whole registry. So all instances
// but the seeds wait until a seed sends them its state.
//
// At any later start callers are waiting, and an instance that starts reads the store at once.
// After a power failure the holder of the lease may start later than the others, and requests that
// arrive in the meantime would be refused.
const (
	// maxSeedWait is how long after its start an instance leaves reading to the seeds. They may
	// start 0.3 s after the others, and then need time to read the store and to reply to all.
	maxSeedWait = 1200 * time.Millisecond
	// startRetryInterval is the minimum time between two calls for the full state.
	startRetryInterval = 50 * time.Millisecond
)

// errNoState says that the instance that was asked for its full state has none yet.
var errNoState = errors.New("lead: the other instance has no state yet")

// allowStoreReads is called after each read of the lease. The first call waits for the seeds if
// this is the deployment's first start, and then allows this instance to read the store.
func (c *Coordinator) allowStoreReads(ctx context.Context) {
	select {
	case <-c.mayReadStore:
		return
	default:
	}
	for c.waitsForSeeds() && c.board.CurrentAsOf() == clock.Never && ctx.Err() == nil {
		c.tryFetchFullState(ctx, c.config.Seeds[xxhash.Sum64String(c.config.Self.ID)%uint64(len(c.config.Seeds))])
	}
	close(c.mayReadStore)
}

// waitsForSeeds reports whether this instance leaves the first lease and the first reads to the
// seeds.
func (c *Coordinator) waitsForSeeds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseNeverHeld && len(c.config.Seeds) > 0 && !slices.Contains(c.config.Seeds, c.config.Self.Address) &&
		c.clock.Now().Sub(c.startedAt) < maxSeedWait
}

// tryFetchFullState asks another instance for its full state, and pauses if it did not get it.
func (c *Coordinator) tryFetchFullState(ctx context.Context, address string) {
	begun := c.clock.Now()
	if c.fetchFullState(ctx, address, maxReplyDelay) != nil {
		sleep(ctx, startRetryInterval-c.clock.Now().Sub(begun))
	}
}

// fetchFullState asks another instance for its full state, however old, and adopts it. wait is how
// long that instance may delay its reply until it has a state. If it has none, the error is
// errNoState.
func (c *Coordinator) fetchFullState(ctx context.Context, address string, wait time.Duration) error {
	args := c.newSyncArgs()
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
		return errNoState
	}
	if err := unpackFullState(reply); err != nil {
		return err
	}
	c.applyReply(begun, args, reply)
	if reply.Leader.Address != "" {
		c.mu.Lock()
		c.setLeader(reply.Leader)
		c.mu.Unlock()
	}
	if reply.Leading {
		// Otherwise relays would read from the store what they have just received.
		c.noteFollowing()
	}
	c.log("told-by-other", "address", address, "age_ms", reply.Age.Milliseconds())
	return nil
}

// awaitSnapshot waits until this instance has a snapshot and knows the leader, or until the
// report's wait is over. If it replied before it has taken the lease, each of the others would read
// the lease again.
func (c *Coordinator) awaitSnapshot(ctx context.Context, args *peerapi.SyncArgs) {
	timer := time.NewTimer(min(args.Wait, maxReplyDelay))
	defer timer.Stop()
	for {
		snapshot := c.board.Snapshot()
		c.mu.Lock()
		leader, found := c.leader, c.leaderFound
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
