// Package targetstatus holds what targets report about themselves in their responses: that they are
// leaving, that they accept no requests from an instance for a time, or how many requests a second
// they accept from all instances together.
//
// The platform's registry also lists which targets are leaving, but only while its store is
// available and the target reaches it. A response reaches every instance that sends requests to the
// target. An instance obeys the status that a target has reported to it. It also reports leaving
// targets to the leader, which moves their keys to other targets. Other instances still send
// requests to a leaving target: it continues to serve for a while, and while the store is
// unavailable no other target can take over its keys.
//
// A limit applies to all instances together. An instance that receives one forwards it to the
// keeper of the target's slots, which sees all requests to the target; see package permit.
//
// Lock order: no other lock is taken while the Tracker's lock is held.
package targetstatus

import (
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// leaveMargin is how long before the end of a leaving target's drain time requests to it stop:
	// a request takes some milliseconds to arrive, and longer from a busy instance.
	leaveMargin = 300 * time.Millisecond
	// unlistedRetention is how long the status of a target that is no longer listed is retained.
	// The registry loses entries of running targets while its store is unavailable.
	unlistedRetention = 10 * time.Minute
	// reportValidity is how long a report by another instance that a target is leaving remains
	// valid. The instance repeats it several times a second.
	reportValidity = 3 * time.Second
)

// Tracker holds what targets have reported to one instance. It is safe for concurrent use.
type Tracker struct {
	clock clock.Clock
	// drain is how long a target accepts requests after it has first reported that it is leaving.
	drain time.Duration

	mu sync.Mutex
	// statuses are the targets' statuses as reported to this instance.
	statuses map[string]status
	// reportedByOthers holds the targets that other instances have reported as leaving, and the
	// times of the last reports.
	reportedByOthers map[string]clock.Instant
}

// status is what one target has reported since it started.
type status struct {
	// leavingAt is when the target first reported that it is leaving; clock.Never if it has not.
	leavingAt clock.Instant
	// pausedUntil is the end of the time in which the target accepts no requests from this
	// instance.
	pausedUntil clock.Instant
	// limit is how many requests a second the target accepts from all instances together, as of
	// limitAt; 0 means no limit.
	limit   float64
	limitAt clock.Instant
	// replacedAt is the address at which another target has responded in place of this one; empty if
	// none has.
	replacedAt string
	updatedAt  clock.Instant
}

// NewTracker returns a Tracker without statuses. A target accepts requests for the drain time after
// it has first reported that it is leaving.
func NewTracker(c clock.Clock, drain time.Duration) *Tracker {
	return &Tracker{clock: c, drain: drain, statuses: map[string]status{}, reportedByOthers: map[string]clock.Instant{}}
}

// RecordStatus records what a target has reported in a response: whether it is leaving, and for how
// long it accepts no requests from this instance, 0 for no pause. The result first is true if the
// target has reported for the first time that it is leaving.
func (tr *Tracker) RecordStatus(target string, leaving bool, pause time.Duration) (first bool) {
	if !leaving && pause <= 0 {
		return false
	}
	now := tr.clock.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.statusOf(target)
	s.updatedAt = now
	if pause > 0 {
		s.pausedUntil = s.pausedUntil.Later(now.Add(pause))
	}
	if leaving && s.leavingAt == clock.Never {
		s.leavingAt = now
		first = true
	}
	tr.statuses[target] = s
	return first
}

// RecordReplaced records that another target has responded at a target's address. It returns false if
// that was known.
func (tr *Tracker) RecordReplaced(target, address string) (first bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.statusOf(target)
	first = s.replacedAt != address
	s.replacedAt, s.updatedAt = address, tr.clock.Now()
	tr.statuses[target] = s
	return first
}

// ReplacedTargets returns the targets at whose present address another one has responded. addressOf
// returns the address of a target.
func (tr *Tracker) ReplacedTargets(addressOf func(target string) string) []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []string
	for id, s := range tr.statuses {
		if s.replacedAt != "" && s.replacedAt == addressOf(id) {
			list = append(list, id)
		}
	}
	return list
}

