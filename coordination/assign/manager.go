package assign

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

// Manager keeps the keys of one service assigned.
type Manager struct {
	config Config
	// current is the map as it is stored.
	current *keyrange.Map
	// proposed is the map that is being stored, if any.
	proposed *keyrange.Map

	holders  map[string]*holder
	renewals map[piece]*renewal
	moves    map[piece]*move

	// longestSent is the longest hold of any grant.
	longestSent time.Duration
	load        *keyrange.Load
	// coldRate is how many requests a second a cold target bears; 0: no bound is known.
	coldRate float64
	// requestWork is the mean work of a request, in seconds of a slot of an average target.
	requestWork float64
	tookOver    clock.Instant
	firstTarget clock.Instant
	balancedAt  clock.Instant
}

// NewManager returns a manager for an instance that has just begun to lead, with the map
// as it is stored; nil if there is none.
func NewManager(config Config, stored *keyrange.Map, now clock.Instant) *Manager {
	m := &Manager{
		config:      config,
		holders:     map[string]*holder{},
		renewals:    map[piece]*renewal{},
		moves:       map[piece]*move{},
		load:        &keyrange.Load{},
		tookOver:    now,
		firstTarget: clock.Never,
		balancedAt:  clock.Never,
	}
	if stored == nil {
		stored = keyrange.Empty()
	}
	m.adopt(stored)
	for _, r := range stored.Ranges {
		if r.Moving() {
			// The former leading instance may have offered the keys to the next owner.
			m.move(now, r).offered = true
		}
	}
	return m
}

// Map returns the map as it is stored.
func (m *Manager) Map() *keyrange.Map { return m.current }

// holder returns the record of a target. What a target that is met for the first time was
// granted by others is not known.
func (m *Manager) holder(id string) *holder {
	h := m.holders[id]
	if h == nil {
		h = &holder{failingSince: clock.Never, firstListed: clock.Never, anewAt: clock.Never, speed: 1, heldUntil: m.formerHeld()}
		m.holders[id] = h
	}
	return h
}

// adopt takes a stored map and forgets what concerns ranges that are no more.
func (m *Manager) adopt(stored *keyrange.Map) {
	m.current = stored
	live := map[piece]bool{}
	for _, r := range stored.Ranges {
		if r.Owner != "" {
			m.holder(r.Owner)
			live[piece{r.From, r.To, r.Fence}] = true
		}
		if r.Moving() {
			m.holder(r.Next)
			live[piece{r.From, r.To, r.NextFence}] = true
		}
	}
	m.inherit(live)
	for p := range m.renewals {
		if !live[p] {
			delete(m.renewals, p)
		}
	}
	for p := range m.moves {
		if !live[p] {
			delete(m.moves, p)
		}
	}
	for id, h := range m.holders {
		if !h.listed && !m.mentioned(id) {
			delete(m.holders, id)
		}
	}
}

func (m *Manager) mentioned(id string) bool {
	return slices.ContainsFunc(m.current.Ranges, func(r keyrange.Range) bool { return r.Owner == id || r.Next == id })
}

// Stored notes that a proposed map has been stored, or that another one was found there.
func (m *Manager) Stored(stored *keyrange.Map) {
	m.proposed = nil
	m.adopt(stored)
}

// NotStored notes that the proposed map was not stored. What was noted of moves that begin with
// it is forgotten: the next proposal has the same version, and may begin others under it.
func (m *Manager) NotStored() {
	m.proposed = nil
	for p := range m.moves {
		if p.fence > m.current.Version {
			delete(m.moves, p)
		}
	}
}

// SetTargets takes the believed targets of the service.
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
		if h.firstListed == clock.Never {
			h.firstListed = now
		}
		newest[t.Address] = h.firstListed.Later(newest[t.Address])
		byName[view.TargetName(t.ID)] = t
	}
	if len(list) > 0 && m.firstTarget == clock.Never {
		m.firstTarget = now
	}
	for id, h := range m.holders {
		if next, ok := byName[view.TargetName(id)]; ok && !h.listed {
			h.succeeded(id, next)
			continue
		}
		if h.failing() && now.Sub(h.failedAt) >= forgiveAfter && !m.mentioned(id) {
			h.failingSince = clock.Never
		}
		// Only one that came later shows that a target has ended: the registry keeps the entry
		// of a crashed target for a while, beside that of its new life, which may be the one
		// that is missing. Where the order is not known, orders will tell.
		if came, taken := newest[h.target.Address]; taken && !h.listed && h.firstListed != clock.Never && came > h.firstListed {
			h.ended = true
		}
	}
}

// succeeded notes that the process of a target has ended and that another one was started under
// its name. At the address of the former one it may have got keys by an order for that: they
// have to be released there. An order to another address reaches nobody of that name any more.
func (h *holder) succeeded(id string, next view.Target) {
	if h.target.Address != "" && h.target.Address != next.Address {
		h.ended = true
		return
	}
	h.restarted = true
	h.target = next
	h.target.ID = id
}

// SetLoad takes the load by key and the speeds of targets relative to the average.
func (m *Manager) SetLoad(load *keyrange.Load, speeds map[string]float64) {
	m.load = load
	for id, speed := range speeds {
		if h := m.holders[id]; h != nil {
			h.speed = speed
		}
	}
}

// SetColdRate takes how many requests a second a cold target bears, 0: no bound is known, and the mean work
// of a request at a target of average speed.
func (m *Manager) SetColdRate(rate float64, work time.Duration) {
	m.coldRate = rate
	m.requestWork = work.Seconds()
}

