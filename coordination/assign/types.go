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
	// most 625 renewals a second for up to 625 ranges. A grant holds for failoverTime longer than
	// this interval. That bounds how long the keys of a crashed target stay unserved.
	minRenewInterval      = 500 * time.Millisecond
	maxRenewInterval      = time.Second
	renewIntervalPerRange = 1600 * time.Microsecond
	// holdSlack is added to a hold that must have run out, for the time that the grant may have
	// taken to arrive.
	holdSlack = 200 * time.Millisecond
	// clockTolerance is the fraction by which a target's clock may run slow.
	clockTolerance = 0.02
	// maxOrderTime is the longest time from when a grant is due to its outcome: waiting for its
	// turn, connecting, and the answer.
	maxOrderTime = 1300 * time.Millisecond
	// minHold is the shortest hold for which an order is sent. The grants of a target that does not
	// answer are renewed only up to the time at which all it may have been granted has run out:
	// each renewal that it may have received would otherwise delay moving its keys to another
	// target.
	minHold = 300 * time.Millisecond
	// lostAfter is how long a target must have failed to answer orders before its keys are
	// reassigned. A single timeout is not enough: targets are slow at times.
	lostAfter = 1200 * time.Millisecond
	// retryAfter is the pause before an unanswered order is sent again.
	retryAfter = 250 * time.Millisecond
	// regrantInterval is the least time between two raises of the fences of a target that may have
	// been restarted. Without it, a target that resets each connection at once would cause a change
	// of the map with each attempt.
	regrantInterval = 500 * time.Millisecond
	// The time between two attempts to balance the load is balanceIntervalPerTarget for each target
	// that takes keys, but not less than minBalanceInterval and not more than maxBalanceInterval.
	// With few targets, frequent attempts help when a single key is hot. With hundreds of targets,
	// a quarter may move keys at a time, and each attempt costs calls to the store.
	minBalanceInterval       = 350 * time.Millisecond
	maxBalanceInterval       = 700 * time.Millisecond
	balanceIntervalPerTarget = 10 * time.Millisecond
	// startupWait is how long the first keys of a service are held back after its first target was
	// listed, and those of unlisted owners after the leader took over. Otherwise all keys would go
	// to the first targets and would have to move again as others are listed.
	startupWait = 700 * time.Millisecond
	// failureExpiry is how long a target that failed to answer an order and has no keys gets none.
	// After that it is tried again: a target without keys gets no other orders that would show that
	// it answers.
	failureExpiry = 2 * time.Second
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	// Grant gives keys to a target.
	Grant Kind = "grant"
	// Renew extends the hold of a grant.
	Renew Kind = "renew"
	// Release asks a target to give keys up.
	Release Kind = "release"
)

// Order asks a target to take, keep or give up the keys From..To.
type Order struct {
	Kind    Kind
	Service string
	// Target is the ID of the target, Address where it is reached.
	Target   string
	Address  string
	From, To uint16
	Fence    uint64
	// Hold is how long the target may own the keys, counted from when the order arrives.
	Hold time.Duration
	// Handover is what the former owner sent when it released the keys.
	Handover string
	// SentAt is when the order was sent, over a connection that was open by then.
	SentAt clock.Instant
	// ConnectionOpenSince requires a connection that has been open since that time: the target had the
	// keys then, and over such a connection the same process answers. clock.Never allows any
	// connection.
	ConnectionOpenSince clock.Instant
}

// Outcome is what is known about the effect of an order.
type Outcome string

// The outcomes of orders.
const (
	// Done: the target answered that it carried out the order.
	OutcomeDone Outcome = "done"
	// HigherFence: the target refused the order since it has seen a higher fence for one of the
	// keys.
	OutcomeHigherFence Outcome = "higher-fence"
	// NotSent: the target is certain not to have received the order.
	OutcomeNotSent Outcome = "not-sent"
	// Unknown: the target may have received the order and may still carry it out.
	OutcomeUnknown Outcome = "unknown"
	// Unverified: the order was not sent, since there is no connection as old as
	// Order.ConnectedSince. The target may have been restarted since then.
	OutcomeUnverified Outcome = "unverified"
	// OtherTarget: another process answers at the address, so the target has ended.
	OutcomeOtherTarget Outcome = "other-target"
)

// Config is the configuration of a Manager.
type Config struct {
	Service string
	// HoldMax is the longest hold that targets accept.
	HoldMax time.Duration
	// HeldUntil is when all grants of former leaders have run out. clock.Never if that is not
	// known: they may have sent grants with the longest hold until just now.
	HeldUntil clock.Instant
	// Policy sets when ranges are moved to balance the load.
	Policy keyrange.Policy
}

// holder is the state of a target that owns keys, may own keys, or may get keys.
type holder struct {
	target view.Target
	// listed is set when the target is in the current list of targets.
	listed bool
	// firstListedAt is when the target was first listed.
	firstListedAt clock.Instant
	// ended is set when the target's process is certain to have ended.
	ended bool
	// heldUntil is when all grants that the target may have received have run out.
	heldUntil clock.Instant
	// grantsInFlight is the number of grants and renewals without an outcome; while there are any,
	// heldUntil is not known.
	grantsInFlight int
	// failingSince is when orders began to fail; clock.Never while they are answered.
	failingSince clock.Instant
	// lastFailedAt is when the last order failed.
	lastFailedAt clock.Instant
	// speed is the target's speed relative to the average.
	speed float64
	// limit is how many requests a second the target takes from all instances together; 0 if it
	// names no limit.
	limit float64
	// restarted is set when another process was started under the target's name. The address is
	// that of the new process, which may have received a grant that was meant for the former one.
	restarted bool
	// unverified is set when the target may have been restarted: its keys are granted again, under
	// a higher fence.
	unverified bool
	// regrantedAt is when its keys were last granted again.
	regrantedAt clock.Instant
}

// failing reports whether an order to the target has failed since it last answered one.
func (h *holder) failing() bool { return h.failingSince != clock.Never }

// lost reports whether the target has failed to answer orders for so long that its keys are
// reassigned.
func (h *holder) lost(now clock.Instant) bool {
	return h.failing() && now.Sub(h.failingSince) >= lostAfter
}

// eligible reports whether the target may be given keys.
func (h *holder) eligible() bool {
	return h.listed && !h.ended && !h.failing() && !h.target.Draining
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
	// closed is set when no more orders are sent under this fence: the first one got no answer, as
	// with move.unanswered, or the target has seen a higher fence.
	closed bool
}

// move is the state of a range that is moving to another owner.
type move struct {
	// released is set when the former owner is certain to have given the keys up.
	released bool
	// handover is what the former owner sent when it released the keys.
	handover string
	// releasing and granting are set while such an order has no outcome yet.
	releasing, granting bool
	// offered is set when the next owner may have received the grant.
	offered bool
	// granted is set when the next owner has confirmed the grant.
	granted bool
	// unanswered is set when a grant got no answer. The next grant is sent under a higher fence:
	// the target may have accepted this one, ended, and been restarted.
	unanswered bool
	// refused is set when no grant may be sent under this fence any more.
	refused bool
	// retryAt is the earliest time of the next order.
	retryAt clock.Instant
	// startedAt is when the range began to move.
	startedAt clock.Instant
}
