package state

import (
	"context"
	"errors"
)

// Errors of a Table. Every other error means the same as ErrUnknown.
var (
	// ErrConflict says that a condition of the transaction did not hold. Nothing
	// was written by this call; an earlier call with the same content may have been.
	ErrConflict = errors.New("state: a condition of the transaction does not hold")
	// ErrUnknown says that no answer came. The transaction may have taken effect,
	// may still take effect later, or never. The caller sends the same transaction
	// again until the answer is definite: its conditions let it apply only once.
	ErrUnknown = errors.New("state: the outcome of the transaction is not known")
)

// Row is one row as the table holds it. Version is 0 for a row that does not exist
// and grows by exactly one with every write.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Check is a condition: the row with this key must have this version.
type Check struct {
	Key     string
	Version uint64
}

// Write replaces the value of a row.
type Write struct {
	Key   string
	Value []byte
}

// Txn is written as a whole when all its checks hold, and not at all otherwise.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads the rows in one consistent snapshot, in the order of the keys. A
	// row that does not exist comes back with version 0.
	Get(ctx context.Context, keys []string) ([]Row, error)
	// Commit applies the transaction. It returns nil, ErrConflict or ErrUnknown.
	Commit(ctx context.Context, txn Txn) error
}

// Lifecycle is what the platform says about a machine.
type Lifecycle string

// The lifecycles of a machine.
const (
	Live    Lifecycle = "live"
	Leaving Lifecycle = "leaving"
)

// Kind tells what runs on a machine.
type Kind string

// The kinds of machine.
const (
	KindInstance Kind = "instance"
	KindTarget   Kind = "target"
)

// Member is one line of the platform's list of machines.
type Member struct {
	// ID is unique to one start of one process: a process that is started again
	// has forgotten its promises and must not be taken for the earlier one.
	ID         string
	Kind       Kind
	Service    string
	Address    string
	DataCentre string
	Lifecycle  Lifecycle
}

// Directory is the platform's list of machines. The list lags: it may still show
// machines that are gone and not yet show new ones. It never drops a machine whose
// process still runs.
type Directory interface {
	Members(ctx context.Context) ([]Member, error)
}
