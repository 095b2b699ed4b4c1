package lead

import (
	"context"
	"strings"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/state/store"
)

// stored is what the store holds of ours.
type stored struct {
	// era is the store's as of the reading.
	era uint64
	// ledBefore says that this instance knew of a holder of the lease before it read this.
	ledBefore    bool
	lease        lease.Row
	leaseVersion uint64
	maps         map[string]*keyrange.Map
	mapVersions  map[string]uint64
	// quarantine is the content of the row of requests that are quarantined; nil: there is none.
	quarantine []byte
}

// readStored reads the lease and the maps as of one moment.
func (c *Coordinator) readStored(ctx context.Context) (*stored, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, version, err := c.store.Scan(callCtx, table, part)
	c.noteStore(ctx, err)
	if err != nil {
		return nil, err
	}
	return decodeStored(rows, store.EraOf(version))
}

func decodeStored(rows []store.Row, era uint64) (*stored, error) {
	s := &stored{era: era, leaseVersion: store.VersionOf(era, 0), maps: map[string]*keyrange.Map{}, mapVersions: map[string]uint64{}}
	for _, row := range rows {
		if row.Key == leaseKey {
			var err error
			if s.lease, err = lease.Decode(row.Value); err != nil {
				return nil, err
			}
			s.leaseVersion = row.Version
			continue
		}
		if row.Key == quarantineKey {
			s.quarantine = row.Value
			continue
		}
		service, ok := strings.CutPrefix(row.Key, mapKey)
		if !ok {
			continue
		}
		m, err := keyrange.Decode(row.Value)
		if err != nil {
			return nil, err
		}
		s.maps[service] = m
		s.mapVersions[service] = row.Version
	}
	return s, nil
}

// lookAtLease reads the lease, and takes it if it is free and that is wanted.
func (c *Coordinator) lookAtLease(ctx context.Context, wanted bool) (*term, error) {
	begun := c.clock.Now()
	s, err := c.readStored(ctx)
	if err != nil {
		return nil, err
	}
	for service, m := range s.maps {
		c.board.SetMap(service, m)
	}
	if s.quarantine != nil {
		if err := c.quarantine.LoadStored(s.quarantine); err != nil {
			c.log("quarantine-refused", "error", err.Error())
		}
	}
	now := c.clock.Now()
	c.mu.Lock()
	s.ledBefore = c.observer.EverHeld()
	c.observer.Observe(s.leaseVersion, s.current() && s.lease.Vacant, now)
	c.looked(begun)
	free := c.isFree(s, begun, now)
	c.neverLed = s.lease.Term == 0
	// A write of ours whose answer was lost may have taken effect after all.
	ours := s.current() && s.lease.Holder == c.config.Self.ID
	leader := lease.Row{}
	if s.current() && !free && !ours {
		leader = s.lease
	}
	c.setLeader(leader)
	c.mu.Unlock()
	if !wanted || !free && !ours || c.leavesToSeeds() {
		return nil, nil
	}
	return c.bid(ctx, s), nil
}

// isFree reports whether the lease as it was just read is free for this instance. The caller holds the lock.
func (c *Coordinator) isFree(s *stored, begun, now clock.Instant) bool {
	if s.current() {
		return c.observer.MayAcquire(begun) || c.succeeds(s.lease) || s.lease.Term != 0 && s.lease.Term == c.vacated.term
	}
	return c.former.leads(now) || c.observer.MayAcquire(begun) && c.knowsOwners(begun)
}

// looked notes that the lease's row was read at the given time. The caller holds the lock.
func (c *Coordinator) looked(at clock.Instant) {
	c.lookedAt = at
	c.nowCurrent()
}

// nowCurrent wakes those whose questions are held until this instance can say something current.
// The caller holds the lock.
func (c *Coordinator) nowCurrent() {
	close(c.heard)
	c.heard = make(chan struct{})
}

// succeeds reports whether the holder of the lease is a former process at this instance's
// address. It has ended, since this one listens there, and does nothing under the lease any
// more; waiting for the lease to run out would leave nobody in charge for 2 s after all
// instances were started anew.
func (c *Coordinator) succeeds(row lease.Row) bool {
	return row.Address == c.config.Self.Address && row.Holder != c.config.Self.ID
}

// bidDelay is how long an instance with a part of a core holds its bid back.
func bidDelay(weight float64) time.Duration {
	if weight >= 1 {
		return 0
	}
	return min(longestBid, time.Duration(float64(bidSpread)*(1-weight)/weight))
}

// holdBack leaves the lease for a moment to others that would lead better.
func (c *Coordinator) holdBack(ctx context.Context, s *stored) {
	sleep(ctx, bidDelay(c.config.Self.Weight))
	if s.lease.Vacant && c.outranked() {
		sleep(ctx, outrankedBid)
	}
	if c.board.HasRetained() {
		sleep(ctx, keepingBid)
	}
}

func (c *Coordinator) bid(ctx context.Context, s *stored) *term {
	if !c.leadsOn() {
		c.holdBack(ctx, s)
	}
	if !s.current() {
		c.takeUp(s)
	}
	row := lease.Row{Holder: c.config.Self.ID, Address: c.config.Self.Address, Term: s.nextTerm(), Era: s.era}
	text, err := row.Encode()
	if err != nil {
		c.log("lease-not-written", "error", err.Error())
		return nil
	}
	id := store.ID{Table: table, Part: part, Key: leaseKey}
	txn := store.Txn{
		Expect: []store.Expect{{ID: id, Version: s.leaseVersion}},
		Writes: []store.Write{{ID: id, Value: text}},
	}
	raised, err := s.raise(&txn)
	if err != nil {
		c.log("map-not-written", "error", err.Error())
		return nil
	}
	guardEra(&txn, s.era)
	if !s.current() {
		openEra(&txn, s.era)
	}
	begun := c.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := c.store.Commit(ctx, txn)
	if err != nil {
		return nil
	}
	s.lease = row
	s.leaseVersion = version
	for service, m := range raised {
		s.maps[service] = m
		s.mapVersions[service] = version
		c.board.SetMap(service, m)
	}
	return c.begin(s, begun)
}

// raise adds the maps with all fences raised to a transaction, and returns them.
func (s *stored) raise(txn *store.Txn) (map[string]*keyrange.Map, error) {
	raised := map[string]*keyrange.Map{}
	for service, m := range s.maps {
		raised[service] = m.WithRaisedFences(s.leastCount())
		text, err := raised[service].Encode()
		if err != nil {
			return nil, err
		}
		id := store.ID{Table: table, Part: part, Key: mapKey + service}
		txn.Expect = append(txn.Expect, store.Expect{ID: id, Version: s.mapVersions[service]})
		txn.Writes = append(txn.Writes, store.Write{ID: id, Value: text})
	}
	return raised, nil
}
