package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/state/store"
)

const (
	// commitIntervalPerTarget times the number of targets is the minimum time between changes of
	// the maps, so that moves that finish in quick succession are stored together.
	commitIntervalPerTarget = 100 * time.Microsecond
	// commitRetryAfter is the pause after a change could not be stored.
	commitRetryAfter = 60 * time.Millisecond
)

// commit renews the lease when the renewal is due, and stores changed maps in the same transaction.
func (t *term) commit(ctx context.Context, now clock.Instant) {
	if t.committing || now < t.retryAt {
		return
	}
	t.retryAt = now.Add(commitIntervalPerTarget * time.Duration(len(t.c.board.Snapshot().Targets)))
	proposed := map[string]*keyrange.Map{}
	for service, m := range t.managers {
		if p := m.Propose(now); p != nil {
			proposed[service] = p
		}
	}
	if len(proposed) == 0 && now < t.renewAt {
		return
	}
	txn, err := t.newTxn(proposed, t.stored.lease)
	if err != nil {
		t.c.log("map-not-written", "error", err.Error())
		for service := range proposed {
			t.managers[service].RecordNotStored()
		}
		return
	}
	t.committing = true
	quarantined := t.addQuarantineRow(&txn)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		version, err := t.c.store.Commit(callCtx, txn)
		cancel()
		var reread *storedRows
		if err != nil && !errors.Is(err, store.ErrNotApplied) && !errors.Is(err, store.ErrThrottled) {
			// The outcome is unknown; what the store holds now shows it.
			reread, _ = t.c.readStored(ctx)
		}
		t.c.noteStoreResult(ctx, err)
		select {
		case t.actions <- func() {
			if err == nil && quarantined != nil {
				t.c.quarantine.MarkStored(quarantined)
			}
			t.recordCommit(now, proposed, version, err, reread)
		}:
		case <-t.stop:
		case <-ctx.Done():
		}
	}()
}

// addQuarantineRow adds the quarantined requests to a transaction if the store does not have them
// yet, and returns the row's new content. Without the row, the list would be lost if all instances
// were killed: the next ones would recognize a request that crashes targets only after further
// crashes.
func (t *term) addQuarantineRow(txn *store.Txn) []byte {
	text, err := t.c.quarantine.PendingWrite()
	if err != nil {
		t.c.log("quarantine-not-written", "error", err.Error())
		return nil
	}
	if text != nil {
		txn.Writes = append(txn.Writes, store.Write{ID: store.ID{Table: table, Part: part, Key: quarantineKey}, Value: text})
	}
	return text
}

func (t *term) newTxn(proposed map[string]*keyrange.Map, row lease.Row) (store.Txn, error) {
	id := store.ID{Table: table, Part: part, Key: leaseKey}
	text, err := row.Encode()
	if err != nil {
		return store.Txn{}, err
	}
	txn := store.Txn{
		Expect: []store.Expect{{ID: id, Version: t.stored.leaseVersion}},
		Writes: []store.Write{{ID: id, Value: text}},
	}
	expectNoNextEra(&txn, t.stored.era)
	for service, m := range proposed {
		id := store.ID{Table: table, Part: part, Key: mapKeyPrefix + service}
		text, err := m.Encode()
		if err != nil {
			return store.Txn{}, err
		}
		txn.Expect = append(txn.Expect, store.Expect{ID: id, Version: t.stored.mapVersions[service]})
		txn.Writes = append(txn.Writes, store.Write{ID: id, Value: text})
	}
	return txn, nil
}

// recordCommit handles the outcome of a commit that was begun at the given time. reread is what the
// store held afterwards; nil if the outcome is known or the store could not be read.
func (t *term) recordCommit(begun clock.Instant, proposed map[string]*keyrange.Map, version uint64, err error, reread *storedRows) {
	t.committing = false
	if err == nil && store.EraOf(version) != t.stored.era || reread != nil && reread.era != t.stored.era {
		t.endAfterRestore(t.c.clock.Now())
		return
	}
	if err == nil {
		t.renewAt = begun.Add(lease.RenewEvery)
		t.stored.leaseVersion = version
		t.mu.Lock()
		t.holder.Renewed(begun)
		t.mu.Unlock()
		t.c.mu.Lock()
		t.c.observer.Observe(version, false, t.c.clock.Now())
		t.c.mu.Unlock()
		for service, m := range proposed {
			t.stored.mapVersions[service] = version
			t.publishMap(service, m)
		}
		return
	}
	t.retryAt = t.c.clock.Now().Add(commitRetryAfter)
	if reread != nil {
		t.reconcile(reread, begun)
		return
	}
	for service := range proposed {
		t.managers[service].RecordNotStored()
	}
	t.c.log("commit-failed", "error", err.Error(), "maps", len(proposed))
}

