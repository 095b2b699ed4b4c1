package lead

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// firstMembers is how long a leading instance that knows of no others waits for their
// reports before it tells anybody who is there.
const firstMembers = 300 * time.Millisecond

type member struct {
	view.Instance
	heardAt clock.Instant
	leaving bool
	// reported says that it has reported in this term, and is not only known from before.
	reported bool
}

// checkMembers drops instances that have not been heard from.
func (t *term) checkMembers(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[t.c.config.Self.ID].heardAt = now
	if t.count == 0 && !t.knew && now.Sub(t.begun) < firstMembers {
		return
	}
	changed := t.count == 0 || t.joined
	for id, m := range t.members {
		if now.Sub(m.heardAt) > memberFor || m.leaving {
			delete(t.members, id)
			t.c.log("instance-gone", "other", id)
			changed = true
		}
	}
	if changed {
		// Instances that start together are told together: each list goes to all.
		t.joined = false
		t.publishMembers()
	}
}

// publishMembers puts the list of instances into force. The caller holds the lock.
func (t *term) publishMembers() {
	t.count++
	list := make([]view.Instance, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m.Instance)
	}
	slices.SortFunc(list, func(a, b view.Instance) int { return cmp.Compare(a.ID, b.ID) })
	t.c.board.SetInstances(view.InstancesVersion{Term: t.stored.lease.Term, Count: t.count}, list)
}

// heardAll notes a report, and those that came through its sender.
func (t *term) heardAll(args *peerapi.SyncArgs) {
	now := t.c.clock.Now()
	t.heard(args.Self, now, args.Leaving)
	for _, m := range args.Members {
		t.heard(m.Instance, now.Add(-m.Age), m.Leaving)
	}
}

// heard notes a report that an instance made at the given time.
func (t *term) heard(i view.Instance, at clock.Instant, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[i.ID]
	if m == nil {
		if leaving {
			return
		}
		t.members[i.ID] = &member{Instance: i, heardAt: at, reported: true}
		t.joined = true
		return
	}
	m.heardAt = m.heardAt.Later(at)
	m.reported = true
	m.leaving = m.leaving || leaving
}
