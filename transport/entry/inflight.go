package entry

import (
	"context"
	"sync"

	"lycheehall.example/lycheehall/coordination/ownership"
)

// under is the assignment that a request was sent under.
type under struct {
	service string
	slot    int
	since   uint64
	target  string
	// version is the map version that the request was decided with.
	version uint64
}

type flight struct {
	under
	cancel context.CancelCauseFunc
}

const inflightShards = 64

// Inflight is the table of requests under way to owners of keys. It tells the
// coordination layer when an old assignment is no longer used. It is safe for
// concurrent use.
type Inflight struct {
	shards [inflightShards]inflightShard
}

type inflightShard struct {
	mu      sync.Mutex
	next    uint64
	flights map[uint64]flight
}

// NewInflight returns an empty table.
func NewInflight() *Inflight {
	t := &Inflight{}
	for i := range t.shards {
		t.shards[i].flights = map[uint64]flight{}
	}
	return t
}

// add notes a request. The returned function must be called when it is over.
func (t *Inflight) add(f flight) func() {
	s := &t.shards[f.slot%inflightShards]
	s.mu.Lock()
	s.next++
	id := s.next
	s.flights[id] = f
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		delete(s.flights, id)
		s.mu.Unlock()
	}
}

// ownerLostError is the cause with which requests to a lost owner are given up.
type ownerLostError struct{}

func (ownerLostError) Error() string { return "the owner of the key was lost" }

// Settle gives up requests to owners that were lost, and returns the map version up to
// which no request sent under an older assignment is under way.
//
// It must be called after the map has been published: a request notes itself first and
// looks at the map again afterwards, so either it is seen here or it sees the new map.
func (t *Inflight) Settle(m *ownership.Map) uint64 {
	settled := m.Version
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, f := range s.flights {
			if !f.stale(m) {
				continue
			}
			settled = min(settled, f.version-1)
			if m.Services[f.service].Slots[f.slot].Lost {
				f.cancel(ownerLostError{})
			}
		}
		s.mu.Unlock()
	}
	return settled
}

// stale reports whether the assignment of the slot has changed since the request was sent.
func (f flight) stale(m *ownership.Map) bool {
	service := m.Services[f.service]
	if service == nil || f.slot >= len(service.Slots) {
		return false
	}
	// A resumed slot has the same Since as the move that was cut short.
	slot := service.Slots[f.slot]
	return slot.Since != f.since || slot.Moving()
}
