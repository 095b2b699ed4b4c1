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

// Registry is what one instance knows. It is safe for concurrent use.
type Registry struct {
	now func() time.Time
	// table is read without the lock on the path of each request.
	table atomic.Pointer[Table]

	mu sync.Mutex
	// unreported is what the leading instance may not know.
	unreported Table
	// version is that of the leading instance's table which is known here, or told from here.
	version Version
	// leading is the term in which this instance leads; 0: it does not.
	leading uint64
	// stored is the content of the row in the store, as far as it is known.
	stored []byte
}

// Version orders the tables that leading instances tell: by term, then by a count.
type Version struct {
	Term  uint64
	Count uint64
}

// After reports whether v is newer than w.
func (v Version) After(w Version) bool {
	return v.Term > w.Term || v.Term == w.Term && v.Count > w.Count
}

// NewRegistry returns a registry that knows of no crash. Now tells the time of day.
func NewRegistry(now func() time.Time) *Registry {
	r := &Registry{now: now, unreported: Table{}}
	r.table.Store(&Table{})
	return r
}

// Empty reports whether nothing is known, so that no request has to be identified.
func (r *Registry) Empty() bool { return len(*r.table.Load()) == 0 }

// Quarantined reports whether a request is to reach no target, and for how long.
func (r *Registry) Quarantined(id Identity) (left time.Duration, quarantined bool) {
	e, known := (*r.table.Load())[id.Fingerprint]
	if !known || !e.quarantined(id.Caller) {
		return 0, false
	}
	left = e.until().Sub(r.now())
	return left, left > 0
}

// Suspected reports whether a target has ended under a request, of whichever caller, since it was last
// answered.
func (r *Registry) Suspected(id Identity) bool {
	e := (*r.table.Load())[id.Fingerprint]
	return len(e.after(e.answeredAt(func(Answer) bool { return true }))) > 0
}

// RecordCrash notes that a life of a target ended while it ran a request. It reports whether the request
// is quarantined now.
func (r *Registry) RecordCrash(id Identity, target string) bool {
	crash := Crash{Target: xxhash.Sum64String(target), Caller: id.Caller, At: r.now().UnixMilli()}
	r.Merge(Table{id.Fingerprint: {Crashes: []Crash{crash}}})
	_, quarantined := r.Quarantined(id)
	return quarantined
}

// RecordAnswer notes that a target has answered a request.
func (r *Registry) RecordAnswer(id Identity) {
	e, known := (*r.table.Load())[id.Fingerprint]
	if !known {
		return
	}
	caller := id.Caller
	if !slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Caller == caller }) {
		caller = others
	}
	if e.answeredAt(func(a Answer) bool { return a.Caller == caller }) >= e.crashedAt() {
		return
	}
	// Clocks differ between instances: the answer came after whatever is known.
	at := max(r.now().UnixMilli(), e.crashedAt())
	r.Merge(Table{id.Fingerprint: {Answers: []Answer{{Caller: caller, At: at}}}})
}

// Merge takes over what this instance has seen, or another one has reported to it.
func (r *Registry) Merge(t Table) {
	if len(t) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := *r.table.Load()
	if !r.replace(before.merged(t, r.now())) {
		return
	}
	if r.leading != 0 {
		r.version.Count++
		return
	}
	for f := range t {
		if e, kept := (*r.table.Load())[f]; kept {
			r.unreported[f] = e
		}
	}
}

// QuarantinedRequest describes a request that is quarantined.
type QuarantinedRequest struct {
	Fingerprint Fingerprint
	// Targets is the number of targets that ended, as far as they are kept, Callers that of callers.
	Targets, Callers int
	LastCrash, Until time.Time
}

// List returns the requests that are quarantined, for one caller or for all, sorted by fingerprint.
func (r *Registry) List() []QuarantinedRequest {
	now := r.now()
	var list []QuarantinedRequest
	for f, e := range *r.table.Load() {
		if e.quarantinedForAny() && !e.forgotten(now) {
			list = append(list, QuarantinedRequest{
				Fingerprint: f, Targets: distinct(e.Crashes, Crash.target), Callers: distinct(e.Crashes, Crash.caller),
				LastCrash: time.UnixMilli(e.crashedAt()), Until: e.until(),
			})
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Release ends the quarantine of a request for all callers, as if it had been answered to each. It
// reports whether there was one.
func (r *Registry) Release(f Fingerprint) bool {
	e, known := (*r.table.Load())[f]
	if !known || !e.quarantinedForAny() {
		return false
	}
	at := max(r.now().UnixMilli(), e.crashedAt())
	var answers []Answer
	for _, c := range e.Crashes {
		answers = append(answers, Answer{Caller: c.Caller, At: at})
	}
	r.Merge(Table{f: {Answers: answers}})
	return true
}

// replace puts a table in the place of the present one, and reports whether they differ. The caller
// holds the lock.
func (r *Registry) replace(next Table) bool {
	if next.equal(*r.table.Load()) {
		return false
	}
	r.table.Store(&next)
	return true
}

// Unreported returns what the leading instance may not know.
func (r *Registry) Unreported() Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unreported) == 0 {
		return nil
	}
	return Table{}.merged(r.unreported, r.now())
}

// MarkReported notes that another instance, which passes it on, has got what Unreported returned.
func (r *Registry) MarkReported(t Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range t {
		if r.unreported[f].equal(e) {
			delete(r.unreported, f)
		}
	}
}

// Version returns the version that is known here.
func (r *Registry) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// UpdateSince returns what is known here, if its version is newer than the given one.
func (r *Registry) UpdateSince(since Version) (Table, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.version.After(since) {
		return nil, Version{}
	}
	return *r.table.Load(), r.version
}

// Adopt takes over what the leading instance tells, directly or through others. What it lacks is
// reported to it again: it may have come to lead without having heard of it.
func (r *Registry) Adopt(t Table, version Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leading != 0 || !version.After(r.version) {
		return
	}
	r.version = version
	before := *r.table.Load()
	for f, e := range before.lacking(t) {
		r.unreported[f] = e
	}
	r.replace(before.merged(t, r.now()))
}

// StartLeading makes this instance the one that tells all others, in its term.
func (r *Registry) StartLeading(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = term
	r.version = Version{Term: term, Count: 1}
	clear(r.unreported)
}

// StopLeading ends that.
func (r *Registry) StopLeading() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = 0
}

// LoadStored takes over the content of the row in the store.
func (r *Registry) LoadStored(text []byte) error {
	t, err := Decode(text)
	if err != nil {
		return err
	}
	r.Merge(t)
	r.MarkStored(text)
	return nil
}

// PendingWrite returns what the row in the store should hold, nil if it does so.
func (r *Registry) PendingWrite() ([]byte, error) {
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

// MarkStored notes the content of the row in the store.
func (r *Registry) MarkStored(text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = text
}
