// Package message holds the messages that instances exchange with one another and
// with targets. They are plain values; the transport layer carries them.
package message

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/state"
)

// Peer is an instance as others see it.
type Peer struct {
	ID         string
	Address    string
	DataCentre string
}

// Update brings a receiver from the versions it has to newer ones. It is empty when
// there is nothing new.
type Update struct {
	// Full replaces the whole map; Changes are applied in order otherwise.
	Full    *ownership.Map
	Changes []ownership.Change
	Rules   *state.Rules
}

// Empty reports whether the update brings nothing.
func (u Update) Empty() bool { return u.Full == nil && len(u.Changes) == 0 && u.Rules == nil }

// Confirmation says that a target holds exactly the slots of a generation.
type Confirmation struct {
	Target     string
	Generation uint64
}

// HeartbeatRequest asks for a session or its renewal.
type HeartbeatRequest struct {
	From Peer
	// Have is the state the instance holds.
	Have authority.Versions
	// Roster is the sum of the roster that the asker has.
	Roster uint64
	// Acked is the state older than which it no longer uses anything.
	Acked       authority.Versions
	Confirmed   []Confirmation
	Reachable   []string
	Unreachable []string
	// Leaving gives the session back: the instance routes nothing any more.
	Leaving bool
	Lamport uint64
}

// HeartbeatReply grants a session of the given length, counted by the asker from
// before it asked, or refuses.
type HeartbeatReply struct {
	Granted bool
	Length  time.Duration
	Term    uint64
	// Leader is the instance that leads as far as the answerer knows.
	Leader Peer
	// Roster is set when it differs from the asker's.
	Roster *Roster
	// Resumed says that the state is frozen and that slots whose move was cut short are
	// served by their former owner meanwhile; see ownership.Map.Resume.
	Resumed bool
	// Suspects are targets that every instance shall try to reach and report on.
	Suspects SuspectList
	Update   Update
	Lamport  uint64
}

// Roster lists instances. It changes rarely and is sent only when it has.
type Roster struct {
	// Named are the instances that may issue sessions during an outage of the table.
	Named []Peer
	// Instances are the ids of all instances with a session.
	Instances []string
}

// Sum returns a number that differs for different rosters; it is never 0.
func (r Roster) Sum() uint64 {
	h := xxhash.New()
	for _, p := range r.Named {
		fmt.Fprintf(h, "%s %s %s\n", p.ID, p.Address, p.DataCentre)
	}
	for _, id := range r.Instances {
		fmt.Fprintln(h, id)
	}
	return max(1, h.Sum64())
}

// SuspectList lists the targets that some instance could not reach. Version grows with
// each change of the list.
type SuspectList struct {
	Version uint64
	Targets []string
}

// WatchRequest waits until there is a newer state than Have, or other suspects.
type WatchRequest struct {
	From     Peer
	Have     authority.Versions
	Suspects uint64
	// Resumed is what the sender was last told.
	Resumed bool
}

// WatchReply answers a WatchRequest. It renews no session.
type WatchReply struct {
	Update   Update
	Resumed  bool
	Suspects SuspectList
	Lamport  uint64
}

// Grant gives a target its slots for a short time.
//
// The target counts the expiry from when it issued Nonce, not from when the grant
// arrives: a grant that was held up on the way must not bring an expired ownership
// back to life.
type Grant struct {
	Target     string
	Service    string
	Generation uint64
	// Full says that Slots holds the whole set; otherwise the grant renews the set the
	// target already has under this generation.
	Full  bool
	Slots []ownership.Held
	Nonce uint64
	TTL   time.Duration
}

// GrantReply is a target's answer to a grant.
type GrantReply struct {
	// Accepted says that the grant holds now.
	Accepted bool
	// Generation is the newest one the target has accepted.
	Generation uint64
	// Busy says that requests for slots of an earlier generation still run.
	Busy bool
	// NeedSlots asks for a full grant.
	NeedSlots bool
	// Nonce is to be used in the next grant.
	Nonce uint64
}

// ProposalKind is the kind of a Proposal.
type ProposalKind uint8

// The kinds of proposal.
const (
	ApplyRules ProposalKind = iota + 1
	MoveSlot
	DrainTarget
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	Kind ProposalKind
	// Base is the version of the rules the change started from.
	Base     uint64
	ChangeID string
	Author   string
	Text     string

	Service string
	Slot    int
	Target  string
	// Undo ends a drain.
	Undo bool
}

// ProposalResult answers a proposal. Err is empty when it was accepted.
type ProposalResult struct {
	Version uint64
	Code    ProposalCode
	Detail  string
	Leader  Peer
}

// ProposalCode says what became of a proposal.
type ProposalCode uint8

// The codes.
const (
	Accepted ProposalCode = iota
	// VersionConflict: somebody else's change came first; Version is the newest.
	VersionConflict
	// Invalid: the proposal cannot be carried out; Detail says why.
	Invalid
	// NotLeader: Leader should be asked instead, if it is known.
	NotLeader
	// Waiting: the table cannot be reached; nothing can be changed at present.
	Waiting
	// Uncertain: the change may have been accepted. The same change id may be sent again.
	Uncertain
)

// Errors that a ProposalResult turns into.
var (
	ErrVersionConflict = errors.New("message: the change does not start from the newest version")
	ErrInvalid         = errors.New("message: the change is not valid")
	ErrNotLeader       = errors.New("message: this instance does not lead")
	ErrWaiting         = errors.New("message: the table cannot be reached, changes wait")
	ErrUncertain       = errors.New("message: the change may or may not have been accepted")
)

var codeErrors = map[ProposalCode]error{
	VersionConflict: ErrVersionConflict,
	Invalid:         ErrInvalid,
	NotLeader:       ErrNotLeader,
	Waiting:         ErrWaiting,
	Uncertain:       ErrUncertain,
}

// Error returns the sentinel error of the code, or nil.
func (c ProposalCode) Error() error { return codeErrors[c] }

// InstanceStatus is one line of a Status.
type InstanceStatus struct {
	Peer
	Map   uint64
	Rules uint64
}

// Status is what the issuer of sessions knows about the deployment.
type Status struct {
	Mode      string
	Term      uint64
	Versions  authority.Versions
	Leader    Peer
	Instances []InstanceStatus
	Lost      []string
	Map       *ownership.Map
}
