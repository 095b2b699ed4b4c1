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

// storedRows is the content of this package's rows in the store.
type storedRows struct {
	// era is the store's era at the time of the read.
	era uint64
	// knewHolder says that this instance knew of a holder of the lease before this read.
	knewHolder   bool
	lease        lease.Row
	leaseVersion uint64
	maps         map[string]*keyrange.Map
	mapVersions  map[string]uint64
	// quarantine is the content of the row of quarantined requests; nil if there is none.
	quarantine []byte
}

// readStored reads the lease and the maps, consistent as of one moment.
func (c *Coordinator) readStored(ctx context.Context) (*storedRows, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, version, err := c.store.Scan(callCtx, table, part)
	c.noteStoreResult(ctx, err)
	if err != nil {
		return nil, err
	}
	return decodeStored(rows, store.EraOf(version))
}

func decodeStored(rows []store.Row, era uint64) (*storedRows, error) {
	s := &storedRows{era: era, leaseVersion: store.VersionOf(era, 0), maps: map[string]*keyrange.Map{}, mapVersions: map[string]uint64{}}
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
		service, ok := strings.CutPrefix(row.Key, mapKeyPrefix)
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

// checkLease reads the lease, and takes it if it is free and wanted is true.
func (c *Coordinator) checkLease(ctx context.Context, wanted bool) (*term, error) {
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
	s.knewHolder = c.observer.EverHeld()
	c.observer.Observe(s.leaseVersion, s.ofCurrentEra() && s.lease.Vacant, now)
	c.noteLeaseRead(begun)
	free := c.isFree(s, begun, now)
	c.leaseNeverHeld = s.lease.Term == 0
	// A write of this instance whose response was lost may have taken effect.
	ours := s.ofCurrentEra() && s.lease.Holder == c.config.Self.ID
	leader := lease.Row{}
	if s.ofCurrentEra() && !free && !ours {
		leader = s.lease
	}
	c.setLeader(leader)
	c.mu.Unlock()
	if !wanted || !free && !ours || c.waitsForSeeds() {
		return nil, nil
	}
	return c.bid(ctx, s), nil
}

// isFree reports whether the lease that was just read is free for this instance. The caller must
// hold the lock.
func (c *Coordinator) isFree(s *storedRows, begun, now clock.Instant) bool {
	if s.ofCurrentEra() {
		return c.observer.MayAcquire(begun) || c.heldByFormerProcess(s.lease) || s.lease.Term != 0 && s.lease.Term == c.givenUpTerm.term
	}
	return c.formerTerm.stillExclusive(now) || c.observer.MayAcquire(begun) && c.knowsCurrentOwners(begun)
}

// noteLeaseRead notes that the lease row was read at the given time. The caller must hold the lock.
func (c *Coordinator) noteLeaseRead(at clock.Instant) {
	c.leaseReadAt = at
	c.notifyCurrent()
}

// notifyCurrent ends the wait of reports whose replies are delayed until this instance has current
// information. The caller must hold the lock.
func (c *Coordinator) notifyCurrent() {
	close(c.becameCurrent)
	c.becameCurrent = make(chan struct{})
}

// heldByFormerProcess reports whether the holder of the lease is a former process at this
// instance's address. That process has exited, since this one listens there, and does not act under
// the lease any more. Waiting for the lease to expire would leave the deployment without a leader
// for 2 s after a restart of all instances.
func (c *Coordinator) heldByFormerProcess(row lease.Row) bool {
	return row.Address == c.config.Self.Address && row.Holder != c.config.Self.ID
}

// bidDelay returns how long an instance with the given weight, its processor capacity in cores,
// delays its bid.
func bidDelay(weight float64) time.Duration {
	if weight >= 1 {
		return 0
	}
	return min(maxBidDelay, time.Duration(float64(bidDelayStep)*(1-weight)/weight))
}

// delayBid waits, so that instances that are larger, or do not retain targets, can take the lease
// first.
func (c *Coordinator) delayBid(ctx context.Context, s *storedRows) {
	sleep(ctx, bidDelay(c.config.Self.Weight))
	if s.lease.Vacant && c.knowsMuchLarger() {
		sleep(ctx, outrankedBidDelay)
	}
	if c.board.HasRetained() {
		sleep(ctx, retainingBidDelay)
	}
}

// bid tries to take the lease, and begins a term if it succeeds; otherwise it returns nil.
func (c *Coordinator) bid(ctx context.Context, s *storedRows) *term {
	if !c.mayResumeLeading() {
		c.delayBid(ctx, s)
	}
	if !s.ofCurrentEra() {
		c.useNewestMaps(s)
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
	raised, err := s.raiseFences(&txn)
	if err != nil {
		c.log("map-not-written", "error", err.Error())
		return nil
	}
	expectNoNextEra(&txn, s.era)
	if !s.ofCurrentEra() {
		addEraRow(&txn, s.era)
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
	return c.beginTerm(s, begun)
}

// raiseFences adds the maps with all fences raised to a transaction, and returns them.
func (s *storedRows) raiseFences(txn *store.Txn) (map[string]*keyrange.Map, error) {
	raised := map[string]*keyrange.Map{}
	for service, m := range s.maps {
		raised[service] = m.WithRaisedFences(s.minCount())
		text, err := raised[service].Encode()
		if err != nil {
			return nil, err
		}
		id := store.ID{Table: table, Part: part, Key: mapKeyPrefix + service}
		txn.Expect = append(txn.Expect, store.Expect{ID: id, Version: s.mapVersions[service]})
		txn.Writes = append(txn.Writes, store.Write{ID: id, Value: text})
	}
	return raised, nil
}
