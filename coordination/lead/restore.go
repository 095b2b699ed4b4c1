package lead

import (
	"maps"
	"strconv"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/state/store"
)

// The store may be restored from a backup that is some seconds old; this begins a new era.
// Operators and targets write again what they have written since the backup. Nobody else writes the
// lease and the maps again. After a restore these rules hold:
//
//   - The lease row names the holder at the time of the backup. Another instance may have taken the
//     lease since and still lead, so a row of a former era never frees the lease. Only a whole
//     lease duration without a change does, counted from when the row was first seen in the new
//     era.
//   - The leader stops acting when it notices the restore, and takes the lease again with the maps
//     that it knows: until its former lease has expired, nobody else can have changed them.
//   - Terms and fences continue above all values that can have been given out in former eras.
//     Targets remember fences that the store has lost, and no fence may be given out twice.
//   - The conditions of a change that was sent in a former era must not hold by chance, because a
//     version was given out again. The first change in an era writes a row, and all changes of
//     former eras require that this row does not exist.

// eraKeyPrefix begins the key of the row that the first change in an era writes.
const eraKeyPrefix = "era/"

func eraRow(era uint64) store.ID {
	return store.ID{Table: table, Part: part, Key: eraKeyPrefix + strconv.FormatUint(era, 10)}
}

// expectNoNextEra makes a transaction fail once the row of the next era has been written.
func expectNoNextEra(txn *store.Txn, era uint64) {
	txn.Expect = append(txn.Expect, store.Expect{ID: eraRow(era + 1)})
}

// addEraRow adds the row of an era to a transaction, so that changes of the former era fail after
// it.
func addEraRow(txn *store.Txn, era uint64) {
	txn.Writes = append(txn.Writes, store.Write{ID: eraRow(era), Value: []byte("{}")})
}

// ofCurrentEra reports whether the lease row belongs to the store's current era, or nobody is known
// to have ever held the lease.
func (s *storedRows) ofCurrentEra() bool {
	if s.lease.Term == 0 {
		return !s.knewHolder
	}
	return s.lease.Era == s.era
}

// minCount returns the value above which new terms and fences must be.
func (s *storedRows) minCount() uint64 {
	if s.ofCurrentEra() {
		return 0
	}
	return store.VersionOf(s.era, 0)
}

// nextTerm returns the term of the next holder of the lease.
func (s *storedRows) nextTerm() uint64 { return max(s.lease.Term, s.minCount()) + 1 }

// formerTerm is what this instance knew when the store was restored from a backup while it led. The
// zero value means that it did not lead, or has led again since.
type formerTerm struct {
	// leaseUntil is when its lease expires.
	leaseUntil clock.Instant
	maps       map[string]*keyrange.Map
	// grantsUntil is when all grants of its term, and of earlier ones, have expired.
	grantsUntil clock.Instant
	// nextTerm is the term in which the instance leads again; 0 if it does not.
	nextTerm uint64
}

// stillExclusive reports whether no other instance can have taken the lease yet.
func (p *formerTerm) stillExclusive(now clock.Instant) bool {
	return p.maps != nil && now < p.leaseUntil
}

// mayResumeLeading reports whether this instance led when the store was restored, and is the only
// one that may lead now.
func (c *Coordinator) mayResumeLeading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.shuttingDown && c.formerTerm.stillExclusive(c.clock.Now())
}

// endAfterRestore ends a leadership of which the store has lost some writes, and records what this
// instance knows of it. It runs in the term's loop.
func (t *term) endAfterRestore(now clock.Instant) {
	former := formerTerm{maps: maps.Clone(t.stored.maps), grantsUntil: t.grantsUntil(now)}
	for service, m := range t.managers {
		former.maps[service] = m.Map()
	}
	t.mu.Lock()
	former.leaseUntil = t.holder.Until()
	t.mu.Unlock()
	t.c.mu.Lock()
	t.c.formerTerm = former
	t.c.mu.Unlock()
	t.c.log("lease-returned", "term", t.stored.lease.Term, "left_ms", former.leaseUntil.Sub(now).Milliseconds())
	t.ended = true
	t.stopOnce.Do(func() { close(t.stop) })
}

// storeRestored reports whether the store has been restored from a backup since this leadership
// began, as far as this instance has read.
func (t *term) storeRestored() bool {
	board := t.c.board
	return store.EraOf(max(board.TargetsReadVersion(), board.RulesReadVersion())) > t.stored.era
}

// knowsCurrentOwners reports whether this instance may lead after a restore in place of the former
// leader, which knows the newest maps. It may if it has led or a leader has replied to it, so that
// it knows the owners, or if all grants have expired. The caller must hold the lock.
func (c *Coordinator) knowsCurrentOwners(now clock.Instant) bool {
	return c.heardFromLeader || c.observer.UnchangedFor(now) >= assign.GrantLifetime(c.config.HoldMax)
}

// useNewestMaps replaces maps of the restored store by newer ones that this instance knows.
func (c *Coordinator) useNewestMaps(s *storedRows) {
	newest := maps.Clone(c.board.Snapshot().Maps)
	c.mu.Lock()
	if c.formerTerm.stillExclusive(c.clock.Now()) {
		maps.Copy(newest, c.formerTerm.maps)
		c.formerTerm.nextTerm = s.nextTerm()
	}
	c.mu.Unlock()
	for service, m := range newest {
		if restored := s.maps[service]; restored == nil || restored.Version < m.Version {
			s.maps[service] = m
		}
	}
}

// resumePause is how long an instance that may resume leading after a restore waits before it reads
// the lease again.
const resumePause = 50 * time.Millisecond
