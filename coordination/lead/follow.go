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

// follow reports to the leader, and takes the lease when it is free.
func (c *Coordinator) follow(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		c.mu.Lock()
		address := c.leader.Address
		shuttingDown := c.shuttingDown
		c.mu.Unlock()
		if address != "" && address != c.config.Self.Address {
			if relay := c.treeRelay(); relay != "" && c.reportViaRelay(ctx, relay, shuttingDown) {
				continue
			}
			if c.reportTo(ctx, address, shuttingDown) {
				continue
			}
		}
		if !c.mayResumeLeading() && c.askRelays(ctx, false) {
			continue
		}
		t, err := c.checkLease(ctx, !shuttingDown && !c.pausesBids())
		c.allowStoreReads(ctx)
		if t == nil && c.mayResumeLeading() {
			sleep(ctx, resumePause)
			continue
		}
		if t == nil {
			if err != nil {
				c.askSeeds(ctx)
			}
			if c.isFollowing() {
				continue
			}
			interval := c.scaleToFleet(leaseReadInterval)
			c.awaitNextLeaseRead(ctx, c.pauseAfterFailure(pause.after(err, interval/2+rand.N(interval/2)), err), err)
			continue
		}
		t.run(ctx)
		c.mu.Lock()
		c.term = nil
		c.leader = lease.Row{}
		c.lostLeader = c.config.Self.ID
		c.mu.Unlock()
	}
}

// awaitNextLeaseRead waits until it is time to read the lease again, or until a relay has replied
// with current information. err is the error of the last read.
//
// While the store answers nobody, the pause grows, since each call to the store costs money. An
// instance that only waited for the end of its pause would notice seconds later than a relay that
// the store is available again.
func (c *Coordinator) awaitNextLeaseRead(ctx context.Context, pause time.Duration, err error) {
	until := c.clock.Now().Add(pause)
	for ctx.Err() == nil {
		left := until.Sub(c.clock.Now())
		if left <= 0 {
			return
		}
		if err == nil || left < minAskTime {
			sleep(ctx, left)
			return
		}
		begun := c.clock.Now()
		if c.askRelays(ctx, true) {
			return
		}
		if c.clock.Now().Sub(begun) < minAskTime {
			// No relay delays its reply until it is current: none is known, or none replies.
			sleep(ctx, min(left, pollInterval))
		}
	}
}

// reportTo sends one report to the instance at an address, and reports whether that instance leads.
func (c *Coordinator) reportTo(ctx context.Context, address string, shuttingDown bool) bool {
	args := c.newSyncArgs()
	args.Leaving = shuttingDown
	args.Work, args.Pace = c.collector.TakeMeasurements()
	args.Members = c.downstreamMembers()
	if c.isStoreRelay() || c.hasDownstreams() {
		args.Wait = relayMaxReplyDelay
	}
	c.addQuotaReport(args)
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, address, args)
	cancel()
	if err == nil {
		c.noteGivenUp(reply.Vacated, reply.VacatedHeld)
	}
	if err != nil || !reply.Leading {
		c.noteLeaderLost(address, err)
		return false
	}
	c.noteFollowing()
	c.mu.Lock()
	c.leaderRepliedAt = c.clock.Now()
	c.mu.Unlock()
	adopted := c.applyReply(begun, args, reply)
	c.adoptQuota(reply)
	if !adopted {
		// The leader has not yet read what is known here; it will within pollInterval.
		sleep(ctx, pollInterval/4)
	}
	if reply.StoreSilent {
		c.probeStore(ctx)
	}
	return true
}

// hasDownstreams reports whether other instances report through this one.
func (c *Coordinator) hasDownstreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.downstreams) > 0
}

// newSyncArgs returns a report that asks for everything newer than this instance's snapshot.
func (c *Coordinator) newSyncArgs() *peerapi.SyncArgs {
	snapshot := c.board.Snapshot()
	c.mu.Lock()
	refused := c.rulesRefused
	answers := c.storeAnsweredAt != clock.Never && c.clock.Now().Sub(c.storeAnsweredAt) < renewalOverdueAfter
	c.mu.Unlock()
	args := &peerapi.SyncArgs{
		StoreAnswers: answers,
		Self:         c.config.Self, RulesVersion: snapshot.RulesVersion, TargetsDigest: snapshot.TargetsDigest,
		InstancesVersion: snapshot.InstancesVersion, EvacuationsVersion: snapshot.Evacuations.Version, MapVersions: map[string]uint64{}, Wait: maxReplyDelay,
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

// leavingTargets returns the targets that have reported that they are leaving.
func (c *Coordinator) leavingTargets(s *view.Snapshot) []string {
	return c.targetStatus.Leaving(func(id string) bool { _, listed := s.Targets[id]; return listed })
}

// isFollowing reports whether a leader has replied to this instance and has not been lost since.
func (c *Coordinator) isFollowing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSync != clock.Never && c.leader.Address != ""
}

// noteFollowing notes that the leader replied.
func (c *Coordinator) noteFollowing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSync == clock.Never {
		c.log("leader-followed", "leader", c.leader.Holder, "term", c.leader.Term)
	}
	c.lastSync = c.clock.Now()
	c.heardFromLeader = true
	c.notifyCurrent()
	c.lostLeader = ""
}

