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
	for id, st := range m.states {
		if id != except && st.eligible() {
			list = append(list, keyrange.Capacity{Target: id, AverageSlots: m.capacity(now, st)})
		}
	}
	slices.SortFunc(list, func(a, b keyrange.Capacity) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// capacity returns the capacity of a target, in slots of an average target. A cold target, or one
// that reports a limit, has no more than the slots that its limit of requests a second keeps busy.
func (m *Manager) capacity(now clock.Instant, st *targetState) float64 {
	slots := float64(st.target.Slots) * st.speed
	if m.coldRate > 0 && now < st.target.ColdUntil {
		slots = min(slots, m.coldRate*m.requestWork)
	}
	if st.limit > 0 {
		slots = min(slots, st.limit*m.requestWork)
	}
	return slots
}
