// Package timeline records typed events in a bounded ring and merges the rings of
// several processes into one time line.
//
// The order does not trust clocks: every event carries a Lamport time, every message
// between processes carries the sender's, and a receiver goes on from the larger one.
// So an event that could have caused another always comes before it.
package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// The kinds of event.
const (
	InstanceStarted  Kind = "instance-started"
	InstanceStopping Kind = "instance-stopping"
	AuthorityMode    Kind = "authority-mode"
	SessionGained    Kind = "session-gained"
	SessionLost      Kind = "session-lost"
	SessionExpired   Kind = "session-expired"
	ViewAdopted      Kind = "view-adopted"
	StateLoaded      Kind = "state-loaded"
	MoveBegun        Kind = "move-begun"
	MoveDone         Kind = "move-done"
	SlotAssigned     Kind = "slot-assigned"
	TargetsChanged   Kind = "targets-changed"
	TargetLost       Kind = "target-lost"
	TargetBack       Kind = "target-back"
	RulesAccepted    Kind = "rules-accepted"
	RulesEverywhere  Kind = "rules-everywhere"
	RequestRefused   Kind = "request-refused"
	RequestUnknown   Kind = "request-unknown"
	EventsDropped    Kind = "events-dropped"
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
	Kind Kind      `json:"kind"`

	Term    uint64 `json:"term,omitempty"`
	Episode uint64 `json:"episode,omitempty"`
	Map     uint64 `json:"map,omitempty"`
	Rules   uint64 `json:"rules,omitempty"`
	Service string `json:"service,omitempty"`
	// Slots lists the slots the event is about, in the form 3-5,9.
	Slots  string `json:"slots,omitempty"`
	Target string `json:"target,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// String returns the event on one line, without its wall clock time.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%6d %-8s %-17s", e.Lamport, e.Instance, e.Kind)
	number := func(name string, v uint64) {
		if v != 0 {
			fmt.Fprintf(&b, " %s=%d", name, v)
		}
	}
	text := func(name, v string) {
		if v != "" {
			fmt.Fprintf(&b, " %s=%s", name, v)
		}
	}
	number("term", e.Term)
	number("episode", e.Episode)
	number("map", e.Map)
	number("rules", e.Rules)
	text("service", e.Service)
	text("slots", e.Slots)
	text("target", e.Target)
	text("detail", e.Detail)
	return strings.TrimRight(b.String(), " ")
}

// FormatSlots writes sorted slot numbers as ranges.
func FormatSlots(slots []int) string {
	var parts []string
	for i := 0; i < len(slots); {
		j := i
		for j+1 < len(slots) && slots[j+1] == slots[j]+1 {
			j++
		}
		if i == j {
			parts = append(parts, fmt.Sprint(slots[i]))
		} else {
			parts = append(parts, fmt.Sprintf("%d-%d", slots[i], slots[j]))
		}
		i = j + 1
	}
	return strings.Join(parts, ",")
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	mu       sync.Mutex
	instance string
	lamport  uint64
	seq      uint64
	events   []Event
	next     int
}

// NewRing returns a ring for size events.
func NewRing(instance string, size int) *Ring {
	return &Ring{instance: instance, events: make([]Event, 0, size)}
}

// Record stamps the event and keeps it, in place of the oldest one when the ring is full.
func (r *Ring) Record(now time.Time, e Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	r.seq++
	e.Lamport = r.lamport
	e.Seq = r.seq
	e.Instance = r.instance
	e.Time = now
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return e
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	return e
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
	return append(slices.Clone(r.events[r.next:]), r.events[:r.next]...)
}

// Merge puts the events of several processes into one causal order. A gap in a
// process's sequence numbers shows as an EventsDropped entry.
func Merge(rings ...[]Event) []Event {
	var all []Event
	for _, events := range rings {
		if len(events) > 0 && events[0].Seq > 1 {
			first := events[0]
			all = append(all, Event{
				Lamport:  first.Lamport - 1,
				Instance: first.Instance,
				Seq:      first.Seq - 1,
				Time:     first.Time,
				Kind:     EventsDropped,
				Detail:   fmt.Sprintf("%d older events are no longer kept", first.Seq-1),
			})
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Lamport, b.Lamport), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Seq, b.Seq))
	})
	return all
}
