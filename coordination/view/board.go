package view

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/store"
)

// Snapshot is everything that the instance knows at one time. It is consistent and immutable.
type Snapshot struct {
	// Rules are the rules in force; nil until the first ones are known. RulesVersion is the version
	// written in them; the store version at which they were read is Board.RulesReadVersion.
	Rules        *rules.Set
	RulesVersion uint64

	// Targets are the known targets, by ID.
	Targets map[string]Target
	// ByService lists the targets of each service, by service name and sorted by ID.
	ByService map[string][]Target
	// TargetsDigest is a hash of the targets, without the fields that change with each heartbeat; 0
	// means that there are none. Instances that know the same targets have the same digest,
	// wherever they learned of them.
	TargetsDigest uint64

	// Maps holds the key map of each keyed service, by service name.
	Maps map[string]*keyrange.Map

	// Evacuations are the evacuated data centres.
	Evacuations Evacuations

	// Instances are the instances that report to the leader and the leader itself, sorted by ID.
	Instances        []Instance
	InstancesVersion InstancesVersion

	// Changed is closed when a newer snapshot has replaced this one.
	Changed chan struct{}
}

// InstancesVersion orders lists of instances: by the leader's term, then by the number of lists
// that it has published.
type InstancesVersion struct {
	Term  uint64
	Count uint64
}

// Compare returns -1, 0 or 1 if v is older than, equal to or newer than w.
func (v InstancesVersion) Compare(w InstancesVersion) int {
	return cmp.Or(cmp.Compare(v.Term, w.Term), cmp.Compare(v.Count, w.Count))
}

// missingGrace is how long a target that is no longer listed is retained after the registry can be
// read again. The registry drops entries while its store is unavailable; targets that still run are
// listed again within two seconds.
const missingGrace = 2 * time.Second

// maxReadGap is the longest pause between two reads of the registry that doesn't count as an
// interruption.
const maxReadGap = 1500 * time.Millisecond

// Board holds the current snapshot and replaces it as newer data arrives. It is safe for concurrent
// use.
type Board struct {
	clock   clock.Clock
	current atomic.Pointer[Snapshot]

	mu sync.Mutex
	// targetsReadVersion and rulesReadVersion are the store versions at which the registry and the
	// rules were last read.
	targetsReadVersion uint64
	rulesReadVersion   uint64
	// targetsCurrentAt and rulesCurrentAt are the latest times at which the known targets and the
	// known rules were current.
	targetsCurrentAt clock.Instant
	rulesCurrentAt   clock.Instant
	// retained are the known targets that were not listed when the registry was last read.
	retained Retained
	// uninterruptedSince is when the current series of reads of the registry without an
	// interruption began.
	uninterruptedSince clock.Instant
	// restoredAt is when the registry was first read after the store had been restored from a
	// backup.
	restoredAt clock.Instant
}

// NewBoard returns a board with an empty snapshot.
func NewBoard(c clock.Clock) *Board {
	b := &Board{clock: c, targetsCurrentAt: clock.Never, rulesCurrentAt: clock.Never, uninterruptedSince: c.Now(), restoredAt: clock.Never}
	b.current.Store(&Snapshot{
		Targets:   map[string]Target{},
		ByService: map[string][]Target{},
		Maps:      map[string]*keyrange.Map{},
		Changed:   make(chan struct{}),
	})
	return b
}

// Snapshot returns the current snapshot.
func (b *Board) Snapshot() *Snapshot { return b.current.Load() }

// publish replaces the current snapshot by a changed copy of it. The caller must hold the lock.
func (b *Board) publish(change func(*Snapshot)) {
	old := b.current.Load()
	next := *old
	next.Changed = make(chan struct{})
	change(&next)
	b.current.Store(&next)
	close(old.Changed)
}

// SetRules adopts rules that were current at the given time if their version is above that of the
// known ones. It reports whether they were adopted.
func (b *Board) SetRules(version uint64, set *rules.Set, at clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rulesCurrentAt = b.rulesCurrentAt.Later(at)
	old := b.current.Load()
	if old.Rules != nil && version <= old.RulesVersion {
		return false
	}
	b.publish(func(s *Snapshot) {
		s.Rules = set
		s.RulesVersion = version
	})
	return true
}

