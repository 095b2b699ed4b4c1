package lead

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// While there is no leader, a few instances, the store relays, read the store and the lease, and
// the other instances ask them. Each call to the store costs money, and without relays all
// instances would make their calls at the same time.
//
// Relays decide nothing. Their replies carry the age of the information, and an instance that gets
// no current reply reads the store itself.
const (
	// storeRelayCount is the number of store relays. If one of three is cut off, or was killed
	// together with the leader, two are left.
	storeRelayCount = 3
	// relayDuty is the name of this duty in the ranking of instances.
	relayDuty = "relay"
	// maxRelayAge is the age of a relay's information about the lease from which on it does not
	// reply with its snapshot: it may be cut off itself.
	maxRelayAge = time.Second
	// relaySettleTime is how long a relay must have run before its replies may remove targets from
	// the snapshots of others. It may have started while the registry did not list some targets
	// that are still running.
	relaySettleTime = 2500 * time.Millisecond
	// unresponsiveFor is how long a relay that did not reply is not asked again.
	unresponsiveFor = 2 * time.Second
	// maxRelaysAsked limits how many relays an instance asks in a row before it reads the lease
	// itself.
	maxRelaysAsked = 2
	// minAskTime is the remaining time until the next read of the lease below which an instance
	// does not ask relays any more. A relay that replies in less time does not wait until it is
	// current.
	minAskTime = 100 * time.Millisecond
)

// duties lists which of the known instances have which duty, by address. A duty is work that an
// instance does for others: here, reading the store for them, or replying to them in place of the
// leader.
type duties struct {
	version    view.InstancesVersion
	lostLeader string
	// storeRelays read the store for all while there is no leader; treeRelays are the relays of
	// this data centre.
	storeRelays, treeRelays []string
}

// duties returns which instances have which duty. It is called many times a second, so the ranking
// is cached until the list of instances changes or a leader is lost.
func (c *Coordinator) duties() duties {
	s := c.board.Snapshot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cachedDuties.version != s.InstancesVersion || c.cachedDuties.lostLeader != c.lostLeader {
		c.cachedDuties = duties{
			version: s.InstancesVersion, lostLeader: c.lostLeader,
			storeRelays: rankStoreRelays(s.Instances, c.lostLeader), treeRelays: treeRelays(s.Instances, c.config.Self.DataCentre),
		}
	}
	return c.cachedDuties
}

// storeRelays returns the addresses of the instances that read the store for all while there is no
// leader, which may include this one. All instances with the same list of instances get the same
// result.
func (c *Coordinator) storeRelays() []string {
	if len(c.board.Snapshot().Instances) == 0 {
		return c.config.Seeds
	}
	return c.duties().storeRelays
}

func rankStoreRelays(list []view.Instance, lost string) []string {
	present := slices.DeleteFunc(slices.Clone(list), func(i view.Instance) bool { return i.ID == lost })
	return rankInstances(present, relayDuty, storeRelayCount)
}

// rankInstances returns the addresses of the first instances in the ranking for a duty. Instances
// with more than half of the largest weight, the processor capacity in cores, rank before the
// others; within each group the order is that of rendezvous hashing.
func rankInstances(list []view.Instance, duty string, count int) []string {
	type ranked struct {
		address string
		small   int
		score   float64
	}
	largest := 0.0
	for _, i := range list {
		largest = max(largest, i.Weight)
	}
	var ranking []ranked
	for _, i := range list {
		r := ranked{address: i.Address, score: i.Score(duty)}
		if muchLargerFactor*i.Weight <= largest {
			r.small = 1
		}
		ranking = append(ranking, r)
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.small, b.small), cmp.Compare(b.score, a.score))
	})
	var addresses []string
	for _, r := range ranking[:min(count, len(ranking))] {
		addresses = append(addresses, r.address)
	}
	return addresses
}

// isStoreRelay reports whether this instance reads the store for others while there is no leader.
// One that knows of no other instances does.
func (c *Coordinator) isStoreRelay() bool {
	relays := c.storeRelays()
	return len(relays) == 0 || slices.Contains(relays, c.config.Self.Address)
}

// askRelays asks store relays who leads and what has changed. It reports whether one replied with
// current information; otherwise this instance must read the lease itself. With await, a relay may
// delay its reply until its information is current.
func (c *Coordinator) askRelays(ctx context.Context, await bool) bool {
	relays := c.storeRelays()
	if len(relays) == 0 || slices.Contains(relays, c.config.Self.Address) || c.board.CurrentAsOf() == clock.Never {
		// An instance that has just started reads the store itself: after a power failure the seeds
		// may be the last to start, and callers would wait for them.
		return false
	}
	first := int(xxhash.Sum64String(c.config.Self.ID) % uint64(len(relays)))
	attempts := 0
	for i := range relays {
		address := relays[(first+i)%len(relays)]
		if attempts == maxRelaysAsked || !c.isResponsive(address) {
			continue
		}
		attempts++
		if c.askRelay(ctx, address, await) {
			return true
		}
	}
	return false
}

// isResponsive reports whether a relay should be asked: it has not failed to reply recently.
func (c *Coordinator) isResponsive(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, failed := c.unresponsive[address]
	return !failed || c.clock.Now().Sub(at) >= unresponsiveFor
}

