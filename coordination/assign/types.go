package assign

import (
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

// Times of the assignment.
const (
	// changeTime is the longest time without a leading instance after one was killed: a lease
	// of 2 s that followers have known for up to 0.35 s less, looks at it and a bid.
	changeTime = 3 * time.Second
	// renewSoonest and renewLatest bound the time between renewals of a grant, which is
	// renewEach for each range, so that a leading instance sends no more than 625 renewals a
	// second for up to 625 ranges. A grant holds for changeTime beyond that, which bounds the time
	// for which the keys of a crashed target stay unserved.
	renewSoonest = 500 * time.Millisecond
	renewLatest  = time.Second
	renewEach    = 1600 * time.Microsecond
	// holdSlack is added to a hold that must have run out, for the time that a grant may
	// have been on its way.
	holdSlack = 200 * time.Millisecond
	// clockTolerance is the part by which a target's clock may run slow.
	clockTolerance = 0.02
	// orderTime is the longest time from the sending of a grant to its outcome: a turn, a
	// connection and the answer.
	orderTime = 1300 * time.Millisecond
	// leastHold is the shortest hold that is worth an order. A target that does not answer is
	// renewed only as far as it would hold its keys anyhow: each renewal that it may have got
	// would otherwise put off the time at which they can be given to another.
	leastHold = 300 * time.Millisecond
	// lostAfter is how long a target must have failed to answer orders before its keys are
	// given to others. One order timeout is not enough: targets are slow at times.
	lostAfter = 1200 * time.Millisecond
	// retryAfter is the pause before an order without an answer is sent again.
	retryAfter = 250 * time.Millisecond
	// anewEvery is the least time between new fences for a target that may have been started
	// again. One that resets each connection at once would have a change of the map stored with
	// each try.
	anewEvery = 500 * time.Millisecond
	// balanceSoonest and balanceLatest bound the time between looks at the balance, which is
	// balanceEach for each target that takes keys. Looking twice as often is worth 0.003 to 0.011
	// where one key is hot among 19 or 25 targets. Of hundreds, a quarter may move keys at a time,
	// and each look costs calls to the store.
	balanceSoonest = 350 * time.Millisecond
	balanceLatest  = 700 * time.Millisecond
	balanceEach    = 10 * time.Millisecond
	// settleFor is how long the first targets of a service are awaited, so that they do not
	// all have to move at once as others come.
	settleFor = 700 * time.Millisecond
	// forgiveAfter is how long a target without keys is given none after it failed to answer
	// an order; nothing else would show that it answers again.
	forgiveAfter = 2 * time.Second
)

// Kind is what an order asks of a target.
type Kind string

// The kinds of order.
const (
	Grant   Kind = "grant"
	Renew   Kind = "renew"
	Release Kind = "release"
)

// Order asks a target to take, keep or give up keys.
type Order struct {
	Kind     Kind
	Service  string
	Target   string
	Address  string
	From, To uint16
	Fence    uint64
	Hold     time.Duration
	Handover string
	// SentAt is when it was sent, over a connection that was open by then.
	SentAt clock.Instant
	// ConnectedSince asks for a connection that was open then already: the target had the keys at that
	// time, and whoever answers over such a connection is the same process. clock.Never: any
	// connection will do.
	ConnectedSince clock.Instant
}

// Outcome is what is known about the effect of an order.
type Outcome string

// The outcomes of orders.
const (
	// Done: the target answered that it did it.
	Done Outcome = "done"
	// HigherFence: the target has seen a higher fence on one of the keys.
	HigherFence Outcome = "higher-fence"
	// NotSent: the target provably did not get the order.
	NotSent Outcome = "not-sent"
	// Unknown: the target may have got it and may still do it.
	Unknown Outcome = "unknown"
	// Unverified: there is no connection as old as Order.Since; the order was not sent. The
	// target may have been started again since.
	Unverified Outcome = "unverified"
	// OtherTarget: somebody else answers at the address; the target has ended.
	OtherTarget Outcome = "other-target"
)

// Config of a service's assignment.
type Config struct {
	Service string
	// HoldMax is the longest hold that targets accept.
	HoldMax time.Duration
	// HeldUntil is when everything that former leading instances granted has run out. Never: it
	// is not known, and they may have granted the longest hold until just now.
	HeldUntil clock.Instant
	Policy    keyrange.Policy
}

// holder is a target that owns keys, may own some, or may get some.
type holder struct {
	target view.Target
	// listed says that the target is believed to be there.
	listed bool
	// firstListed is when it was first seen in the registry.
	firstListed clock.Instant
	// ended says that the target has ended for certain.
	ended bool
	// heldUntil is when everything that it may have been granted has run out.
	heldUntil clock.Instant
	// granting counts grants under way; while there are any, heldUntil is not known.
	granting int
	// failingSince is when orders began to fail; Never while they are answered.
	failingSince clock.Instant
	// failedAt is when the last one failed.
	failedAt clock.Instant
	// speed is the target's speed relative to the average.
	speed float64
	// limit is how many requests a second it takes from all instances together; 0: it names no limit.
	limit float64
	// restarted says that the target has been started again under its name. Its address is that
	// of the new process, which may have been granted keys by an order meant for the former one.
	restarted bool
	// unverified says that the target may have been started again: it gets its keys once more,
	// under a higher fence.
	unverified bool
	// anewAt is when it last got its keys once more.
	anewAt clock.Instant
}

func (h *holder) failing() bool { return h.failingSince != clock.Never }

func (h *holder) lost(now clock.Instant) bool {
	return h.failing() && now.Sub(h.failingSince) >= lostAfter
}

// takes reports whether the target may be given keys.
func (h *holder) takes() bool {
	return h.listed && !h.ended && !h.failing() && !h.target.Draining
}

// piece names a range under one fence.
type piece struct {
	from, to uint16
	fence    uint64
}

// renewal is the state of an owner's grant.
type renewal struct {
	at       clock.Instant
	underWay bool
	// heldAt is when the last order was sent after which the target had the keys.
	heldAt clock.Instant
	// over says that no order goes out under this fence again: the first one got no answer, as
	// with move.unanswered, or the target has seen a higher fence.
	over bool
}

// move is the state of a range that changes hands.
type move struct {
	released bool
	handover string
	// releasing and granting say that an order is under way.
	releasing, granting bool
	// offered says that the next owner may have got the grant.
	offered bool
	granted bool
	// unanswered says that a grant got no answer. The next one goes out under a higher fence:
	// the target may have taken this one, ended, and started again.
	unanswered bool
	// refused says that the next owner cannot take it under this fence.
	refused bool
	retryAt clock.Instant
	begun   clock.Instant
}
