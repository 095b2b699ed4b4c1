package lead

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// follow reports to the leading instance, and takes the lease when it is free.
func (c *Coordinator) follow(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		c.mu.Lock()
		address := c.leader.Address
		leaving := c.leaving
		c.mu.Unlock()
		if address != "" && address != c.config.Self.Address {
			if relay := c.treeRelay(); relay != "" && c.reportThrough(ctx, relay, leaving) {
				continue
			}
			if c.report(ctx, address, leaving) {
				continue
			}
		}
		if !c.leadsOn() && c.askRelay(ctx, false) {
			continue
		}
		t, err := c.lookAtLease(ctx, !leaving && !c.standsBack())
		c.settleStart(ctx)
		if t == nil && c.leadsOn() {
			sleep(ctx, returnPause)
			continue
		}
		if t == nil {
			if err != nil {
				c.askAnybody(ctx)
			}
			if c.follows() {
				continue
			}
			look := c.shared(leaseLookEvery)
			c.awaitNextLook(ctx, c.spared(pause.after(err, look/2+rand.N(look/2)), err), err)
			continue
		}
		t.run(ctx)
		c.mu.Lock()
		c.term = nil
		c.leader = lease.Row{}
		c.lost = c.config.Self.ID
		c.mu.Unlock()
	}
}

// awaitNextLook waits until it is time to look at the lease again, or a relay has told what is
// current. err is that of the last look.
//
// While the store answers nobody the pause grows, since the calls of all instances are paid for. One that
// slept through it would hear seconds after the store is back of what a relay knows at once.
func (c *Coordinator) awaitNextLook(ctx context.Context, pause time.Duration, err error) {
	until := c.clock.Now().Add(pause)
	for ctx.Err() == nil {
		left := until.Sub(c.clock.Now())
		if left <= 0 {
			return
		}
		if err == nil || left < shortestAsk {
			sleep(ctx, left)
			return
		}
		begun := c.clock.Now()
		if c.askRelay(ctx, true) {
			return
		}
		if c.clock.Now().Sub(begun) < shortestAsk {
			// No relay holds questions: none is known, or none answers.
			sleep(ctx, min(left, pollEvery))
		}
	}
}

// report makes one report, and reports whether the other instance leads.
func (c *Coordinator) report(ctx context.Context, address string, leaving bool) bool {
	args := c.question()
	args.Leaving = leaving
	args.Work, args.Pace = c.collector.Drain()
	args.Members = c.reportedHere()
	if c.isRelay() || c.relaysReports() {
		args.Wait = relayWait
	}
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, address, args)
	cancel()
	if err == nil {
		c.noteVacated(reply.Vacated, reply.VacatedHeld)
	}
	if err != nil || !reply.Leading {
		c.noteLeaderLost(address, err)
		return false
	}
	c.followed()
	c.mu.Lock()
	c.leaderAnsweredAt = c.clock.Now()
	c.mu.Unlock()
	if !c.adopt(begun, args, reply) {
		// The leading instance has not read yet what is known here; it will, within pollEvery.
		sleep(ctx, pollEvery/4)
	}
	if reply.StoreSilent {
		c.tryStore(ctx)
	}
	return true
}

// relaysReports reports whether others report through this instance.
func (c *Coordinator) relaysReports() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.below) > 0
}

// question asks for what is newer than what is known here.
func (c *Coordinator) question() *peerapi.SyncArgs {
	snapshot := c.board.Load()
	c.mu.Lock()
	refused := c.rulesRefused
	answers := c.answeredAt != clock.Never && c.clock.Now().Sub(c.answeredAt) < suspectAfter
	c.mu.Unlock()
	args := &peerapi.SyncArgs{
		StoreAnswers: answers,
		Self:         c.config.Self, RulesVersion: snapshot.RulesVersion, TargetsDigest: snapshot.TargetsDigest,
		InstancesVersion: snapshot.InstancesVersion, EvacuationsVersion: snapshot.Evacuations.Version, MapVersions: map[string]uint64{}, Wait: syncHold,
		LeavingTargets: c.leavingTargets(snapshot),
		Quarantine:     c.quarantine.Unreported(), QuarantineVersion: c.quarantine.Version(),
	}
	if refused {
		args.RulesVersion = 0
	}
	for service, m := range snapshot.Maps {
		args.MapVersions[service] = m.Version
	}
	return args
}

// leavingTargets returns the targets that have said that they leave.
func (c *Coordinator) leavingTargets(s *view.Snapshot) []string {
	return c.standing.Leaving(func(id string) bool { _, listed := s.Targets[id]; return listed })
}

// follows reports whether an instance that leads has just answered this one.
func (c *Coordinator) follows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSync != clock.Never && c.leader.Address != ""
}

// followed notes that the leading instance answered.
func (c *Coordinator) followed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSync == clock.Never {
		c.log("leader-followed", "leader", c.leader.Holder, "term", c.leader.Term)
	}
	c.lastSync = c.clock.Now()
	c.heardLeader = true
	c.nowCurrent()
	c.lost = ""
}

