package assign

import (
	"cmp"
	"slices"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
)

// capacities lists the targets that may be given keys, but for one.
func (m *Manager) capacities(now clock.Instant, except string) []keyrange.Capacity {
	var list []keyrange.Capacity
	for id, h := range m.holders {
		if id != except && h.takes() {
			list = append(list, keyrange.Capacity{Target: id, Slots: m.capacity(now, h)})
		}
	}
	slices.SortFunc(list, func(a, b keyrange.Capacity) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// capacity returns the work that a target can do, in slots of an average target.
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
