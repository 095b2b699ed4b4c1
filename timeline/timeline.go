// Package timeline records events in bounded rings and merges the rings of several
// processes into one time line.
//
// The order does not trust clocks: every event carries a Lamport time, every report between
// processes carries the sender's, and a receiver goes on from the larger one. So an event
// that could have caused another always comes before it.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Event is one entry of a time line.
type Event struct {
	// Lamport orders events causally over all processes.
	Lamport uint64 `json:"lamport"`
	// Instance and Seq identify the event; Seq grows by one for each event of a process.
	Instance string `json:"instance"`
	Seq      uint64 `json:"seq"`
	// Time is the process's own wall clock, for people only.
	Time time.Time `json:"time"`
	// Kind names what happened, Fields its inputs and outcome, names and values in turn.
	Kind   string  `json:"kind"`
	Fields []Field `json:"fields,omitempty"`
}

// Field is a name with its value as text.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// KindDropped is the kind of the entry that stands for events that are no longer kept.
const KindDropped = "events-dropped"

// String returns the event on one line, without its wall clock time.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%6d %-12s %-16s", e.Lamport, e.Instance, e.Kind)
	for _, f := range e.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return strings.TrimRight(b.String(), " ")
}

// record is an event whose values are not yet written as text.
type record struct {
	lamport, seq uint64
	time         time.Time
	kind         string
	fields       []any
}

// Ring keeps the newest events of one process. It is safe for concurrent use; its lock is a
// leaf.
type Ring struct {
	mu       sync.Mutex
	instance string
	lamport  uint64
	seq      uint64
	records  []record
	next     int
}

// NewRing returns a ring for size events.
func NewRing(instance string, size int) *Ring {
	return &Ring{instance: instance, records: make([]record, 0, size)}
}

// Record keeps an event, in place of the oldest one when the ring is full, and returns its
// Lamport time. Fields are names and values in turn; the values must not change any more.
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

// Lamport returns the time to send with a message.
func (r *Ring) Lamport() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lamport
}

// Witness takes in the time that came with a message.
func (r *Ring) Witness(lamport uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport = max(r.lamport, lamport)
}

// Events returns the events kept, the oldest first.
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

// Merge puts the events of several processes into one causal order. A gap in a process's
// sequence numbers shows as an entry of the kind Dropped.
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