// ConfirmRules records that the known rules were current at the given time and store version.
func (b *Board) ConfirmRules(storeVersion uint64, at clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rulesReadVersion = max(b.rulesReadVersion, storeVersion)
	b.rulesCurrentAt = b.rulesCurrentAt.Later(at)
}

// RulesReadVersion returns the store version at which the rules were last read, by this instance or
// by the one that sent them; 0 if it is not known.
func (b *Board) RulesReadVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rulesReadVersion
}

// SetTargets adopts the targets that the registry listed when it was read at the given store
// version. The list was current at the given time; a list that is older than the last one is
// ignored. SetTargets returns the IDs of the targets that were removed and of those that were
// added.
func (b *Board) SetTargets(storeVersion uint64, list map[string]Target, at clock.Instant) (removed, added []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if storeVersion < b.targetsReadVersion {
		return nil, nil
	}
	before := b.targetsReadVersion
	b.targetsReadVersion = storeVersion
	b.recordRead(at)
	if before != 0 && store.EraOf(storeVersion) > store.EraOf(before) {
		b.restoredAt, b.uninterruptedSince = at, at
	}
	return b.publishTargets(b.retainMissing(before, b.current.Load().Targets, list))
}

// SetLeaderTargets replaces the known targets by the list of the leader, which read the registry at
// the given store version. A list older than the last one that this instance adopted is ignored.
// Targets missing from the list are removed at once, unlike those missing from the first reads
// after an interruption: the leader has read the registry all the time, or its list includes the
// targets whose entries may only have lapsed.
//
// The targets in retained are those that the leader knows though the registry no longer lists them.
// If this instance's own list is newer than retained.AsOf, it keeps its own entries of these
// targets and leaves out those that it does not know: if they still ran, it would know them.
// SetLeaderTargets returns false if it ignored the list or left out any target.
func (b *Board) SetLeaderTargets(storeVersion uint64, list map[string]Target, retained Retained, at clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if storeVersion < b.targetsReadVersion {
		return false
	}
	old := b.current.Load().Targets
	targets := b.carryOverTimes(old, list)
	whole := true
	if b.targetsReadVersion > retained.AsOf {
		whole = preferOwnEntries(targets, old, retained.IDs)
	}
	b.targetsReadVersion = storeVersion
	b.retained = retained
	b.recordRead(at)
	b.publishTargets(targets)
	return whole
}

// preferOwnEntries replaces the entries of the given targets in the list by this instance's own
// ones, and deletes those that this instance doesn't know. It reports whether none was deleted.
func preferOwnEntries(list, own map[string]Target, ids []string) bool {
	whole := true
	for _, id := range ids {
		t, known := own[id]
		if known {
			list[id] = t
			continue
		}
		delete(list, id)
		whole = false
	}
	return whole
}

// publishTargets publishes the targets if they have changed. It returns the IDs of the removed and
// of the added ones. The caller must hold the lock.
func (b *Board) publishTargets(targets map[string]Target) (removed, added []string) {
	old := b.current.Load()
	for id := range old.Targets {
		if _, known := targets[id]; !known {
			removed = append(removed, id)
		}
	}
	for id := range targets {
		if _, known := old.Targets[id]; !known {
			added = append(added, id)
		}
	}
	if sameTargets(old.Targets, targets) {
		return nil, nil
	}
	b.publish(func(s *Snapshot) {
		s.TargetsDigest = targetsDigest(targets)
		s.Targets = targets
		s.ByService = byService(targets)
	})
	return removed, added
}

// recordRead records that the registry was read at the given time. The caller must hold the lock.
func (b *Board) recordRead(at clock.Instant) {
	if b.targetsCurrentAt == clock.Never || at.Sub(b.targetsCurrentAt) > maxReadGap {
		b.uninterruptedSince = at
	}
	b.targetsCurrentAt = b.targetsCurrentAt.Later(at)
}

// ConfirmTargets records that the known targets were current at the given time.
func (b *Board) ConfirmTargets(at clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordRead(at)
}

// TargetsReadVersion returns the store version at which the registry was last read, by this
// instance or by the one that sent the targets.
func (b *Board) TargetsReadVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targetsReadVersion
}

