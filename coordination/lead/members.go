package lead

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// initialMembersWait is how long a new leader that knows of no other instances waits for their
// reports before it publishes a list of instances.
const initialMembersWait = 300 * time.Millisecond

// member is an instance that has reported in this term, or that was known when the term began.
type member struct {
	view.Instance
	reportedAt   clock.Instant
	shuttingDown bool
	// reported says that the instance has reported in this term; otherwise it is only known from
	// before.
	reported bool
}

// updateMembers removes instances that are shutting down or have stopped reporting, and publishes
// the list if it has changed.
func (t *term) updateMembers(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[t.c.config.Self.ID].reportedAt = now
	if t.memberListCount == 0 && !t.knewMembers && now.Sub(t.begunAt) < initialMembersWait {
		return
	}
	changed := t.memberListCount == 0 || t.membersJoined
	for id, m := range t.members {
		if now.Sub(m.reportedAt) > memberTimeout || m.shuttingDown {
			delete(t.members, id)
			t.c.log("instance-gone", "other", id)
			changed = true
		}
	}
	if changed {
		// Instances that start together are published together: each list is sent to all.
		t.membersJoined = false
		t.publishMembers()
	}
}

// publishMembers publishes the list of instances. The caller must hold the lock.
func (t *term) publishMembers() {
	t.memberListCount++
	list := make([]view.Instance, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m.Instance)
	}
	slices.SortFunc(list, func(a, b view.Instance) int { return cmp.Compare(a.ID, b.ID) })
	t.c.board.SetInstances(view.InstancesVersion{Term: t.stored.lease.Term, Count: t.memberListCount}, list)
}

// noteReport notes the sender of a report, and the instances whose reports it forwards.
func (t *term) noteReport(args *peerapi.SyncArgs) {
	now := t.c.clock.Now()
	t.noteMember(args.Self, now, args.Leaving)
	for _, m := range args.Members {
		t.noteMember(m.Instance, now.Add(-m.Age), m.Leaving)
	}
}

// noteMember notes that an instance reported at the given time.
func (t *term) noteMember(i view.Instance, at clock.Instant, shuttingDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[i.ID]
	if m == nil {
		if shuttingDown {
			return
		}
		t.members[i.ID] = &member{Instance: i, reportedAt: at, reported: true}
		t.membersJoined = true
		return
	}
	m.reportedAt = m.reportedAt.Later(at)
	m.reported = true
	m.shuttingDown = m.shuttingDown || shuttingDown
}
