// Package store defines the interface of the transactional store, which holds all data that must
// outlive a process. The platform's adapter implements Store; the rest of lycheehall uses only this
// interface.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// The errors of a Store. Each states what is known about the effect of the call.
var (
	// ErrConflict means that a condition of a transaction did not hold, and that nothing was changed.
	// The error is a *ConflictError with the current rows.
	ErrConflict = errors.New("store: a condition does not hold")
	// ErrNotApplied means that nothing was changed. The call may be repeated.
	ErrNotApplied = errors.New("store: not applied")
	// ErrThrottled means that nothing was changed because of too many calls.
	ErrThrottled = errors.New("store: throttled")
	// ErrOutcomeUnknown means that the call may have taken effect, or may still take effect later if
	// its conditions hold then.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrHistoryGone means that a feed cannot continue from the given version, which may belong to a
	// previous era. The table must be read again with Scan.
	ErrHistoryGone = errors.New("store: the history from this version is not available")
	// ErrInvalid means that the store rejects the call itself. Repeating it does not help.
	ErrInvalid = errors.New("store: invalid call")
)

// ID identifies a row.
type ID struct {
	Table string
	Part  string
	Key   string
}

// Row is a row that was read.
type Row struct {
	ID
	Value []byte
	// Version changes with each write of the row, and no version is used twice; see VersionOf. Its
	// count is 0 if the row does not exist.
	Version uint64
	// Deleted says that a feed reports the row as removed.
	Deleted bool
}

// Expect is a condition: the row must have exactly this version.
type Expect struct {
	ID
	// Version has a count of 0 if the row must not exist. A version of a previous era never matches.
	Version uint64
}

// Write sets the value of a row.
type Write struct {
	ID
	Value []byte
}

// Txn is a transaction. It is applied as a whole or not at all. All its rows must be in the same part.
type Txn struct {
	Expect []Expect
	Writes []Write
	Remove []ID
}

// ConflictError is the error for a condition that did not hold. Rows are the current rows that the
// conditions of the transaction refer to.
type ConflictError struct {
	Rows []Row
}

// Error returns ErrConflict's text with the number of current rows.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v (%d rows read)", ErrConflict, len(e.Rows))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Store is a linearizable store of tables. Each table is divided into parts.
type Store interface {
	// Commit applies a transaction and returns the version of the rows that it has written.
	Commit(ctx context.Context, txn Txn) (version uint64, err error)
	// Scan returns a consistent snapshot of all rows in one part of a table, and the version from which
	// Feed continues.
	Scan(ctx context.Context, table, part string) (rows []Row, version uint64, err error)
	// Feed returns the rows of a table that have changed after a version, in order, and the version to
	// continue from. If there are none, it waits for a change, for at most wait.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rows []Row, next uint64, err error)
}
