package assign

import (
	"cmp"
	"slices"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
)

// capacities returns the targets that may be given keys, except one, sorted by ID.
func (m *Manager) capacities(now clock.Instant, except string) []keyrange.Capacity {
	var list []keyrange.Capacity
	for id, h := range m.holders {
		if id != except && h.eligible() {
			list = append(list, keyrange.Capacity{Target: id, AverageSlots: m.capacity(now, h)})
		}
	}
	slices.SortFunc(list, func(a, b keyrange.Capacity) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// capacity returns the capacity of a target, in slots of an average target. A cold target, or one
// that names a limit, has no more than it takes at its limit of requests a second.
func (m *Manager) capacity(now clock.Instant, h *holder) float64 {
	slots := float64(h.target.Slots) * h.speed
	if m.coldRate > 0 && now < h.target.ColdUntil {
		slots = min(slots, m.coldRate*m.requestWork)
	}
	if h.limit > 0 {
		slots = min(slots, h.limit*m.requestWork)
	}
	return slots
}
