package assign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
)

// capacities returns the targets that may be given keys, except one, sorted by ID, with the work that
// they should have relative to one another. That is their capacity, unless keys are placed by the
// effect of targets on lateness.
func (m *Manager) capacities(now clock.Instant, except string) []keyrange.Capacity {
	var list []keyrange.Capacity
	for id, st := range m.states {
		if id != except && st.eligible() {
			list = append(list, keyrange.Capacity{Target: id, AverageSlots: m.capacity(now, st)})
		}
	}
	if m.byLateness {
		m.allocate(list)
	}
	slices.SortFunc(list, func(a, b keyrange.Capacity) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// eligibleTargets returns the number of targets that may be given keys.
func (m *Manager) eligibleTargets() int {
	count := 0
	for _, st := range m.states {
		if st.eligible() {
			count++
		}
	}
	return count
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

// allocate replaces the capacities by the work that each target should have relative to the others,
// see keyrange.Allocation. A limit of requests a second stays in force.
func (m *Manager) allocate(list []keyrange.Capacity) {
	slots, speeds := make([]float64, len(list)), make([]float64, len(list))
	for i, c := range list {
		st := m.states[c.Target]
		slots[i], speeds[i] = float64(st.target.Slots)*st.speed, st.speed
	}
	for i, share := range keyrange.Allocation(slots, speeds, m.utilisation) {
		list[i].AverageSlots = min(list[i].AverageSlots, share)
	}
}

// utilisationDecay is the time in which the utilisation that keys are placed by follows a lower one.
// A rise is followed at once: the allocation for a high utilisation costs little at a low one, the
// other way round requests are late. Without the delay, load that rises and falls within seconds
// would move keys each time.
const utilisationDecay = 30 * time.Second

// updateUtilisation updates the utilisation of all targets together. The work of a single key counts
// up to the capacity of an average target: the rest is refused.
func (m *Manager) updateUtilisation(now clock.Instant) {
	work, slots := 0.0, 0.0
	for _, st := range m.states {
		if st.eligible() {
			slots += m.capacity(now, st)
		}
	}
	if slots <= 0 {
		return
	}
	average := slots / float64(m.eligibleTargets())
	for _, load := range m.load {
		work += min(float64(load), average)
	}
	current := work / slots
	elapsed := time.Duration(0)
	if m.balancedAt != clock.Never {
		elapsed = now.Sub(m.balancedAt)
	}
	decayed := current + (m.utilisation-current)*math.Exp(-float64(elapsed)/float64(utilisationDecay))
	m.utilisation = max(current, decayed)
}

// SetByLateness sets whether keys are placed by the effect of targets on lateness, see
// keyrange.Allocation. Otherwise all targets get the same utilisation.
func (m *Manager) SetByLateness(active bool) {
	m.byLateness = active
	if !active {
		m.utilisation = 0
	}
}

// Balancing describes the moves of a proposed map that balance the load.
type Balancing struct {
	Moves []keyrange.Move
	// Owners are the owners of the moved ranges, in the order of Moves.
	Owners []string
	// Used is the work of each target relative to the work that it should have, by target ID.
	Used map[string]float64
}

// Balancing returns the moves of the proposed map that balance the load, until the map is recorded as
// stored or not stored.
func (m *Manager) Balancing() Balancing { return m.balancing }

// recordBalancing sets the result of Balancing.
func (m *Manager) recordBalancing(moves []keyrange.Move, targets []keyrange.Capacity) {
	if len(moves) == 0 {
		return
	}
	owners := make([]string, len(moves))
	for i, mv := range moves {
		owners[i] = m.current.Find(mv.From).Owner
	}
	m.balancing = Balancing{Moves: moves, Owners: owners, Used: keyrange.Utilisation(m.current, m.load, targets)}
}
