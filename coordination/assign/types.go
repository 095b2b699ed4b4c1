package assign

import (
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

// Durations and intervals of the assignment.
const (
	// failoverTime is the longest time without a leader after the leader was killed: the lease of
	// 2 s, of whose last renewal followers learn up to 0.35 s late, plus the polling of the lease
	// and the attempt to take it.
	failoverTime = 3 * time.Second
	// The time between two renewals of a grant is renewIntervalPerRange for each range of the map,
	// but not less than minRenewInterval and not more than maxRenewInterval: the leader sends at
	// most 625 renewals a second for up to 625 ranges. The hold of a grant is failoverTime longer
	// than this interval. That limits how long the keys of a target that has exited stay unserved.
	minRenewInterval      = 500 * time.Millisecond
	maxRenewInterval      = time.Second
	renewIntervalPerRange = 1600 * time.Microsecond
	// holdSlack is added to the hold of a grant that must have expired, for the time that the grant
	// may have taken to arrive.
	holdSlack = 200 * time.Millisecond
	// clockTolerance is the fraction by which a target's clock may run slow.
	clockTolerance = 0.02
	// maxOrderTime is the longest time from when a grant is due to its outcome: waiting for its
	// turn, connecting, and the response.
	maxOrderTime = 1300 * time.Millisecond
	// minHold is the shortest hold with which a renewal is sent. Renewals to a target that does not
	// answer expire no later than the grants that it may have received before: otherwise each of
	// them would further delay moving its keys to another target.
	minHold = 300 * time.Millisecond
	// unresponsiveAfter is how long a target must have failed to answer orders before its keys are
	// reassigned. A single timeout is not enough: targets are slow at times.
	unresponsiveAfter = 1200 * time.Millisecond
	// retryAfter is the pause before an unanswered order is sent again.
	retryAfter = 250 * time.Millisecond
	// regrantInterval is the least time between two increases of the fences of a target that may
	// have been restarted. Without it, a target that resets each connection at once would cause a
	// change of the map with each attempt.
	regrantInterval = 500 * time.Millisecond
	// The time between two attempts to balance the load is balanceIntervalPerTarget for each target
	// that may get keys, but not less than minBalanceInterval and not more than maxBalanceInterval.
	// With few targets, frequent attempts help when a single key is hot. With hundreds of targets,
	// a quarter may move keys at a time, and each attempt costs calls to the store.
	minBalanceInterval       = 350 * time.Millisecond
	maxBalanceInterval       = 700 * time.Millisecond
	balanceIntervalPerTarget = 10 * time.Millisecond
	// startupWait is how long the keys of a service stay unassigned after its first target was
	// listed, and how long the leader waits after it took over before it reassigns the keys of
	// owners that it has not seen listed. Otherwise all keys would go to the first targets and
	// would have to move again as others are listed.
	startupWait = 700 * time.Millisecond
	// failureExpiry is how long a target that failed to answer an order and has no keys gets none.
	// After that it may get keys again: a target without keys gets no other orders that would show
	// that it answers.
	failureExpiry = 2 * time.Second
)

// Kind is what an order asks of a target.
type Kind string

const (
	// Grant gives keys to a target, for the time of the hold.
	Grant Kind = "grant"
	// Renew extends the hold of a grant.
	Renew Kind = "renew"
	// Release asks a target to give keys up.
	Release Kind = "release"
)

// Order asks a target to own, go on owning or give up the keys From..To.
type Order struct {
	Kind    Kind
	Service string
	// Target is the ID of the target, and Address its host and port.
	Target   string
	Address  string
	From, To uint16
	Fence    uint64
	// Hold is how long a grant or renewal is valid, counted from when it arrives at the target; 0
	// for a release.
	Hold time.Duration
	// Handover is an opaque reference from the former owner's response to the release. It is passed
	// on to the next owner with the grant; empty in other orders.
	Handover string
	// SentAt is when the order was sent. The manager sets it first, to the time at which it created
	// the order. If the target has carried out the order, the leader then replaces it by the time of
	// sending, before it passes the order and its outcome to RecordOutcome: the connection was open
	// at that time.
	SentAt clock.Instant
	// If ConnectionOpenSince is not clock.Never, the order may be sent only over a connection that
	// was already open at this time. Such a connection leads to the process that owned the keys
	// then, and not to one that was started later at the same address.
	ConnectionOpenSince clock.Instant
}

// Outcome is what is known about the effect of an order.
type Outcome string

const (
	// OutcomeDone: the target responded that it carried out the order.
	OutcomeDone Outcome = "done"
	// OutcomeHigherFence: the target refused the order since it has seen a higher fence for one of
	// the keys.
	OutcomeHigherFence Outcome = "higher-fence"
	// OutcomeNotSent: the target has certainly not received the order.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeUnknown: the target may have received the order and may still carry it out.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeUnverified: the order was not sent, since no connection has been open since
	// Order.ConnectionOpenSince. The target may have been restarted since then.
	OutcomeUnverified Outcome = "unverified"
	// OutcomeOtherTarget: another process answers at the address, so the target has exited.
	OutcomeOtherTarget Outcome = "other-target"
)

// Config holds the settings of a Manager.
type Config struct {
	Service string
	// HoldMax is the longest hold that targets accept.
	HoldMax time.Duration
	// HeldUntil is when all grants of former leaders have expired. clock.Never if that is not
	// known: they may have sent grants with the longest hold until just now.
	HeldUntil clock.Instant
	// Policy sets when ranges are moved to balance the load. The manager ignores its MaxMoves, and
	// derives the number of moves from the number of targets.
	Policy keyrange.Policy
}

// targetState is the state of a target that owns keys, may own keys, or may get keys.
type targetState struct {
	target view.Target
	// listed is set when the target is in the current list of targets.
	listed bool
	// firstListedAt is when the target was first listed.
	firstListedAt clock.Instant
	// exited is set when the target's process has certainly exited.
	exited bool
	// heldUntil is when all grants that the target may have received have expired.
	heldUntil clock.Instant
	// grantsInFlight is the number of grants and renewals without an outcome; while there are any,
	// heldUntil is not known.
	grantsInFlight int
	// failingSince is when orders began to fail; clock.Never while they are answered.
	failingSince clock.Instant
	// lastFailedAt is when the last order failed.
	lastFailedAt clock.Instant
	// speed is the target's speed, see Manager.SetLoad.
	speed float64
	// limit is how many requests a second the target accepts from all instances together; 0 means
	// no limit.
	limit float64
	// restarted is set when another process was started under the target's name. The address is
	// that of the new process, which may have received a grant that was meant for the former one.
	restarted bool
	// unverified is set when the target may have been restarted, so that its keys must be granted
	// again, under a higher fence.
	unverified bool
	// regrantedAt is when its keys were last granted again.
	regrantedAt clock.Instant
}

// failing reports whether an order to the target has failed since it last answered one.
func (st *targetState) failing() bool { return st.failingSince != clock.Never }

// unresponsive reports whether the target has failed to answer orders for so long that its keys are
// reassigned.
func (st *targetState) unresponsive(now clock.Instant) bool {
	return st.failing() && now.Sub(st.failingSince) >= unresponsiveAfter
}

// eligible reports whether the target may be given keys.
func (st *targetState) eligible() bool {
	return st.listed && !st.exited && !st.failing() && !st.target.Draining
}

// rangeKey identifies a range under one fence.
type rangeKey struct {
	from, to uint16
	fence    uint64
}

// renewal is the state of an owner's grant.
type renewal struct {
	// sentAt is when the last order was sent; clock.Never if a renewal is due.
	sentAt clock.Instant
	// inFlight is set while a renewal has no outcome yet.
	inFlight bool
	// confirmedAt is when the last order that the target confirmed was sent; clock.Never if there
	// is none.
	confirmedAt clock.Instant
	// closed is set when no more orders are sent under this fence: the first one got no response,
	// as with move.unanswered, or the target has seen a higher fence.
	closed bool
}

// move is the state of a range that is moving to another owner.
type move struct {
	// released is set when the former owner has certainly given the keys up.
	released bool
	// handover is the reference from the former owner's response, see Order.Handover.
	handover string
	// releasing and granting are set while such an order has no outcome yet.
	releasing, granting bool
	// offered is set when the next owner may have received the grant.
	offered bool
	// granted is set when the next owner has confirmed the grant.
	granted bool
	// unanswered is set when a grant got no response. The next grant is sent under a higher fence:
	// the target may have accepted this one, exited, and been restarted.
	unanswered bool
	// refused is set when no grant may be sent under this fence any more.
	refused bool
	// retryAt is the earliest time of the next order.
	retryAt clock.Instant
	// startedAt is when the range began to move.
	startedAt clock.Instant
}
