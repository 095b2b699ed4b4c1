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

// Source names what the platform keeps in the store, and reads it.
type Source struct {
	RulesTable  string
	IsRules     func(store.Row) bool
	DecodeRules func(value []byte) (version uint64, set *rules.Set, err error)
	// EvacuatedDataCentre returns the data centre that a row of RulesTable asks to evacuate, as long as the row
	// is there; nil: no row does.
	EvacuatedDataCentre func(store.Row) (dataCentre string, ok bool)

	TargetTable  string
	DecodeTarget func(store.Row) (view.Target, error)
}

// callTimeout bounds a call to the store. Answers take 4 ms, and 60 times as long when the
// store is slow.
const callTimeout = 1200 * time.Millisecond

// reader follows the configuration and the registry into a Board.
type reader struct {
	clock  clock.Clock
	store  store.Store
	source Source
	board  *view.Board
	log    Log

	// targetsNext is the version that the feed of the registry goes on from; 0: the table must
	// be read as a whole.
	targetsNext uint64
	// targets are the entries of the registry that name a target, by their keys.
	targets map[string]view.Target
	// older are the entries that tell of an earlier life of a target than targets do.
	older map[string]olderEntry
	// returnedAt is when the configuration was first read after the store came back from a copy; Never:
	// that is not so, or so long ago that the store has all of it again.
	returnedAt clock.Instant
	// refused are the keys of entries that name no target, as far as they have been told.
	refused map[string]bool
}

// olderEntry is an entry whose target was started before the one known by its name.
type olderEntry struct {
	target view.Target
	since  clock.Instant
}

const (
	// olderFor is how long an entry must tell of an earlier start before that is believed. What
	// a former life has written may take effect after the next one has registered, which writes
	// again within a heartbeat, 0.87 s; a process whose clock was set back goes on telling it.
	olderFor = 2 * time.Second
	// mostRefused bounds the entries that are told to name no target.
	mostRefused = 256
)

func newReader(c clock.Clock, s store.Store, source Source, board *view.Board, log Log) *reader {
	return &reader{clock: c, store: s, source: source, board: board, log: log, targets: map[string]view.Target{}, older: map[string]olderEntry{}, refused: map[string]bool{}, returnedAt: clock.Never}
}

// readRules brings the configuration up to date, and waits for a change for at most wait. It
// reports whether there was one.
//
// It goes on from what the instance knows, whoever read that: one that began with the whole table would read
// and decode again what it has just been told, when it has least time for it.
func (r *reader) readRules(ctx context.Context, wait time.Duration) (changed bool, err error) {
	begun := r.clock.Now()
	after := r.board.RulesReadVersion()
	from := after
	returned := r.returnedAt != clock.Never && begun.Sub(r.returnedAt) >= view.RestoreGrace
	if returned {
		// What was believed beside the store's word is no more.
		from = 0
	}
	rows, next, whole, err := r.read(ctx, r.source.RulesTable, from, wait)
	if err != nil {
		return false, err
	}
	switch {
	case after != 0 && store.EraOf(next) > store.EraOf(after):
		r.log("store-returned", "era", store.EraOf(next), "version", store.CountOf(next), "before", store.CountOf(after))
		r.returnedAt = begun
	case returned:
		r.returnedAt = clock.Never
	}
	if !whole && len(rows) == 0 && r.clock.Now().Sub(begun) >= wait {
		// The store answered that there is no change after it had waited that long.
		begun = begun.Add(wait)
	}
	for _, row := range rows {
		if !row.Deleted && row.Version > after && r.source.IsRules(row) {
			r.adoptRules(row, begun)
		}
	}
	r.adoptEvacuations(rows, next, whole)
	r.board.ConfirmRules(next, begun)
	return len(rows) > 0, nil
}

// adoptEvacuations takes over which data centres are evacuated after a reading of the table as a whole,
// or of what has changed in it.
func (r *reader) adoptEvacuations(rows []store.Row, version uint64, whole bool) {
	if r.source.EvacuatedDataCentre == nil {
		return
	}
	evacuated := map[string]bool{}
	if !whole || r.returnedAt != clock.Never {
		for _, dataCentre := range r.board.Load().Evacuations.List() {
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
		r.log("evacuations-changed", "evacuated", r.board.Load().Evacuations.List(), "read", version)
	}
}

func (r *reader) adoptRules(row store.Row, at clock.Instant) {
	begun := time.Now()
	version, set, err := r.source.DecodeRules(row.Value)
	if err != nil {
		r.log("rules-refused", "error", err.Error(), "row", row.Version)
		return
	}
	set = set.ReuseFrom(r.board.Load().Rules)
	adopted := r.board.SetRules(version, set, at)
	tellRules(r.log, rulesNews{version, set, fromStore, len(row.Value), time.Since(begun)}, adopted, r.clock.Now().Sub(at))
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
		// Entries that were read earlier and are missing now have been removed.
		r.targets = map[string]view.Target{}
		clear(r.older)
	}
	for _, row := range rows {
		r.applyTarget(before, row, begun)
	}
	r.believeOlder(begun)
	gone, added := r.board.SetTargets(next, byID(r.targets), begun)
	if len(gone)+len(added) > 0 {
		r.log("targets-changed", "gone", gone, "added", added, "registry", next)
	}
	return nil
}

// applyTarget takes one row; before holds what was known before this reading.
func (r *reader) applyTarget(before map[string]view.Target, row store.Row, now clock.Instant) {
	delete(r.older, row.Key)
	if row.Deleted {
		delete(r.targets, row.Key)
		return
	}
	t, err := r.source.DecodeTarget(row)
	if err != nil {
		r.refuseTarget(row, err)
		return
	}
	delete(r.refused, row.Key)
	t = chill(before[row.Key], t, row.Version, now)
	if known, ok := before[row.Key]; ok && t.Born < known.Born {
		r.older[row.Key] = olderEntry{t, now}
		r.targets[row.Key] = known
		return
	}
	r.targets[row.Key] = t
}

// sameSpell is how far two entries may differ in when a cold time ends and still tell of the same one:
// each is read up to a reading's pause after it was written.
const sameSpell = time.Second

// chill notes which cold time an entry tells of, and when that ends, given the entry before it.
func chill(before, t view.Target, version uint64, now clock.Instant) view.Target {
	if t.Cold <= 0 {
		return t
	}
	t.ColdSpell, t.ColdUntil = version, now.Add(t.Cold)
	if before.ID == t.ID && before.ColdSpell != 0 && t.ColdUntil < before.ColdUntil.Add(sameSpell) {
		t.ColdSpell, t.ColdUntil = before.ColdSpell, before.ColdUntil
	}
	return t
}

// refuseTarget leaves out an entry that names no target. What it said before does not hold any
// more: a target writes its entry again within a heartbeat.
func (r *reader) refuseTarget(row store.Row, err error) {
	delete(r.targets, row.Key)
	if r.refused[row.Key] || len(r.refused) >= mostRefused {
		return
	}
	r.refused[row.Key] = true
	r.log("target-refused", "error", err.Error(), "row", row.Version)
}

// believeOlder takes earlier starts that have been told for long.
func (r *reader) believeOlder(now clock.Instant) {
	for key, o := range r.older {
		if now.Sub(o.since) >= olderFor {
			r.targets[key] = o.target
			delete(r.older, key)
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

// read reads what has changed in a table, or the table as a whole where the changes are not
// known.
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