// reconcile continues from what the store holds after a commit of unknown outcome.
func (t *term) reconcile(s *storedRows, begun clock.Instant) {
	if s.lease.Holder != t.c.config.Self.ID || s.lease.Term != t.stored.lease.Term || s.lease.Vacant {
		t.c.log("lease-lost", "term", t.stored.lease.Term, "holder", s.lease.Holder)
		t.ended = true
		return
	}
	if s.leaseVersion != t.stored.leaseVersion {
		// The commit took effect: the lease counts from before it was sent.
		t.mu.Lock()
		t.holder.Renewed(begun)
		t.mu.Unlock()
	}
	t.stored.leaseVersion = s.leaseVersion
	t.stored.mapVersions = s.mapVersions
	for service, m := range t.managers {
		if found := s.maps[service]; found != nil && found.Version != m.Map().Version {
			t.publishMap(service, found)
		} else {
			m.RecordNotStored()
		}
	}
}

// publishMap makes a stored map current, so that replies contain it.
func (t *term) publishMap(service string, m *keyrange.Map) {
	changed := m.Diff(t.managers[service].Map())
	t.recordBalancing(service)
	t.managers[service].RecordStored(m)
	t.c.board.SetMap(service, m)
	t.c.log("map-stored", "service", service, "map", m.Version, "ranges", len(m.Ranges), "changed", len(changed), "first", describeRanges(changed))
}

// recordBalancing logs and counts the moves of a stored map that balance the load. It must be called
// before the manager is told that the map has been stored.
func (t *term) recordBalancing(service string) {
	b := t.managers[service].Balancing()
	if len(b.Moves) == 0 {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_keys_moves_total{service=%q}`, service)).Add(len(b.Moves))
	var first []string
	for i, mv := range b.Moves[:min(maxLoggedRanges, len(b.Moves))] {
		first = append(first, fmt.Sprintf("%d-%d %s at %.2f to %s at %.2f", mv.From, mv.To, b.Owners[i], b.Used[b.Owners[i]], mv.Next, b.Used[mv.Next]))
	}
	t.c.log("keys-moved", "service", service, "moves", len(b.Moves), "first", first)
}

// maxLoggedRanges limits how many changed ranges a log line lists.
const maxLoggedRanges = 8

// describeRanges lists the owners, and the next owners, of the first of the given ranges.
func describeRanges(changed []keyrange.Range) []string {
	list := make([]string, 0, maxLoggedRanges)
	for _, r := range changed[:min(maxLoggedRanges, len(changed))] {
		text := fmt.Sprintf("%d-%d %s fence %d", r.From, r.To, r.Owner, r.Fence)
		if r.Moving() {
			text += fmt.Sprintf(" to %s fence %d", r.Next, r.NextFence)
		}
		list = append(list, text)
	}
	return list
}

// maxExitWait limits the wait for the term's loop to exit when the lease is given up.
const maxExitWait = 500 * time.Millisecond

const (
	// giveUpCheckTimeout limits the call that shows whether the store answers. A slow store takes
	// up to 0.4 s.
	giveUpCheckTimeout = 600 * time.Millisecond
	// extendHoldsTime is how long an instance that gives the lease up goes on leading, so that the
	// renewals of all grants are sent.
	extendHoldsTime = 300 * time.Millisecond
)

// extendHoldsBeforeGivingUp gives all targets the longest hold if the store does not answer. No
// instance can take the lease then, and without longer holds the keys of all targets would be
// unserved once the current holds have expired.
func (t *term) extendHoldsBeforeGivingUp(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, giveUpCheckTimeout)
	defer cancel()
	if _, err := t.c.readStored(callCtx); err == nil {
		return
	}
	select {
	case t.actions <- func() { t.extendHolds = true }:
	case <-t.exited:
		return
	case <-ctx.Done():
		return
	}
	sleep(ctx, extendHoldsTime)
}

// giveUp gives the lease up, so that another instance can take it at once.
func (t *term) giveUp(ctx context.Context) {
	t.extendHoldsBeforeGivingUp(ctx)
	t.stopOnce.Do(func() { close(t.stop) })
	select {
	case <-t.exited:
	case <-time.After(maxExitWait):
		return
	}
	// Later the lease has expired, and need not be given up.
	ctx, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	for pause := giveUpRetryAfter; ; pause *= 2 {
		err := t.markVacant(ctx)
		if err == nil {
			return
		}
		if sleep(ctx, pause); ctx.Err() != nil {
			t.c.log("lease-not-given-up", "error", err.Error())
			return
		}
	}
}

// giveUpRetryAfter is the first pause after the lease could not be given up; each further one is twice as
// long. If the write were not repeated after a conflict or a lost response, the lease would stay taken
// for 2.3 s, until it has expired, and nobody would lead.
const giveUpRetryAfter = 20 * time.Millisecond

// markVacant marks the lease as vacant in the store if this instance holds it in this term: the holder
// does not act under it any more.
func (t *term) markVacant(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := t.c.readStored(ctx)
	if err != nil {
		return err
	}
	if s.lease.Holder != t.c.config.Self.ID || s.lease.Term != t.stored.lease.Term || s.lease.Vacant || s.era != t.stored.era {
		return nil
	}
	t.stored.leaseVersion = s.leaseVersion
	row := s.lease
	row.Vacant = true
	txn, err := t.newTxn(nil, row)
	if err != nil {
		return err
	}
	_, err = t.c.store.Commit(ctx, txn)
	return err
}
