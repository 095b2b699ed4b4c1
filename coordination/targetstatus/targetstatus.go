// Package targetstatus holds what targets state about themselves in their answers: that they are
// leaving, that they accept no requests from an instance for a time, or how many requests a second
// they accept from all instances together.
//
// The registry of targets also lists which targets are leaving, but only while its store is
// available and the target reaches it. An answer reaches every instance that sends requests to the
// target. A status that a target states to an instance binds this instance from then on. The
// instance also reports leaving targets to the leader, which moves their keys to other targets.
// Other instances are not bound: a leaving target continues to serve for a while, and while the
// store is unavailable no other target can take over its keys.
//
// A limit applies to all instances together. An instance that receives one forwards it to the
// keeper of the target's slots, which sees all requests to the target; see package permit.
//
// Lock order: the Registry's lock is a leaf.
package targetstatus

import (
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// leaveMargin is how long before the end of the target's drain time requests to it stop: a
	// request takes some milliseconds to arrive, and longer from a busy instance.
	leaveMargin = 300 * time.Millisecond
	// unlistedRetention is how long the status of a target that is no longer listed is retained.
	// The registry of targets loses entries of running targets while its store is unavailable.
	unlistedRetention = 10 * time.Minute
	// reportValidity is how long a report by another instance that a target is leaving remains
	// valid. The instance repeats it several times a second.
	reportValidity = 3 * time.Second
)

// Tracker holds what targets have stated to one instance. It is safe for concurrent use.
type Tracker struct {
	clock clock.Clock
	// drain is how long a target accepts requests after it has first stated that it is leaving.
	drain time.Duration

	mu sync.Mutex
	// statuses are the targets' statuses as stated to this instance.
	statuses map[string]status
	// reported are the targets that other instances have reported as leaving, and the times of the
	// last reports.
	reported map[string]clock.Instant
}

// status is what one target has stated since it started.
type status struct {
	// leavingAt is when the target first stated that it is leaving; clock.Never if it has not.
	leavingAt clock.Instant
	// pausedUntil is the end of the time in which the target accepts no requests from this
	// instance.
	pausedUntil clock.Instant
	// limit is how many requests a second the target accepts from all instances together, as of
	// limitAt; 0 means no limit.
	limit     float64
	limitAt   clock.Instant
	updatedAt clock.Instant
}

// NewTracker returns a registry without statuses. A target accepts requests for the drain time
// after it has first stated that it is leaving.
func NewTracker(c clock.Clock, drain time.Duration) *Tracker {
	return &Tracker{clock: c, drain: drain, statuses: map[string]status{}, reported: map[string]clock.Instant{}}
}

// RecordStatus records what a target has stated with an answer: whether it is leaving, and for how
// long it accepts no requests, 0 for no pause. It reports whether the target has stated for the
// first time that it is leaving.
func (r *Tracker) RecordStatus(target string, leaving bool, pause time.Duration) (first bool) {
	if !leaving && pause <= 0 {
		return false
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.statusOf(target)
	s.updatedAt = now
	if pause > 0 {
		s.pausedUntil = s.pausedUntil.Later(now.Add(pause))
	}
	if leaving && s.leavingAt == clock.Never {
		s.leavingAt = now
		first = true
	}
	r.statuses[target] = s
	return first
}

// statusOf returns the status of a target. The caller holds the lock.
func (r *Tracker) statusOf(target string) status {
	if s, known := r.statuses[target]; known {
		return s
	}
	return status{leavingAt: clock.Never, pausedUntil: clock.Never, limitAt: clock.Never}
}

// RecordLimit records how many requests a second a target accepts from all instances together, 0
// for no limit. It returns the previous value.
func (r *Tracker) RecordLimit(target string, perSecond float64) (before float64) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.statusOf(target)
	before = s.limit
	if before == 0 && perSecond == 0 {
		return 0
	}
	s.limit, s.limitAt, s.updatedAt = perSecond, now, now
	r.statuses[target] = s
	return before
}

// Limit is a limit that a target has stated for all instances together.
type Limit struct {
	Target string
	// PerSecond is how many requests a second the target accepts.
	PerSecond float64
	// Age is the time since the target stated it.
	Age time.Duration
}

// Limits returns the current limits that the wanted targets have stated to this instance.
func (r *Tracker) Limits(wanted func(target string) bool) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var list []Limit
	for id, s := range r.statuses {
		if s.limit > 0 && wanted(id) {
			list = append(list, Limit{Target: id, PerSecond: s.limit, Age: now.Sub(s.limitAt)})
		}
	}
	return list
}

// Limited reports whether a target's last statement to this instance contains a limit.
func (r *Tracker) Limited(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statuses[target].limit > 0
}

// DrainTimeOver reports whether a leaving target's drain time is over but for leaveMargin, so that nothing
// may be sent to the target.
func (r *Tracker) DrainTimeOver(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.statuses[target]
	return known && s.leavingAt != clock.Never && r.clock.Now().Sub(s.leavingAt) >= r.drain-leaveMargin
}

// RemainingPause returns for how much longer a target accepts no requests.
func (r *Tracker) RemainingPause(target string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.statuses[target]
	if !known || s.pausedUntil == clock.Never {
		return 0
	}
	return max(0, s.pausedUntil.Sub(r.clock.Now()))
}

// TargetsToAvoid returns the targets that are leaving or pausing. Nothing should be sent to them if
// other targets can serve the request as well.
func (r *Tracker) TargetsToAvoid() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var list []string
	for id, s := range r.statuses {
		if s.leavingAt != clock.Never || s.pausedUntil > now {
			list = append(list, id)
		}
	}
	return list
}

// RecordReported records the targets that another instance has reported as leaving.
func (r *Tracker) RecordReported(targets []string) {
	if len(targets) == 0 {
		return
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range targets {
		r.reported[id] = now
	}
}

// Leaving returns the listed targets that have stated to this instance, or to instances that
// reported it here, that they are leaving.
func (r *Tracker) Leaving(listed func(target string) bool) []string {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for id, s := range r.statuses {
		if s.leavingAt != clock.Never && listed(id) {
			list = append(list, id)
		}
	}
	for id, at := range r.reported {
		if now.Sub(at) > reportValidity {
			delete(r.reported, id)
			continue
		}
		if listed(id) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Prune removes old statuses of targets that are no longer listed.
func (r *Tracker) Prune(listed func(target string) bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.statuses {
		if now.Sub(s.updatedAt) > unlistedRetention && now > s.pausedUntil && !listed(id) {
			delete(r.statuses, id)
		}
	}
}
