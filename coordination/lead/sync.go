package lead

import (
	"context"
	"time"

	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// batchDelayPerReport is how long a reply with an update is delayed for each report that waits
// here, so that updates in quick succession are sent together.
const batchDelayPerReport = 300 * time.Microsecond

// Sync replies to a report of another instance. A leader replies as soon as there is an update for
// the sender, and without an update when the report's wait, the leader's term or ctx is over.
//
// An instance that does not lead replies as a relay, with what it knows and Current set. If it may
// not, for example because its own information is not recent, the reply has neither Leading nor
// Current set; see isCurrentFor and hearsFromLeader. A sender that is starting gets the snapshot
// even if it is old.
func (c *Coordinator) Sync(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	c.quarantine.Merge(args.Quarantine)
	c.targetStatus.RecordReported(args.LeavingTargets)
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		replyTo := c.replyAsRelay
		if args.Relayed {
			replyTo = c.replyToDownstream
		}
		reply := replyTo(ctx, args)
		reply.Vacated, reply.VacatedHeld = c.givenUpNotice()
		return reply
	}
	t.noteReport(args)
	if args.StoreAnswers {
		t.noteStoreAnswersOthers()
	}
	c.aggregator.AddReport(args.Work, args.Pace, c.clock.Now())
	begun := c.clock.Now()
	c.awaitUpdate(ctx, t, args)
	t.noteMember(args.Self, c.clock.Now(), args.Leaving)
	reply := c.updateFor(args)
	t.grantShares(args, reply)
	now := c.clock.Now()
	reply.Held = now.Sub(begun)
	c.mu.Lock()
	reply.Lease = c.observer.Version()
	reply.Leading = c.term == t
	reply.Leader = c.leader
	c.mu.Unlock()
	reply.StoreSilent = t.suspectsCutOff(now)
	reply.Vacated, reply.VacatedHeld = c.givenUpNotice()
	return reply
}

// awaitUpdate waits until there is an update for the sender of a report, or the report's wait is
// over.
func (c *Coordinator) awaitUpdate(ctx context.Context, t *term, args *peerapi.SyncArgs) {
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
			continue
		case <-timer.C:
		case <-t.stop:
		case <-ctx.Done():
		}
		return
	}
}

// batchUpdates delays an update for a moment, except for an instance that has just started.
func (c *Coordinator) batchUpdates(ctx context.Context, args *peerapi.SyncArgs) {
	count := int(c.delayedReplies.Load())
	if args.Relayed {
		// Each reply costs CPU time in the whole fleet, whichever instance sends it: with a move
		// every 70 ms and no delay, 280 followers would each receive 14 replies a second.
		count = len(c.board.Snapshot().Instances)
	}
	if !args.Starting {
		sleep(ctx, batchDelayPerReport*time.Duration(count))
	}
}

// hasUpdateFor reports whether a snapshot has something newer than the sender of a report.
func hasUpdateFor(args *peerapi.SyncArgs, s *view.Snapshot) bool {
	if s.Rules != nil && s.RulesVersion > args.RulesVersion || s.TargetsDigest != args.TargetsDigest || s.InstancesVersion.Compare(args.InstancesVersion) > 0 ||
		s.Evacuations.Version > args.EvacuationsVersion {
		return true
	}
	for service, m := range s.Maps {
		if m.Version > args.MapVersions[service] {
			return true
		}
	}
	return false
}

// updateFor returns a reply with everything in the snapshot that the sender of a report does not
// have.
//
// The versions read and the age are taken before the snapshot. Otherwise a read that completes in
// between would be confirmed to a follower that does not get the result, and that would not ask for
// it again.
func (c *Coordinator) updateFor(args *peerapi.SyncArgs) *peerapi.SyncReply {
	reply := &peerapi.SyncReply{
		RulesRead: c.board.RulesReadVersion(), TargetsRead: c.board.TargetsReadVersion(), TargetsKept: c.board.Retained(), Age: c.clock.Now().Sub(c.board.CurrentAsOf()),
	}
	reply.Quarantine, reply.QuarantineVersion = c.quarantine.UpdateSince(args.QuarantineVersion)
	s := c.board.Snapshot()
	reply.RulesVersion, reply.TargetsDigest = s.RulesVersion, s.TargetsDigest
	if s.Evacuations.Version > args.EvacuationsVersion {
		reply.EvacuationsVersion, reply.Evacuated = s.Evacuations.Version, s.Evacuations.List()
	}
	c.history.record(s, historyLength)
	if s.Rules != nil && s.RulesVersion > args.RulesVersion {
		if err := c.history.addRules(reply, args.RulesVersion); err != nil {
			c.log("rules-not-told", "error", err.Error(), "rules", s.RulesVersion)
		}
	}
	if args.Starting {
		c.addFullState(reply, s)
		return reply
	}
	if s.TargetsDigest != args.TargetsDigest {
		c.history.addTargets(reply, args.TargetsDigest, s, c.clock.Now())
	}
	for service, m := range s.Maps {
		if m.Version > args.MapVersions[service] {
			if reply.Maps == nil {
				reply.Maps = map[string]peerapi.MapUpdate{}
			}
			reply.Maps[service] = c.history.mapUpdate(service, args.MapVersions[service], m)
		}
	}
	if s.InstancesVersion.Compare(args.InstancesVersion) > 0 {
		c.history.addInstances(reply, args.InstancesVersion, s)
	}
	return reply
}

// addFullState adds all targets, maps and instances to a reply.
func (c *Coordinator) addFullState(reply *peerapi.SyncReply, s *view.Snapshot) {
	text, err := c.history.encodedFullState(s, c.clock.Now())
	if err != nil {
		c.log("whole-not-told", "error", err.Error())
		return
	}
	reply.Whole = text
	reply.InstancesVersion = s.InstancesVersion
}
