// Package timeline records events in ring buffers of fixed size, and merges the buffers of several
// processes into one timeline.
//
// The order does not depend on wall clocks. Every event has a Lamport time, messages between processes
// contain the sender's Lamport time, and the receiver continues from the larger of the two. Therefore an
// event always precedes the events that it may have caused.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Event is one entry of a timeline.
type Event struct {
	// Lamport is the Lamport time, which orders events causally across processes.
	Lamport uint64 `json:"lamport"`
	// Instance and Seq identify the event within its ring; Seq increases by one for each event.
	Instance string `json:"instance"`
	Seq      uint64 `json:"seq"`
	// Time is the process's wall clock time. It is informational and not used for ordering.
	Time time.Time `json:"time"`
	// Kind is what happened, Fields its inputs and outcome.
	Kind   string  `json:"kind"`
	Fields []Field `json:"fields,omitempty"`
}

// Field is an input or an outcome of an event, as text.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// KindDropped is the kind of an entry that represents events which are no longer in the ring.
const KindDropped = "events-dropped"

// String returns the event as one line, without its wall clock time.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%6d %-12s %-16s", e.Lamport, e.Instance, e.Kind)
	for _, f := range e.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return strings.TrimRight(b.String(), " ")
}

// record is an event whose values have not been converted to text yet.
type record struct {
	lamport, seq uint64
	time         time.Time
	kind         string
	fields       []any
}

// Ring is a ring buffer of the latest events of one process. It is safe for concurrent use. No other
// lock is acquired while its lock is held.
type Ring struct {
	mu       sync.Mutex
	instance string
	lamport  uint64
	seq      uint64
	records  []record
	// next is the index of the oldest record once the ring is full.
	next int
}

// NewRing returns a ring with a capacity of size events.
func NewRing(instance string, size int) *Ring {
	return &Ring{instance: instance, records: make([]record, 0, size)}
}

// Record adds an event and returns its Lamport time. If the ring is full, the event replaces the oldest
// one. Fields are alternating names and values; the values must not be modified afterwards.
func (r *Ring) Record(now time.Time, kind string, fields ...any) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	r.seq++
	e := record{r.lamport, r.seq, now, kind, fields}
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, e)
		return e.lamport
	}
	r.records[r.next] = e
	r.next = (r.next + 1) % len(r.records)
	return e.lamport
}

// Lamport returns the Lamport time, to be sent with a message.
func (r *Ring) Lamport() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lamport
}

// AdvanceLamport advances the Lamport time to at least the time received with a message.
func (r *Ring) AdvanceLamport(lamport uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport = max(r.lamport, lamport)
}

// Events returns the events in the ring, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append(slices.Clone(r.records[r.next:]), r.records[:r.next]...)
	events := make([]Event, len(list))
	for i, e := range list {
		events[i] = Event{Lamport: e.lamport, Instance: r.instance, Seq: e.seq, Time: e.time, Kind: e.kind}
		for k := 0; k+1 < len(e.fields); k += 2 {
			events[i].Fields = append(events[i].Fields, Field{fmt.Sprint(e.fields[k]), fmt.Sprint(e.fields[k+1])})
		}
	}
	return events
}

// Merge merges the events of several rings into one causal order. If a ring no longer holds its first
// events, an entry of kind KindDropped with their number takes their place.
func Merge(rings ...[]Event) []Event {
	var all []Event
	for _, events := range rings {
		if len(events) > 0 && events[0].Seq > 1 {
			first := events[0]
			all = append(all, Event{
				Lamport: first.Lamport - 1, Instance: first.Instance, Seq: first.Seq - 1, Time: first.Time, Kind: KindDropped,
				Fields: []Field{{"count", fmt.Sprint(first.Seq - 1)}},
			})
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Lamport, b.Lamport), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Seq, b.Seq))
	})
	return all
}