// setLeader notes the holder of the lease; the zero row if none is known. The caller must hold the
// lock.
func (c *Coordinator) setLeader(row lease.Row) {
	c.leader = row
	if isNewLeader(row, c.lostLeader) {
		close(c.leaderFound)
		c.leaderFound = make(chan struct{})
	}
}

func (c *Coordinator) noteLeaderLost(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostLeader = c.leader.Holder
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

// applyReply adopts the data in a reply of another instance. It reports whether the reply was at
// least as new as this instance's snapshot.
func (c *Coordinator) applyReply(begun clock.Instant, args *peerapi.SyncArgs, reply *peerapi.SyncReply) bool {
	now := c.clock.Now()
	c.mu.Lock()
	c.observer.Observe(reply.Lease, false, now)
	c.mu.Unlock()
	// The state that the reply confirms was read reply.Age before the reply was sent. All of the
	// time since the report was sent may have been spent on the way back, except for the delay of
	// the reply.
	travel := max(0, now.Sub(begun)-reply.Held)
	at := now.Add(-reply.Age - travel)
	if c.board.SetEvacuations(reply.EvacuationsVersion, reply.Evacuated) {
		c.log("evacuations-changed", "evacuated", reply.Evacuated, "read", reply.EvacuationsVersion, "age_ms", reply.Age.Milliseconds())
	}
	err := c.applyRules(reply, at)
	if err != nil {
		c.log("rules-refused", "error", err.Error(), "from", fromLeader)
	}
	adopted := c.applyTargets(reply, at) && err == nil
	for service, update := range reply.Maps {
		c.applyMapUpdate(service, update)
	}
	c.applyInstances(args, reply)
	c.quarantine.MarkReported(args.Quarantine)
	c.quarantine.Adopt(reply.Quarantine, reply.QuarantineVersion)
	c.history.record(c.board.Snapshot(), c.versionsToRecord())
	return adopted
}

// versionsToRecord returns how many versions of the snapshot this instance records for replies.
func (c *Coordinator) versionsToRecord() int {
	if len(c.board.Snapshot().Instances) <= treeWidth || c.isStoreRelay() || slices.Contains(c.duties().treeRelays, c.config.Self.Address) {
		return historyLength
	}
	return shortHistoryLength
}

// applyTargets adopts the targets of a reply, and reports whether this instance has them now: it
// does not if the sender's last read of the registry is older than its own, or if the reply
// contains changes of a list other than its own.
func (c *Coordinator) applyTargets(reply *peerapi.SyncReply, at clock.Instant) bool {
	snapshot := c.board.Snapshot()
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

// applyInstances adopts the list of instances if the reply has a newer one.
func (c *Coordinator) applyInstances(args *peerapi.SyncArgs, reply *peerapi.SyncReply) {
	if reply.InstancesVersion == (view.InstancesVersion{}) {
		return
	}
	var list []view.Instance
	if !reply.InstancesWhole {
		snapshot := c.board.Snapshot()
		if snapshot.InstancesVersion != args.InstancesVersion {
			// The changes are relative to another list; the next reply will have them.
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

// applyMapUpdate adopts a changed map of the leader. An update that does not apply to the map known
// here is dropped: the map is read from the store, or sent as a whole in a later reply.
func (c *Coordinator) applyMapUpdate(service string, update peerapi.MapUpdate) {
	base := keyrange.Empty()
	if update.From != 0 {
		base = c.board.Snapshot().Maps[service]
		if base == nil || base.Version != update.From {
			return
		}
	}
	m, err := base.Patch(update.Version, slices.Clone(update.Changed))
	if err != nil {
		c.log("map-refused", "service", service, "error", err.Error())
		return
	}
	c.board.SetMap(service, m)
}
