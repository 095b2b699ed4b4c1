package permit

import (
	"fmt"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/targetstatus"
)

// Ask is a request for a permit.
type Ask struct {
	// ID identifies the ask, uniquely among all instances. The permit that is granted for it has
	// the same ID.
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
	// Rule is the name of the rule that the request matched. The keeper estimates from it how long
	// the request will take.
	Rule string
	// Priority is the rule's priority; 0 is the most urgent.
	Priority int
	// AimLeft is the remaining time within which the request should be answered. It is negative if
	// the caller has already waited longer.
	AimLeft time.Duration
	// Left is the remaining time until the request is given up.
	Left time.Duration
	// Contended is set if the decisions for competing kinds of requests are in effect in the
	// deployment, see contention.Switch. The pool then decides by urgency.
	Contended bool
	// Aim is the rule's whole aim, of which AimLeft is the rest; 0 if Contended is not set.
	Aim time.Duration
	// Returning is set if the caller was refused before and has retried after the RetryAfter of the
	// refusal. The ask may then be queued until its deadline instead of its aim.
	Returning bool
	// DataCentre is the data centre of the asking instance; targets in it are preferred.
	DataCentre string
	// Abroad is the time by which a target in another data centre counts as slower; see
	// CrossDataCentreCost.
	Abroad time.Duration
	// Suspect identifies a request during which a target has crashed; 0 if none has. Of the
	// requests with the same ID only one is let through at a time, since each may crash its target.
	Suspect uint64
	// Limits are the limits that targets of the pool have reported to the asking instance.
	Limits []targetstatus.Limit
}

// Permit allows one request to be sent to a target.
type Permit struct {
	// ID is the ID of the ask.
	ID     string
	Target string
	// Waited is how long the ask was queued.
	Waited time.Duration
}

// Result is the outcome of the request that a permit was for. Keepers update the statistics of
// targets with it.
type Result string

const (
	// ResultServed: the target responded, and not with a failure.
	ResultServed Result = "served"
	// ResultFailed: the target responded with a failure, or closed the connection early.
	ResultFailed Result = "failed"
	// ResultNotExecuted: the target reported that it did not execute the request.
	ResultNotExecuted Result = "shed"
	// ResultUnreachable: no connection to the target could be made.
	ResultUnreachable Result = "unreachable"
	// ResultDropped: the caller or the instance gave the request up before a response, which says
	// nothing about the target.
	ResultDropped Result = "dropped"
)

// Report is the message with which a permit is returned.
type Report struct {
	// ID is the ID of the permit, Target its target.
	ID     string
	Target string
	// Rule is the rule of the ask. The keeper does not read it: it has recorded the rule with the
	// permit that it granted. The field is part of the report that is sent to keepers on other
	// instances.
	Rule   string
	Result Result
	// Took is the time from sending the request to the target's response.
	Took time.Duration
	// Slowness is how many times as long as usual work takes at the target now, as it reports; 0 if
	// it reports none. It counts as slowness relative to an average target.
	Slowness float64
	// Heard is set if the target has responded, whatever Result is. Limit is then how many requests
	// a second it accepts from all instances together; 0 means no limit.
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
	// ReasonFull: the ask was not queued, because the expected wait for a slot is longer than the
	// request has time for.
	ReasonFull = "full"
	// ReasonNoTarget: the service has no target that the ask allows.
	ReasonNoTarget = "no-target"
	// ReasonBusy: no slot is free and the ask has NoQueue set. RetryAfter is how long it would wait
	// in the queue.
	ReasonBusy = "busy"
	// ReasonSuspect: a target has crashed during this request, and another request with the same
	// suspect ID is running now.
	ReasonSuspect = "suspect"
	// ReasonLate: the ask was queued, and too little of the request's time is left now.
	ReasonLate = "late"
)

// Target is a target whose slots a pool hands out.
type Target struct {
	ID         string
	DataCentre string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// ColdUntil is when the target stops being cold.
	ColdUntil clock.Instant
	// ColdRate is how many requests a second the target accepts while it is cold; 0 means no limit.
	ColdRate float64
}

// IsCold reports whether the target is limited to its cold rate now. It is false if no cold rate is
// known.
func (t Target) IsCold(now clock.Instant) bool { return t.ColdRate > 0 && now < t.ColdUntil }

// waiter is an ask and its place in the queue.
type waiter struct {
	ask      Ask
	arrived  clock.Instant
	aim      clock.Instant
	deadline clock.Instant
	// expected is the time that the request should take at an average target; expectedNow is that
	// time multiplied by the current mean slowness of the pool.
	expected, expectedNow time.Duration
	// newestFirst is set in a contended pool while newer requests of the same priority come first.
	newestFirst bool
	// left is set when the request has been granted or refused while the queue is being served.
	left bool
	done chan decision
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

// inTime reports whether the request may still be answered within its aim if it is sent now, even
// if it takes only half as long as expected.
func (w *waiter) inTime(now clock.Instant) bool {
	return now.Add(w.expectedNow/2) < w.aim
}
