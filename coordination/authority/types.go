package authority

import (
	"errors"
	"fmt"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/state"
)

// ErrBadConfig says that a Config cannot keep the package's invariant.
var ErrBadConfig = errors.New("authority: bad config")

// Config holds the times of the protocol. All instances use the same values.
type Config struct {
	// ID is this instance; it must be unique to this start of the process.
	ID string
	// Address is where other instances reach this one; it is written into the row.
	Address string
	// LeaseTTL is how long a written row gives the right to lead. Default 1.6 s.
	LeaseTTL time.Duration
	// Margin is added wherever another instance's time is waited out; it covers
	// clocks that run at different rates. Default 60 ms.
	Margin time.Duration
	// RenewEvery is the time between writes of the row. Default 600 ms.
	RenewEvery time.Duration
	// ReadEvery is the time between reads of the row. Default 200 ms.
	ReadEvery time.Duration
	// FreezeBefore is how long before the end of the lease an unanswered leader
	// starts to freeze the state. Default 800 ms.
	FreezeBefore time.Duration
	// ResendEvery is the time between repetitions of unanswered messages. Default 40 ms.
	ResendEvery time.Duration
	// Session is the length of a session. Default 3.4 s.
	Session time.Duration
	// Overhang is how long a session may outlive the lease it was issued under. A new
	// leader waits this long before it changes anything. Default 1.8 s.
	Overhang time.Duration
	// GoneFor is how long a named instance must be missing from the platform's list
	// before it counts as ended. Default 5 s.
	GoneFor time.Duration
	// SteadyFor is how long the table must have answered before the state is thawed.
	// Default 1.5 s.
	SteadyFor time.Duration
	// Standbys is how many standbys a leader names. Default 2.
	Standbys int
}

// DefaultConfig returns the times measured in docs/design/ownership.md.
func DefaultConfig(id, address string) Config {
	return Config{
		ID:           id,
		Address:      address,
		LeaseTTL:     1600 * time.Millisecond,
		Margin:       60 * time.Millisecond,
		RenewEvery:   600 * time.Millisecond,
		ReadEvery:    200 * time.Millisecond,
		FreezeBefore: 800 * time.Millisecond,
		ResendEvery:  40 * time.Millisecond,
		Session:      3400 * time.Millisecond,
		Overhang:     1800 * time.Millisecond,
		GoneFor:      5 * time.Second,
		SteadyFor:    1500 * time.Millisecond,
		Standbys:     2,
	}
}

// Validate reports the first value that cannot work.
func (c Config) Validate() error {
	switch {
	case c.ID == "":
		return fmt.Errorf("%w: id is empty", ErrBadConfig)
	case c.LeaseTTL <= c.RenewEvery+c.Margin:
		return fmt.Errorf("%w: lease_ttl %v must exceed renew_every %v plus margin %v", ErrBadConfig, c.LeaseTTL, c.RenewEvery, c.Margin)
	case c.FreezeBefore >= c.LeaseTTL:
		return fmt.Errorf("%w: freeze_before %v must be shorter than lease_ttl %v", ErrBadConfig, c.FreezeBefore, c.LeaseTTL)
	case c.GoneFor < c.Session+c.Margin:
		return fmt.Errorf("%w: gone_for %v must be at least session %v plus margin %v", ErrBadConfig, c.GoneFor, c.Session, c.Margin)
	case c.Overhang > c.Session:
		return fmt.Errorf("%w: overhang %v must not exceed session %v", ErrBadConfig, c.Overhang, c.Session)
	}
	return nil
}

// Mode is what an instance does about the authority.
type Mode uint8

// The modes.
const (
	// Following: somebody else leads, or nobody does yet.
	Following Mode = iota
	// Leading: this instance holds the row.
	Leading
	// Preparing: it holds the row and has asked the standbys for their promise.
	Preparing
	// Aborting: it has written, or may have written, that this episode ends without
	// a commit.
	Aborting
	// Promised: it has promised not to take the row by itself, and issues nothing.
	Promised
	// Static: it issues sessions of the frozen version.
	Static
)

var modeNames = [...]string{"following", "leading", "preparing", "aborting", "promised", "static"}

func (m Mode) String() string { return modeNames[m] }

// Versions names the state that sessions are issued for.
type Versions struct {
	Map   uint64
	Rules uint64
}

// Stage identifies a freeze: acknowledgements count only for the stage they name.
type Stage struct {
	Term    uint64
	Episode uint64
}

func (s Stage) before(o Stage) bool {
	return s.Term < o.Term || s.Term == o.Term && s.Episode < o.Episode
}

func stageOf(row state.Authority) Stage { return Stage{row.Term, row.Episode} }

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of message. Each acknowledgement answers the kind before it.
const (
	Prepare MessageKind = iota
	PrepareAck
	Commit
	CommitAck
	// LeaveQuery asks whether the receiver could leave now; it binds nobody.
	LeaveQuery
	LeaveReady
	// Leave tells the receiver to stop issuing sessions for good in this stage.
	Leave
	LeaveAck
)

var kindNames = [...]string{"prepare", "prepare-ack", "commit", "commit-ack", "leave-query", "leave-ready", "leave", "leave-ack"}

func (k MessageKind) String() string { return kindNames[k] }

// Message is exchanged between named instances. It may be lost, late or repeated.
type Message struct {
	Kind  MessageKind
	From  string
	Stage Stage
	// Versions is the frozen state; set in Prepare and Commit.
	Versions Versions
	// Named lists all instances that must agree; set in Prepare and Commit.
	Named []string
}

// Outcome is the result of a write to the table.
type Outcome uint8

// The outcomes of a write.
const (
	Applied Outcome = iota
	Conflicted
	Unknown
)

// Effect is something the driver has to do for the machine: exactly one field is set.
type Effect struct {
	Send  *Envelope
	Read  bool
	Write *RowWrite
	// Probe asks for a write that changes nothing; the answer goes to ProbeDone.
	Probe bool
	Event string
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string
	Message Message
}

// RowWrite asks to write the row if it still has version Expect. NewTerm says that
// the row KeyTerm is to be written in the same transaction.
type RowWrite struct {
	ID      uint64
	Expect  uint64
	Row     state.Authority
	NewTerm bool
}

type writeKind uint8

const (
	writeRenew writeKind = iota
	writeTake
	writeAbort
)

// pendingWrite is a write without a definite answer. It may land at any later time.
type pendingWrite struct {
	kind   writeKind
	write  RowWrite
	sentAt clock.Instant
	// inFlight is false once the driver has given up waiting.
	inFlight bool
	// thaw says that a take ends a freeze, whose sessions have full length.
	thaw bool
}
