package assign

import (
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
)

// holdEnd is how long after it was sent a grant has surely run out.
func holdEnd(hold time.Duration) time.Duration {
	return hold + time.Duration(float64(hold)*clockTolerance) + holdSlack
}

// GrantLifetime is how long after it was sent a grant with the longest hold has surely run out.
func GrantLifetime(holdMax time.Duration) time.Duration { return holdEnd(holdMax) }

// formerHeld is when what former leading instances granted has surely run out.
func (m *Manager) formerHeld() clock.Instant {
	longest := m.tookOver.Add(holdEnd(m.config.HoldMax))
	if m.config.HeldUntil != clock.Never {
		return min(longest, m.config.HeldUntil)
	}
	return longest
}

// HeldUntil returns when everything that this manager, and others before it, has granted will
// have run out, if no order is sent any more.
func (m *Manager) HeldUntil(now clock.Instant) clock.Instant {
	held := m.formerHeld()
	if held < now {
		held = now
	}
	for _, h := range m.holders {
		held = held.Later(h.heldUntil)
		if h.granting > 0 {
			held = held.Later(now.Add(orderTime + holdEnd(m.longestSent)))
		}
	}
	return held
}

// holdWithin returns the longest hold of an order sent now that surely ends by heldUntil, however
// late within its time the order takes effect.
func (h *holder) holdWithin(now clock.Instant) time.Duration {
	left := h.heldUntil.Sub(now) - holdSlack - orderTime
	return time.Duration(float64(left) / (1 + clockTolerance))
}

func (m *Manager) noteHold(now clock.Instant, h *holder, o Order, outcome Outcome) {
	if o.Kind == Release {
		return
	}
	h.granting--
	if outcome == Done || outcome == Unknown {
		h.heldUntil = h.heldUntil.Later(now.Add(holdEnd(o.Hold)))
	}
}

// renewEvery is the time between renewals of a grant.
func (m *Manager) renewEvery() time.Duration {
	return min(renewLatest, max(renewSoonest, time.Duration(len(m.current.Ranges))*renewEach))
}

// hold is how long a grant holds while the store answers.
func (m *Manager) hold() time.Duration { return min(changeTime+m.renewEvery(), m.config.HoldMax) }

func (m *Manager) renew(now clock.Instant, hold time.Duration, r keyrange.Range, orders []Order) []Order {
	p := piece{r.From, r.To, r.Fence}
	h := m.holder(r.Owner)
	state := m.renewals[p]
	if state == nil {
		state = &renewal{at: clock.Never, heldAt: clock.Never}
		m.renewals[p] = state
	}
	if state.over {
		h.unverified = true
		return orders
	}
	if state.underWay || h.ended || h.target.Address == "" || state.at != clock.Never && now.Sub(state.at) < m.renewEvery() {
		return orders
	}
	if h.failing() {
		hold = min(hold, h.holdWithin(now))
		if hold < leastHold {
			return orders
		}
	}
	state.underWay = true
	state.at = now
	h.granting++
	o := m.order(now, Renew, r, h, r.Fence, hold, "")
	o.ConnectedSince = state.heldAt
	return append(orders, o)
}

// renewed notes the outcome of a renewal. One that meets a higher fence is asked for again
// by way of a move to the same owner, which raises the fence.
func (m *Manager) renewed(o Order, h *holder, outcome Outcome) {
	p := piece{o.From, o.To, o.Fence}
	r := m.renewals[p]
	if r == nil {
		return
	}
	r.underWay = false
	switch outcome {
	case Done:
		r.heldAt = o.SentAt
		if o.Hold < changeTime {
			// The target answers again: it gets its usual hold at once.
			r.at = clock.Never
		}
	case HigherFence:
		r.over = true
		m.moves[p] = &move{refused: true}
	case Unverified:
		h.unverified = true
	case Unknown:
		r.over = o.ConnectedSince == clock.Never
	}
}

// inherit gives pieces that were cut out of others, or joined from them, under the same fence
// what is known of the last renewal of those.
func (m *Manager) inherit(live map[piece]bool) {
	former := map[uint64][]piece{}
	for p := range m.renewals {
		if !live[p] {
			former[p.fence] = append(former[p.fence], p)
		}
	}
	for p := range live {
		if m.renewals[p] != nil {
			continue
		}
		for _, q := range former[p.fence] {
			if q.from <= p.to && p.from <= q.to {
				m.renewals[p] = m.renewals[q].passedOn(m.renewals[p])
			}
		}
	}
}

// passedOn returns the state for another piece under the same fence, of which earlier is known
// already from a part of it. The answer to an order that is under way concerns a piece that is no
// more.
func (r *renewal) passedOn(earlier *renewal) *renewal {
	next := &renewal{at: r.at, heldAt: r.heldAt, over: r.over || r.at != clock.Never && r.heldAt == clock.Never}
	if earlier != nil {
		next.at = min(next.at, earlier.at)
		next.heldAt = min(next.heldAt, earlier.heldAt)
		next.over = next.over || earlier.over
	}
	return next
}

// RenewAll makes all renewals due.
func (m *Manager) RenewAll() {
	for _, r := range m.renewals {
		r.at = clock.Never
	}
}
