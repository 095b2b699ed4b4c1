package lead

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// In a large fleet the leader replies to a few instances of each data centre, the tree relays, and
// these reply to the other instances of their data centre. A tree relay forwards which instances
// have reported to it and the load by key, and its replies pass on what it has received, with its
// age.
//
// Without tree relays one instance replies to all. Its CPU time, and the bytes sent between data
// centres, then grow with the number of instances.
//
// Relays decide nothing. An instance whose relay does not reply, or is itself not getting replies
// from the leader, asks the next relay of its data centre, and then the leader.
const (
	// treeWidth is the largest number of instances that one instance replies to, if there are
	// enough relays. Up to that many report to the leader directly. A reply to a change takes
	// 0.1 ms of CPU time, so that an instance with a sixth of a CPU core replies to the last of 32
	// within 20 ms after the first.
	treeWidth = 32
	// treeDuty is the name of this duty in the ranking of instances.
	treeDuty = "tree"
	// relayMaxReplyDelay is how long the reply to a relay, of either kind, is delayed when there is
	// nothing new. The reply to an instance that reports through a relay is delayed for up to the
	// rest of maxReplyDelay. Its snapshot is then as old as if the leader replied to it directly.
	relayMaxReplyDelay = 150 * time.Millisecond
	// memberReportInterval is the minimum time between two reports of a relay that list the same
	// follower. It leaves time for three of them within memberTimeout.
	memberReportInterval = 400 * time.Millisecond
)

// errRelayStale says that a relay has not had a reply from the leader recently.
var errRelayStale = errors.New("lead: the relay gets no replies from the leader")

// downstream is an instance that reports through this one.
type downstream struct {
	view.Instance
	reportedAt   clock.Instant
	shuttingDown bool
	// forwardedAt is when this instance last reported to the leader that the instance had reported.
	forwardedAt clock.Instant
	// quota is its latest report about limits on all instances, forwardedQuota the number of the
	// latest one that was forwarded. shares are those that the leader has granted to it, until they
	// are handed out.
	quota          *quota.Report
	forwardedQuota uint64
	shares         *quota.Shares
}

// treeRelays returns the addresses of the relays of a data centre in ranking order; none if there
// are at most treeWidth instances. All instances with the same list of instances get the same
// result.
func treeRelays(list []view.Instance, dataCentre string) []string {
	if len(list) <= treeWidth {
		return nil
	}
	local := slices.DeleteFunc(slices.Clone(list), func(i view.Instance) bool { return i.DataCentre != dataCentre })
	return rankInstances(local, treeDuty, (len(local)+treeWidth-1)/treeWidth)
}

// treeRelay returns the address of the relay through which this instance reports; empty if it
// reports to the leader. The store relays report to the leader directly too: they call the store on
// its behalf when the store does not answer it.
func (c *Coordinator) treeRelay() string {
	relays := c.duties().treeRelays
	if len(relays) == 0 || slices.Contains(relays, c.config.Self.Address) || c.isStoreRelay() {
		return ""
	}
	first := int(xxhash.Sum64String(c.config.Self.ID) % uint64(len(relays)))
	for i := range relays {
		if address := relays[(first+i)%len(relays)]; c.isResponsive(address) {
			return address
		}
	}
	return ""
}

// reportViaRelay sends one report through a relay. It reports whether the relay has recently had a
// reply from the leader.
func (c *Coordinator) reportViaRelay(ctx context.Context, relay string, shuttingDown bool) bool {
	args := c.newSyncArgs()
	args.Leaving = shuttingDown
	args.Relayed = true
	args.Wait = maxReplyDelay - relayMaxReplyDelay
	args.Work, args.Pace = c.collector.TakeMeasurements()
	c.addQuotaReport(args)
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, relay, args)
	cancel()
	if err == nil && !reply.Current && !reply.Leading {
		err = errRelayStale
	}
	if err != nil {
		c.noteUnresponsive(relay, err)
		return false
	}
	c.noteGivenUp(reply.Vacated, reply.VacatedHeld)
	c.mu.Lock()
	c.setLeader(reply.Leader)
	c.mu.Unlock()
	c.noteFollowing()
	adopted := c.applyReply(begun, args, reply)
	c.adoptQuota(reply)
	if !adopted {
		sleep(ctx, pollInterval/4)
	}
	return true
}

// replyToDownstream replies to a report that this instance forwards to the leader.
func (c *Coordinator) replyToDownstream(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	begun := c.clock.Now()
	c.noteDownstream(args)
	if !c.hearsFromLeader() {
		return &peerapi.SyncReply{}
	}
	c.awaitForwardedUpdate(ctx, args)
	if !c.hearsFromLeader() {
		return &peerapi.SyncReply{}
	}
	reply := c.updateFor(args)
	reply.Held = c.clock.Now().Sub(begun)
	reply.Current = true
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Lease = c.observer.Version()
	reply.Leader = c.leader
	reply.Quota = c.takeSharesFor(args.Self.ID)
	return reply
}

// hearsFromLeader reports whether the leader itself has replied to this instance recently, and this
// instance is not shutting down. Information about the leader from another instance does not count:
// it might come from a follower of this relay.
func (c *Coordinator) hearsFromLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.shuttingDown && c.leader.Address != "" && c.leaderRepliedAt != clock.Never && c.clock.Now().Sub(c.leaderRepliedAt) < maxRelayAge
}

// noteDownstream notes a report that is to be forwarded.
func (c *Coordinator) noteDownstream(args *peerapi.SyncArgs) {
	c.collector.AddReport(args.Work, args.Pace)
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.downstreams[args.Self.ID]
	if d == nil {
		d = &downstream{Instance: args.Self, forwardedAt: clock.Never}
		c.downstreams[args.Self.ID] = d
	}
	d.reportedAt = c.clock.Now()
	d.shuttingDown = args.Leaving
	d.noteQuota(args.Quota)
}

// downstreamMembers returns, for this instance's own report, the instances that have reported
// through it since it last listed them, and marks them as forwarded. It skips those that it
// forwarded less than memberReportInterval ago, unless they are shutting down.
func (c *Coordinator) downstreamMembers() []peerapi.RelayedInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var list []peerapi.RelayedInstance
	for id, d := range c.downstreams {
		if now.Sub(d.reportedAt) > memberTimeout {
			delete(c.downstreams, id)
			continue
		}
		if d.reportedAt <= d.forwardedAt || now.Sub(d.forwardedAt) < memberReportInterval && !d.shuttingDown {
			continue
		}
		d.forwardedAt = now
		list = append(list, peerapi.RelayedInstance{Instance: d.Instance, Age: now.Sub(d.reportedAt), Leaving: d.shuttingDown, Quota: d.takeQuota()})
	}
	return list
}

// awaitForwardedUpdate waits until there is an update for the sender of a report, or the report's
// wait is over.
func (c *Coordinator) awaitForwardedUpdate(ctx context.Context, args *peerapi.SyncArgs) {
	c.delayedReplies.Add(1)
	defer c.delayedReplies.Add(-1)
	timer := time.NewTimer(min(args.Wait, maxReplyDelay))
	defer timer.Stop()
	for {
		snapshot := c.board.Snapshot()
		if hasUpdateFor(args, snapshot) {
			c.batchUpdates(ctx, args)
			return
		}
		select {
		case <-snapshot.Changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
