package node

import (
	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
)

// Effect is something the driver has to do for the node: exactly one field is set.
type Effect struct {
	// Publish must be carried out at once, before any later effect.
	Publish       *View
	Event         *timeline.Event
	TableRead     *TableRead
	TableCommit   *TableCommit
	SendAuthority *SendAuthority
	SendHeartbeat *SendHeartbeat
	SendWatch     *SendWatch
	AnswerWatch   *AnswerWatch
	SendGrant     *SendGrant
	AnswerPropose *AnswerPropose
}

// ReadID tells what a TableRead is for; the driver hands it back with the answer.
type ReadID uint8

const (
	readRow ReadID = iota
	readHeads
	readSlots
)

// TableRead asks for rows; the answer goes to TableReadDone.
type TableRead struct {
	ID   ReadID
	Keys []string
}

// CommitPurpose tells what a TableCommit is for; the driver hands it back with the answer.
type CommitPurpose uint8

const (
	commitRow CommitPurpose = iota
	commitChange
	commitProbe
)

// TableCommit asks for a transaction; the answer goes to TableCommitDone.
type TableCommit struct {
	Purpose CommitPurpose
	ID      uint64
	Txn     state.Txn
}

// SendAuthority sends a message of the authority protocol; it needs no answer.
type SendAuthority struct {
	To      string
	Message authority.Message
}

// SendHeartbeat sends a heartbeat; the answer goes to HeartbeatDone.
type SendHeartbeat struct {
	To      string
	Request message.HeartbeatRequest
	SentAt  clock.Instant
}

// SendWatch sends a watch; the answer goes to WatchDone.
type SendWatch struct {
	To      string
	Request message.WatchRequest
}

// AnswerWatch answers the watch that came in with the token.
type AnswerWatch struct {
	Token uint64
	Reply message.WatchReply
}

// SendGrant sends a grant to a target; the answer goes to GrantDone. For a target that
// checks nothing it stands for a look whether the target can be reached.
type SendGrant struct {
	Address string
	Fenced  bool
	Grant   message.Grant
}

// AnswerPropose answers the proposal that came in with the token.
type AnswerPropose struct {
	Token  uint64
	Result message.ProposalResult
}

// TableReadDone takes the answer to a TableRead; ok is false when none came.
func (n *Node) TableReadDone(now clock.Instant, id ReadID, rows []state.Row, ok bool) []Effect {
	switch id {
	case readRow:
		n.rowRead(now, rows, ok)
	default:
		n.loadDone(now, id, rows, ok)
	}
	return n.take()
}

func (n *Node) rowRead(now clock.Instant, rows []state.Row, ok bool) {
	var row state.Authority
	if !ok || len(rows) != 1 || state.Decode(rows[0], &row) != nil {
		n.runMachine(now, n.machine.ReadDone(now, state.Authority{}, 0, false))
		return
	}
	n.learn(message.Peer{ID: row.Leader, Address: row.Address, DataCentre: n.addresses[row.Leader].DataCentre})
	n.runMachine(now, n.machine.ReadDone(now, row, rows[0].Version, true))
}

// TableCommitDone takes the answer to a TableCommit.
func (n *Node) TableCommitDone(now clock.Instant, purpose CommitPurpose, id uint64, outcome authority.Outcome) []Effect {
	switch purpose {
	case commitRow:
		n.runMachine(now, n.machine.WriteDone(now, id, outcome))
	case commitChange:
		n.changeDone(now, id, outcome)
	case commitProbe:
		n.machine.ProbeDone(now, outcome == authority.Applied)
	}
	return n.take()
}

// AuthorityReceived takes a message of the authority protocol.
func (n *Node) AuthorityReceived(now clock.Instant, msg authority.Message) []Effect {
	n.runMachine(now, n.machine.Receive(now, msg))
	return n.take()
}
