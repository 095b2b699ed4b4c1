package lead

import (
	"context"
	"time"

	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// gatherEach is how long an answer with news is held back for each report that is held here, so that
// news which come in quick succession go out together.
const gatherEach = 300 * time.Microsecond

// Sync answers a report of another instance, as soon as there is something new for it.
func (c *Coordinator) Sync(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	c.quarantine.Merge(args.Quarantine)
	c.standing.RecordReported(args.LeavingTargets)
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		answer := c.relay
		if args.Relayed {
			answer = c.passOn
		}
		reply := answer(ctx, args)
		reply.Vacated, reply.VacatedHeld = c.vacatedWord()
		return reply
	}
	t.heardAll(args)
	if args.StoreAnswers {
		t.heardOfStore()
	}
	c.total.AddReport(args.Work, args.Pace, c.clock.Now())
	begun := c.clock.Now()
	c.awaitNews(ctx, t, args)
	t.heard(args.Self, c.clock.Now(), args.Leaving)
	reply := c.news(args)
	now := c.clock.Now()
	reply.Held = now.Sub(begun)
	c.mu.Lock()
	reply.Lease = c.observer.Version()
	reply.Leading = c.term == t
	reply.Leader = c.leader
	c.mu.Unlock()
	reply.StoreSilent = t.suspects(now)
	reply.Vacated, reply.VacatedHeld = c.vacatedWord()
	return reply
}

// awaitNews waits until there is something new for the sender of a report, or its time is
// over.
func (c *Coordinator) awaitNews(ctx context.Context, t *term, args *peerapi.SyncArgs) {
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
			continue
		case <-timer.C:
		case <-t.stop:
		case <-ctx.Done():
		}
		return
	}
}

// gather holds news back for a moment, but for an instance that has just started.
func (c *Coordinator) gather(ctx context.Context, args *peerapi.SyncArgs) {
	count := int(c.asking.Load())
	if args.Relayed {
		// The fleet spends on each answer, whoever gives it: with a move every 70 ms, 280 followers
		// that are told at once answer 14 times a second.
		count = len(c.board.Load().Instances)
	}
	if !args.Starting {
		sleep(ctx, gatherEach*time.Duration(count))
	}
}

// newer reports whether a snapshot has what the sender of a report lacks.
func newer(args *peerapi.SyncArgs, s *view.Snapshot) bool {
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

// news returns what is known here that the sender of a report lacks.
//
// How new that is is noted before the snapshot is taken: a reading that comes in between would
// be told as done to one that does not get what it found, and who would not look for it.
func (c *Coordinator) news(args *peerapi.SyncArgs) *peerapi.SyncReply {
	reply := &peerapi.SyncReply{
		RulesRead: c.board.RulesReadVersion(), TargetsRead: c.board.TargetsReadVersion(), TargetsKept: c.board.Retained(), Age: c.clock.Now().Sub(c.board.CurrentAsOf()),
	}
	reply.Quarantine, reply.QuarantineVersion = c.quarantine.UpdateSince(args.QuarantineVersion)
	s := c.board.Load()
	reply.RulesVersion, reply.TargetsDigest = s.RulesVersion, s.TargetsDigest
	if s.Evacuations.Version > args.EvacuationsVersion {
		reply.EvacuationsVersion, reply.Evacuated = s.Evacuations.Version, s.Evacuations.List()
	}
	c.told.remember(s, toldVersions)
	if s.Rules != nil && s.RulesVersion > args.RulesVersion {
		if err := c.told.rulesSince(reply, args.RulesVersion); err != nil {
			c.log("rules-not-told", "error", err.Error(), "rules", s.RulesVersion)
		}
	}
	if args.Starting {
		c.tellWhole(reply, s)
		return reply
	}
	if s.TargetsDigest != args.TargetsDigest {
		c.told.targets(reply, args.TargetsDigest, s, c.clock.Now())
	}
	for service, m := range s.Maps {
		if m.Version > args.MapVersions[service] {
			if reply.Maps == nil {
				reply.Maps = map[string]peerapi.MapUpdate{}
			}
			reply.Maps[service] = c.told.mapNews(service, args.MapVersions[service], m)
		}
	}
	if s.InstancesVersion.Compare(args.InstancesVersion) > 0 {
		c.told.membership(reply, args.InstancesVersion, s)
	}
	return reply
}

// tellWhole puts everything that is known of targets, maps and instances into a reply.
func (c *Coordinator) tellWhole(reply *peerapi.SyncReply, s *view.Snapshot) {
	text, err := c.told.whole(s, c.clock.Now())
	if err != nil {
		c.log("whole-not-told", "error", err.Error())
		return
	}
	reply.Whole = text
	reply.InstancesVersion = s.InstancesVersion
}
