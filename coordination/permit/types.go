package permit

import (
	"fmt"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/targetstatus"
)

// Ask is a request for a permit.
type Ask struct {
	// ID is unique to the asking instance's attempt.
	ID string
	// Service and Target say whose slots are asked for. Without a target any one of the
	// service's will do, but for those in Exclude.
	Service string
	Target  string
	Exclude []string
	// Group is the part of a service's targets that is asked for; see Groups.
	Group string
	// NoQueue asks for a free slot only: without one the ask is refused as busy.
	NoQueue bool
	Rule    string
	// Priority is the rule's rank; 0 goes first.
	Priority int
	// AimLeft is the time left within which an answer is of full use. It is negative when
	// the caller has waited for longer than that.
	AimLeft time.Duration
	// Left is the time left until the request is given up.
	Left time.Duration
	// Returning says that the caller has been refused before and came back as told.
	Returning bool
	// DataCentre is the asking instance's; targets there are preferred.
	DataCentre string
	// Abroad is what a target in another data centre is counted slower; see AbroadCost.
	Abroad time.Duration
	// Suspect names a request under which a target has ended: of those of one name one is let through at a
	// time, since it may end each target that it reaches; 0: none has.
	Suspect uint64
	// Limits are the limits that targets of the pool have named to the asking instance.
	Limits []targetstatus.Limit
}

// Permit allows one request to be sent to a target.
type Permit struct {
	ID     string
	Target string
	// Waited is how long the ask was queued.
	Waited time.Duration
}

// Result is what became of the request that a permit was for.
type Result string

// The results that a keeper learns from.
const (
	// Served: the target answered.
	Served Result = "served"
	// Failed: the target answered with a failure, or broke off.
	Failed Result = "failed"
	// Shed: the target said that it did not run the request.
	Shed Result = "shed"
	// Unreachable: no connection could be made.
	Unreachable Result = "unreachable"
	// Dropped: the request was given up, which says nothing about the target.
	Dropped Result = "dropped"
)

// Report gives a permit back.
type Report struct {
	ID     string
	Target string
	Rule   string
	Result Result
	Took   time.Duration
	// Slowness is how many times as long as usual work takes at the target now, by its own word; 0: it
	// does not say.
	Slowness float64
	// Heard says that the target has answered; Limit is then how many requests a second it takes from all
	// instances together, 0: it names no limit.
	Heard bool
	Limit float64
}

// RefusedError says that there is no room for a request.
type RefusedError struct {
	Reason string
	// RetryAfter is when there should be room.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("permit: refused: %s, room in %v", e.Reason, e.RetryAfter)
}

// Reasons of refusals.
const (
	// ReasonFull: the queue is too long for the time that the request has.
	ReasonFull = "full"
	// ReasonNoTarget: no target of the service is there.
	ReasonNoTarget = "no-target"
	// ReasonBusy: no slot is free, and the ask is not to be queued. RetryAfter is how long it
	// would wait.
	ReasonBusy = "busy"
	// ReasonSuspect: a target has ended under the request, and another one like it is at a target now.
	ReasonSuspect = "suspect"
	// ReasonLate: the request waited and its time is now too short.
	ReasonLate = "late"
)

// Target is a target whose slots a pool hands out.
type Target struct {
	ID         string
	DataCentre string
	Slots      int
	// ColdUntil is until when the target is cold.
	ColdUntil clock.Instant
	// ColdRate is how many requests a second it bears until then; 0: no bound is known.
	ColdRate float64
}

// Cold reports whether the target bears no more than its cold rate now.
func (s Target) Cold(now clock.Instant) bool { return s.ColdRate > 0 && now < s.ColdUntil }

// waiter is an ask in the queue.
type waiter struct {
	ask      Ask
	arrived  clock.Instant
	aim      clock.Instant
	deadline clock.Instant
	// expected is the time that the request should take at an average target, took at those of its
	// pool as they are now.
	expected, took time.Duration
	done           chan answer
}

type answer struct {
	permit Permit
	err    error
}

// before orders the queue: those that can still be answered within their aim first, and then by their
// turn. With rank before all else the less urgent half of the requests for a few slots waits for all of the
// other half, and is late at loads at which both would mostly be in time.
func (w *waiter) before(v *waiter, now clock.Instant) bool {
	if a, b := w.inTime(now), v.inTime(now); a != b {
		return a
	}
	return w.turn() < v.turn()
}

// turn is when the request comes up among those that are in time: each rank waits for the time of a request
// longer than the one above it.
func (w *waiter) turn() clock.Instant {
	return w.arrived.Add(time.Duration(w.ask.Priority) * w.expected)
}

// inTime reports whether the request would be answered within its aim if it were sent now.
func (w *waiter) inTime(now clock.Instant) bool {
	return now.Add(w.took/2) < w.aim
}
