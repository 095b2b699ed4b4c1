package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tracker is the quarantine state of one instance. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time
	// table is read without the lock, since every request reads it.
	table atomic.Pointer[Table]

	mu sync.Mutex
	// unreported is what the leader may not know.
	unreported Table
	// version is the version of the leader's table that is merged here; on the leader, its own.
	version Version
	// leadingTerm is the term in which this instance is the leader; 0 if it is not.
	leadingTerm uint64
	// stored is the last known content of the row in the store.
	stored []byte
}

// Version orders the tables that leaders distribute: by term, then by a count.
type Version struct {
	Term  uint64
	Count uint64
}

// After reports whether v is newer than w.
func (v Version) After(w Version) bool {
	return v.Term > w.Term || v.Term == w.Term && v.Count > w.Count
}

// NewTracker returns a registry without crashes. The function now returns the time of day.
func NewTracker(now func() time.Time) *Tracker {
	r := &Tracker{now: now, unreported: Table{}}
	r.table.Store(&Table{})
	return r
}

// Empty reports whether no crash is known, so that requests need not be identified.
func (r *Tracker) Empty() bool { return len(*r.table.Load()) == 0 }

// Quarantined reports whether a request must not reach any target, and for how much longer.
func (r *Tracker) Quarantined(id Identity) (left time.Duration, quarantined bool) {
	e, known := (*r.table.Load())[id.Fingerprint]
	if !known || !e.quarantined(id.Caller) {
		return 0, false
	}
	left = e.expiresAt().Sub(r.now())
	return left, left > 0
}

// Suspected reports whether a target has crashed during a request, of any caller, since the request
// was last answered.
func (r *Tracker) Suspected(id Identity) bool {
	e := (*r.table.Load())[id.Fingerprint]
	return len(e.crashesAfter(e.lastAnswerAt(func(Response) bool { return true }))) > 0
}

// RecordCrash records that a target ended while it ran a request. The target's ID must identify
// this run of the target. RecordCrash reports whether the request is quarantined now.
func (r *Tracker) RecordCrash(id Identity, target string) bool {
	crash := Crash{Target: xxhash.Sum64String(target), Caller: id.Caller, At: r.now().UnixMilli()}
	r.Merge(Table{id.Fingerprint: {Crashes: []Crash{crash}}})
	_, quarantined := r.Quarantined(id)
	return quarantined
}

// RecordResponse records that a target has answered a request.
func (r *Tracker) RecordResponse(id Identity) {
	e, known := (*r.table.Load())[id.Fingerprint]
	if !known {
		return
	}
	caller := id.Caller
	if !slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Caller == caller }) {
		caller = otherCallers
	}
	if e.lastAnswerAt(func(a Response) bool { return a.Caller == caller }) >= e.lastCrashAt() {
		return
	}
	// The answer came after all known crashes, even if another instance's clock was ahead.
	at := max(r.now().UnixMilli(), e.lastCrashAt())
	r.Merge(Table{id.Fingerprint: {Answers: []Response{{Caller: caller, At: at}}}})
}

// Merge adds what this instance has seen, or what another one has reported to it.
func (r *Tracker) Merge(t Table) {
	if len(t) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := *r.table.Load()
	if !r.replace(before.merged(t, r.now())) {
		return
	}
	if r.leadingTerm != 0 {
		r.version.Count++
		return
	}
	for f := range t {
		if e, known := (*r.table.Load())[f]; known {
			r.unreported[f] = e
		}
	}
}

// QuarantinedRequest describes a quarantined request.
type QuarantinedRequest struct {
	Fingerprint Fingerprint
	// Targets and Callers count the targets that crashed and the callers that were affected, as far
	// as their crashes are still recorded.
	Targets, Callers int
	LastCrash, Until time.Time
}

// List returns the requests that are quarantined, for one caller or for all, sorted by fingerprint.
func (r *Tracker) List() []QuarantinedRequest {
	now := r.now()
	var list []QuarantinedRequest
	for f, e := range *r.table.Load() {
		if e.quarantinedForAny() && !e.expired(now) {
			list = append(list, QuarantinedRequest{
				Fingerprint: f, Targets: countDistinct(e.Crashes, Crash.target), Callers: countDistinct(e.Crashes, Crash.caller),
				LastCrash: time.UnixMilli(e.lastCrashAt()), Until: e.expiresAt(),
			})
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Release ends the quarantine of a request for all callers, as if each had got an answer. It
// reports whether the request was quarantined.
func (r *Tracker) Release(f Fingerprint) bool {
	e, known := (*r.table.Load())[f]
	if !known || !e.quarantinedForAny() {
		return false
	}
	at := max(r.now().UnixMilli(), e.lastCrashAt())
	var answers []Response
	for _, c := range e.Crashes {
		answers = append(answers, Response{Caller: c.Caller, At: at})
	}
	r.Merge(Table{f: {Answers: answers}})
	return true
}

// replace installs a new table and reports whether it differs from the previous one. The caller
// holds the lock.
func (r *Tracker) replace(next Table) bool {
	if next.equal(*r.table.Load()) {
		return false
	}
	r.table.Store(&next)
	return true
}

// Unreported returns what the leader may not know.
func (r *Tracker) Unreported() Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unreported) == 0 {
		return nil
	}
	return Table{}.merged(r.unreported, r.now())
}

// MarkReported records that another instance, which forwards it to the leader, has received the
// result of Unreported.
func (r *Tracker) MarkReported(t Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range t {
		if r.unreported[f].equal(e) {
			delete(r.unreported, f)
		}
	}
}

// Version returns the version of the table that is known here.
func (r *Tracker) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// UpdateSince returns the table and its version if it is newer than the given version.
func (r *Tracker) UpdateSince(since Version) (Table, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.version.After(since) {
		return nil, Version{}
	}
	return *r.table.Load(), r.version
}

// Adopt merges a table of the leader, received directly or through other instances. Entries that
// the leader's table lacks are reported to it again: a new leader may never have received them.
func (r *Tracker) Adopt(t Table, version Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leadingTerm != 0 || !version.After(r.version) {
		return
	}
	r.version = version
	before := *r.table.Load()
	for f, e := range before.missingFrom(t) {
		r.unreported[f] = e
	}
	r.replace(before.merged(t, r.now()))
}

// StartLeading makes this instance the leader, whose table is distributed to all others, in a term.
func (r *Tracker) StartLeading(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadingTerm = term
	r.version = Version{Term: term, Count: 1}
	clear(r.unreported)
}

// StopLeading makes this instance a follower.
func (r *Tracker) StopLeading() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadingTerm = 0
}

// LoadStored merges the content of the row in the store.
func (r *Tracker) LoadStored(text []byte) error {
	t, err := Decode(text)
	if err != nil {
		return err
	}
	r.Merge(t)
	r.MarkStored(text)
	return nil
}

// PendingWrite returns what should be written to the row in the store, or nil if it is up to date.
func (r *Tracker) PendingWrite() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := *r.table.Load()
	if len(t) == 0 && r.stored == nil {
		return nil, nil
	}
	text, err := t.encode()
	if err != nil {
		return nil, err
	}
	if r.stored == nil && len(text) == len("{}") || bytes.Equal(text, r.stored) {
		return nil, nil
	}
	return text, nil
}

// MarkStored records the content of the row in the store.
func (r *Tracker) MarkStored(text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = text
}
