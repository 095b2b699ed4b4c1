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
	// current is the stored map.
	current *keyrange.Map
	// proposed is the map that is being stored, or nil.
	proposed *keyrange.Map

	// holders are the known targets by ID.
	holders  map[string]*holder
	renewals map[rangeKey]*renewal
	moves    map[rangeKey]*move

	// longestHoldSent is the longest hold of any grant sent.
	longestHoldSent time.Duration
	load            *keyrange.Load
	// coldRate is how many requests a second a cold target takes; 0 if no limit is known.
	coldRate float64
	// requestWork is the mean work of a request, in seconds of a slot of an average target.
	requestWork float64
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
		holders:       map[string]*holder{},
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

// holder returns the state of a target. A new target may hold grants of former leaders.
func (m *Manager) holder(id string) *holder {
	h := m.holders[id]
	if h == nil {
		h = &holder{failingSince: clock.Never, firstListedAt: clock.Never, regrantedAt: clock.Never, speed: 1, heldUntil: m.formerGrantsEnd()}
		m.holders[id] = h
	}
	return h
}

// adopt replaces the stored map and deletes the state of ranges that no longer exist.
func (m *Manager) adopt(stored *keyrange.Map) {
	m.current = stored
	live := map[rangeKey]bool{}
	for _, r := range stored.Ranges {
		if r.Owner != "" {
			m.holder(r.Owner)
			live[rangeKey{r.From, r.To, r.Fence}] = true
		}
		if r.Moving() {
			m.holder(r.Next)
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
	for id, h := range m.holders {
		if !h.listed && !m.inMap(id) {
			delete(m.holders, id)
		}
	}
}

// inMap reports whether a target is the owner or the next owner of any range.
func (m *Manager) inMap(id string) bool {
	return slices.ContainsFunc(m.current.Ranges, func(r keyrange.Range) bool { return r.Owner == id || r.Next == id })
}

// RecordStored records that the proposed map has been stored, or that another map was found in the store.
func (m *Manager) RecordStored(stored *keyrange.Map) {
	m.proposed = nil
	m.adopt(stored)
}

// RecordNotStored records that the proposed map was not stored. The state of moves that begin with it is
// deleted: the next proposal has the same version, and may begin other moves under it.
func (m *Manager) RecordNotStored() {
	m.proposed = nil
	for key := range m.moves {
		if key.fence > m.current.Version {
			delete(m.moves, key)
		}
	}
}

// SetTargets sets the list of the service's targets.
func (m *Manager) SetTargets(now clock.Instant, list []view.Target) {
	newest := map[string]clock.Instant{}
	byName := map[string]view.Target{}
	for _, h := range m.holders {
		h.listed = false
	}
	for _, t := range list {
		h := m.holder(t.ID)
		h.target = t
		h.listed = true
		if h.firstListedAt == clock.Never {
			h.firstListedAt = now
		}
		newest[t.Address] = h.firstListedAt.Later(newest[t.Address])
		byName[view.TargetName(t.ID)] = t
	}
	if len(list) > 0 && m.firstTargetAt == clock.Never {
		m.firstTargetAt = now
	}
	for id, h := range m.holders {
		if next, ok := byName[view.TargetName(id)]; ok && !h.listed {
			h.replacedBy(id, next)
			continue
		}
		if h.failing() && now.Sub(h.lastFailedAt) >= failureExpiry && !m.inMap(id) {
			h.failingSince = clock.Never
		}
		// An unlisted target has ended if a target that was first listed later has its address. One
		// that was listed earlier proves nothing: the registry keeps the entry of a crashed process
		// for a while beside that of its successor, and the missing entry may be the successor's.
		// If the order is not known, the outcomes of orders will show it.
		if since, taken := newest[h.target.Address]; taken && !h.listed && h.firstListedAt != clock.Never && since > h.firstListedAt {
			h.ended = true
		}
	}
}

// replacedBy records that another process, next, was started under the target's name. If it has the
// same address, it may have received a grant meant for the former process, and the keys must be
// released there. If it has another address, the former process has ended: nothing of that name
// answers at the old one.
func (h *holder) replacedBy(id string, next view.Target) {
	if h.target.Address != "" && h.target.Address != next.Address {
		h.ended = true
		return
	}
	h.restarted = true
	h.target = next
	h.target.ID = id
}

// SetLoad sets the load by key, and the speeds of targets relative to the average, by target ID.
func (m *Manager) SetLoad(load *keyrange.Load, speeds map[string]float64) {
	m.load = load
	for id, speed := range speeds {
		if h := m.holders[id]; h != nil {
			h.speed = speed
		}
	}
}

// SetColdRateAndWork sets how many requests a second a cold target takes (0 if no limit is known), and the
// mean time that a request takes at a target of average speed.
func (m *Manager) SetColdRateAndWork(rate float64, work time.Duration) {
	m.coldRate = rate
	m.requestWork = work.Seconds()
}

// SetLimits sets how many requests a second targets take from all instances together, by target ID.
// Targets that name no limit are not in the map.
func (m *Manager) SetLimits(limits map[string]float64) {
	for id, h := range m.holders {
		h.limit = limits[id]
	}
}

// RecordOutcome records the outcome of an order. The handover is what the target answered to a
// release.
func (m *Manager) RecordOutcome(now clock.Instant, o Order, outcome Outcome, handover string) {
	h := m.holder(o.Target)
	m.recordHold(now, h, o, outcome)
	m.recordHealth(now, h, outcome)
	switch o.Kind {
	case Renew:
		m.recordRenewal(o, h, outcome)
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
func (m *Manager) recordHealth(now clock.Instant, h *holder, outcome Outcome) {
	switch outcome {
	case OutcomeDone, OutcomeHigherFence:
		h.failingSince = clock.Never
	case OutcomeOtherTarget:
		h.ended = true
	case OutcomeUnverified:
	case OutcomeNotSent, OutcomeUnknown:
		h.lastFailedAt = now
		if !h.failing() {
			h.failingSince = now
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

// DueOrders returns the orders that are due. While the store is unavailable, grants get the longest
// hold.
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
// keeps keys between them. So a leaving target gets a single release: each release waits for
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

// keepsRangesWithin reports whether a target owns or gets any of the keys from..to other than those
// that it gives up under the fence.
func (m *Manager) keepsRangesWithin(target string, fence uint64, from, to uint16) bool {
	return slices.ContainsFunc(m.current.Ranges, func(r keyrange.Range) bool {
		if r.To < from || r.From > to || r.Owner != target && r.Next != target {
			return false
		}
		return r.Owner != target || r.NextFence != fence
	})
}

// newOrder returns an order to the target h for the keys of a range. Any connection is allowed.
func (m *Manager) newOrder(now clock.Instant, kind Kind, r keyrange.Range, h *holder, fence uint64, hold time.Duration, handover string) Order {
	return Order{
		Kind: kind, Service: m.config.Service, Target: cmp.Or(h.target.ID, r.Owner), Address: h.target.Address,
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
		owner := m.holder(r.Owner)
		if mv.releasing || now < mv.retryAt || owner.target.Address == "" {
			return orders
		}
		mv.releasing = true
		return append(orders, m.newOrder(now, Release, r, owner, r.NextFence, 0, ""))
	}
	next := m.holder(r.Next)
	if mv.granted || mv.granting || mv.unanswered || mv.refused || now < mv.retryAt || next.ended || next.target.Address == "" {
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

// checkReleased marks a move as released if there is no former owner, or if it has ended or its
// hold is certain to have run out.
func (m *Manager) checkReleased(now clock.Instant, r keyrange.Range, mv *move) {
	if r.Owner == "" {
		mv.released = true
		return
	}
	owner := m.holder(r.Owner)
	if owner.ended || owner.grantsInFlight == 0 && now >= owner.heldUntil {
		mv.released = true
		mv.retryAt = clock.Never
	}
}
