package lead

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/store"
)

// Source describes the platform's tables in the store and decodes their rows.
type Source struct {
	RulesTable string
	// IsRules reports whether a row of RulesTable holds the rules. Any other row either evacuates a
	// data centre or is ignored.
	IsRules func(store.Row) bool
	// DecodeRules decodes the value of such a row. The version is the one written in the value, not the
	// store version of the row.
	DecodeRules func(value []byte) (version uint64, set *rules.Set, err error)
	// EvacuatedDataCentre returns the data centre that a row of RulesTable evacuates for as long as
	// the row exists. Nil if no row does that.
	EvacuatedDataCentre func(store.Row) (dataCentre string, ok bool)

	TargetTable  string
	DecodeTarget func(store.Row) (view.Target, error)
}

// callTimeout limits a call to the store. A healthy store answers within 4 ms; a slow one takes 60
// times as long.
const callTimeout = 1200 * time.Millisecond

// reader copies the rules, the evacuated data centres and the registry from the store into a Board.
type reader struct {
	clock  clock.Clock
	store  store.Store
	source Source
	board  *view.Board
	log    Log

	// targetsNext is the store version from which the next read of the registry continues; 0 if the
	// whole table must be read.
	targetsNext uint64
	// targets are the registry's valid entries, by row key.
	targets map[string]view.Target
	// earlierStarts are entries with an earlier start time than the entry of the same row in
	// targets, by row key.
	earlierStarts map[string]earlierStart
	// restoredAt is when the rules were first read after the store was restored from a backup.
	// Never if it was not restored, or so long ago that all lost rows have been written again.
	restoredAt clock.Instant
	// rejected are the keys of invalid entries that have been logged.
	rejected map[string]bool
}

// earlierStart is an entry whose start time is earlier than that of the known target of the same
// name.
type earlierStart struct {
	target view.Target
	since  clock.Instant
}

const (
	// acceptEarlierStartAfter is how long a row must have an earlier start time before that entry
	// is adopted. A write of a former process may take effect after the next process has
	// registered; that one writes again within a heartbeat, 0.87 s. A process whose clock was set
	// back keeps writing the earlier start time.
	acceptEarlierStartAfter = 2 * time.Second
	// maxRejectedLogged limits how many invalid entries are logged.
	maxRejectedLogged = 256
)

func newReader(c clock.Clock, s store.Store, source Source, board *view.Board, log Log) *reader {
	return &reader{clock: c, store: s, source: source, board: board, log: log, targets: map[string]view.Target{}, earlierStarts: map[string]earlierStart{}, rejected: map[string]bool{}, restoredAt: clock.Never}
}

// readRules brings the rules and the evacuated data centres up to date, and waits up to wait for a
// change. It reports whether there was one.
//
// It continues from the store version known to this instance, whether read here or received in a
// reply. An instance that began with the whole table would read and decode again what it has just
// received, at a time when it is busiest.
func (r *reader) readRules(ctx context.Context, wait time.Duration) (changed bool, err error) {
	begun := r.clock.Now()
	after := r.board.RulesReadVersion()
	from := after
	graceOver := r.restoredAt != clock.Never && begun.Sub(r.restoredAt) >= view.RestoreGrace
	if graceOver {
		// The grace time after the restore is over: what the store does not list is dropped.
		from = 0
	}
	rows, next, whole, err := r.read(ctx, r.source.RulesTable, from, wait)
	if err != nil {
		return false, err
	}
	switch {
	case after != 0 && store.EraOf(next) > store.EraOf(after):
		// The store has been restored from a backup.
		r.log("store-returned", "era", store.EraOf(next), "version", store.CountOf(next), "before", store.CountOf(after))
		r.restoredAt = begun
	case graceOver:
		r.restoredAt = clock.Never
	}
	if !whole && len(rows) == 0 && r.clock.Now().Sub(begun) >= wait {
		// The store confirmed that there was no change after it had waited that long.
		begun = begun.Add(wait)
	}
	for _, row := range rows {
		if !row.Deleted && row.Version > after && r.source.IsRules(row) {
			r.applyRules(row, begun)
		}
	}
	r.applyEvacuations(rows, next, whole)
	r.board.ConfirmRules(next, begun)
	return len(rows) > 0, nil
}

// applyEvacuations updates the evacuated data centres from a read of the whole table, or of the
// changes in it.
func (r *reader) applyEvacuations(rows []store.Row, version uint64, whole bool) {
	if r.source.EvacuatedDataCentre == nil {
		return
	}
	evacuated := map[string]bool{}
	if !whole || r.restoredAt != clock.Never {
		for _, dataCentre := range r.board.Snapshot().Evacuations.List() {
			evacuated[dataCentre] = true
		}
	}
	for _, row := range rows {
		if dataCentre, ok := r.source.EvacuatedDataCentre(row); ok {
			evacuated[dataCentre] = !row.Deleted
		}
	}
	maps.DeleteFunc(evacuated, func(_ string, inForce bool) bool { return !inForce })
	if r.board.SetEvacuations(version, slices.Collect(maps.Keys(evacuated))) {
		r.log("evacuations-changed", "evacuated", r.board.Snapshot().Evacuations.List(), "read", version)
	}
}

