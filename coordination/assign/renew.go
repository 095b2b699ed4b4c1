package assign

import (
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
)

// timeToExpiry returns the time from sending a grant with the given hold until it has certainly
// expired at the target.
func timeToExpiry(hold time.Duration) time.Duration {
	return hold + time.Duration(float64(hold)*clockTolerance) + holdSlack
}

// GrantLifetime returns the time from sending a grant with the longest hold until it has certainly
// expired at the target.
func GrantLifetime(holdMax time.Duration) time.Duration { return timeToExpiry(holdMax) }

// formerGrantsExpiry returns when all grants of former leaders have certainly expired.
func (m *Manager) formerGrantsExpiry() clock.Instant {
	longest := m.startedAt.Add(timeToExpiry(m.config.HoldMax))
	if m.config.HeldUntil != clock.Never {
		return min(longest, m.config.HeldUntil)
	}
	return longest
}

// HeldUntil returns when all grants of this manager and of former leaders will have expired if no
// more orders are sent.
func (m *Manager) HeldUntil(now clock.Instant) clock.Instant {
	held := m.formerGrantsExpiry()
	if held < now {
		held = now
	}
	for _, st := range m.states {
		held = held.Later(st.heldUntil)
		if st.grantsInFlight > 0 {
			held = held.Later(now.Add(maxOrderTime + timeToExpiry(m.longestHoldSent)))
		}
	}
	return held
}

// holdWithin returns the longest hold with which a grant sent now has certainly expired by
// heldUntil, even if the order takes maxOrderTime.
func (st *targetState) holdWithin(now clock.Instant) time.Duration {
	left := st.heldUntil.Sub(now) - holdSlack - maxOrderTime
	return time.Duration(float64(left) / (1 + clockTolerance))
}

// recordHold extends heldUntil by the hold of an order that the target may have received.
func (m *Manager) recordHold(now clock.Instant, st *targetState, o Order, outcome Outcome) {
	if o.Kind == Release {
		return
	}
	st.grantsInFlight--
	if outcome == OutcomeDone || outcome == OutcomeUnknown {
		st.heldUntil = st.heldUntil.Later(now.Add(timeToExpiry(o.Hold)))
	}
}

// renewInterval returns the time between renewals of a grant.
func (m *Manager) renewInterval() time.Duration {
	return min(maxRenewInterval, max(minRenewInterval, time.Duration(len(m.current.Ranges))*renewIntervalPerRange))
}

// hold returns the hold of grants while the store is available.
func (m *Manager) hold() time.Duration { return min(failoverTime+m.renewInterval(), m.config.HoldMax) }

// appendRenewal appends a renewal of an owner's grant if one is due.
func (m *Manager) appendRenewal(now clock.Instant, hold time.Duration, r keyrange.Range, orders []Order) []Order {
	key := rangeKey{r.From, r.To, r.Fence}
	st := m.stateOf(r.Owner)
	state := m.renewals[key]
	if state == nil {
		state = &renewal{sentAt: clock.Never, confirmedAt: clock.Never}
		m.renewals[key] = state
	}
	if state.closed {
		st.unverified = true
		return orders
	}
	if state.inFlight || st.exited || st.target.Address == "" || state.sentAt != clock.Never && now.Sub(state.sentAt) < m.renewInterval() {
		return orders
	}
	if st.failing() {
		hold = min(hold, st.holdWithin(now))
		if hold < minHold {
			return orders
		}
	}
	state.inFlight = true
	state.sentAt = now
	st.grantsInFlight++
	o := m.newOrder(now, Renew, r, st, r.Fence, hold, "")
	o.ConnectionOpenSince = state.confirmedAt
	return append(orders, o)
}

// recordRenewal records the outcome of a renewal. If the target has seen a higher fence, the next
// proposal moves the range to the same owner, which raises the fence.
func (m *Manager) recordRenewal(o Order, st *targetState, outcome Outcome) {
	key := rangeKey{o.From, o.To, o.Fence}
	r := m.renewals[key]
	if r == nil {
		return
	}
	r.inFlight = false
	switch outcome {
	case OutcomeDone:
		r.confirmedAt = o.SentAt
		if o.Hold < failoverTime {
			// The target answers again after renewals with short holds: it gets one with the usual
			// hold at once.
			r.sentAt = clock.Never
		}
	case OutcomeHigherFence:
		r.closed = true
		m.moves[key] = &move{refused: true}
	case OutcomeUnverified:
		st.unverified = true
	case OutcomeUnknown:
		r.closed = o.ConnectionOpenSince == clock.Never
	}
}

// inheritRenewals gives ranges that were split from others, or merged from them, under the same
// fence, the state of the last renewal of those others. The parameter live holds all ranges of the
// new map.
func (m *Manager) inheritRenewals(live map[rangeKey]bool) {
	former := map[uint64][]rangeKey{}
	for key := range m.renewals {
		if !live[key] {
			former[key.fence] = append(former[key.fence], key)
		}
	}
	for key := range live {
		if m.renewals[key] != nil {
			continue
		}
		for _, old := range former[key.fence] {
			if old.from <= key.to && key.from <= old.to {
				m.renewals[key] = m.renewals[old].inherit(m.renewals[key])
			}
		}
	}
}

// inherit returns the state for another range under the same fence. The parameter earlier is the
// state that another part of that range gave it; nil if none did. If orders were sent and none was
// confirmed, the new state is closed. An order in flight is not inherited: its outcome concerns a
// range that no longer exists.
func (r *renewal) inherit(earlier *renewal) *renewal {
	next := &renewal{sentAt: r.sentAt, confirmedAt: r.confirmedAt, closed: r.closed || r.sentAt != clock.Never && r.confirmedAt == clock.Never}
	if earlier != nil {
		next.sentAt = min(next.sentAt, earlier.sentAt)
		next.confirmedAt = min(next.confirmedAt, earlier.confirmedAt)
		next.closed = next.closed || earlier.closed
	}
	return next
}

// RenewAll makes the renewals of all grants due.
func (m *Manager) RenewAll() {
	for _, r := range m.renewals {
		r.sentAt = clock.Never
	}
}