// setLeader notes who holds the lease; the zero row: nobody that is known. The caller holds
// the lock.
func (c *Coordinator) setLeader(row lease.Row) {
	c.leader = row
	if tells(row, c.lost) {
		close(c.leaderKnown)
		c.leaderKnown = make(chan struct{})
	}
}

func (c *Coordinator) noteLeaderLost(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.leader.Holder
	c.leader = lease.Row{}
	if c.lastSync == clock.Never {
		return
	}
	c.lastSync = clock.Never
	reason := "does not lead any more"
	if err != nil {
		reason = err.Error()
	}
	c.log("leader-lost", "address", address, "reason", reason, "lease", c.observer.Version())
}

// adopt takes over what another instance told. It reports whether that was as new as what is
// known here.
func (c *Coordinator) adopt(begun clock.Instant, args *peerapi.SyncArgs, reply *peerapi.SyncReply) bool {
	now := c.clock.Now()
	c.mu.Lock()
	c.observer.Observe(reply.Lease, false, now)
	c.mu.Unlock()
	// What was confirmed had been read Age before the answer left. The way back may have
	// taken all of the time that was not spent waiting.
	travel := max(0, now.Sub(begun)-reply.Held)
	at := now.Add(-reply.Age - travel)
	if c.board.SetEvacuations(reply.EvacuationsVersion, reply.Evacuated) {
		c.log("evacuations-changed", "evacuated", reply.Evacuated, "read", reply.EvacuationsVersion, "age_ms", reply.Age.Milliseconds())
	}
	err := c.adoptRules(reply, at)
	if err != nil {
		c.log("rules-refused", "error", err.Error(), "from", fromLeader)
	}
	taken := c.adoptTargets(reply, at) && err == nil
	for service, news := range reply.Maps {
		c.adoptMap(service, news)
	}
	c.adoptInstances(args, reply)
	c.quarantine.MarkReported(args.Quarantine)
	c.quarantine.Adopt(reply.Quarantine, reply.QuarantineVersion)
	c.told.remember(c.board.Load(), c.versionsKept())
	return taken
}

// versionsKept returns how many versions of what it knows this instance remembers to tell others.
func (c *Coordinator) versionsKept() int {
	if len(c.board.Load().Instances) <= treeWidth || c.isRelay() || slices.Contains(c.duties().tree, c.config.Self.Address) {
		return toldVersions
	}
	return ownVersions
}

// adoptTargets takes over the targets that another instance believes. It reports whether they
// were taken: not from one that has read less than this instance.
func (c *Coordinator) adoptTargets(reply *peerapi.SyncReply, at clock.Instant) bool {
	snapshot := c.board.Load()
	if reply.TargetsDigest == snapshot.TargetsDigest {
		c.board.ConfirmTargets(at)
		return true
	}
	list := map[string]view.Target{}
	if !reply.TargetsWhole {
		if reply.TargetsFrom != snapshot.TargetsDigest {
			return false
		}
		maps.Copy(list, snapshot.Targets)
	}
	for _, t := range reply.Targets {
		list[t.ID] = t
	}
	for _, id := range reply.TargetsGone {
		delete(list, id)
	}
	return c.board.SetLeaderTargets(reply.TargetsRead, list, reply.TargetsKept, at)
}

// adoptInstances takes over the list of instances, where the answer has a newer one.
func (c *Coordinator) adoptInstances(args *peerapi.SyncArgs, reply *peerapi.SyncReply) {
	if reply.InstancesVersion == (view.InstancesVersion{}) {
		return
	}
	var list []view.Instance
	if !reply.InstancesWhole {
		snapshot := c.board.Load()
		if snapshot.InstancesVersion != args.InstancesVersion {
			// The changes are those since another list; the next answer has them.
			return
		}
		list = slices.DeleteFunc(slices.Clone(snapshot.Instances), func(i view.Instance) bool {
			return slices.Contains(reply.InstancesGone, i.ID) || slices.ContainsFunc(reply.Instances, func(j view.Instance) bool { return i.ID == j.ID })
		})
	}
	list = append(list, reply.Instances...)
	slices.SortFunc(list, func(a, b view.Instance) int { return cmp.Compare(a.ID, b.ID) })
	c.board.SetInstances(reply.InstancesVersion, list)
}

// adoptMap takes over a map of the leading instance's. One that cannot be made out of the
// one known here is read from the store, or told as a whole the next time.
func (c *Coordinator) adoptMap(service string, news peerapi.MapUpdate) {
	base := keyrange.Empty()
	if news.From != 0 {
		base = c.board.Load().Maps[service]
		if base == nil || base.Version != news.From {
			return
		}
	}
	m, err := base.Patch(news.Version, slices.Clone(news.Changed))
	if err != nil {
		c.log("map-refused", "service", service, "error", err.Error())
		return
	}
	c.board.SetMap(service, m)
}