func (r *reader) applyRules(row store.Row, at clock.Instant) {
	begun := time.Now()
	version, set, err := r.source.DecodeRules(row.Value)
	if err != nil {
		r.log("rules-refused", "error", err.Error(), "row", row.Version)
		return
	}
	set = set.ShareRulesWith(r.board.Snapshot().Rules)
	adopted := r.board.SetRules(version, set, at)
	recordRules(r.log, decodedRules{version, set, fromStore, len(row.Value), time.Since(begun)}, adopted, r.clock.Now().Sub(at))
}

// readTargets brings the registry up to date.
func (r *reader) readTargets(ctx context.Context) error {
	begun := r.clock.Now()
	rows, next, whole, err := r.read(ctx, r.source.TargetTable, r.targetsNext, 0)
	if err != nil {
		r.targetsNext = 0
		return err
	}
	r.targetsNext = next
	before := r.targets
	if whole {
		// Entries that were read before and are missing now have been removed.
		r.targets = map[string]view.Target{}
		clear(r.earlierStarts)
	}
	for _, row := range rows {
		r.applyTarget(before, row, begun)
	}
	r.acceptEarlierStarts(begun)
	gone, added := r.board.SetTargets(next, byID(r.targets), begun)
	if len(gone)+len(added) > 0 {
		r.log("targets-changed", "gone", gone, "added", added, "registry", next)
	}
	return nil
}

// applyTarget applies one row. before holds the entries known before this read.
func (r *reader) applyTarget(before map[string]view.Target, row store.Row, now clock.Instant) {
	delete(r.earlierStarts, row.Key)
	if row.Deleted {
		delete(r.targets, row.Key)
		return
	}
	t, err := r.source.DecodeTarget(row)
	if err != nil {
		r.rejectTarget(row, err)
		return
	}
	delete(r.rejected, row.Key)
	t = withColdUntil(before[row.Key], t, row.Version, now)
	if current, ok := before[row.Key]; ok && t.Born < current.Born {
		r.earlierStarts[row.Key] = earlierStart{t, now}
		r.targets[row.Key] = current
		return
	}
	r.targets[row.Key] = t
}

// sameColdTimeTolerance is the largest difference between the ends of a cold time in two entries
// that still describe the same cold time: each is read up to a poll interval after it was written.
const sameColdTimeTolerance = time.Second

// withColdUntil sets when the cold time of an entry began, as a store version, and when it ends,
// given the previous entry of the same row.
func withColdUntil(before, t view.Target, version uint64, now clock.Instant) view.Target {
	if t.Cold <= 0 {
		return t
	}
	t.ColdSpell, t.ColdUntil = version, now.Add(t.Cold)
	if before.ID == t.ID && before.ColdSpell != 0 && t.ColdUntil < before.ColdUntil.Add(sameColdTimeTolerance) {
		t.ColdSpell, t.ColdUntil = before.ColdSpell, before.ColdUntil
	}
	return t
}

// rejectTarget drops an invalid entry. The entry that the row held before is not used any more
// either: a target writes its entry again within a heartbeat.
func (r *reader) rejectTarget(row store.Row, err error) {
	delete(r.targets, row.Key)
	if r.rejected[row.Key] || len(r.rejected) >= maxRejectedLogged {
		return
	}
	r.rejected[row.Key] = true
	r.log("target-refused", "error", err.Error(), "row", row.Version)
}

// acceptEarlierStarts adopts entries with an earlier start time that have been in the registry for
// long enough.
func (r *reader) acceptEarlierStarts(now clock.Instant) {
	for key, entry := range r.earlierStarts {
		if now.Sub(entry.since) >= acceptEarlierStartAfter {
			r.targets[key] = entry.target
			delete(r.earlierStarts, key)
		}
	}
}

func byID(entries map[string]view.Target) map[string]view.Target {
	list := make(map[string]view.Target, len(entries))
	for _, t := range entries {
		list[t.ID] = t
	}
	return list
}

// read reads the changes of a table, or the whole table if the changes are not available.
func (r *reader) read(ctx context.Context, table string, after uint64, wait time.Duration) (rows []store.Row, next uint64, whole bool, err error) {
	if after != 0 {
		rows, next, err := r.store.Feed(ctx, table, after, wait)
		if !errors.Is(err, store.ErrHistoryGone) {
			return rows, next, false, err
		}
		r.log("history-gone", "table", table, "after", after)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, next, err = r.store.Scan(ctx, table, "")
	return rows, next, true, err
}
