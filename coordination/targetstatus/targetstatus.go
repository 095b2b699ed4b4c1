// Package targetstatus holds what targets say of themselves in their answers: that they leave, that they want
// nothing from an instance for a time, or how many requests they take from all instances together.
//
// The registry tells the first as well, but only as long as its store is there and the target reaches
// it; an answer reaches whoever asked. What a target says to an instance binds that instance from then
// on. To the leading one it is told as well, so that it gives the target's keys to others; it binds no
// other instance, since a target that leaves goes on to serve for a while, and while the store is away
// nobody else can have its keys.
//
// A limit is for all instances together. Who was told of it tells the keeper of the target's slots, which
// sees all that goes there; see package permit.
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
	// leaveEarly is how long before the time that a target gives itself it is not sent to any more: a
	// request is on its way for some milliseconds, and longer from a busy instance.
	leaveEarly = 300 * time.Millisecond
	// keepFor is how long what a target has said is kept once it is not listed any more. The registry
	// loses entries of targets that live while its store is away.
	keepFor = 10 * time.Minute
	// reportedFor is how long the word of a target counts that another instance has reported; it goes
	// on to report it, several times a second.
	reportedFor = 3 * time.Second
)

// Registry is what targets have said to one instance. It is safe for concurrent use.
type Registry struct {
	clock clock.Clock
	// drain is how long a target takes requests after its first word that it leaves.
	drain time.Duration

	mu sync.Mutex
	// said is what was said to this instance.
	said map[string]said
	// reported are the targets that have told others that they leave, and when those last reported it.
	reported map[string]clock.Instant
}

// said is what one life of a target has said.
type said struct {
	// leavingAt is when it first said that it leaves; Never: it has not.
	leavingAt clock.Instant
	// pausedUntil is until when it wants nothing.
	pausedUntil clock.Instant
	// limit is how many requests a second it takes from all instances together, as of limitAt; 0: it
	// names no limit.
	limit   float64
	limitAt clock.Instant
	heardAt clock.Instant
}

// NewRegistry returns a registry to which nothing was said. Drain is how long a target takes requests
// after its first word that it leaves.
func NewRegistry(c clock.Clock, drain time.Duration) *Registry {
	return &Registry{clock: c, drain: drain, said: map[string]said{}, reported: map[string]clock.Instant{}}
}

// RecordStatus notes what a target has said with an answer: that it leaves, and for how long it wants nothing,
// 0 for neither. It reports whether it said for the first time that it leaves.
func (r *Registry) RecordStatus(target string, leaving bool, pause time.Duration) (first bool) {
	if !leaving && pause <= 0 {
		return false
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(target)
	s.heardAt = now
	if pause > 0 {
		s.pausedUntil = s.pausedUntil.Later(now.Add(pause))
	}
	if leaving && s.leavingAt == clock.Never {
		s.leavingAt = now
		first = true
	}
	r.said[target] = s
	return first
}

// of returns what a target has said so far. The caller holds the lock.
func (r *Registry) of(target string) said {
	if s, known := r.said[target]; known {
		return s
	}
	return said{leavingAt: clock.Never, pausedUntil: clock.Never, limitAt: clock.Never}
}

// RecordLimit notes how many requests a second a target takes from all instances together, 0: it names no
// limit. It returns what it named before.
func (r *Registry) RecordLimit(target string, perSecond float64) (before float64) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(target)
	before = s.limit
	if before == 0 && perSecond == 0 {
		return 0
	}
	s.limit, s.limitAt, s.heardAt = perSecond, now, now
	r.said[target] = s
	return before
}

// Limit is a target's word on how many requests it takes from all instances together.
type Limit struct {
	Target string
	// PerSecond is how many requests it takes a second.
	PerSecond float64
	// Age is how old the word is.
	Age time.Duration
}

// Limits returns the limits that some targets have named to this instance, and have not ended.
func (r *Registry) Limits(wanted func(target string) bool) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var list []Limit
	for id, s := range r.said {
		if s.limit > 0 && wanted(id) {
			list = append(list, Limit{Target: id, PerSecond: s.limit, Age: now.Sub(s.limitAt)})
		}
	}
	return list
}

// Limited reports whether a target names a limit, by its last word to this instance.
func (r *Registry) Limited(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.said[target].limit > 0
}

// HasLeft reports whether a target said so long ago that it leaves that nothing may be sent to it.
func (r *Registry) HasLeft(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.said[target]
	return known && s.leavingAt != clock.Never && r.clock.Now().Sub(s.leavingAt) >= r.drain-leaveEarly
}

// RemainingPause returns for how much longer a target wants nothing.
func (r *Registry) RemainingPause(target string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.said[target]
	if !known || s.pausedUntil == clock.Never {
		return 0
	}
	return max(0, s.pausedUntil.Sub(r.clock.Now()))
}

// TargetsToAvoid returns the targets that leave or want nothing now. Where others do as well, nothing is sent to
// them.
func (r *Registry) TargetsToAvoid() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var list []string
	for id, s := range r.said {
		if s.leavingAt != clock.Never || s.pausedUntil > now {
			list = append(list, id)
		}
	}
	return list
}

// RecordReported notes the targets that have told another instance that they leave.
func (r *Registry) RecordReported(targets []string) {
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

// Leaving returns the targets that have told this instance, or others that reported to it, that they
// leave, as far as they are listed.
func (r *Registry) Leaving(listed func(target string) bool) []string {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for id, s := range r.said {
		if s.leavingAt != clock.Never && listed(id) {
			list = append(list, id)
		}
	}
	for id, at := range r.reported {
		if now.Sub(at) > reportedFor {
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

// Prune drops what was said long ago by targets that are not listed any more.
func (r *Registry) Prune(listed func(target string) bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.said {
		if now.Sub(s.heardAt) > keepFor && now > s.pausedUntil && !listed(id) {
			delete(r.said, id)
		}
	}
}
