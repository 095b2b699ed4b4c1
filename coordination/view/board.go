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

// Snapshot is a consistent set of beliefs.
type Snapshot struct {
	// Rules are nil until the first configuration is known.
	Rules        *rules.Set
	RulesVersion uint64

	Targets map[string]Target
	// ByService lists the targets of each service, sorted by id.
	ByService map[string][]Target
	// TargetsDigest identifies the targets, apart from what changes with each heartbeat;
	// 0: there are none. Instances that believe the same have the same one, whoever told
	// them.
	TargetsDigest uint64

	Maps map[string]*keyrange.Map

	// Evacuations are the data centres to whose targets nothing is to be sent.
	Evacuations Evacuations

	// Instances are the ones that the leading instance hears from, sorted by id, itself
	// included. The version is the leader's epoch and a count.
	Instances        []Instance
	InstancesVersion InstancesVersion

	// Changed is closed when another snapshot has replaced this one.
	Changed chan struct{}
}

// InstancesVersion orders lists of instances: by the leader's term, then by its count.
type InstancesVersion struct {
	Term  uint64
	Count uint64
}

// Compare returns -1, 0 or 1 as v is before, the same as or after w.
func (v InstancesVersion) Compare(w InstancesVersion) int {
	return cmp.Or(cmp.Compare(v.Term, w.Term), cmp.Compare(v.Count, w.Count))
}

// goneAfter is how long a target stays believed after it was missing from the registry for
// the first time since the registry could be read again. The registry drops entries while
// its store is away; those that live are listed again within two seconds.
const goneAfter = 2 * time.Second

// gap is the longest time without a reading of the registry after which it still counts as
// read without interruption.
const gap = 1500 * time.Millisecond

// Board holds the current snapshot. It is safe for concurrent use.
type Board struct {
	clock   clock.Clock
	current atomic.Pointer[Snapshot]

	mu sync.Mutex
	// targetsRead and rulesRead are the versions of the store as of which the registry and the
	// configuration were last read.
	targetsRead uint64
	rulesRead   uint64
	// targetsAt and rulesAt are when the registry and the configuration were current.
	targetsAt clock.Instant
	rulesAt   clock.Instant
	// kept are the targets that are believed though the last reading lacked them.
	kept Retained
	// steadySince is since when the registry has been read without interruption.
	steadySince clock.Instant
	// returnedAt is when the registry was first read after the store came back from a copy.
	returnedAt clock.Instant
}

// NewBoard returns a board that knows nothing.
func NewBoard(c clock.Clock) *Board {
	b := &Board{clock: c, targetsAt: clock.Never, rulesAt: clock.Never, steadySince: c.Now(), returnedAt: clock.Never}
	b.current.Store(&Snapshot{
		Targets:   map[string]Target{},
		ByService: map[string][]Target{},
		Maps:      map[string]*keyrange.Map{},
		Changed:   make(chan struct{}),
	})
	return b
}

// Load returns the current snapshot.
func (b *Board) Load() *Snapshot { return b.current.Load() }

// replace publishes a changed copy. The caller holds the lock.
func (b *Board) replace(change func(*Snapshot)) {
	old := b.current.Load()
	next := *old
	next.Changed = make(chan struct{})
	change(&next)
	b.current.Store(&next)
	close(old.Changed)
}

// SetRules adopts a configuration that was current at the given time, unless it is older
// than the one in force. It reports whether it is new.
func (b *Board) SetRules(version uint64, set *rules.Set, at clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rulesAt = b.rulesAt.Later(at)
	old := b.current.Load()
	if old.Rules != nil && version <= old.RulesVersion {
		return false
	}
	b.replace(func(s *Snapshot) {
		s.Rules = set
		s.RulesVersion = version
	})
	return true
}

// ConfirmRules notes that the configuration in force was current at the given time and as of a
// version of the store.
func (b *Board) ConfirmRules(read uint64, at clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rulesRead = max(b.rulesRead, read)
	b.rulesAt = b.rulesAt.Later(at)
}

// RulesReadVersion returns the version of the store as of which the configuration was last read, here
// or by the instance that told it; 0: it is not known.
func (b *Board) RulesReadVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rulesRead
}

// SetTargets adopts a reading of the registry as of a version of the store, current at the
// given time. It returns the ids that are no longer believed, and those that are new.
func (b *Board) SetTargets(version uint64, list map[string]Target, at clock.Instant) (gone, added []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version < b.targetsRead {
		return nil, nil
	}
	before := b.targetsRead
	b.targetsRead = version
	b.readAt(at)
	if before != 0 && store.EraOf(version) > store.EraOf(before) {
		b.returnedAt, b.steadySince = at, at
	}
	return b.replaceTargets(b.believe(before, b.current.Load().Targets, list))
}

