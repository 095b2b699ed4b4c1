package lead

import (
	"slices"
	"sync"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// toldVersions is how many versions are remembered of what followers were told. A follower
// reports several times a second; one that is further behind is told the whole.
const toldVersions = 64

// ownVersions is how many versions an instance of a large fleet remembers that answers no others. It may
// lead next, and then answers a few relays, which are a change or two behind. The memory that versions take
// grows with the number of targets.
const ownVersions = 4

// told remembers what was believed, so that others are told only what has changed since. A
// follower remembers too: when it comes to lead, the others know what it knew.
// Its lock is a leaf.
type told struct {
	mu    sync.Mutex
	lists []toldTargets
	// instances are the lists of instances, oldest first.
	instances []toldInstances
	maps      map[string][]*keyrange.Map
	differ    map[diffKey][]keyrange.Range
	rules     rulesTold
	// everything is what instances that knew nothing were last told.
	everything wholeTold
}

type toldTargets struct {
	digest uint64
	list   map[string]view.Target
}

type toldInstances struct {
	version view.InstancesVersion
	list    []view.Instance
}

type diffKey struct {
	service  string
	from, to uint64
}

// newest returns the last elements of a list, at most so many, and lets go of the others.
func newest[T any](list []T, most int) []T {
	return slices.Delete(list, 0, max(0, len(list)-most))
}

// remember notes what a snapshot tells, and keeps at most so many versions.
func (t *told) remember(s *view.Snapshot, most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.lists); n == 0 || t.lists[n-1].digest != s.TargetsDigest {
		t.lists = append(t.lists, toldTargets{s.TargetsDigest, s.Targets})
	}
	t.lists = newest(t.lists, most)
	if n := len(t.instances); n == 0 || t.instances[n-1].version != s.InstancesVersion {
		t.instances = append(t.instances, toldInstances{s.InstancesVersion, s.Instances})
	}
	t.instances = newest(t.instances, most)
	t.rules.remember(s)
	if t.maps == nil {
		t.maps = map[string][]*keyrange.Map{}
	}
	for service, m := range s.Maps {
		list := t.maps[service]
		if n := len(list); n == 0 || list[n-1].Version < m.Version {
			list = append(list, m)
		}
		t.maps[service] = newest(list, most)
	}
}

// targets puts into a reply what has changed since the targets with a digest.
func (t *told) targets(reply *peerapi.SyncReply, since uint64, s *view.Snapshot, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var before map[string]view.Target
	for _, l := range t.lists {
		// 0 is the digest of a follower which knows none.
		if l.digest == since && since != 0 {
			before = l.list
		}
	}
	reply.TargetsFrom = since
	reply.TargetsWhole = before == nil
	for id, target := range s.Targets {
		if old, known := before[id]; !known || !old.EqualForRouting(target) {
			reply.Targets = append(reply.Targets, target.ForSync(now))
		}
	}
	for id := range before {
		if _, kept := s.Targets[id]; !kept {
			reply.TargetsGone = append(reply.TargetsGone, id)
		}
	}
}

// membership puts into a reply what has changed among the instances since a version. Whole lists
// for all at each start of one would grow with the square of their number.
func (t *told) membership(reply *peerapi.SyncReply, since view.InstancesVersion, s *view.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply.InstancesVersion = s.InstancesVersion
	reply.InstancesWhole = true
	before := map[string]view.Instance{}
	for _, l := range t.instances {
		if l.version == since && since != (view.InstancesVersion{}) {
			reply.InstancesWhole = false
			for _, i := range l.list {
				before[i.ID] = i
			}
		}
	}
	for _, i := range s.Instances {
		if before[i.ID] != i {
			reply.Instances = append(reply.Instances, i)
		}
		delete(before, i.ID)
	}
	for id := range before {
		reply.InstancesGone = append(reply.InstancesGone, id)
	}
}

// mapNews returns what has changed in a map since a version. Followers mostly ask from the
// same one, so that differences are kept.
func (t *told) mapNews(service string, since uint64, m *keyrange.Map) peerapi.MapUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, old := range t.maps[service] {
		if old.Version != since {
			continue
		}
		key := diffKey{service, since, m.Version}
		changed, known := t.differ[key]
		if !known {
			if t.differ == nil || len(t.differ) >= toldVersions {
				t.differ = map[diffKey][]keyrange.Range{}
			}
			changed = m.Diff(old)
			t.differ[key] = changed
		}
		return peerapi.MapUpdate{Version: m.Version, From: since, Changed: changed}
	}
	return peerapi.MapUpdate{Version: m.Version, Changed: m.Ranges}
}
