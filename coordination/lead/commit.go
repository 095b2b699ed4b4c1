package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/state/store"
)

const (
	// commitEach is the least time between changes of the map for each target, so that moves
	// that end in quick succession are stored together.
	commitEach = 100 * time.Microsecond
	// commitRetryAfter is the pause after a change could not be stored.
	commitRetryAfter = 60 * time.Millisecond
)

// commit renews the lease when that is due, and stores changed maps along with it.
func (t *term) commit(ctx context.Context, now clock.Instant) {
	if t.committing || now < t.retryAt {
		return
	}
	t.retryAt = now.Add(commitEach * time.Duration(len(t.c.board.Load().Targets)))
	proposed := map[string]*keyrange.Map{}
	for service, m := range t.managers {
		if p := m.Propose(now); p != nil {
			proposed[service] = p
		}
	}
	if len(proposed) == 0 && now < t.nextRenew {
		return
	}
	txn, err := t.txn(proposed, t.stored.lease)
	if err != nil {
		t.c.log("map-not-written", "error", err.Error())
		for service := range proposed {
			t.managers[service].NotStored()
		}
		return
	}
	t.committing = true
	quarantined := t.quarantineRow(&txn)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		version, err := t.c.store.Commit(callCtx, txn)
		cancel()
		var again *stored
		if err != nil && !errors.Is(err, store.ErrNotApplied) && !errors.Is(err, store.ErrThrottled) {
			// What became of it shows in what the store holds now.
			again, _ = t.c.readStored(ctx)
		}
		t.c.noteStore(ctx, err)
		select {
		case t.done <- func() {
			if err == nil && quarantined != nil {
				t.c.quarantine.MarkStored(quarantined)
			}
			t.committed(now, proposed, version, err, again)
		}:
		case <-t.stop:
		case <-ctx.Done():
		}
	}()
}