// SetLimits takes how many requests a second targets take from all instances together, of those that name
// a limit.
func (m *Manager) SetLimits(limits map[string]float64) {
	for id, h := range m.holders {
		h.limit = limits[id]
	}
}

// RecordOutcome notes the outcome of an order.
func (m *Manager) RecordOutcome(now clock.Instant, o Order, outcome Outcome, handover string) {
	h := m.holder(o.Target)
	m.noteHold(now, h, o, outcome)
	m.noteHealth(now, h, outcome)
	switch o.Kind {
	case Renew:
		m.renewed(o, h, outcome)
	case Grant:
		if mv := m.moves[piece{o.From, o.To, o.Fence}]; mv != nil {
			mv.note(now, o.Kind, outcome, handover)
			if mv.granted {
				m.renewals[piece{o.From, o.To, o.Fence}] = &renewal{at: o.SentAt, heldAt: o.SentAt}
			}
		}
	case Release:
		for _, r := range m.current.Ranges {
			if mv := m.moves[piece{r.From, r.To, r.NextFence}]; mv != nil && released(o, r) {
				mv.note(now, o.Kind, outcome, handover)
			}
		}
	}
}

// released reports whether a release concerns a range.
func released(o Order, r keyrange.Range) bool {
	return r.Moving() && r.Owner == o.Target && r.NextFence == o.Fence && r.From >= o.From && r.To <= o.To
}

func (m *Manager) noteHealth(now clock.Instant, h *holder, outcome Outcome) {
	switch outcome {
	case Done, HigherFence:
		h.failingSince = clock.Never
	case OtherTarget:
		h.ended = true
	case Unverified:
	case NotSent, Unknown:
		h.failedAt = now
		if !h.failing() {
			h.failingSince = now
		}
	}
}

func (mv *move) note(now clock.Instant, kind Kind, outcome Outcome, handover string) {
	mv.retryAt = now.Add(retryAfter)
	if kind == Release {
		mv.releasing = false
		if outcome == Done {
			mv.released = true
			mv.handover = handover
			mv.retryAt = clock.Never
		}
		return
	}
	mv.granting = false
	switch outcome {
	case Done:
		mv.offered = true
		mv.granted = true
	case Unknown:
		mv.offered = true
		mv.unanswered = true
	case HigherFence:
		mv.refused = true
	}
}

// Tick returns the orders that are due. Dark says that the store does not answer: grants are to
// hold for as long as they may.
func (m *Manager) Tick(now clock.Instant, dark bool) []Order {
	hold := m.hold()
	if dark {
		hold = m.config.HoldMax
	}
	m.longestSent = max(m.longestSent, hold)
	var orders []Order
	for _, r := range m.current.Ranges {
		if r.Moving() {
			orders = m.advance(now, hold, r, orders)
		} else if r.Owner != "" {
			orders = m.renew(now, hold, r, orders)
		}
	}
	return m.join(orders)
}

// join makes one order out of releases of the same owner under the same fence, where it
// keeps nothing between them. A target that leaves is so released as a whole: each release
// waits for running work and takes a connection of the few that a target accepts.
func (m *Manager) join(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		last := len(out) - 1
		for last >= 0 && !(out[last].Kind == Release && out[last].Target == o.Target && out[last].Fence == o.Fence) {
			last--
		}
		if o.Kind == Release && last >= 0 && !m.keepsWithin(o.Target, o.Fence, out[last].From, o.To) {
			out[last].To = o.To
			continue
		}
		out = append(out, o)
	}
	return out
}

// keepsWithin reports whether a target has anything within the keys from..to beside what it
// gives up under the fence.
func (m *Manager) keepsWithin(target string, fence uint64, from, to uint16) bool {
	return slices.ContainsFunc(m.current.Ranges, func(r keyrange.Range) bool {
		if r.To < from || r.From > to || r.Owner != target && r.Next != target {
			return false
		}
		return r.Owner != target || r.NextFence != fence
	})
}

func (m *Manager) order(now clock.Instant, kind Kind, r keyrange.Range, h *holder, fence uint64, hold time.Duration, handover string) Order {
	return Order{
		Kind: kind, Service: m.config.Service, Target: cmp.Or(h.target.ID, r.Owner), Address: h.target.Address,
		From: r.From, To: r.To, Fence: fence, Hold: hold, Handover: handover, SentAt: now, ConnectedSince: clock.Never,
	}
}

// advance takes the next step of a move.
func (m *Manager) advance(now clock.Instant, hold time.Duration, r keyrange.Range, orders []Order) []Order {
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
		return append(orders, m.order(now, Release, r, owner, r.NextFence, 0, ""))
	}
	next := m.holder(r.Next)
	if mv.granted || mv.granting || mv.unanswered || mv.refused || now < mv.retryAt || next.ended || next.target.Address == "" {
		return orders
	}
	mv.granting = true
	next.granting++
	return append(orders, m.order(now, Grant, r, next, r.NextFence, hold, mv.handover))
}

func (m *Manager) move(now clock.Instant, r keyrange.Range) *move {
	p := piece{r.From, r.To, r.NextFence}
	mv := m.moves[p]
	if mv == nil {
		mv = &move{retryAt: clock.Never, begun: now}
		m.moves[p] = mv
	}
	return mv
}

// checkReleased sees whether the former owner has surely lost the keys without answering.
func (m *Manager) checkReleased(now clock.Instant, r keyrange.Range, mv *move) {
	if r.Owner == "" {
		mv.released = true
		return
	}
	owner := m.holder(r.Owner)
	if owner.ended || owner.granting == 0 && now >= owner.heldUntil {
		mv.released = true
		mv.retryAt = clock.Never
	}
}
