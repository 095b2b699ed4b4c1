// Package ownership holds the map from slots to targets, its changes, and the part of
// it that is granted to each target.
//
// The invariant: the version of a map grows by one with each change, and every
// instance applies the same changes in the same order. A slot changes owner in two
// changes: the first takes it from the old owner, the second gives it to the new one
// under a higher fence. Between them nobody owns it.
package ownership

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/state"
)

// ErrGap says that a change does not follow the version of the map it is applied to.
var ErrGap = errors.New("ownership: the change does not follow this map")

// Map is an immutable picture of all services at one version.
type Map struct {
	Version  uint64
	Services map[string]*state.ServiceSlots
}

// SlotChange gives a slot its new value.
type SlotChange struct {
	Index int
	Slot  state.Slot
}

// Change leads from map version Version-1 to Version. It touches one service.
type Change struct {
	Version uint64
	Service string
	// SlotCount is the number of slots of the service, fixed when it is created.
	SlotCount int
	Slots     []SlotChange
	// Targets is the whole list of targets after the change.
	Targets []state.Target
}

// Empty returns the map of a deployment that has no services yet.
func Empty() *Map {
	return &Map{Services: map[string]*state.ServiceSlots{}}
}

// Apply returns the map after the change. m is left as it is.
func (m *Map) Apply(c Change) (*Map, error) {
	if c.Version != m.Version+1 {
		return nil, fmt.Errorf("%w: change %d, map %d", ErrGap, c.Version, m.Version)
	}
	next := &Map{Version: c.Version, Services: maps.Clone(m.Services)}
	next.Services[c.Service] = applyService(m.Services[c.Service], c)
	return next, nil
}

func applyService(old *state.ServiceSlots, c Change) *state.ServiceSlots {
	s := &state.ServiceSlots{Service: c.Service, Targets: slices.Clone(c.Targets)}
	s.Slots = make([]state.Slot, c.SlotCount)
	touched := map[string]bool{}
	if old != nil {
		copy(s.Slots, old.Slots)
	}
	for _, sc := range c.Slots {
		touched[s.Slots[sc.Index].Owner] = true
		touched[sc.Slot.Owner] = true
		sc.Slot.Since = c.Version
		s.Slots[sc.Index] = sc.Slot
	}
	for i := range s.Targets {
		if touched[s.Targets[i].ID] {
			s.Targets[i].Generation = c.Version
		}
	}
	return s
}

// Resume returns the map to work with while the state is frozen: slots that were on their
// way from a living owner go back to it, because nobody can finish the move.
//
// The second change of such a move may have reached the table all the same. The next
// leader therefore compares the table with the resumed map (see Undone), and begins every
// move anew, with a newer generation than the resumed one.
func (m *Map) Resume() *Map {
	next := &Map{Version: m.Version, Services: map[string]*state.ServiceSlots{}}
	for name, s := range m.Services {
		next.Services[name] = resumeService(s)
	}
	return next
}

// Moving reports whether any slot is between owners.
func (m *Map) Moving() bool {
	for _, s := range m.Services {
		if slices.ContainsFunc(s.Slots, state.Slot.Moving) {
			return true
		}
	}
	return false
}

// Resumable reports whether Resume would change anything.
func (m *Map) Resumable() bool {
	for _, s := range m.Services {
		if slices.ContainsFunc(s.Slots, func(slot state.Slot) bool { return resumable(s, slot) }) {
			return true
		}
	}
	return false
}

// resumable reports whether a slot is on its way from an owner that was not lost.
func resumable(s *state.ServiceSlots, slot state.Slot) bool {
	return slot.Moving() && !slot.Lost && s.Target(slot.Owner) != nil
}

func resumeService(old *state.ServiceSlots) *state.ServiceSlots {
	s := &state.ServiceSlots{Service: old.Service, Slots: slices.Clone(old.Slots), Targets: slices.Clone(old.Targets)}
	for i := range s.Slots {
		slot := &s.Slots[i]
		if resumable(s, *slot) {
			slot.Next = ""
			s.Target(slot.Owner).Resumed = true
		}
	}
	return s
}

// Undone returns the change on top of m, the map read from the table, that takes slots
// back into a move when they have got a new owner there while the resumed map was in use:
// the old owner may still be serving them. The new owner's fence was never told to anybody
// and is given again when the move is finished. It reports false when there is nothing to do.
func (m *Map) Undone(resumed *Map) (Change, bool) {
	for _, name := range m.ServiceNames() {
		old := resumed.Services[name]
		if old == nil {
			continue
		}
		service := m.Services[name]
		c := Change{Version: m.Version + 1, Service: name, SlotCount: len(service.Slots), Targets: service.Targets}
		for i, s := range service.Slots {
			was := old.Slots[i]
			if s.Moving() || was.Moving() || was.Owner == "" || was.Owner == s.Owner {
				continue
			}
			c.Slots = append(c.Slots, SlotChange{i, state.Slot{Owner: was.Owner, Next: s.Owner, Fence: was.Fence}})
		}
		if len(c.Slots) > 0 {
			// At most one change is ever in doubt, and a change touches one service.
			return c, true
		}
	}
	return Change{}, false
}

// Generation returns the number that grants of a target's slots carry. Resumed slots lie
// between the stored change that took them away and the next one.
func Generation(t state.Target) uint64 {
	if t.Resumed {
		return 2*t.Generation + 1
	}
	return 2 * t.Generation
}

// IsResumed reports whether a generation includes resumed slots.
func IsResumed(generation uint64) bool { return generation%2 == 1 }

// SlotOf returns the slot of a key among count slots.
func SlotOf(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

// Held lists the slots that a target owns, with their fences.
type Held struct {
	Index int
	Fence uint64
}

// HeldBy returns the slots that a target owns in this map. Slots between owners
// belong to nobody.
func (m *Map) HeldBy(service, target string) []Held {
	var out []Held
	s := m.Services[service]
	if s == nil {
		return nil
	}
	for i, slot := range s.Slots {
		if slot.Owner == target && !slot.Moving() {
			out = append(out, Held{i, slot.Fence})
		}
	}
	return out
}

// ServiceNames returns the names of all services in alphabetical order.
func (m *Map) ServiceNames() []string {
	return slices.Sorted(maps.Keys(m.Services))
}

// ServiceSpec is what the configuration says about a service.
type ServiceSpec struct {
	Name string
	// Slots is the number of slots keys are spread over; 0 for a service without keys.
	Slots int
	// Fenced says that the targets check grants and fences. For targets that check
	// nothing, exclusion rests on the callers' side alone.
	Fenced bool
	// MovesPerMinute bounds the slots moved for balance alone.
	MovesPerMinute int
	// Imbalance is the ratio of the fullest target to the mean from which on slots are
	// moved for balance.
	Imbalance float64
}
