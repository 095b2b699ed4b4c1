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
	// CrashLimit is the number of targets that end under a request before it is quarantined. One may end
	// for any other reason.
	CrashLimit = 2
	// quarantineFor is how long a quarantine lasts after the last crash.
	quarantineFor = 24 * time.Hour
	// suspectFor is how long a request with fewer crashes is remembered after the last one.
	suspectFor = 10 * time.Minute
	// mostEntries bounds the requests that are known, mostTargets and mostCallers the targets and callers of
	// whose crashes the last one is known of each. All are told to all instances whenever something is
	// added: 256 with a crash each are some 10 KB.
	mostEntries = 256
	mostTargets = 3
	mostCallers = 3
	// mostAnswers bounds the answers that are known of each: one of each caller whose crashes are, and
	// one for all other callers, with some to spare for those that are learnt in another order.
	mostAnswers = 16
	// mostStored bounds the row in the store to 48 KB; it takes 64. The row goes with the lease, which
	// would not be renewed if the store refused it.
	mostStored = 100
)

// others stands for all callers whose crashes are not known.
const others = 0

// Crash is the end of a target while it ran a request.
type Crash struct {
	// Target stands for the life of the target that ended, Caller for who sent the request.
	Target uint64 `json:"target"`
	Caller uint64 `json:"caller"`
	// At is in Unix milliseconds, by the clock of the instance that saw it.
	At int64 `json:"at"`
}

// Answer is an answer to a request, which therefore does not crash each target.
type Answer struct {
	Caller uint64 `json:"caller"`
	// At is in Unix milliseconds, and after the crashes that were known where the answer came.
	At int64 `json:"at"`
}

// Entry is what is known of a request.
type Entry struct {
	Crashes []Crash  `json:"crashes"`
	Answers []Answer `json:"answers,omitempty"`
}

// Table is what is known of all requests. It is not changed once it is in use.
type Table map[Fingerprint]Entry

// quarantined reports whether a caller's request is to reach no target.
func (e Entry) quarantined(caller uint64) bool {
	own := e.after(e.answeredAt(func(a Answer) bool { return a.Caller == caller }))
	own = slices.DeleteFunc(own, func(c Crash) bool { return c.Caller != caller })
	if distinct(own, Crash.target) >= CrashLimit {
		return true
	}
	all := e.after(e.answeredAt(func(Answer) bool { return true }))
	return distinct(all, Crash.target) >= CrashLimit && distinct(all, Crash.caller) >= CrashLimit
}

func (c Crash) target() uint64 { return c.Target }

func (c Crash) caller() uint64 { return c.Caller }

// after returns the crashes after a time.
func (e Entry) after(at int64) []Crash {
	return slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.At <= at })
}

// answeredAt returns when one of some answers came last.
func (e Entry) answeredAt(counts func(Answer) bool) int64 {
	at := int64(0)
	for _, a := range e.Answers {
		if counts(a) {
			at = max(at, a.At)
		}
	}
	return at
}

func distinct(list []Crash, of func(Crash) uint64) int {
	seen := map[uint64]bool{}
	for _, c := range list {
		seen[of(c)] = true
	}
	return len(seen)
}

// quarantinedForAny reports whether the request of any caller is to reach no target.
func (e Entry) quarantinedForAny() bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return e.quarantined(c.Caller) })
}

// crashedAt returns when the last crash was, in Unix milliseconds.
func (e Entry) crashedAt() int64 {
	at := int64(0)
	for _, c := range e.Crashes {
		at = max(at, c.At)
	}
	return at
}

// lastAt returns when something was last learnt, in Unix milliseconds. An answer may become known
// before the crash that it followed.
func (e Entry) lastAt() int64 {
	return max(e.crashedAt(), e.answeredAt(func(Answer) bool { return true }))
}

// until returns when the entry is forgotten.
func (e Entry) until() time.Time {
	if e.quarantinedForAny() {
		return time.UnixMilli(e.crashedAt()).Add(quarantineFor)
	}
	return time.UnixMilli(e.lastAt()).Add(suspectFor)
}

// forgotten reports whether nothing that is known of a request counts any more.
func (e Entry) forgotten(now time.Time) bool { return !now.Before(e.until()) }

// merged returns what two entries tell together.
func (e Entry) merged(f Entry) Entry {
	crashes := boundCrashes(union(e.Crashes, f.Crashes, compareCrashes, func(c Crash) int64 { return c.At }))
	answers := union(e.Answers, f.Answers, func(a, b Answer) int { return cmp.Compare(a.Caller, b.Caller) }, func(a Answer) int64 { return a.At })
	return Entry{Crashes: crashes, Answers: boundAnswers(answers, crashes)}.sorted()
}