// quarantineRow adds the requests that are quarantined to a change, if the store does not have them yet,
// and returns what it adds. All instances may be lost at once: the next ones would learn of a request
// that crashes targets only by the targets that it crashes then.
func (t *term) quarantineRow(txn *store.Txn) []byte {
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

func (t *term) txn(proposed map[string]*keyrange.Map, row lease.Row) (store.Txn, error) {
	id := store.ID{Table: table, Part: part, Key: leaseKey}
	text, err := row.Encode()
	if err != nil {
		return store.Txn{}, err
	}
	txn := store.Txn{
		Expect: []store.Expect{{ID: id, Version: t.stored.leaseVersion}},
		Writes: []store.Write{{ID: id, Value: text}},
	}
	guardEra(&txn, t.stored.era)
	for service, m := range proposed {
		id := store.ID{Table: table, Part: part, Key: mapKey + service}
		text, err := m.Encode()
		if err != nil {
			return store.Txn{}, err
		}
		txn.Expect = append(txn.Expect, store.Expect{ID: id, Version: t.stored.mapVersions[service]})
		txn.Writes = append(txn.Writes, store.Write{ID: id, Value: text})
	}
	return txn, nil
}

// committed takes the outcome of a commit that was begun at the given time.
func (t *term) committed(begun clock.Instant, proposed map[string]*keyrange.Map, version uint64, err error, again *stored) {
	t.committing = false
	if err == nil && store.EraOf(version) != t.stored.era || again != nil && again.era != t.stored.era {
		t.noteReturned(t.c.clock.Now())
		return
	}
	if err == nil {
		t.nextRenew = begun.Add(lease.RenewEvery)
		t.stored.leaseVersion = version
		t.mu.Lock()
		t.holder.Renewed(begun)
		t.mu.Unlock()
		t.c.mu.Lock()
		t.c.observer.Observe(version, false, t.c.clock.Now())
		t.c.mu.Unlock()
		for service, m := range proposed {
			t.stored.mapVersions[service] = version
			t.publish(service, m)
		}
		return
	}
	t.retryAt = t.c.clock.Now().Add(commitRetryAfter)
	if again != nil {
		t.reconcile(again, begun)
		return
	}
	for service := range proposed {
		t.managers[service].NotStored()
	}
	t.c.log("commit-failed", "error", err.Error(), "maps", len(proposed))
}

// reconcile goes on from what the store holds after a commit of unknown outcome.
func (t *term) reconcile(s *stored, begun clock.Instant) {
	if s.lease.Holder != t.c.config.Self.ID || s.lease.Term != t.stored.lease.Term || s.lease.Vacant {
		t.c.log("lease-lost", "term", t.stored.lease.Term, "holder", s.lease.Holder)
		t.ended = true
		return
	}
	if s.leaseVersion != t.stored.leaseVersion {
		// Ours took effect: the lease counts from before it was sent.
		t.mu.Lock()
		t.holder.Renewed(begun)
		t.mu.Unlock()
	}
	t.stored.leaseVersion = s.leaseVersion
	t.stored.mapVersions = s.mapVersions
	for service, m := range t.managers {
		if found := s.maps[service]; found != nil && found.Version != m.Map().Version {
			t.publish(service, found)
		} else {
			m.NotStored()
		}
	}
}

// publish puts a stored map into force.
func (t *term) publish(service string, m *keyrange.Map) {
	changed := m.Diff(t.managers[service].Map())
	t.managers[service].Stored(m)
	t.c.board.SetMap(service, m)
	t.c.log("map-stored", "service", service, "map", m.Version, "ranges", len(m.Ranges), "changed", len(changed), "first", describe(changed))
}

// describedRanges bounds the changed ranges that a line tells.
const describedRanges = 8

// describe tells who has the first of some ranges, and who gets them.
func describe(changed []keyrange.Range) []string {
	list := make([]string, 0, describedRanges)
	for _, r := range changed[:min(describedRanges, len(changed))] {
		text := fmt.Sprintf("%d-%d %s fence %d", r.From, r.To, r.Owner, r.Fence)
		if r.Moving() {
			text += fmt.Sprintf(" to %s fence %d", r.Next, r.NextFence)
		}
		list = append(list, text)
	}
	return list
}

// exitWait bounds the wait for the loop when the lease is given up.
const exitWait = 500 * time.Millisecond

const (
	// askBeforeLeaving bounds the call that shows whether the store answers. A slow one takes up
	// to 0.4 s.
	askBeforeLeaving = 600 * time.Millisecond
	// extendTime is how long a leading instance that leaves goes on for the renewals of all
	// grants to be sent.
	extendTime = 300 * time.Millisecond
)

// extendBeforeLeaving gives all targets the longest hold if the store does not answer: nobody can
// take the lease then, and the keys of all targets would be unserved when their holds have run
// out.
func (t *term) extendBeforeLeaving(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, askBeforeLeaving)
	defer cancel()
	if _, err := t.c.readStored(callCtx); err == nil {
		return
	}
	select {
	case t.done <- func() { t.extend = true }:
	case <-t.exited:
		return
	case <-ctx.Done():
		return
	}
	sleep(ctx, extendTime)
}

// resign gives the lease up, so that another can take it at once.
func (t *term) resign(ctx context.Context) {
	t.extendBeforeLeaving(ctx)
	t.stopOnce.Do(func() { close(t.stop) })
	select {
	case <-t.exited:
	case <-time.After(exitWait):
		return
	}
	var err error
	for range giveUpTries {
		if err = t.markVacant(ctx); !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	if err != nil {
		t.c.log("lease-not-given-up", "error", err.Error())
	}
}

// giveUpTries bounds the writes that give the lease up. A change that was on its way comes before
// one of them at most; with a single try the lease then stayed taken for 2.3 s, with nobody leading.
const giveUpTries = 3

// markVacant notes in the store that the holder, if it is this instance, does nothing more.
func (t *term) markVacant(ctx context.Context) error {
	s, err := t.c.readStored(ctx)
	if err != nil {
		return err
	}
	if s.lease.Holder != t.c.config.Self.ID || s.lease.Vacant || s.era != t.stored.era {
		return nil
	}
	t.stored.leaseVersion = s.leaseVersion
	row := s.lease
	row.Vacant = true
	txn, err := t.txn(nil, row)
	if err != nil {
		return err
	}
	_, err = t.c.store.Commit(ctx, txn)
	return err
}
