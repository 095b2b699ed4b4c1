package lead

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// In a large fleet the leading instance answers a few instances of each data centre, the relays of the
// tree, and these answer the others of theirs. A relay passes on who has reported to it and what
// arrived for which key, and tells what it has been told, with its age.
//
// Without it one instance answers all, with processor time and bytes between data centres that grow with the
// number of instances.
//
// Relays decide nothing. An instance whose relay is silent, or does not hear from the leading instance
// itself, asks the next relay of its data centre, and then the leading instance.
const (
	// treeWidth is the most instances that one answers where there are enough relays; up to so many
	// report to the leading instance directly. An answer to a change takes 0.1 ms, so that the last
	// of 32 is told 20 ms after the first by an instance with a sixth of a core.
	treeWidth = 32
	// treeDuty names the duty in the ranking of instances.
	treeDuty = "tree"
	// relayWait is how long the report of a relay of either kind is held, and the rest of syncHold that
	// of an instance that reports through one: what that knows is then as old as what the leading
	// instance tells directly.
	relayWait = 150 * time.Millisecond
	// memberEvery is the least time between two reports of a relay that name the same follower. It
	// leaves time for three within memberFor.
	memberEvery = 400 * time.Millisecond
)

// errNotCurrent says that a relay has not heard from the leading instance lately.
var errNotCurrent = errors.New("lead: the relay does not hear from the leading instance")

// downstream is an instance that reports through this one.
type downstream struct {
	view.Instance
	heardAt clock.Instant
	leaving bool
	// passedOn is when the leading instance was last told of it.
	passedOn clock.Instant
}

// treeRelays returns the addresses of the relays of a data centre, the first one first; none in a
// small fleet. Everyone who knows the same instances finds the same ones.
func treeRelays(list []view.Instance, dataCentre string) []string {
	if len(list) <= treeWidth {
		return nil
	}
	here := slices.DeleteFunc(slices.Clone(list), func(i view.Instance) bool { return i.DataCentre != dataCentre })
	return rank(here, treeDuty, (len(here)+treeWidth-1)/treeWidth)
}

// treeRelay returns the address of the relay that this instance reports through; empty: it reports to
// the leading instance. The relays that read the store while nobody leads report to it directly too:
// they make calls for it when the store does not answer it.
func (c *Coordinator) treeRelay() string {
	relays := c.duties().tree
	if len(relays) == 0 || slices.Contains(relays, c.config.Self.Address) || c.isRelay() {
		return ""
	}
	first := int(xxhash.Sum64String(c.config.Self.ID) % uint64(len(relays)))
	for i := range relays {
		if address := relays[(first+i)%len(relays)]; c.mayAnswer(address) {
			return address
		}
	}
	return ""
}

// reportThrough makes one report through a relay. It reports whether the relay has heard from the
// leading instance.
func (c *Coordinator) reportThrough(ctx context.Context, relay string, leaving bool) bool {
	args := c.question()
	args.Leaving = leaving
	args.Relayed = true
	args.Wait = syncHold - relayWait
	args.Work, args.Pace = c.collector.Drain()
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, relay, args)
	cancel()
	if err == nil && !reply.Current && !reply.Leading {
		err = errNotCurrent
	}
	if err != nil {
		c.noteSilent(relay, err)
		return false
	}
	c.noteVacated(reply.Vacated, reply.VacatedHeld)
	c.mu.Lock()
	c.setLeader(reply.Leader)
	c.mu.Unlock()
	c.followed()
	if !c.adopt(begun, args, reply) {
		sleep(ctx, pollEvery/4)
	}
	return true
}

// passOn answers a report that is to be passed on to the leading instance.
func (c *Coordinator) passOn(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	begun := c.clock.Now()
	c.noteDownstream(args)
	if !c.hearsLeader() {
		return &peerapi.SyncReply{}
	}
	c.awaitTold(ctx, args)
	if !c.hearsLeader() {
		return &peerapi.SyncReply{}
	}
	reply := c.news(args)
	reply.Held = c.clock.Now().Sub(begun)
	reply.Current = true
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Lease = c.observer.Version()
	reply.Leader = c.leader
	return reply
}

// hearsLeader reports whether the leading instance itself has answered this one lately, and this one
// stays. A relay that had heard of it from another one might be told by one of its own followers.
func (c *Coordinator) hearsLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving && c.leader.Address != "" && c.leaderAnsweredAt != clock.Never && c.clock.Now().Sub(c.leaderAnsweredAt) < relayCurrent
}

// noteDownstream notes a report that is to be passed on.
func (c *Coordinator) noteDownstream(args *peerapi.SyncArgs) {
	c.collector.AddReport(args.Work, args.Pace)
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.below[args.Self.ID]
	if d == nil {
		d = &downstream{Instance: args.Self, passedOn: clock.Never}
		c.below[args.Self.ID] = d
	}
	d.heardAt = c.clock.Now()
	d.leaving = args.Leaving
}

// reportedHere returns the instances that have reported through this one, for its own report.
func (c *Coordinator) reportedHere() []peerapi.RelayedInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var list []peerapi.RelayedInstance
	for id, d := range c.below {
		if now.Sub(d.heardAt) > memberFor {
			delete(c.below, id)
			continue
		}
		if d.heardAt <= d.passedOn || now.Sub(d.passedOn) < memberEvery && !d.leaving {
			continue
		}
		d.passedOn = now
		list = append(list, peerapi.RelayedInstance{Instance: d.Instance, Age: now.Sub(d.heardAt), Leaving: d.leaving})
	}
	return list
}

// awaitTold waits until there is something to tell the sender of a report, or its time is over.
func (c *Coordinator) awaitTold(ctx context.Context, args *peerapi.SyncArgs) {
	c.asking.Add(1)
	defer c.asking.Add(-1)
	timer := time.NewTimer(min(args.Wait, syncHold))
	defer timer.Stop()
	for {
		snapshot := c.board.Load()
		if newer(args, snapshot) {
			c.gather(ctx, args)
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
