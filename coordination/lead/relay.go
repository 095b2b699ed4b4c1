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

// While nobody leads, a few instances, the relays, read the store and look at the lease, and
// the others ask them: each call is paid for, and all instances would make them at the same time.
//
// Relays decide nothing: what they tell carries its age, and an instance to which none of
// them answers with something current looks for itself.
const (
	// relayCount is the number of relays. With three, one that is cut off or was killed with
	// the leader leaves two.
	relayCount = 3
	// relayDuty names the duty in the ranking of instances.
	relayDuty = "relay"
	// relayCurrent is the age of a relay's knowledge of the lease from which on it says
	// nothing: it may be cut off itself.
	relayCurrent = time.Second
	// settledAfter is how long a relay must have run before it tells others that targets are
	// gone: it may have started while the registry lacked some that live.
	settledAfter = 2500 * time.Millisecond
	// silentFor is how long a relay that did not answer is not asked again.
	silentFor = 2 * time.Second
	// relayTries bounds the relays asked in a row before an instance looks for itself.
	relayTries = 2
	// shortestAsk is the time to the next look at the lease below which an instance does not ask
	// relays any more, and the time in which one that holds questions does not answer.
	shortestAsk = 100 * time.Millisecond
)

// duties are who has which duty among the instances that are known.
type duties struct {
	version view.InstancesVersion
	lost    string
	// relays read for all while nobody leads; tree are the relays of this data centre.
	relays, tree []string
}

// duties returns who has which duty. They are ranked anew when the list of instances has changed, or a
// leader was lost: they are asked for many times a second.
func (c *Coordinator) duties() duties {
	s := c.board.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranked.version != s.InstancesVersion || c.ranked.lost != c.lost {
		c.ranked = duties{
			version: s.InstancesVersion, lost: c.lost,
			relays: rankRelays(s.Instances, c.lost), tree: treeRelays(s.Instances, c.config.Self.DataCentre),
		}
	}
	return c.ranked
}

// relays returns the addresses of the instances that read for all while nobody leads, this
// one among them if it is one. They are the same for all who know the same instances.
func (c *Coordinator) relays() []string {
	if len(c.board.Load().Instances) == 0 {
		return c.config.Seeds
	}
	return c.duties().relays
}

func rankRelays(list []view.Instance, lost string) []string {
	present := slices.DeleteFunc(slices.Clone(list), func(i view.Instance) bool { return i.ID == lost })
	return rank(present, relayDuty, relayCount)
}

// rank returns the addresses of the first instances in the ranking for a duty: large ones before those
// with half of the largest one's part of a core or less, and by rendezvous hash.
func rank(list []view.Instance, duty string, count int) []string {
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
		if largerBy*i.Weight <= largest {
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

// isRelay reports whether this instance reads for others while nobody leads. One that knows
// of no others does.
func (c *Coordinator) isRelay() bool {
	relays := c.relays()
	return len(relays) == 0 || slices.Contains(relays, c.config.Self.Address)
}

// askRelay asks relays who leads and what is new. It reports whether one answered with
// something current; otherwise this instance must look for itself. With await a relay may hold
// the question until it has heard something.
func (c *Coordinator) askRelay(ctx context.Context, await bool) bool {
	relays := c.relays()
	if len(relays) == 0 || slices.Contains(relays, c.config.Self.Address) || c.board.CurrentAsOf() == clock.Never {
		// One that has just started reads for itself: after a loss of power the seeds may be
		// the last to be back, and callers would wait for them.
		return false
	}
	first := int(xxhash.Sum64String(c.config.Self.ID) % uint64(len(relays)))
	tries := 0
	for i := range relays {
		address := relays[(first+i)%len(relays)]
		if tries == relayTries || !c.mayAnswer(address) {
			continue
		}
		tries++
		if c.ask(ctx, address, await) {
			return true
		}
	}
	return false
}

// mayAnswer reports whether a relay should be asked.
func (c *Coordinator) mayAnswer(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, silent := c.silent[address]
	return !silent || c.clock.Now().Sub(at) >= silentFor
}

// ask asks one relay.
func (c *Coordinator) ask(ctx context.Context, address string, await bool) bool {
	args := c.question()
	args.AwaitCurrent = await
	c.mu.Lock()
	args.Lost = c.lost
	c.mu.Unlock()
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, address, args)
	cancel()
	if err != nil {
		c.noteSilent(address, err)
		return false
	}
	c.noteVacated(reply.Vacated, reply.VacatedHeld)
	if !reply.Leading && !reply.Current {
		return false
	}
	taken := c.adopt(begun, args, reply)
	c.mu.Lock()
	c.setLeader(reply.Leader)
	c.mu.Unlock()
	if !taken {
		sleep(ctx, pollEvery/4)
	}
	return true
}

// askAnybody asks the seeds for whatever they know, when this instance knows nothing and cannot
// read the store. Without it a process that starts while the store is away serves nobody until
// the store is back, though all others know enough.
func (c *Coordinator) askAnybody(ctx context.Context) {
	for _, address := range c.config.Seeds {
		if c.board.CurrentAsOf() != clock.Never {
			return
		}
		if address == c.config.Self.Address || !c.mayAnswer(address) {
			continue
		}
		if err := c.askAll(ctx, address, 0); err != nil && !errors.Is(err, errKnowsNothing) {
			c.noteSilent(address, err)
		}
	}
}

// noteSilent notes that a relay did not answer.
func (c *Coordinator) noteSilent(address string, err error) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[address] = now
	c.log("relay-silent", "address", address, "error", err.Error())
}

