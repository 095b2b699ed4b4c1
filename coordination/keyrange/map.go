package keyrange

import (
	"slices"
	"sort"
)

// MaxKey is the largest key number.
const MaxKey = 1<<16 - 1

// Range is a contiguous part of the key space with its owner. While it moves to another owner,
// requests for its keys wait, or are refused if Lost is set.
type Range struct {
	// From and To are the first and the last key.
	From, To uint16
	// Owner is the ID of the target that owns the keys, and Fence the fence under which they were
	// granted to it. Empty if no target owns them.
	Owner string
	Fence uint64
	// Next is the ID of the target that gets the keys once Owner has certainly given them up. It
	// gets them under NextFence, which is above Fence. Empty if the range is not moving.
	Next      string
	NextFence uint64
	// Lost is set on a moving range whose Owner cannot be asked to give the keys up: it has exited,
	// does not answer, or has no known address. Next gets the keys at once if Owner is known to
	// have exited, otherwise when the last grant to Owner has certainly expired or Owner releases
	// them after all.
	Lost bool
}

// Moving reports whether the range is moving to another owner.
func (r Range) Moving() bool { return r.Next != "" }

// Served reports whether requests for the range can be sent to its owner.
func (r Range) Served() bool { return r.Owner != "" && r.Next == "" }

// EventualOwner returns the target that gets the range, or its owner if the range is not moving.
func (r Range) EventualOwner() string {
	if r.Next != "" {
		return r.Next
	}
	return r.Owner
}

// Keys returns the number of keys.
func (r Range) Keys() int { return int(r.To) - int(r.From) + 1 }

// Map assigns every key to a range. It is immutable.
type Map struct {
	// Version grows with every change. A fence that a change introduces is the new version.
	Version uint64
	Ranges  []Range
}

// Empty returns a map of version 0 in which no key has an owner.
func Empty() *Map { return &Map{Ranges: []Range{{From: 0, To: MaxKey}}} }

// Find returns the range that contains the key.
func (m *Map) Find(key uint16) Range {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	return m.Ranges[i]
}

// Editor collects changes of a map. All of them get the same new version.
type Editor struct {
	version uint64
	ranges  []Range
	changed bool
}

// Edit returns an editor for the next version of the map.
func (m *Map) Edit() *Editor {
	return &Editor{version: m.Version + 1, ranges: slices.Clone(m.Ranges)}
}

// Version returns the version of the changed map, which is also the fence of the moves that it
// begins.
func (e *Editor) Version() uint64 { return e.version }

// Changed reports whether the editor has made any change.
func (e *Editor) Changed() bool { return e.changed }

// Move begins to move the keys from..to to the target next. Set lost if their owner cannot be asked
// to give them up (see Range.Lost).
func (e *Editor) Move(from, to uint16, next string, lost bool) {
	e.update(from, to, func(r *Range) {
		r.Next = next
		r.NextFence = e.version
		r.Lost = lost
	})
}

// MarkLost records that the owner of the moving keys from..to does not answer.
func (e *Editor) MarkLost(from, to uint16) {
	e.update(from, to, func(r *Range) { r.Lost = true })
}

// FinishMove ends the move of the keys from..to: their next owner becomes their owner.
func (e *Editor) FinishMove(from, to uint16) {
	e.update(from, to, func(r *Range) {
		*r = Range{From: r.From, To: r.To, Owner: r.Next, Fence: r.NextFence}
	})
}

// MergeAdjoining gives adjoining ranges that are served by the same owner the same fence, that of
// this change, so that Map merges them. It does so for owners for which the function may returns
// true. The owner then gets a grant for the whole range, which replaces the grants for the parts.
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

// WithRaisedFences returns the map with a new version, above least, as the fence of every owner and
// next owner. A new leader stores it together with its lease: it cannot know which targets were
// restarted under their names since they were granted their keys, and no process may own keys under
// a fence under which another process owned them. Orders of the former leader that arrive late have
// a lower fence and are refused.
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

// RaiseFences sets the fence of all ranges that the owner serves to that of this change.
func (e *Editor) RaiseFences(owner string) {
	for i := range e.ranges {
		if r := &e.ranges[i]; r.Served() && r.Owner == owner {
			r.Fence = e.version
			e.changed = true
		}
	}
}

// update changes the keys from..to and splits ranges where needed.
func (e *Editor) update(from, to uint16, change func(*Range)) {
	var out []Range
	for _, r := range e.ranges {
		if r.To < from || r.From > to {
			out = append(out, r)
			continue
		}
		if r.From < from {
			left := r
			left.To = from - 1
			out = append(out, left)
		}
		middle := r
		middle.From = max(r.From, from)
		middle.To = min(r.To, to)
		change(&middle)
		out = append(out, middle)
		if r.To > to {
			right := r
			right.From = to + 1
			out = append(out, right)
		}
	}
	e.ranges = out
	e.changed = true
}

// Map returns the changed map. Adjoining ranges that differ only in their keys are merged.
func (e *Editor) Map() *Map {
	m := &Map{Version: e.version}
	for _, r := range e.ranges {
		last := len(m.Ranges) - 1
		if last >= 0 && mergeable(m.Ranges[last], r) {
			m.Ranges[last].To = r.To
			continue
		}
		m.Ranges = append(m.Ranges, r)
	}
	return m
}

// mergeable reports whether two ranges differ only in their keys.
func mergeable(a, b Range) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.Next == b.Next && a.NextFence == b.NextFence && a.Lost == b.Lost
}
