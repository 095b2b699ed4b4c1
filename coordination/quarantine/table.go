package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// CrashLimit is the number of targets that must have crashed during a request of one caller
	// before it is quarantined for that caller. A single target may have exited for any other
	// reason. For a quarantine for all callers, it is the number of targets that must have crashed,
	// and the number of callers during whose requests they crashed.
	CrashLimit = 2
	// quarantineDuration is how long a quarantine lasts after the last crash.
	quarantineDuration = 24 * time.Hour
	// suspectDuration is how long a request with fewer crashes is recorded after its last crash or
	// response.
	suspectDuration = 10 * time.Minute
	// maxEntries limits the number of recorded requests. For each of them, the last crashes of
	// maxTargets targets and of maxCallers callers are recorded. The whole table is sent to all
	// instances whenever something is added: 256 entries with one crash each take about 10 KB.
	maxEntries = 256
	maxTargets = 3
	maxCallers = 3
	// maxResponses limits the recorded responses to each request: one to each caller with a
	// recorded crash and one to all other callers, with some reserve for responses that become
	// known in another order.
	maxResponses = 16
	// maxStoredEntries limits the row in the store to 48 KB; the store accepts 64 KB. The row is
	// written together with the lease, which could not be renewed if the store refused the row.
	maxStoredEntries = 100
)

// otherCallers stands for all callers without recorded crashes.
const otherCallers = 0

// Crash is the exit of a target while it ran a request.
type Crash struct {
	// Target is the hash of the crashed target's ID, which changes when the target restarts. Caller
	// is the hash of the address of the request's caller, see Identity.
	Target uint64 `json:"target"`
	Caller uint64 `json:"caller"`
	// At is in Unix milliseconds, by the clock of the instance that saw the crash.
	At int64 `json:"at"`
}

// Response records that a target has responded to a request, so the request does not crash every
// target.
type Response struct {
	// Caller is the hash of the caller's address; 0 stands for all callers without recorded
	// crashes.
	Caller uint64 `json:"caller"`
	// At is in Unix milliseconds, by the clock of the instance that got the response. It is at
	// least the time of the last crash that this instance knew: the clock that recorded the crash
	// may be ahead.
	At int64 `json:"at"`
}

// Entry holds the recorded crashes of a request, and the responses to it.
type Entry struct {
	Crashes []Crash `json:"crashes"`
	// Answers holds the responses to the request.
	Answers []Response `json:"answers,omitempty"`
}

// Table holds the entries of all requests. It is immutable once it is in use.
type Table map[Fingerprint]Entry

// quarantined reports whether the request of a caller must not reach any target.
func (e Entry) quarantined(caller uint64) bool {
	own := e.crashesAfter(e.lastResponseAt(func(r Response) bool { return r.Caller == caller }))
	own = slices.DeleteFunc(own, func(c Crash) bool { return c.Caller != caller })
	if countDistinct(own, Crash.target) >= CrashLimit {
		return true
	}
	all := e.crashesAfter(e.lastResponseAt(func(Response) bool { return true }))
	return countDistinct(all, Crash.target) >= CrashLimit && countDistinct(all, Crash.caller) >= CrashLimit
}

func (c Crash) target() uint64 { return c.Target }

func (c Crash) caller() uint64 { return c.Caller }

// crashesAfter returns the crashes after a time.
func (e Entry) crashesAfter(at int64) []Crash {
	return slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.At <= at })
}

// lastResponseAt returns the time of the last response that counts, in Unix milliseconds; 0 if
// there is none.
func (e Entry) lastResponseAt(counts func(Response) bool) int64 {
	at := int64(0)
	for _, a := range e.Answers {
		if counts(a) {
			at = max(at, a.At)
		}
	}
	return at
}

// countDistinct returns the number of distinct values among the crashes.
func countDistinct(list []Crash, of func(Crash) uint64) int {
	seen := map[uint64]bool{}
	for _, c := range list {
		seen[of(c)] = true
	}
	return len(seen)
}

// quarantinedForAny reports whether the request is quarantined for at least one caller.
func (e Entry) quarantinedForAny() bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return e.quarantined(c.Caller) })
}

// lastCrashAt returns the time of the last crash, in Unix milliseconds.
func (e Entry) lastCrashAt() int64 {
	at := int64(0)
	for _, c := range e.Crashes {
		at = max(at, c.At)
	}
	return at
}

// lastEventAt returns the time of the last crash or response, in Unix milliseconds. A response may
// become known before the crash that it followed.
func (e Entry) lastEventAt() int64 {
	return max(e.lastCrashAt(), e.lastResponseAt(func(Response) bool { return true }))
}

// expiresAt returns when the entry is deleted.
func (e Entry) expiresAt() time.Time {
	if e.quarantinedForAny() {
		return time.UnixMilli(e.lastCrashAt()).Add(quarantineDuration)
	}
	return time.UnixMilli(e.lastEventAt()).Add(suspectDuration)
}

// expired reports whether the entry no longer counts.
func (e Entry) expired(now time.Time) bool { return !now.Before(e.expiresAt()) }