// relay answers a question while this instance does not lead. It waits until there is
// something new: a leader other than the lost one, or anything that the sender lacks.
func (c *Coordinator) relay(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	begun := c.clock.Now()
	if args.Starting {
		c.awaitKnown(ctx, args)
		return c.whatIsKnown(args)
	}
	if !c.awaitCurrent(ctx, args) {
		return &peerapi.SyncReply{}
	}
	c.awaitLeader(ctx, args)
	if !c.current(args) {
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

// whatIsKnown tells what this instance knows, with its age.
func (c *Coordinator) whatIsKnown(args *peerapi.SyncArgs) *peerapi.SyncReply {
	if c.board.CurrentAsOf() == clock.Never {
		return &peerapi.SyncReply{}
	}
	reply := c.news(args)
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Leader = c.leader
	reply.Leading = c.term != nil
	return reply
}

// current reports whether this instance may speak as a relay to the sender of a question.
func (c *Coordinator) current(args *peerapi.SyncArgs) bool {
	now := c.clock.Now()
	if c.board.CurrentAsOf() == clock.Never {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || args.TargetsDigest != 0 && now.Sub(c.started) < settledAfter {
		return false
	}
	follows := c.lastSync != clock.Never && now.Sub(c.lastSync) < relayCurrent
	looked := c.lookedAt != clock.Never && now.Sub(c.lookedAt) < relayCurrent
	return follows || looked
}

// awaitCurrent reports whether this instance may speak as a relay to the sender of a question. For
// one that has nobody else to hear from it waits until it may, or the question's time is over: a
// relay is the first to notice when the store answers again.
func (c *Coordinator) awaitCurrent(ctx context.Context, args *peerapi.SyncArgs) bool {
	timer := time.NewTimer(min(args.Wait, syncHold))
	defer timer.Stop()
	for {
		c.mu.Lock()
		heard, leaving := c.heard, c.leaving
		c.mu.Unlock()
		if c.current(args) {
			return true
		}
		if !args.AwaitCurrent || leaving || !c.isRelay() {
			return false
		}
		select {
		case <-heard:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// awaitLeader waits until there is something to tell the sender of a question, or its time
// is over.
func (c *Coordinator) awaitLeader(ctx context.Context, args *peerapi.SyncArgs) {
	timer := time.NewTimer(min(args.Wait, syncHold))
	defer timer.Stop()
	for {
		snapshot := c.board.Load()
		c.mu.Lock()
		leader, known := c.leader, c.leaderKnown
		c.mu.Unlock()
		if newer(args, snapshot) || tells(leader, args.Lost) {
			return
		}
		select {
		case <-snapshot.Changed:
		case <-known:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// tells reports whether a holder of the lease is news to an instance that lost one.
func tells(leader lease.Row, lost string) bool {
	return leader.Address != "" && leader.Holder != lost
}
