// Package rulestore keeps the operators' rules in the store, for platforms without a configuration of
// their own: the rules in force, a history of versions, and which data centres are evacuated.
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

// Table is the store's table that holds the rules and evacuations.
const Table = "lycheehall-rules"

const (
	currentKey = "current"
	historyKey = "history"
)

// maxHistoryVersions is the largest number of versions in the history. A version may take 256 KiB, but
// a row at most 64 KiB on the platform, so the history holds fewer versions if they do not fit.
const maxHistoryVersions = 20

// maxHistoryBytes is the largest encoded size of a history with more than one version.
const maxHistoryBytes = 48 << 10

// Record is one version of the rules.
type Record struct {
	Version uint64 `json:"version"`
	// ChangeID identifies the change that made this version, so that a client can repeat a change after
	// a lost response without making it twice.
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Text     string `json:"text"`
}

// The errors of Apply, SetEvacuated, Current and History.
var (
	// ErrConflict means that another change was made first.
	ErrConflict = errors.New("rulestore: another change was made meanwhile")
	// ErrInvalid means that the rules, or other arguments, are not valid.
	ErrInvalid = errors.New("rulestore: invalid change or rules")
	// ErrUncertain means that the change may or may not have been made.
	ErrUncertain = errors.New("rulestore: the change may or may not have been made")
	// ErrUnavailable means that the store is unavailable, and that nothing was changed.
	ErrUnavailable = errors.New("rulestore: the store is unavailable")
)

// IsCurrent reports whether a row of Table holds the rules in force.
func IsCurrent(row store.Row) bool { return row.Key == currentKey }

// Decode decodes the row of the rules in force, and returns their version and content.
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

// contents has the table's rules and history, with the store versions of their rows.
type contents struct {
	current        Record
	currentVersion uint64
	history        []Record
	historyVersion uint64
}

// read reads the rules and the history.
func read(ctx context.Context, s store.Store) (*contents, error) {
	rows, _, err := s.Scan(ctx, Table, "")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c := &contents{}
	for _, row := range rows {
		var err error
		switch row.Key {
		case currentKey:
			c.currentVersion = row.Version
			err = json.Unmarshal(row.Value, &c.current)
		case historyKey:
			c.historyVersion = row.Version
			err = json.Unmarshal(row.Value, &c.history)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: row %s: %w", ErrInvalid, row.Key, err)
		}
	}
	return c, nil
}

// Current returns the rules in force. Their version is 0 if there are none.
func Current(ctx context.Context, s store.Store) (Record, error) {
	c, err := read(ctx, s)
	if err != nil {
		return Record{}, err
	}
	return c.current, nil
}

// History returns the stored versions, including the one in force, newest first.
func History(ctx context.Context, s store.Store) ([]Record, error) {
	c, err := read(ctx, s)
	if err != nil {
		return nil, err
	}
	return c.history, nil
}

// Apply replaces the rules if version base is in force, and returns the new version. If the change's ID
// is that of the version in force, the change has already been made and Apply does nothing.
//
// The new version is at least change.Version: a store that was restored from a backup may contain an
// older version than the one in force.
func Apply(ctx context.Context, s store.Store, base uint64, change Record) (uint64, error) {
	if _, err := rules.Parse("rules", change.Text); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	c, err := read(ctx, s)
	if err != nil {
		return 0, err
	}
	if change.ChangeID != "" && c.current.ChangeID == change.ChangeID {
		return c.current.Version, nil
	}
	if c.current.Version != base {
		return c.current.Version, ErrConflict
	}
	change.Version = max(change.Version, base+1)
	if err := commit(ctx, s, c, change); err != nil {
		return c.current.Version, err
	}
	return change.Version, nil
}

// commit writes the change and the extended history, if neither row has been changed since c was read.
func commit(ctx context.Context, s store.Store, c *contents, change Record) error {
	current, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	history, err := encodeHistory(append([]Record{change}, c.history...))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	currentID := store.ID{Table: Table, Key: currentKey}
	historyID := store.ID{Table: Table, Key: historyKey}
	_, err = s.Commit(ctx, store.Txn{
		Expect: []store.Expect{{ID: currentID, Version: c.currentVersion}, {ID: historyID, Version: c.historyVersion}},
		Writes: []store.Write{{ID: currentID, Value: current}, {ID: historyID, Value: history}},
	})
	return translateError(err)
}

// translateError converts an error of the store to one of this package.
func translateError(err error) error {
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

// encodeHistory encodes the newest versions that fit, and at least one.
func encodeHistory(list []Record) ([]byte, error) {
	list = slices.Clone(list[:min(len(list), maxHistoryVersions)])
	for {
		text, err := json.Marshal(list)
		if err != nil || len(text) <= maxHistoryBytes || len(list) == 1 {
			return text, err
		}
		list = list[:len(list)-1]
	}
}