// merged returns the union of two entries, within the limits on crashes and responses.
func (e Entry) merged(f Entry) Entry {
	crashes := limitCrashes(union(e.Crashes, f.Crashes, compareCrashes, func(c Crash) int64 { return c.At }))
	responses := union(e.Answers, f.Answers, func(a, b Response) int { return cmp.Compare(a.Caller, b.Caller) }, func(a Response) int64 { return a.At })
	return Entry{Crashes: crashes, Answers: limitResponses(responses, crashes)}.sorted()
}

// limitResponses returns, of a list sorted from latest to earliest, the responses to callers with
// recorded crashes, which would count again without these responses, and the latest of the others.
func limitResponses(list []Response, crashes []Crash) []Response {
	remaining := maxResponses - maxTargets - maxCallers
	return slices.DeleteFunc(list, func(r Response) bool {
		if slices.ContainsFunc(crashes, func(c Crash) bool { return c.Caller == r.Caller }) {
			return false
		}
		remaining--
		return remaining < 0
	})
}

// sorted sorts the entry's lists in place, for comparisons.
func (e Entry) sorted() Entry {
	slices.SortFunc(e.Crashes, compareCrashes)
	slices.SortFunc(e.Answers, func(a, b Response) int { return cmp.Compare(a.Caller, b.Caller) })
	return e
}

// compareCrashes orders crashes by target and caller.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Caller, b.Caller))
}

// limitCrashes returns, of a list sorted from latest to earliest, the last crash of each of the
// latest targets and of each of the latest callers. Many callers may lose one target at once: if
// only the latest crashes were kept, the previous target would be forgotten, and with it that two
// targets have crashed. The result does not depend on the order in which crashes become known.
func limitCrashes(list []Crash) []Crash {
	targets, callers := map[uint64]bool{}, map[uint64]bool{}
	return slices.DeleteFunc(list, func(c Crash) bool {
		ofTarget := addUpTo(targets, c.Target, maxTargets)
		ofCaller := addUpTo(callers, c.Caller, maxCallers)
		return !ofTarget && !ofCaller
	})
}

// addUpTo adds an ID to a set, and reports whether it is new and the set had fewer than limit IDs.
func addUpTo(seen map[uint64]bool, id uint64, limit int) bool {
	if seen[id] || len(seen) == limit {
		return false
	}
	seen[id] = true
	return true
}

// union returns the elements of two lists, sorted from latest to earliest. Of elements that compare
// as equal it includes the latest one.
func union[T any](a, b []T, compare func(T, T) int, at func(T) int64) []T {
	list := slices.Concat(a, b)
	slices.SortFunc(list, func(x, y T) int { return cmp.Or(compare(x, y), cmp.Compare(at(y), at(x))) })
	list = slices.CompactFunc(list, func(x, y T) bool { return compare(x, y) == 0 })
	// The first sort makes the order of elements with equal times deterministic.
	slices.SortStableFunc(list, func(x, y T) int { return cmp.Compare(at(y), at(x)) })
	return list
}

func (e Entry) equal(f Entry) bool {
	return slices.Equal(e.Crashes, f.Crashes) && slices.Equal(e.Answers, f.Answers)
}

// merged returns the union of two tables, without expired entries.
func (t Table) merged(u Table, now time.Time) Table {
	out := Table{}
	for _, part := range []Table{t, u} {
		for f, e := range part {
			if !e.expired(now) {
				out[f] = out[f].merged(e)
			}
		}
	}
	out.limitEntries(maxEntries)
	return out
}

// limitEntries removes entries until at most limit are left: first those that are not quarantined,
// and among equals the oldest ones.
func (t Table) limitEntries(limit int) {
	if len(t) <= limit {
		return
	}
	type rank struct {
		fingerprint Fingerprint
		quarantined bool
		lastAt      int64
	}
	ranks := make([]rank, 0, len(t))
	for f, e := range t {
		ranks = append(ranks, rank{f, e.quarantinedForAny(), e.lastEventAt()})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(compareBool(a.quarantined, b.quarantined), cmp.Compare(a.lastAt, b.lastAt), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, r := range ranks[:len(ranks)-limit] {
		delete(t, r.fingerprint)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (t Table) equal(u Table) bool { return maps.EqualFunc(t, u, Entry.equal) }

// missingFrom returns the entries of the table that the other table does not fully contain.
func (t Table) missingFrom(u Table) Table {
	out := Table{}
	for f, e := range t {
		if !u[f].merged(e).equal(u[f]) {
			out[f] = e
		}
	}
	return out
}

// encode returns the stored form of the quarantined requests.
func (t Table) encode() ([]byte, error) {
	quarantined := maps.Clone(t)
	maps.DeleteFunc(quarantined, func(_ Fingerprint, e Entry) bool { return !e.quarantinedForAny() })
	quarantined.limitEntries(maxStoredEntries)
	text, err := json.Marshal(quarantined)
	if err != nil {
		return nil, fmt.Errorf("quarantine: encode table: %w", err)
	}
	return text, nil
}

// Decode decodes the stored form of a Table.
func Decode(text []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("quarantine: decode stored table: %w", err)
	}
	return t, nil
}