// SetLeaderTargets adopts what the leading instance believes, as of the version of the store that
// it has read. Unlike a reading of the registry after an interruption it says which targets
// are gone: whoever told it has read all the while, or keeps what may only have lapsed. It
// reports whether the list was taken as a whole; one that is older than what was read here is not.
//
// What the teller only keeps is not taken where this instance has read, or been told, since it was listed
// for the last time: it would have known of it.
func (b *Board) SetLeaderTargets(version uint64, list map[string]Target, kept Retained, at clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version < b.targetsRead {
		return false
	}
	old := b.current.Load().Targets
	believed := b.sinceWhen(old, list)
	whole := true
	if b.targetsRead > kept.AsOf {
		whole = preferOwn(believed, old, kept.IDs)
	}
	b.targetsRead = version
	b.kept = kept
	b.readAt(at)
	b.replaceTargets(believed)
	return whole
}

// preferOwn has a list say of some targets what the own one says, and reports whether all of them stay in it.
func preferOwn(list, own map[string]Target, ids []string) bool {
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

// replaceTargets publishes believed targets if they have changed. The caller holds the lock.
func (b *Board) replaceTargets(believed map[string]Target) (gone, added []string) {
	old := b.current.Load()
	for id := range old.Targets {
		if _, kept := believed[id]; !kept {
			gone = append(gone, id)
		}
	}
	for id := range believed {
		if _, known := old.Targets[id]; !known {
			added = append(added, id)
		}
	}
	if sameTargets(old.Targets, believed) {
		return nil, nil
	}
	b.replace(func(s *Snapshot) {
		s.TargetsDigest = digest(believed)
		s.Targets = believed
		s.ByService = byService(believed)
	})
	return gone, added
}

// readAt notes that the registry was read as of the given time.
func (b *Board) readAt(at clock.Instant) {
	if b.targetsAt == clock.Never || at.Sub(b.targetsAt) > gap {
		b.steadySince = at
	}
	b.targetsAt = b.targetsAt.Later(at)
}

// ConfirmTargets notes that the targets believed were current at the given time.
func (b *Board) ConfirmTargets(at clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readAt(at)
}

// TargetsReadVersion returns the version of the store as of which the registry was last read.
func (b *Board) TargetsReadVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targetsRead
}

// Retained are targets that are believed though the registry does not list them: their entries may have lapsed.
type Retained struct {
	IDs []string
	// AsOf is the version of the store as of which they were listed for the last time, as far as whoever
	// keeps them knows.
	AsOf uint64
}

// believe adds to a reading what it may lack only because the store was away or came back from a copy. Before
// is the version of the reading before it.
func (b *Board) believe(before uint64, old, list map[string]Target) map[string]Target {
	believed := b.sinceWhen(old, list)
	if b.targetsAt.Sub(b.returnedAt) < RestoreGrace {
		keepDraining(believed, old)
	}
	settled := b.targetsAt.Sub(b.steadySince) >= goneAfter
	kept := Retained{AsOf: before}
	if len(b.kept.IDs) > 0 {
		kept.AsOf = b.kept.AsOf
	}
	for id, t := range old {
		if _, listed := list[id]; listed || settled || replaced(old, list, t) {
			continue
		}
		believed[id] = t
		kept.IDs = append(kept.IDs, id)
	}
	b.kept = kept
	return believed
}

// Retained returns the targets that are believed though the last reading of the registry did not list them,
// since they may have lapsed only.
func (b *Board) Retained() Retained {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept
}

// HasRetained reports whether there are any.
func (b *Board) HasRetained() bool { return len(b.Retained().IDs) > 0 }

// sinceWhen returns a copy of a list with the times since when targets have been draining, and
// until when they are cold.
func (b *Board) sinceWhen(old, list map[string]Target) map[string]Target {
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

// replaced reports whether another life of the target is listed, or another target has come to
// its address: either tells that this one has ended. One that was known beside it may be the
// former one of the two.
func replaced(old, list map[string]Target, t Target) bool {
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

// digest combines what Target.Same compares of each target.
func digest(targets map[string]Target) uint64 {
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

// SetMap adopts a map of a service's keys if it is newer.
func (b *Board) SetMap(service string, m *keyrange.Map) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.current.Load().Maps[service]; old != nil && old.Version >= m.Version {
		return false
	}
	b.replace(func(s *Snapshot) {
		s.Maps = maps.Clone(s.Maps)
		s.Maps[service] = m
	})
	return true
}

// SetInstances adopts a list of instances if it is newer.
func (b *Board) SetInstances(version InstancesVersion, list []Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.Load().InstancesVersion.Compare(version) >= 0 {
		return false
	}
	b.replace(func(s *Snapshot) {
		s.InstancesVersion = version
		s.Instances = list
	})
	return true
}

// CurrentAsOf returns when the older one of configuration and registry was current.
func (b *Board) CurrentAsOf() clock.Instant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(b.targetsAt, b.rulesAt)
}
