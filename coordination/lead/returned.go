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

// The store may come back from a copy of some seconds before, in a new era. What operators and targets wrote
// since, they write again; the lease and the maps nobody else does. What holds then:
//
//   - The lease's row says who held the lease when the copy was made. Another instance may have taken it since
//     and still lead, so nothing in a row of a former era frees the lease but a whole lease without a change,
//     counted from when the row was first seen in the new era.
//   - The leading instance stops acting when it notices, and takes the lease anew with the maps that it knows:
//     while its former lease has not run out, nobody else can have changed them.
//   - Terms and fences go on above all that can have been given out in former eras. Targets remember fences
//     that the store has lost, and no fence may be given out twice.
//   - A change that was sent in a former era must not find its conditions true by chance, with a version that
//     was given out again. The first change in an era writes a row that all changes of former eras require not
//     to be there.

// eraKey begins the key of the row that is written first in an era.
const eraKey = "era/"

func eraRow(era uint64) store.ID {
	return store.ID{Table: table, Part: part, Key: eraKey + strconv.FormatUint(era, 10)}
}

// guardEra has a change fail in an era after the given one.
func guardEra(txn *store.Txn, era uint64) {
	txn.Expect = append(txn.Expect, store.Expect{ID: eraRow(era + 1)})
}

// openEra has a change be the one that makes changes of former eras fail.
func openEra(txn *store.Txn, era uint64) {
	txn.Writes = append(txn.Writes, store.Write{ID: eraRow(era), Value: []byte("{}")})
}

// current reports whether the lease's row is of the store's present era, or nobody is known to have ever held
// the lease.
func (s *stored) current() bool {
	if s.lease.Term == 0 {
		return !s.ledBefore
	}
	return s.lease.Era == s.era
}

// leastCount is what terms and fences are above that are given out next.
func (s *stored) leastCount() uint64 {
	if s.current() {
		return 0
	}
	return store.VersionOf(s.era, 0)
}

// nextTerm is the term of whoever takes the lease now.
func (s *stored) nextTerm() uint64 { return max(s.lease.Term, s.leastCount()) + 1 }

// former is what an instance knows that led when the store came back from a copy. The zero value knows
// nothing.
type former struct {
	// until is when its lease runs out.
	until clock.Instant
	maps  map[string]*keyrange.Map
	// heldUntil is when everything that was granted in its term, and before, has run out.
	heldUntil clock.Instant
	// successor is the term in which it leads again; 0: it does not.
	successor uint64
}

// leads reports whether nobody else can have taken the lease yet.
func (f *former) leads(now clock.Instant) bool { return f.maps != nil && now < f.until }

// leadsOn reports whether this instance led when the store came back, and is the only one that may lead now.
func (c *Coordinator) leadsOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving && c.former.leads(c.clock.Now())
}

// noteReturned ends a leadership of which the store has lost a part, and keeps what this instance knows of it.
// It runs in the loop.
func (t *term) noteReturned(now clock.Instant) {
	f := former{maps: maps.Clone(t.stored.maps), heldUntil: t.heldUntil(now)}
	for service, m := range t.managers {
		f.maps[service] = m.Map()
	}
	t.mu.Lock()
	f.until = t.holder.Until()
	t.mu.Unlock()
	t.c.mu.Lock()
	t.c.former = f
	t.c.mu.Unlock()
	t.c.log("lease-returned", "term", t.stored.lease.Term, "left_ms", f.until.Sub(now).Milliseconds())
	t.ended = true
	t.stopOnce.Do(func() { close(t.stop) })
}

// storeReturned reports whether the store has come back from a copy since this leadership began, as far as
// this instance has read.
func (t *term) storeReturned() bool {
	board := t.c.board
	return store.EraOf(max(board.TargetsReadVersion(), board.RulesReadVersion())) > t.stored.era
}

// knowsOwners reports whether this instance may lead without a former leading one that knows the last maps:
// it has been told of owners by one that led, or everything that was granted has run out. The caller holds
// the lock.
func (c *Coordinator) knowsOwners(now clock.Instant) bool {
	return c.heardLeader || c.observer.UnchangedFor(now) >= assign.GrantLifetime(c.config.HoldMax)
}

// takeUp puts the newest maps that this instance knows in the place of those that came back with the store.
func (c *Coordinator) takeUp(s *stored) {
	known := maps.Clone(c.board.Load().Maps)
	c.mu.Lock()
	if c.former.leads(c.clock.Now()) {
		maps.Copy(known, c.former.maps)
		c.former.successor = s.nextTerm()
	}
	c.mu.Unlock()
	for service, m := range known {
		if back := s.maps[service]; back == nil || back.Version < m.Version {
			s.maps[service] = m
		}
	}
}

// returnPause is how long an instance that may lead on after the return of the store waits before it looks at
// the lease again.
const returnPause = 50 * time.Millisecond
