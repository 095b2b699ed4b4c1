package keyrange

import (
	"slices"
	"sort"
)

// MaxKey is the largest key number.
const MaxKey = 1<<16 - 1

// Range is a piece of the key space.
type Range struct {
	// From and To are the first and the last key.
	From, To uint16
	// Owner holds the keys under Fence. Empty: nobody does.
	Owner string
	Fence uint64
	// Next gets the keys under NextFence when Owner has surely given them up. Empty: the
	// range stays where it is.
	Next      string
	NextFence uint64
	// Lost says that Owner cannot be asked to give the keys up; its hold must run out.
	Lost bool
}

// Moving reports whether the range is on its way to another owner.
func (r Range) Moving() bool { return r.Next != "" }

// Served reports whether requests for the range can be sent to its owner.
func (r Range) Served() bool { return r.Owner != "" && r.Next == "" }

// Heir returns the target that has the range or is about to get it.
func (r Range) Heir() string {
	if r.Next != "" {
		return r.Next
	}
	return r.Owner
}

// Keys returns the number of keys.
func (r Range) Keys() int { return int(r.To) - int(r.From) + 1 }

// Map assigns every key. It is immutable.
type Map struct {
	// Version grows with every change. A fence introduced by a change is its version.
	Version uint64
	Ranges  []Range
}

// Empty returns a map in which nobody owns anything.
func Empty() *Map { return &Map{Ranges: []Range{{From: 0, To: MaxKey}}} }

// Find returns the range of a key.
func (m *Map) Find(key uint16) Range {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	return m.Ranges[i]
}

// Editor collects changes of a map under one new version.
type Editor struct {
	version uint64
	ranges  []Range
	changed bool
}

// Edit begins a change.
func (m *Map) Edit() *Editor {
	return &Editor{version: m.Version + 1, ranges: slices.Clone(m.Ranges)}
}

// Version is the version that the change will have, and the fence of moves it begins.
func (e *Editor) Version() uint64 { return e.version }

// Changed reports whether there is anything to commit.
func (e *Editor) Changed() bool { return e.changed }

// Move begins to move the keys from..to to the target next. Lost says that the owner
// cannot be asked.
func (e *Editor) Move(from, to uint16, next string, lost bool) {
	e.update(from, to, func(r *Range) {
		r.Next = next
		r.NextFence = e.version
		r.Lost = lost
	})
}

// MarkLost notes that the owner of the keys from..to, which are on their way to another, cannot be asked to give
// them up after all.
func (e *Editor) MarkLost(from, to uint16) {
	e.update(from, to, func(r *Range) { r.Lost = true })
}

// Finish makes the next owner of the keys from..to their owner.
func (e *Editor) Finish(from, to uint16) {
	e.update(from, to, func(r *Range) {
		*r = Range{From: r.From, To: r.To, Owner: r.Next, Fence: r.NextFence}
	})
}

// MergeAdjoining joins adjoining ranges that are served by one owner for which the function holds.
// The joined range gets the fence of this change: the owner is granted it as a whole, which
// takes the place of what it was granted of the parts.
func (e *Editor) MergeAdjoining(may func(owner string) bool) {
	for i := 1; i < len(e.ranges); i++ {
		a, b := &e.ranges[i-1], &e.ranges[i]
		if !a.Served() || !b.Served() || a.Owner != b.Owner || a.Fence == b.Fence || !may(a.Owner) {
			continue
		}
		a.Fence, b.Fence = e.version, e.version
		e.changed = true
		for j := i - 2; j >= 0 && e.ranges[j].Served() && e.ranges[j].Owner == a.Owner; j-- {
			e.ranges[j].Fence = e.version
		}
	}
}

// WithRaisedFences returns the map with every fence raised. Whoever begins to lead puts it into force
// along with its lease: it cannot know which targets have been started again under their names
// since they were granted their keys, and no process may have keys under a fence under which
// another one had them. Orders of the former leading instance that come late meet a higher fence.
// The new version, and with it all fences, is above least.
func (m *Map) WithRaisedFences(least uint64) *Map {
	next := &Map{Version: max(m.Version, least) + 1, Ranges: slices.Clone(m.Ranges)}
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if r.Owner != "" {
			r.Fence = next.Version
		}
		if r.Moving() {
			r.NextFence = next.Version
		}
	}
	return next
}

// RaiseFences puts all ranges that an owner serves under the fence of this change.
func (e *Editor) RaiseFences(owner string) {
	for i := range e.ranges {
		if r := &e.ranges[i]; r.Served() && r.Owner == owner {
			r.Fence = e.version
			e.changed = true
		}
	}
}

// update changes the keys from..to, cutting ranges where needed.
func (e *Editor) update(from, to uint16, change func(*Range)) {
	var out []Range
	for _, r := range e.ranges {
		if r.To < from || r.From > to {
			out = append(out, r)
			continue
		}
		if r.From < from {
			before := r
			before.To = from - 1
			out = append(out, before)
		}
		middle := r
		middle.From = max(r.From, from)
		middle.To = min(r.To, to)
		change(&middle)
		out = append(out, middle)
		if r.To > to {
			after := r
			after.From = to + 1
			out = append(out, after)
		}
	}
	e.ranges = out
	e.changed = true
}

// Map returns the changed map, with adjoining equal ranges joined.
func (e *Editor) Map() *Map {
	m := &Map{Version: e.version}
	for _, r := range e.ranges {
		last := len(m.Ranges) - 1
		if last >= 0 && joins(m.Ranges[last], r) {
			m.Ranges[last].To = r.To
			continue
		}
		m.Ranges = append(m.Ranges, r)
	}
	return m
}

func joins(a, b Range) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.Next == b.Next && a.NextFence == b.NextFence && a.Lost == b.Lost
}
