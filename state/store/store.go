// Package store describes the transactional store in which everything that must outlive a
// process is kept. The adapter of a platform implements Store; the rest of lycheehall knows
// only this interface.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// The errors of a Store. Each says what is known about the effect of the call.
var (
	// ErrConflict says that a condition of a transaction did not hold; nothing was done.
	// The error is a *ConflictError with the current rows.
	ErrConflict = errors.New("store: a condition does not hold")
	// ErrNotApplied says that nothing was done and that the call may be repeated.
	ErrNotApplied = errors.New("store: not done")
	// ErrThrottled says that nothing was done because calls come too fast.
	ErrThrottled = errors.New("store: throttled")
	// ErrOutcomeUnknown says that the call may have taken effect, or may still do so later if its
	// conditions hold by then.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrHistoryGone says that a feed cannot continue from the given version, which may be of a former
	// era. The table must be read as a whole.
	ErrHistoryGone = errors.New("store: history is gone")
	// ErrInvalid says that the store refuses the call as such; repeating it is of no use.
	ErrInvalid = errors.New("store: invalid call")
)

// ID names a row.
type ID struct {
	Table string
	Part  string
	Key   string
}

// Row is a row as it was read.
type Row struct {
	ID
	Value []byte
	// Version changes with each write of the row and is never used twice; see VersionOf. A count of 0: no
	// such row.
	Version uint64
	// Deleted marks a row that a feed reports as removed.
	Deleted bool
}

// Expect is a condition: the row must have exactly this version.
type Expect struct {
	ID
	// Version has a count of 0 when the row must not exist. A version of a former era holds for no row.
	Version uint64
}

// Write sets a row.
type Write struct {
	ID
	Value []byte
}

// Txn is applied whole or not at all. All its rows share one part.
type Txn struct {
	Expect []Expect
	Writes []Write
	Remove []ID
}

// ConflictError carries the current rows of a transaction's conditions.
type ConflictError struct {
	Rows []Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v (%d rows read)", ErrConflict, len(e.Rows))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Store is a linearizable table service.
type Store interface {
	// Commit applies a transaction and returns the version of the rows it wrote.
	Commit(ctx context.Context, txn Txn) (version uint64, err error)
	// Scan reads all rows of one part of a table as of a single moment, and the version
	// from which a feed of the table continues.
	Scan(ctx context.Context, table, part string) (rows []Row, version uint64, err error)
	// Feed returns the rows of a table that changed after a version, in order, and the
	// version to go on from. It waits for the first change for at most wait.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rows []Row, next uint64, err error)
}
