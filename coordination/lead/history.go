package lead

import (
	"slices"
	"sync"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// historyLength is how many versions of the snapshot are recorded. A follower reports several times
// a second; one that is further behind gets everything instead of the changes.
const historyLength = 64

// shortHistoryLength is how many versions an instance of a large fleet records if it replies to no
// others. If it leads next, it replies to a few relays, which are one or two changes behind. The
// memory that versions take grows with the number of targets.
const shortHistoryLength = 4

// history records recent snapshots, so that replies need only contain the changes since then.
// Followers record them too: when one of them becomes leader, the others have snapshots that it
// had. No other lock is taken while its lock is held.
type history struct {
	mu      sync.Mutex
	targets []targetsEntry
	// instances are lists of instances, from the oldest to the newest.
	instances []instancesEntry
	maps      map[string][]*keyrange.Map
	mapDiffs  map[diffKey][]keyrange.Range
	rules     rulesHistory
	// fullState caches the last reply to instances that have no state.
	fullState fullStateCache
}

type targetsEntry struct {
	digest uint64
	list   map[string]view.Target
}

type instancesEntry struct {
	version view.InstancesVersion
	list    []view.Instance
}

type diffKey struct {
	service  string
	from, to uint64
}

// keepNewest returns at most the given number of elements from the end of a list, and drops the
// others.
func keepNewest[T any](list []T, limit int) []T {
	return slices.Delete(list, 0, max(0, len(list)-limit))
}

// record records a snapshot, and keeps at most the given number of versions.
func (h *history) record(s *view.Snapshot, limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.targets); n == 0 || h.targets[n-1].digest != s.TargetsDigest {
		h.targets = append(h.targets, targetsEntry{s.TargetsDigest, s.Targets})
	}
	h.targets = keepNewest(h.targets, limit)
	if n := len(h.instances); n == 0 || h.instances[n-1].version != s.InstancesVersion {
		h.instances = append(h.instances, instancesEntry{s.InstancesVersion, s.Instances})
	}
	h.instances = keepNewest(h.instances, limit)
	h.rules.record(s)
	if h.maps == nil {
		h.maps = map[string][]*keyrange.Map{}
	}
	for service, m := range s.Maps {
		list := h.maps[service]
		if n := len(list); n == 0 || list[n-1].Version < m.Version {
			list = append(list, m)
		}
		h.maps[service] = keepNewest(list, limit)
	}
}

// addTargets adds the changes to a reply since the targets with the given digest.
func (h *history) addTargets(reply *peerapi.SyncReply, since uint64, s *view.Snapshot, now clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var before map[string]view.Target
	for _, l := range h.targets {
		// A follower that knows no targets has the digest 0.
		if l.digest == since && since != 0 {
			before = l.list
		}
	}
	reply.TargetsFrom = since
	reply.TargetsWhole = before == nil
	for id, target := range s.Targets {
		if former, listed := before[id]; !listed || !former.EqualForRouting(target) {
			reply.Targets = append(reply.Targets, target.ForSync(now))
		}
	}
	for id := range before {
		if _, kept := s.Targets[id]; !kept {
			reply.TargetsGone = append(reply.TargetsGone, id)
		}
	}
}

// addInstances adds the changes in the list of instances since a version to a reply. If the whole
// list were sent to all instances whenever one of them starts, the cost would grow with the square
// of their number.
func (h *history) addInstances(reply *peerapi.SyncReply, since view.InstancesVersion, s *view.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.InstancesVersion = s.InstancesVersion
	reply.InstancesWhole = true
	before := map[string]view.Instance{}
	for _, l := range h.instances {
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

// mapUpdate returns the changes in a map since a version. Most followers have the same version, so
// the changes are cached.
func (h *history) mapUpdate(service string, since uint64, m *keyrange.Map) peerapi.MapUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, old := range h.maps[service] {
		if old.Version != since {
			continue
		}
		key := diffKey{service, since, m.Version}
		changed, cached := h.mapDiffs[key]
		if !cached {
			if h.mapDiffs == nil || len(h.mapDiffs) >= historyLength {
				h.mapDiffs = map[diffKey][]keyrange.Range{}
			}
			changed = m.Diff(old)
			h.mapDiffs[key] = changed
		}
		return peerapi.MapUpdate{Version: m.Version, From: since, Changed: changed}
	}
	return peerapi.MapUpdate{Version: m.Version, Changed: m.Ranges}
}
