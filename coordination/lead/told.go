package lead

import (
	"sync"

	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// toldVersions is how many versions are remembered of what followers were told. A follower
// reports several times a second; one that is further behind is told the whole.
const toldVersions = 64

// told remembers what was believed, so that others are told only what has changed since. A
// follower remembers too: when it comes to lead, the others know what it knew.
// Telling 90 instances each map and list of 450 targets as a whole took 0.33 GB between data
// centres in half a minute. Its lock is a leaf.
type told struct {
	mu     sync.Mutex
	lists  []toldTargets
	maps   map[string][]*keyrange.Map
	differ map[diffKey][]keyrange.Range
}

type toldTargets struct {
	digest uint64
	list   map[string]view.Target
}

type diffKey struct {
	service  string
	from, to uint64
}

// remember notes what a snapshot tells.
func (t *told) remember(s *view.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.lists); n == 0 || t.lists[n-1].digest != s.TargetsDigest {
		t.lists = append(t.lists, toldTargets{s.TargetsDigest, s.Targets})
		t.lists = t.lists[max(0, len(t.lists)-toldVersions):]
	}
	if t.maps == nil {
		t.maps = map[string][]*keyrange.Map{}
	}
	for service, m := range s.Maps {
		list := t.maps[service]
		if n := len(list); n == 0 || list[n-1].Version < m.Version {
			list = append(list, m)
			t.maps[service] = list[max(0, len(list)-toldVersions):]
		}
	}
}

// targets puts into a reply what has changed since the targets with a digest.
func (t *told) targets(reply *peerapi.SyncReply, since uint64, s *view.Snapshot) {
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
		if old, known := before[id]; !known || old != target {
			reply.Targets = append(reply.Targets, target)
		}
	}
	for id := range before {
		if _, kept := s.Targets[id]; !kept {
			reply.TargetsGone = append(reply.TargetsGone, id)
		}
	}
}

// mapNews returns what has changed in a map since a version. Followers mostly ask from the
// same one, so that differences are kept.
func (t *told) mapNews(service string, since uint64, m *keyrange.Map) peerapi.MapNews {
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
		return peerapi.MapNews{Version: m.Version, From: since, Changed: changed}
	}
	return peerapi.MapNews{Version: m.Version, Changed: m.Ranges}
}
