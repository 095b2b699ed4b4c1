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
	// Service and Target say whose slots are asked for. If Target is empty, any target of the
	// service except those in Exclude will do.
	Service string
	Target  string
	Exclude []string
	// Group is the group of the service's targets that is asked for; see Groups.
	Group string
	// NoQueue asks for a free slot only: if there is none, the ask is refused with ReasonBusy.
	NoQueue bool
	Rule    string
	// Priority is the rule's priority; 0 is the most urgent.
	Priority int
	// AimLeft is the remaining time within which the request should be answered. It is negative if
	// the caller has already waited longer.
	AimLeft time.Duration
	// Left is the remaining time until the request is given up.
	Left time.Duration
	// Returning says that the caller was refused before and has retried after the time that it was
	// told to wait.
	Returning bool
	// DataCentre is the data centre of the asking instance; targets in it are preferred.
	DataCentre string
	// Abroad is the time by which a target in another data centre counts as slower; see
	// CrossDataCentreCost.
	Abroad time.Duration
	// Suspect identifies a request during which a target has crashed; 0 if none has. Of the
	// requests with the same ID only one is let through at a time, since each may crash its target.
	Suspect uint64
	// Limits are the limits that targets of the pool have stated to the asking instance.
	Limits []targetstatus.Limit
}

// Permit allows one request to be sent to a target.
type Permit struct {
	ID     string
	Target string
	// Waited is how long the ask was queued.
	Waited time.Duration
}

// Result is the outcome of the request that a permit was for.
type Result string

// The results that a keeper learns from.
const (
	// Served: the target answered.
	ResultServed Result = "served"
	// Failed: the target answered with a failure, or closed the connection early.
	ResultFailed Result = "failed"
	// Shed: the target said that it did not run the request.
	ResultNotExecuted Result = "shed"
	// Unreachable: no connection to the target could be made.
	ResultUnreachable Result = "unreachable"
	// Dropped: the request was given up, which says nothing about the target.
	ResultDropped Result = "dropped"
)

// Report returns a permit, with the outcome of its request.
type Report struct {
	ID     string
	Target string
	Rule   string
	Result Result
	Took   time.Duration
	// Slowness is how long work takes at the target now relative to usual, as stated by the target;
	// 0 if it states none.
	Slowness float64
	// Heard says that the target has answered. Limit is then how many requests a second it accepts
	// from all instances together; 0 means no limit.
	Heard bool
	Limit float64
}

// RefusedError says that a request gets no permit.
type RefusedError struct {
	Reason string
	// RetryAfter is the time after which a slot should be free.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("permit: refused: %s, retry after %v", e.Reason, e.RetryAfter)
}

// Reasons for refusals.
const (
	// ReasonFull: the wait in the queue is longer than the request has time for.
	ReasonFull = "full"
	// ReasonNoTarget: the service has no target that the ask allows.
	ReasonNoTarget = "no-target"
	// ReasonBusy: no slot is free and the ask is not to be queued. RetryAfter is how long it would
	// wait.
	ReasonBusy = "busy"
	// ReasonSuspect: a target has crashed during this request, and another request with the same
	// suspect ID is running now.
	ReasonSuspect = "suspect"
	// ReasonLate: the request has waited, and too little of its time is left.
	ReasonLate = "late"
)

// Target is a target whose slots a pool hands out.
type Target struct {
	ID         string
	DataCentre string
	Slots      int
	// ColdUntil is when the target stops being cold.
	ColdUntil clock.Instant
	// ColdRate is how many requests a second the target takes while it is cold; 0 means unlimited.
	ColdRate float64
}

// IsCold reports whether the target is limited to its cold rate now.
func (t Target) IsCold(now clock.Instant) bool { return t.ColdRate > 0 && now < t.ColdUntil }

// waiter is an ask and its place in the queue.
type waiter struct {
	ask      Ask
	arrived  clock.Instant
	aim      clock.Instant
	deadline clock.Instant
	// expected is the time that the request should take at an average target; expectedNow is the
	// time at the current mean slowness of the pool.
	expected, expectedNow time.Duration
	done                  chan decision
}

// decision is the final result of an ask.
type decision struct {
	permit Permit
	err    error
}

// precedes reports whether w comes before other in the queue. Requests that can still be answered
// within their aim come first, and then the order is by effectiveArrival. Strict priority would
// make the less urgent half of the requests for a few slots wait for the whole other half, and be
// late under loads at which most of both could be in time.
func (w *waiter) precedes(other *waiter, now clock.Instant) bool {
	if a, b := w.inTime(now), other.inTime(now); a != b {
		return a
	}
	return w.effectiveArrival() < other.effectiveArrival()
}

// effectiveArrival returns the arrival time that orders requests which are in time: each step down
// in priority adds the expected duration of the request.
func (w *waiter) effectiveArrival() clock.Instant {
	return w.arrived.Add(time.Duration(w.ask.Priority) * w.expected)
}

// inTime reports whether the request would probably be answered within its aim if it were sent now.
func (w *waiter) inTime(now clock.Instant) bool {
	return now.Add(w.expectedNow/2) < w.aim
}
