package assign

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

// Manager keeps the keys of one service assigned to targets. It is not safe for concurrent use.
type Manager struct {
	config Config
	// current is the stored map, as far as the manager knows.
	current *keyrange.Map
	// proposed is the map that is being stored, or nil.
	proposed *keyrange.Map

	// states are the states of the targets that are listed or in the map, by ID.
	states   map[string]*targetState
	renewals map[rangeKey]*renewal
	moves    map[rangeKey]*move

	// longestHoldSent is the longest hold of any grant sent.
	longestHoldSent time.Duration
	load            *keyrange.Load
	// coldRate is how many requests a second a cold target accepts; 0 means no limit.
	coldRate float64
	// requestWork is the mean work of a request: for how many seconds it occupies a slot of an
	// average target.
	requestWork float64
	// byLateness says that keys are placed by the effect of targets on lateness, which depends on
	// utilisation, that of all targets together; see SetByLateness and updateUtilisation.
	byLateness  bool
	utilisation float64
	balancing   Balancing
	// startedAt is when the leader took over and created the manager.
	startedAt clock.Instant
	// firstTargetAt is when the first target was listed; clock.Never before that.
	firstTargetAt clock.Instant
	// balancedAt is when the balance was last checked; clock.Never before that.
	balancedAt clock.Instant
}

// NewManager returns a manager for an instance that has just become leader. The parameter stored is
// the stored map, or nil if there is none.
func NewManager(config Config, stored *keyrange.Map, now clock.Instant) *Manager {
	m := &Manager{
		config:        config,
		states:        map[string]*targetState{},
		renewals:      map[rangeKey]*renewal{},
		moves:         map[rangeKey]*move{},
		load:          &keyrange.Load{},
		startedAt:     now,
		firstTargetAt: clock.Never,
		balancedAt:    clock.Never,
	}
	if stored == nil {
		stored = keyrange.Empty()
	}
	m.adopt(stored)
	for _, r := range stored.Ranges {
		if r.Moving() {
			// The former leader may have sent a grant to the next owner.
			m.move(now, r).offered = true
		}
	}
	return m
}

// Map returns the stored map.
func (m *Manager) Map() *keyrange.Map { return m.current }

// stateOf returns the state of a target. A new target may hold grants of former leaders.
func (m *Manager) stateOf(id string) *targetState {
	st := m.states[id]
	if st == nil {
		st = &targetState{failingSince: clock.Never, firstListedAt: clock.Never, regrantedAt: clock.Never, speed: 1, heldUntil: m.formerGrantsExpiry()}
		m.states[id] = st
	}
	return st
}

// adopt replaces the stored map, and deletes the state of ranges that no longer exist and of
// targets that are neither listed nor in the map.
func (m *Manager) adopt(stored *keyrange.Map) {
	m.current = stored
	live := map[rangeKey]bool{}
	for _, r := range stored.Ranges {
		if r.Owner != "" {
			m.stateOf(r.Owner)
			live[rangeKey{r.From, r.To, r.Fence}] = true
		}
		if r.Moving() {
			m.stateOf(r.Next)
			live[rangeKey{r.From, r.To, r.NextFence}] = true
		}
	}
	m.inheritRenewals(live)
	for key := range m.renewals {
		if !live[key] {
			delete(m.renewals, key)
		}
	}
	for key := range m.moves {
		if !live[key] {
			delete(m.moves, key)
		}
	}
	for id, st := range m.states {
		if !st.listed && !m.inMap(id) {
			delete(m.states, id)
		}
	}
}

// inMap reports whether a target is the owner or the next owner of any range.
func (m *Manager) inMap(id string) bool {
	return slices.ContainsFunc(m.current.Ranges, func(r keyrange.Range) bool { return r.Owner == id || r.Next == id })
}

// RecordStored records that the proposed map has been stored, or that another map was read from the
// store.
func (m *Manager) RecordStored(stored *keyrange.Map) {
	m.proposed = nil
	m.balancing = Balancing{}
	m.adopt(stored)
}

// RecordNotStored records that the proposed map was not stored. The state of the moves that it
// would have begun is deleted: the next proposal has the same version, and may begin other moves
// under it.
func (m *Manager) RecordNotStored() {
	m.proposed = nil
	m.balancing = Balancing{}
	for key := range m.moves {
		if key.fence > m.current.Version {
			delete(m.moves, key)
		}
	}
}

