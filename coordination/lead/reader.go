package lead

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

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

	// rulesNext and targetsNext are the versions that the feeds go on from; 0: the table
	// must be read as a whole.
	rulesNext   uint64
	targetsNext uint64
	targets     map[string]view.Target
	badRules    uint64
	badTargets  map[string]uint64
}

func newReader(c clock.Clock, s store.Store, source Source, board *view.Board, log Log) *reader {
	return &reader{clock: c, store: s, source: source, board: board, log: log, targets: map[string]view.Target{}, badTargets: map[string]uint64{}}
}

// readRules brings the configuration up to date, and waits for a change for at most wait.
func (r *reader) readRules(ctx context.Context, wait time.Duration) error {
	begun := r.clock.Now()
	rows, next, err := r.read(ctx, r.source.RulesTable, r.rulesNext, wait)
	if err != nil {
		r.rulesNext = 0
		return err
	}
	if r.rulesNext != 0 && len(rows) == 0 && r.clock.Now().Sub(begun) >= wait {
		// The store answered that there is no change after it had waited that long.
		begun = begun.Add(wait)
	}
	r.rulesNext = next
	for _, row := range rows {
		if !row.Deleted && r.source.IsRules(row) {
			r.adoptRules(row, begun)
		}
	}
	r.board.ConfirmRules(begun)
	return nil
}

func (r *reader) adoptRules(row store.Row, at clock.Instant) {
	version, set, err := r.source.DecodeRules(row.Value)
	if err != nil {
		if r.badRules != row.Version {
			r.badRules = row.Version
			r.log("rules-refused", "error", err.Error(), "row", row.Version)
		}
		return
	}
	if r.board.SetRules(version, set, row.Value, at) {
		r.log("rules-adopted", "rules", version, "from", "store")
		tellNotes(r.log, version, set)
	}
}

// toldNotes bounds the lines about one configuration.
const toldNotes = 8

var rulesNotUnderstood = metrics.GetOrCreateGauge("lycheehall_rules_not_understood", nil)

// tellNotes tells operators what of a configuration in force was not understood. The callers
// concerned see no more than refusals.
func tellNotes(log Log, version uint64, set *rules.Set) {
	notes := set.Notes()
	rulesNotUnderstood.Set(float64(len(notes)))
	for _, note := range notes[:min(toldNotes, len(notes))] {
		log("rule-not-understood", "rules", version, "of", len(notes), "mistake", note.String())
	}
}

// readTargets brings the registry up to date.
func (r *reader) readTargets(ctx context.Context) error {
	begun := r.clock.Now()
	whole := r.targetsNext == 0
	rows, next, err := r.read(ctx, r.source.TargetTable, r.targetsNext, 0)
	if err != nil {
		r.targetsNext = 0
		return err
	}
	r.targetsNext = next
	if whole {
		clear(r.targets)
	}
	for _, row := range rows {
		r.applyTarget(row)
	}
	gone, added := r.board.SetTargets(next, r.targets, begun)
	if len(gone)+len(added) > 0 {
		r.log("targets-changed", "gone", gone, "added", added, "registry", next)
	}
	return nil
}

func (r *reader) applyTarget(row store.Row) {
	if row.Deleted {
		delete(r.targets, row.Key)
		return
	}
	t, err := r.source.DecodeTarget(row)
	if err != nil {
		// The last good entry stays in force.
		if r.badTargets[row.Key] == 0 {
			r.badTargets[row.Key] = row.Version
			r.log("target-refused", "error", err.Error(), "row", row.Version)
		}
		return
	}
	r.targets[row.Key] = t
}

// read reads a table as a whole, or what has changed in it.
func (r *reader) read(ctx context.Context, table string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	if after != 0 {
		rows, next, err := r.store.Feed(ctx, table, after, wait)
		if !errors.Is(err, store.ErrHistoryGone) {
			return rows, next, err
		}
		r.log("history-gone", "table", table, "after", after)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.scan(ctx, table)
}

func (r *reader) scan(ctx context.Context, table string) ([]store.Row, uint64, error) {
	if table == r.source.TargetTable {
		// Entries that were read earlier and are missing now have been removed.
		clear(r.targets)
	}
	return r.store.Scan(ctx, table, "")
}