// Retained lists targets that are still known though the registry doesn't list them: their entries
// may only have lapsed.
type Retained struct {
	IDs []string
	// AsOf is the store version at which they were last listed, as far as the instance that retains
	// them knows.
	AsOf uint64
}

// retainMissing adds to a list read from the registry the targets that it may lack only because the
// store was unavailable or was restored from a backup. The parameter before is the store version of
// the previous read.
func (b *Board) retainMissing(before uint64, old, list map[string]Target) map[string]Target {
	targets := b.carryOverTimes(old, list)
	if b.targetsCurrentAt.Sub(b.restoredAt) < RestoreGrace {
		keepDraining(targets, old)
	}
	settled := b.targetsCurrentAt.Sub(b.uninterruptedSince) >= missingGrace
	retained := Retained{AsOf: before}
	if len(b.retained.IDs) > 0 {
		retained.AsOf = b.retained.AsOf
	}
	for id, t := range old {
		if _, listed := list[id]; listed || settled || superseded(old, list, t) {
			continue
		}
		targets[id] = t
		retained.IDs = append(retained.IDs, id)
	}
	b.retained = retained
	return targets
}

// Retained returns the known targets that were not listed when the registry was last read.
func (b *Board) Retained() Retained {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retained
}

// HasRetained reports whether any targets are retained.
func (b *Board) HasRetained() bool { return len(b.Retained().IDs) > 0 }

// carryOverTimes returns a copy of the list with DrainingAt and ColdUntil set: taken from the old
// entry if the target was already leaving, or is still in the same cold period; counted from now
// otherwise.
func (b *Board) carryOverTimes(old, list map[string]Target) map[string]Target {
	out := maps.Clone(list)
	now := b.clock.Now()
	for id, t := range out {
		before := old[id]
		if t.ColdSpell != 0 && t.ColdUntil == 0 {
			t.ColdUntil = now.Add(t.Cold)
			if before.ColdSpell == t.ColdSpell {
				t.ColdUntil = before.ColdUntil
			}
		}
		if t.Draining {
			t.DrainingAt = now
			if before.Draining {
				t.DrainingAt = before.DrainingAt
			}
		}
		out[id] = t
	}
	return out
}

// superseded reports whether the target has exited, since the list has another process with its
// name or its address. A target at the same address that was known before doesn't count: it may be
// the older of the two.
func superseded(old, list map[string]Target, t Target) bool {
	for id, other := range list {
		if TargetName(id) == TargetName(t.ID) {
			return true
		}
		if _, known := old[id]; !known && other.Address == t.Address {
			return true
		}
	}
	return false
}

func sameTargets(a, b map[string]Target) bool { return maps.EqualFunc(a, b, Target.EqualForRouting) }

// targetsDigest hashes the fields that Target.EqualForRouting compares.
func targetsDigest(targets map[string]Target) uint64 {
	sum := uint64(0)
	for _, t := range targets {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s|%s|%s|%s|%d|%t|%d", t.ID, t.Service, t.Address, t.DataCentre, t.Slots, t.Draining, t.ColdSpell))
	}
	return sum
}

func byService(targets map[string]Target) map[string][]Target {
	out := map[string][]Target{}
	for _, t := range targets {
		out[t.Service] = append(out[t.Service], t)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// SetMap adopts a service's key map if it is newer than the known one. It reports whether it was
// adopted.
func (b *Board) SetMap(service string, m *keyrange.Map) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.current.Load().Maps[service]; old != nil && old.Version >= m.Version {
		return false
	}
	b.publish(func(s *Snapshot) {
		s.Maps = maps.Clone(s.Maps)
		s.Maps[service] = m
	})
	return true
}

// SetInstances adopts a list of instances if it is newer than the known one. It reports whether it
// was adopted.
func (b *Board) SetInstances(version InstancesVersion, list []Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Load().InstancesVersion.Compare(version) >= 0 {
		return false
	}
	b.publish(func(s *Snapshot) {
		s.InstancesVersion = version
		s.Instances = list
	})
	return true
}

// CurrentAsOf returns the latest time at which both the known targets and the known rules were
// current.
func (b *Board) CurrentAsOf() clock.Instant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(b.targetsCurrentAt, b.rulesCurrentAt)
}