// SetTargets sets the list of the service's targets, as of now. It finds out which unlisted targets
// have exited or were restarted.
func (m *Manager) SetTargets(now clock.Instant, list []view.Target) {
	newest := map[string]clock.Instant{}
	byName := map[string]view.Target{}
	for _, st := range m.states {
		st.listed = false
	}
	for _, t := range list {
		st := m.stateOf(t.ID)
		st.target = t
		st.listed = true
		if st.firstListedAt == clock.Never {
			st.firstListedAt = now
		}
		newest[t.Address] = st.firstListedAt.Later(newest[t.Address])
		byName[view.TargetName(t.ID)] = t
	}
	if len(list) > 0 && m.firstTargetAt == clock.Never {
		m.firstTargetAt = now
	}
	for id, st := range m.states {
		if next, ok := byName[view.TargetName(id)]; ok && !st.listed {
			st.recordSuccessor(id, next)
			continue
		}
		if st.failing() && now.Sub(st.lastFailedAt) >= failureExpiry && !m.inMap(id) {
			st.failingSince = clock.Never
		}
		// An unlisted target has exited if a target that was first listed later has its address.
		// One that was listed earlier proves nothing: the registry keeps the entry of a process
		// that has exited for a while beside that of its successor, and the missing entry may be
		// the successor's. If the order is not known, the outcomes of orders will show which
		// process has exited.
		if since, taken := newest[st.target.Address]; taken && !st.listed && st.firstListedAt != clock.Never && since > st.firstListedAt {
			st.exited = true
		}
	}
}

// recordSuccessor records that another process, next, was started under the target's name. If it
// has the same address, it may have received a grant meant for the former process, and the keys
// must be released there. If it has another address, the former process has exited: nothing of that
// name answers at the old one.
func (st *targetState) recordSuccessor(id string, next view.Target) {
	if st.target.Address != "" && st.target.Address != next.Address {
		st.exited = true
		return
	}
	st.restarted = true
	st.target = next
	st.target.ID = id
}

// SetLoad sets the load by key, and the speeds of targets by target ID. A speed is 1/slowness,
// where the slowness is the time that work takes there, divided by the time that it takes at an
// average target.
func (m *Manager) SetLoad(load *keyrange.Load, speeds map[string]float64) {
	m.load = load
	for id, speed := range speeds {
		if st := m.states[id]; st != nil {
			st.speed = speed
		}
	}
}

// SetColdRateAndWork sets how many requests a second a cold target accepts (0 means no limit), and
// the mean work of a request: the time that an average target takes for it. The work converts
// limits of requests a second, also those of SetLimits, to slots.
func (m *Manager) SetColdRateAndWork(rate float64, work time.Duration) {
	m.coldRate = rate
	m.requestWork = work.Seconds()
}

// SetLimits sets how many requests a second targets accept from all instances together, by target
// ID. Targets that report no limit are not in the map.
func (m *Manager) SetLimits(limits map[string]float64) {
	for id, st := range m.states {
		st.limit = limits[id]
	}
}

// RecordOutcome records the outcome of an order. The handover is the reference in the target's
// response to a release, see Order.Handover.
func (m *Manager) RecordOutcome(now clock.Instant, o Order, outcome Outcome, handover string) {
	st := m.stateOf(o.Target)
	m.recordHold(now, st, o, outcome)
	m.recordHealth(now, st, outcome)
	switch o.Kind {
	case Renew:
		m.recordRenewal(o, st, outcome)
	case Grant:
		if mv := m.moves[rangeKey{o.From, o.To, o.Fence}]; mv != nil {
			mv.recordOutcome(now, o.Kind, outcome, handover)
			if mv.granted {
				m.renewals[rangeKey{o.From, o.To, o.Fence}] = &renewal{sentAt: o.SentAt, confirmedAt: o.SentAt}
			}
		}
	case Release:
		for _, r := range m.current.Ranges {
			if mv := m.moves[rangeKey{r.From, r.To, r.NextFence}]; mv != nil && released(o, r) {
				mv.recordOutcome(now, o.Kind, outcome, handover)
			}
		}
	}
}

// released reports whether a release includes a range.
func released(o Order, r keyrange.Range) bool {
	return r.Moving() && r.Owner == o.Target && r.NextFence == o.Fence && r.From >= o.From && r.To <= o.To
}

// recordHealth records whether a target answers orders.
func (m *Manager) recordHealth(now clock.Instant, st *targetState, outcome Outcome) {
	switch outcome {
	case OutcomeDone, OutcomeHigherFence:
		st.failingSince = clock.Never
	case OutcomeOtherTarget:
		st.exited = true
	case OutcomeUnverified:
	case OutcomeNotSent, OutcomeUnknown:
		st.lastFailedAt = now
		if !st.failing() {
			st.failingSince = now
		}
	}
}