// Replaced reports whether another target has responded at a target's address. The target itself may be
// at another one.
func (tr *Tracker) Replaced(target, address string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return address != "" && tr.statuses[target].replacedAt == address
}

// statusOf returns the status of a target. The caller must hold the lock.
func (tr *Tracker) statusOf(target string) status {
	if s, known := tr.statuses[target]; known {
		return s
	}
	return status{leavingAt: clock.Never, pausedUntil: clock.Never, limitAt: clock.Never}
}

// RecordLimit records how many requests a second a target accepts from all instances together; 0
// means no limit. It returns the previous value.
func (tr *Tracker) RecordLimit(target string, perSecond float64) (before float64) {
	now := tr.clock.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.statusOf(target)
	before = s.limit
	if before == 0 && perSecond == 0 {
		return 0
	}
	s.limit, s.limitAt, s.updatedAt = perSecond, now, now
	tr.statuses[target] = s
	return before
}

// Limit is a limit that a target has reported for all instances together.
type Limit struct {
	Target string
	// PerSecond is how many requests a second the target accepts.
	PerSecond float64
	// Age is the time since the target reported it.
	Age time.Duration
}

// Limits returns the limits that the wanted targets have reported last to this instance.
func (tr *Tracker) Limits(wanted func(target string) bool) []Limit {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.clock.Now()
	var list []Limit
	for id, s := range tr.statuses {
		if s.limit > 0 && wanted(id) {
			list = append(list, Limit{Target: id, PerSecond: s.limit, Age: now.Sub(s.limitAt)})
		}
	}
	return list
}

// Limited reports whether the last status that a target reported to this instance contains a limit.
func (tr *Tracker) Limited(target string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.statuses[target].limit > 0
}

// DrainTimeOver reports whether a leaving target's drain time is over, or will be within
// leaveMargin (300 ms): nothing may be sent to the target any more.
func (tr *Tracker) DrainTimeOver(target string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, known := tr.statuses[target]
	return known && s.leavingAt != clock.Never && tr.clock.Now().Sub(s.leavingAt) >= tr.drain-leaveMargin
}

// RemainingPause returns for how much longer a target accepts no requests from this instance; 0 if
// it accepts them now.
func (tr *Tracker) RemainingPause(target string) time.Duration {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s, known := tr.statuses[target]
	if !known || s.pausedUntil == clock.Never {
		return 0
	}
	return max(0, s.pausedUntil.Sub(tr.clock.Now()))
}

// TargetsToAvoid returns the targets that have reported to this instance that they are leaving, or
// that pause now. Nothing should be sent to them if other targets can serve the request as well.
func (tr *Tracker) TargetsToAvoid() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.clock.Now()
	var list []string
	for id, s := range tr.statuses {
		if s.leavingAt != clock.Never || s.pausedUntil > now {
			list = append(list, id)
		}
	}
	return list
}

// RecordReported records the targets that another instance has reported as leaving. Leaving
// returns them, but this instance still sends requests to them.
func (tr *Tracker) RecordReported(targets []string) {
	if len(targets) == 0 {
		return
	}
	now := tr.clock.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, id := range targets {
		tr.reportedByOthers[id] = now
	}
}

// Leaving returns the listed targets that have reported to this instance, or to instances whose
// reports arrive here, that they are leaving.
func (tr *Tracker) Leaving(listed func(target string) bool) []string {
	now := tr.clock.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []string
	for id, s := range tr.statuses {
		if s.leavingAt != clock.Never && listed(id) {
			list = append(list, id)
		}
	}
	for id, at := range tr.reportedByOthers {
		if now.Sub(at) > reportValidity {
			delete(tr.reportedByOthers, id)
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
func (tr *Tracker) Prune(listed func(target string) bool) {
	now := tr.clock.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, s := range tr.statuses {
		if now.Sub(s.updatedAt) > unlistedRetention && now > s.pausedUntil && !listed(id) {
			delete(tr.statuses, id)
		}
	}
}