// boundAnswers keeps of a list, the latest first, those to callers whose crashes are known, which would count
// again without them, and the latest others.
func boundAnswers(list []Answer, crashes []Crash) []Answer {
	room := mostAnswers - mostTargets - mostCallers
	return slices.DeleteFunc(list, func(a Answer) bool {
		if slices.ContainsFunc(crashes, func(c Crash) bool { return c.Caller == a.Caller }) {
			return false
		}
		room--
		return room < 0
	})
}

// sorted returns an entry in the order in which it is compared.
func (e Entry) sorted() Entry {
	slices.SortFunc(e.Crashes, compareCrashes)
	slices.SortFunc(e.Answers, func(a, b Answer) int { return cmp.Compare(a.Caller, b.Caller) })
	return e
}

// compareCrashes orders the ends of targets by target and caller.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Caller, b.Caller))
}

// boundCrashes keeps of a list, the latest first, the last crash of each of the latest targets and of each of
// the latest callers. Many callers may lose one target at once: among the latest crashes alone the target
// before it would be forgotten, and with it that two have ended. What is kept does not depend on the order in
// which crashes are learnt.
func boundCrashes(list []Crash) []Crash {
	targets, callers := map[uint64]bool{}, map[uint64]bool{}
	return slices.DeleteFunc(list, func(c Crash) bool {
		ofTarget := firstOf(targets, c.Target, mostTargets)
		ofCaller := firstOf(callers, c.Caller, mostCallers)
		return !ofTarget && !ofCaller
	})
}

// firstOf notes an ID, and reports whether it is new and among the first so many.
func firstOf(seen map[uint64]bool, id uint64, most int) bool {
	if seen[id] || len(seen) == most {
		return false
	}
	seen[id] = true
	return true
}

// union joins two lists, the latest first. Of two elements that compare as the same it keeps the later one.
func union[T any](a, b []T, compare func(T, T) int, at func(T) int64) []T {
	list := slices.Concat(a, b)
	slices.SortFunc(list, func(x, y T) int { return cmp.Or(compare(x, y), cmp.Compare(at(y), at(x))) })
	list = slices.CompactFunc(list, func(x, y T) bool { return compare(x, y) == 0 })
	// Sorted before, those of one time stay in a definite order.
	slices.SortStableFunc(list, func(x, y T) int { return cmp.Compare(at(y), at(x)) })
	return list
}

func (e Entry) equal(f Entry) bool {
	return slices.Equal(e.Crashes, f.Crashes) && slices.Equal(e.Answers, f.Answers)
}

// merged returns what two tables tell together, without what is to be forgotten by now.
func (t Table) merged(u Table, now time.Time) Table {
	out := Table{}
	for _, part := range []Table{t, u} {
		for f, e := range part {
			if !e.forgotten(now) {
				out[f] = out[f].merged(e)
			}
		}
	}
	out.bound(mostEntries)
	return out
}

// bound drops what is above a number of entries: of what is not quarantined first, and the oldest first.
func (t Table) bound(most int) {
	if len(t) <= most {
		return
	}
	type rank struct {
		fingerprint Fingerprint
		quarantined bool
		lastAt      int64
	}
	order := make([]rank, 0, len(t))
	for f, e := range t {
		order = append(order, rank{f, e.quarantinedForAny(), e.lastAt()})
	}
	slices.SortFunc(order, func(a, b rank) int {
		return cmp.Or(compareBool(a.quarantined, b.quarantined), cmp.Compare(a.lastAt, b.lastAt), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, r := range order[:len(order)-most] {
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

// lacking returns the entries of a table of which another one does not tell all.
func (t Table) lacking(u Table) Table {
	out := Table{}
	for f, e := range t {
		if !u[f].merged(e).equal(u[f]) {
			out[f] = e
		}
	}
	return out
}

// encode returns the stored form of what is quarantined.
func (t Table) encode() ([]byte, error) {
	kept := maps.Clone(t)
	maps.DeleteFunc(kept, func(_ Fingerprint, e Entry) bool { return !e.quarantinedForAny() })
	kept.bound(mostStored)
	text, err := json.Marshal(kept)
	if err != nil {
		return nil, fmt.Errorf("quarantine: encode: %w", err)
	}
	return text, nil
}

// Decode reads the stored form.
func Decode(text []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("quarantine: decode: %w", err)
	}
	return t, nil
}