// recordOutcome records the outcome of a release or grant.
func (mv *move) recordOutcome(now clock.Instant, kind Kind, outcome Outcome, handover string) {
	mv.retryAt = now.Add(retryAfter)
	if kind == Release {
		mv.releasing = false
		if outcome == OutcomeDone {
			mv.released = true
			mv.handover = handover
			mv.retryAt = clock.Never
		}
		return
	}
	mv.granting = false
	switch outcome {
	case OutcomeDone:
		mv.offered = true
		mv.granted = true
	case OutcomeUnknown:
		mv.offered = true
		mv.unanswered = true
	case OutcomeHigherFence:
		mv.refused = true
	}
}

// DueOrders returns the orders that are due. The outcome of each must be passed to RecordOutcome.
// While the store is unavailable, grants get the longest hold.
func (m *Manager) DueOrders(now clock.Instant, storeUnavailable bool) []Order {
	hold := m.hold()
	if storeUnavailable {
		hold = m.config.HoldMax
	}
	m.longestHoldSent = max(m.longestHoldSent, hold)
	var orders []Order
	for _, r := range m.current.Ranges {
		if r.Moving() {
			orders = m.advanceMove(now, hold, r, orders)
		} else if r.Owner != "" {
			orders = m.appendRenewal(now, hold, r, orders)
		}
	}
	return m.joinReleases(orders)
}

// joinReleases joins releases of the same owner under the same fence into one, unless the owner
// keeps keys between them. Thus a leaving target gets a single release. Each release waits for
// running work and occupies one of the few connections that a target accepts.
func (m *Manager) joinReleases(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		last := len(out) - 1
		for last >= 0 && !(out[last].Kind == Release && out[last].Target == o.Target && out[last].Fence == o.Fence) {
			last--
		}
		if o.Kind == Release && last >= 0 && !m.keepsRangesWithin(o.Target, o.Fence, out[last].From, o.To) {
			out[last].To = o.To
			continue
		}
		out = append(out, o)
	}
	return out
}

// keepsRangesWithin reports whether a target owns or gets any of the keys from..to, apart from
// those that it releases under the fence.
func (m *Manager) keepsRangesWithin(target string, fence uint64, from, to uint16) bool {
	return slices.ContainsFunc(m.current.Ranges, func(r keyrange.Range) bool {
		if r.To < from || r.From > to || r.Owner != target && r.Next != target {
			return false
		}
		return r.Owner != target || r.NextFence != fence
	})
}

// newOrder returns an order to the target with the state st for the keys of a range. It may be sent
// over any connection.
func (m *Manager) newOrder(now clock.Instant, kind Kind, r keyrange.Range, st *targetState, fence uint64, hold time.Duration, handover string) Order {
	return Order{
		Kind: kind, Service: m.config.Service, Target: cmp.Or(st.target.ID, r.Owner), Address: st.target.Address,
		From: r.From, To: r.To, Fence: fence, Hold: hold, Handover: handover, SentAt: now, ConnectionOpenSince: clock.Never,
	}
}

// advanceMove appends the order for the next step of a move if one is due.
func (m *Manager) advanceMove(now clock.Instant, hold time.Duration, r keyrange.Range, orders []Order) []Order {
	mv := m.move(now, r)
	if !mv.released {
		m.checkReleased(now, r, mv)
	}
	if !mv.released {
		owner := m.stateOf(r.Owner)
		if mv.releasing || now < mv.retryAt || owner.target.Address == "" {
			return orders
		}
		mv.releasing = true
		return append(orders, m.newOrder(now, Release, r, owner, r.NextFence, 0, ""))
	}
	next := m.stateOf(r.Next)
	if mv.granted || mv.granting || mv.unanswered || mv.refused || now < mv.retryAt || next.exited || next.target.Address == "" {
		return orders
	}
	mv.granting = true
	next.grantsInFlight++
	return append(orders, m.newOrder(now, Grant, r, next, r.NextFence, hold, mv.handover))
}

// move returns the state of the move of a range.
func (m *Manager) move(now clock.Instant, r keyrange.Range) *move {
	key := rangeKey{r.From, r.To, r.NextFence}
	mv := m.moves[key]
	if mv == nil {
		mv = &move{retryAt: clock.Never, startedAt: now}
		m.moves[key] = mv
	}
	return mv
}

// checkReleased marks a move as released if there is no former owner, or if it has exited or all
// its grants have certainly expired.
func (m *Manager) checkReleased(now clock.Instant, r keyrange.Range, mv *move) {
	if r.Owner == "" {
		mv.released = true
		return
	}
	owner := m.stateOf(r.Owner)
	if owner.exited || owner.grantsInFlight == 0 && now >= owner.heldUntil {
		mv.released = true
		mv.retryAt = clock.Never
	}
}
