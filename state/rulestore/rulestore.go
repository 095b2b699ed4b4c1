// Package rulestore keeps the operators' rules in the store, where the platform has no
// configuration of its own: the rules in force, and the versions before them.
package rulestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/store"
)

// Table holds the rules.
const Table = "lycheehall-rules"

const (
	currentKey = "current"
	historyKey = "history"
)

// keptVersions is how many versions the history has. Each may have 256 KiB, and rows are
// bounded by 64 KiB on the platform, so the history keeps names and authors, and texts only
// as far as they fit.
const keptVersions = 20

// maxHistory bounds the history's row, in bytes.
const maxHistory = 48 << 10

// Record is one version of the rules.
type Record struct {
	Version uint64 `json:"version"`
	// ChangeID makes a change that is repeated after a lost answer the same change.
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Text     string `json:"text"`
}

// The errors of Apply.
var (
	// ErrConflict says that another change came first.
	ErrConflict = errors.New("rulestore: another change came first")
	// ErrInvalid says that the rules are not valid.
	ErrInvalid = errors.New("rulestore: invalid rules")
	// ErrUncertain says that the change may have been accepted.
	ErrUncertain = errors.New("rulestore: the change may have been accepted")
	// ErrUnavailable says that nothing was changed because the store cannot be reached.
	ErrUnavailable = errors.New("rulestore: the store cannot be reached")
)

// IsCurrent reports whether a row of Table holds the rules in force.
func IsCurrent(row store.Row) bool { return row.Key == currentKey }

// Decode reads the rules in force.
func Decode(value []byte) (uint64, *rules.Set, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	set, err := rules.Parse("rules", r.Text)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return r.Version, set, nil
}

// state is what the table holds.
type state struct {
	current        Record
	currentVersion uint64
	history        []Record
	historyVersion uint64
}

func read(ctx context.Context, s store.Store) (*state, error) {
	rows, _, err := s.Scan(ctx, Table, "")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	st := &state{}
	for _, row := range rows {
		var err error
		switch row.Key {
		case currentKey:
			st.currentVersion = row.Version
			err = json.Unmarshal(row.Value, &st.current)
		case historyKey:
			st.historyVersion = row.Version
			err = json.Unmarshal(row.Value, &st.history)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: row %s: %w", ErrInvalid, row.Key, err)
		}
	}
	return st, nil
}

// Current returns the rules in force; version 0 if there are none.
func Current(ctx context.Context, s store.Store) (Record, error) {
	st, err := read(ctx, s)
	if err != nil {
		return Record{}, err
	}
	return st.current, nil
}

// History returns the versions kept, the newest first.
func History(ctx context.Context, s store.Store) ([]Record, error) {
	st, err := read(ctx, s)
	if err != nil {
		return nil, err
	}
	return st.history, nil
}

// Apply puts a text in force that started from version base, and returns its version. A
// change whose id is that of the version in force is not made again. The version is at least that of the
// change: a store that came back from a copy may hold an older version than the one in force.
func Apply(ctx context.Context, s store.Store, base uint64, change Record) (uint64, error) {
	if _, err := rules.Parse("rules", change.Text); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	st, err := read(ctx, s)
	if err != nil {
		return 0, err
	}
	if change.ChangeID != "" && st.current.ChangeID == change.ChangeID {
		return st.current.Version, nil
	}
	if st.current.Version != base {
		return st.current.Version, ErrConflict
	}
	change.Version = max(change.Version, base+1)
	if err := commit(ctx, s, st, change); err != nil {
		return st.current.Version, err
	}
	return change.Version, nil
}

func commit(ctx context.Context, s store.Store, st *state, change Record) error {
	current, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	history, err := encodeHistory(append([]Record{change}, st.history...))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	currentID := store.ID{Table: Table, Key: currentKey}
	historyID := store.ID{Table: Table, Key: historyKey}
	_, err = s.Commit(ctx, store.Txn{
		Expect: []store.Expect{{ID: currentID, Version: st.currentVersion}, {ID: historyID, Version: st.historyVersion}},
		Writes: []store.Write{{ID: currentID, Value: current}, {ID: historyID, Value: history}},
	})
	return turned(err)
}

// turned returns the error of a change as one of this layer's.
func turned(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrConflict):
		return ErrConflict
	case errors.Is(err, store.ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// encodeHistory keeps as many versions as fit.
func encodeHistory(list []Record) ([]byte, error) {
	list = slices.Clone(list[:min(len(list), keptVersions)])
	for {
		text, err := json.Marshal(list)
		if err != nil || len(text) <= maxHistory || len(list) == 1 {
			return text, err
		}
		list = list[:len(list)-1]
	}
}
