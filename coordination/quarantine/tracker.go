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

// Tracker holds the crashes and responses that one instance knows of, and decides from them which
// requests are quarantined. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time
	// table is read without the lock, since every request reads it.
	table atomic.Pointer[Table]

	mu sync.Mutex
	// unreported is what the leader may not know.
	unreported Table
	// version is the version of the leader's table that has been merged here last; on the leader,
	// that of its own table.
	version Version
	// leadingTerm is the term in which this instance is the leader; 0 if it is not.
	leadingTerm uint64
	// stored is the last known content of the row in the store.
	stored []byte
}

// Version orders the tables that leaders distribute: by term, then by count.
type Version struct {
	Term uint64
	// Count is the number of changes that the leader of the term has made to its table, plus one.
	Count uint64
}

// After reports whether v is newer than w.
func (v Version) After(w Version) bool {
	return v.Term > w.Term || v.Term == w.Term && v.Count > w.Count
}

// NewTracker returns a Tracker without crashes. The function now returns the time of day.
func NewTracker(now func() time.Time) *Tracker {
	tr := &Tracker{now: now, unreported: Table{}}
	tr.table.Store(&Table{})
	return tr
}

// Empty reports whether no crash is known, so that requests need not be identified.
func (tr *Tracker) Empty() bool { return len(*tr.table.Load()) == 0 }

// Quarantined reports whether a request must not reach any target, and for how much longer.
func (tr *Tracker) Quarantined(id Identity) (left time.Duration, quarantined bool) {
	e, known := (*tr.table.Load())[id.Fingerprint]
	if !known || !e.quarantined(id.Caller) {
		return 0, false
	}
	left = e.expiresAt().Sub(tr.now())
	return left, left > 0
}

// Suspected reports whether a target has crashed during a request, of any caller, since the request
// was last answered.
func (tr *Tracker) Suspected(id Identity) bool {
	e := (*tr.table.Load())[id.Fingerprint]
	return len(e.crashesAfter(e.lastResponseAt(func(Response) bool { return true }))) > 0
}

// RecordCrash records that a target exited while it ran a request. The target's ID must be unique
// to the process: it changes when the target restarts. RecordCrash reports whether the request is
// quarantined now.
func (tr *Tracker) RecordCrash(id Identity, target string) bool {
	crash := Crash{Target: xxhash.Sum64String(target), Caller: id.Caller, At: tr.now().UnixMilli()}
	tr.Merge(Table{id.Fingerprint: {Crashes: []Crash{crash}}})
	_, quarantined := tr.Quarantined(id)
	return quarantined
}

// RecordResponse records that a target has responded to a request.
func (tr *Tracker) RecordResponse(id Identity) {
	e, known := (*tr.table.Load())[id.Fingerprint]
	if !known {
		return
	}
	caller := id.Caller
	if !slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Caller == caller }) {
		caller = otherCallers
	}
	if e.lastResponseAt(func(r Response) bool { return r.Caller == caller }) >= e.lastCrashAt() {
		return
	}
	// The response came after all known crashes, even if another instance's clock was ahead.
	at := max(tr.now().UnixMilli(), e.lastCrashAt())
	tr.Merge(Table{id.Fingerprint: {Answers: []Response{{Caller: caller, At: at}}}})
}

// Merge adds what this instance has seen, or what another one has reported to it.
func (tr *Tracker) Merge(t Table) {
	if len(t) == 0 {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	before := *tr.table.Load()
	if !tr.replace(before.merged(t, tr.now())) {
		return
	}
	if tr.leadingTerm != 0 {
		tr.version.Count++
		return
	}
	for f := range t {
		if e, known := (*tr.table.Load())[f]; known {
			tr.unreported[f] = e
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
func (tr *Tracker) List() []QuarantinedRequest {
	now := tr.now()
	var list []QuarantinedRequest
	for f, e := range *tr.table.Load() {
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

// Release ends the quarantine of a request for all callers, as if each had got a response. It
// reports whether the request was quarantined.
func (tr *Tracker) Release(f Fingerprint) bool {
	e, known := (*tr.table.Load())[f]
	if !known || !e.quarantinedForAny() {
		return false
	}
	at := max(tr.now().UnixMilli(), e.lastCrashAt())
	var responses []Response
	for _, c := range e.Crashes {
		responses = append(responses, Response{Caller: c.Caller, At: at})
	}
	tr.Merge(Table{f: {Answers: responses}})
	return true
}

// replace makes a table current and reports whether it differs from the previous one. The caller
// must hold the lock.
func (tr *Tracker) replace(next Table) bool {
	if next.equal(*tr.table.Load()) {
		return false
	}
	tr.table.Store(&next)
	return true
}

// Unreported returns the entries that the leader may not know, for the next report.
func (tr *Tracker) Unreported() Table {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.unreported) == 0 {
		return nil
	}
	return Table{}.merged(tr.unreported, tr.now())
}

// MarkReported records that the leader, or an instance that forwards reports to it, has received t,
// a result of Unreported. Entries that have changed since remain unreported.
func (tr *Tracker) MarkReported(t Table) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for f, e := range t {
		if tr.unreported[f].equal(e) {
			delete(tr.unreported, f)
		}
	}
}

// Version returns the version of the table that is known here.
func (tr *Tracker) Version() Version {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.version
}

// UpdateSince returns the table and its version if it is newer than the given version.
func (tr *Tracker) UpdateSince(since Version) (Table, Version) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !tr.version.After(since) {
		return nil, Version{}
	}
	return *tr.table.Load(), tr.version
}

// Adopt merges a table of the leader, received directly or through other instances. Entries that
// the leader's table lacks are reported to it again: a new leader may never have received them.
func (tr *Tracker) Adopt(t Table, version Version) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.leadingTerm != 0 || !version.After(tr.version) {
		return
	}
	tr.version = version
	before := *tr.table.Load()
	for f, e := range before.missingFrom(t) {
		tr.unreported[f] = e
	}
	tr.replace(before.merged(t, tr.now()))
}

// StartLeading makes this instance the leader, whose table is distributed to all others, in a term.
func (tr *Tracker) StartLeading(term uint64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.leadingTerm = term
	tr.version = Version{Term: term, Count: 1}
	clear(tr.unreported)
}

// StopLeading makes this instance a follower, which adopts the tables of other leaders.
func (tr *Tracker) StopLeading() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.leadingTerm = 0
}

// LoadStored merges a table that was read from the store. The text is the content of the row of the
// store that holds the quarantined requests.
func (tr *Tracker) LoadStored(text []byte) error {
	t, err := Decode(text)
	if err != nil {
		return err
	}
	tr.Merge(t)
	tr.MarkStored(text)
	return nil
}

// PendingWrite returns what should be written to the row of the store that holds the quarantined
// requests, or nil if the row is up to date.
func (tr *Tracker) PendingWrite() ([]byte, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := *tr.table.Load()
	if len(t) == 0 && tr.stored == nil {
		return nil, nil
	}
	text, err := t.encode()
	if err != nil {
		return nil, err
	}
	if tr.stored == nil && len(text) == len("{}") || bytes.Equal(text, tr.stored) {
		return nil, nil
	}
	return text, nil
}

// MarkStored records that the row of the store that holds the quarantined requests now has this
// content.
func (tr *Tracker) MarkStored(text []byte) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.stored = text
}