// askRelay asks one relay, and reports whether it replied with current information.
func (c *Coordinator) askRelay(ctx context.Context, address string, await bool) bool {
	args := c.newSyncArgs()
	args.AwaitCurrent = await
	c.mu.Lock()
	args.Lost = c.lostLeader
	c.mu.Unlock()
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, address, args)
	cancel()
	if err != nil {
		c.noteUnresponsive(address, err)
		return false
	}
	c.noteGivenUp(reply.Vacated, reply.VacatedHeld)
	if !reply.Leading && !reply.Current {
		return false
	}
	adopted := c.applyReply(begun, args, reply)
	c.mu.Lock()
	c.setLeader(reply.Leader)
	c.mu.Unlock()
	if !adopted {
		sleep(ctx, pollInterval/4)
	}
	return true
}

// askSeeds asks the seeds for anything they know, when this instance has no snapshot and cannot
// read the store. Without it a process that starts while the store is unavailable would serve
// nobody until the store is available again, although the other instances have the data.
func (c *Coordinator) askSeeds(ctx context.Context) {
	for _, address := range c.config.Seeds {
		if c.board.CurrentAsOf() != clock.Never {
			return
		}
		if address == c.config.Self.Address || !c.isResponsive(address) {
			continue
		}
		if err := c.fetchFullState(ctx, address, 0); err != nil && !errors.Is(err, errNoState) {
			c.noteUnresponsive(address, err)
		}
	}
}

// noteUnresponsive notes that a relay did not reply.
func (c *Coordinator) noteUnresponsive(address string, err error) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive[address] = now
	c.log("relay-silent", "address", address, "error", err.Error())
}

// replyAsRelay replies to a report while this instance does not lead. It waits until there is
// something new: a leader other than the lost one, or an update for the sender.
func (c *Coordinator) replyAsRelay(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	begun := c.clock.Now()
	if args.Starting {
		c.awaitSnapshot(ctx, args)
		return c.replyWithSnapshot(args)
	}
	if !c.awaitCurrent(ctx, args) {
		return &peerapi.SyncReply{}
	}
	c.awaitLeaderOrUpdate(ctx, args)
	if !c.isCurrentFor(args) {
		return &peerapi.SyncReply{}
	}
	reply := c.updateFor(args)
	reply.Held = c.clock.Now().Sub(begun)
	reply.Current = true
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Lease = c.observer.Version()
	reply.Leader = c.leader
	return reply
}

// replyWithSnapshot replies with this instance's snapshot and its age.
func (c *Coordinator) replyWithSnapshot(args *peerapi.SyncArgs) *peerapi.SyncReply {
	if c.board.CurrentAsOf() == clock.Never {
		return &peerapi.SyncReply{}
	}
	reply := c.updateFor(args)
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Leader = c.leader
	reply.Leading = c.term != nil
	return reply
}

// isCurrentFor reports whether this instance may reply as a relay to the sender of a report.
func (c *Coordinator) isCurrentFor(args *peerapi.SyncArgs) bool {
	now := c.clock.Now()
	if c.board.CurrentAsOf() == clock.Never {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shuttingDown || args.TargetsDigest != 0 && now.Sub(c.startedAt) < relaySettleTime {
		return false
	}
	follows := c.lastSync != clock.Never && now.Sub(c.lastSync) < maxRelayAge
	readLease := c.leaseReadAt != clock.Never && now.Sub(c.leaseReadAt) < maxRelayAge
	return follows || readLease
}

// awaitCurrent reports whether this instance may reply as a relay to the sender of a report. If the
// sender asks for it, because no other instance replies to it, awaitCurrent waits until that is so
// or the report's wait is over: a relay is the first to notice that the store is available again.
func (c *Coordinator) awaitCurrent(ctx context.Context, args *peerapi.SyncArgs) bool {
	timer := time.NewTimer(min(args.Wait, maxReplyDelay))
	defer timer.Stop()
	for {
		c.mu.Lock()
		becameCurrent, shuttingDown := c.becameCurrent, c.shuttingDown
		c.mu.Unlock()
		if c.isCurrentFor(args) {
			return true
		}
		if !args.AwaitCurrent || shuttingDown || !c.isStoreRelay() {
			return false
		}
		select {
		case <-becameCurrent:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// awaitLeaderOrUpdate waits until there is an update for the sender of a report, until a leader
// other than the one that the sender has lost is known, or until the report's wait is over.
func (c *Coordinator) awaitLeaderOrUpdate(ctx context.Context, args *peerapi.SyncArgs) {
	timer := time.NewTimer(min(args.Wait, maxReplyDelay))
	defer timer.Stop()
	for {
		snapshot := c.board.Snapshot()
		c.mu.Lock()
		leader, found := c.leader, c.leaderFound
		c.mu.Unlock()
		if hasUpdateFor(args, snapshot) || isNewLeader(leader, args.Lost) {
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

// isNewLeader reports whether a holder of the lease is known and is not the lost one.
func isNewLeader(leader lease.Row, lost string) bool {
	return leader.Address != "" && leader.Holder != lost
}
