// Package standin holds small stand-ins for the systems around lycheehall: the
// platform's table service and list of machines, and targets of both workloads. They
// serve examples and tests; nothing else may depend on them.
package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/state"
)

// ErrDown is returned by a stand-in that has been told to be out of service.
var ErrDown = errors.New("standin: out of service")

// Table is an in-memory state.Table that can be told to misbehave. It is safe for
// concurrent use.
type Table struct {
	mu     sync.Mutex
	rows   map[string]state.Row
	faults Faults
	calls  int
	reads  int
	writes int
}

// Faults says how a Table misbehaves.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// FailEvery makes every n-th call fail without effect; 0 means none.
	FailEvery int
	// LoseAnswers makes commits take effect and then fail.
	LoseAnswers bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]state.Row{}} }

// SetFaults changes how the table misbehaves from now on.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns how many reads and writes have been served.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// begin counts a call and says whether it fails, after the delay.
func (t *Table) begin() (Faults, error) {
	t.mu.Lock()
	t.calls++
	f := t.faults
	fails := f.Down || f.FailEvery > 0 && t.calls%f.FailEvery == 0
	t.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if fails {
		return f, ErrDown
	}
	return f, nil
}

// Get reads rows in one snapshot.
func (t *Table) Get(_ context.Context, keys []string) ([]state.Row, error) {
	if _, err := t.begin(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	rows := make([]state.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

// Commit applies a transaction.
func (t *Table) Commit(_ context.Context, txn state.Txn) error {
	f, err := t.begin()
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.holds(txn.Checks) {
		return state.ErrConflict
	}
	t.writes++
	for _, w := range txn.Writes {
		t.rows[w.Key] = state.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.rows[w.Key].Version + 1}
	}
	if f.LoseAnswers {
		return state.ErrUnknown
	}
	return nil
}

func (t *Table) holds(checks []state.Check) bool {
	for _, c := range checks {
		if t.rows[c.Key].Version != c.Version {
			return false
		}
	}
	return true
}
