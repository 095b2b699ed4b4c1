package assign

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
)

// Propose returns a changed map to be stored, or nil. Until Stored or NotStored is called
// there is no other proposal.
func (m *Manager) Propose(now clock.Instant) *keyrange.Map {
	if m.proposed != nil {
		return nil
	}
	e := m.current.Edit()
	moving := 0
	var orphans, lost []keyrange.Range
	for _, r := range m.current.Ranges {
		switch {
		case r.Moving():
			moving++
			m.conclude(e, now, r)
			m.lose(e, now, r)
		case m.refusedRenewal(r):
			e.Move(r.From, r.To, r.Owner, false)
		case m.holder(r.Owner).answersStill():
			orphans = append(orphans, r)
		case m.unreachable(now, r):
			lost = append(lost, r)
		case m.leaves(now, r):
			orphans = append(orphans, r)
		}
	}
	m.grantAnew(e, now)
	m.spread(e, now, orphans, false)
	m.spread(e, now, lost, true)
	m.balance(e, now, moving)
	if e.Changed() || len(m.current.Ranges) > joinAbove*len(m.holders) {
		e.MergeAdjoining(func(owner string) bool { return m.holder(owner).takes() })
	}
	if !e.Changed() {
		return nil
	}
	m.proposed = e.Map()
	return m.proposed
}

// grantAnew raises the fences of targets that may have been started again: whoever answers at
// the address gets the keys under a fence that no former process has had. A target that was not
// started again takes the new grant in place of the former one; its running work goes on.
func (m *Manager) grantAnew(e *keyrange.Editor, now clock.Instant) {
	for id, h := range m.holders {
		if !h.unverified || h.anewAt != clock.Never && now.Sub(h.anewAt) < anewEvery {
			continue
		}
		h.unverified = false
		h.anewAt = now
		if h.takes() || h.listed && !h.ended {
			e.RaiseFences(id)
		}
	}
}

// answersStill reports whether a target that is no longer listed can be asked to give its keys
// up: it was started again, or is cut off from the registry only. Its keys change hands within
// the time that running work takes, for which requests wait; those of a target that is lost are
// refused at once.
func (h *holder) answersStill() bool {
	if h.listed || h.ended || h.target.Address == "" {
		return false
	}
	return h.restarted || !h.failing()
}

// conclude ends a move whose next owner has the keys, or gives it another next owner.
func (m *Manager) conclude(e *keyrange.Editor, now clock.Instant, r keyrange.Range) {
	mv := m.move(now, r)
	next := m.holder(r.Next)
	if mv.granted {
		e.Finish(r.From, r.To)
		return
	}
	gone := next.ended || next.lost(now) || !next.listed || next.target.Draining
	if !mv.released || mv.granting || !gone && !mv.refused && !mv.unanswered {
		return
	}
	if !gone && !mv.refused {
		if now >= mv.retryAt {
			m.offerAnew(e, r, mv)
		}
		return
	}
	target := r.Next
	if gone {
		list := m.emptiest(m.capacities(now, r.Next), 1)
		if len(list) == 0 {
			return
		}
		target = list[0].Target
	}
	// No grant may go out under this fence any more, also if the change is not stored: once
	// it is, the keys go to another target, and two would hold them.
	mv.refused = true
	if mv.offered {
		// The former next owner may hold the keys: it is to be released like any owner.
		e.Finish(r.From, r.To)
		e.Move(r.From, r.To, target, next.lost(now))
		return
	}
	e.Move(r.From, r.To, target, r.Lost)
	m.moves[piece{r.From, r.To, e.Version()}] = &move{released: true, handover: mv.handover, retryAt: clock.Never, begun: mv.begun}
}

// lose tells of a range whose owner answers no order to give it up, so that requests for it are refused
// instead of waiting: its keys are served again only when its hold has surely run out.
func (m *Manager) lose(e *keyrange.Editor, now clock.Instant, r keyrange.Range) {
	if r.Lost || r.Owner == "" || m.move(now, r).released || !m.holder(r.Owner).lost(now) {
		return
	}
	e.MarkLost(r.From, r.To)
}

// offerAnew offers a range to the same next owner under a higher fence.
func (m *Manager) offerAnew(e *keyrange.Editor, r keyrange.Range, mv *move) {
	e.Move(r.From, r.To, r.Next, r.Lost)
	m.moves[piece{r.From, r.To, e.Version()}] = &move{released: true, offered: true, handover: mv.handover, retryAt: clock.Never, begun: mv.begun}
	// Also if the change is not stored: the keys are then released first.
	mv.refused = true
}

// refusedRenewal reports whether the owner of a range refused to keep it under its fence. It
// gets the keys again under a higher one.
func (m *Manager) refusedRenewal(r keyrange.Range) bool {
	p := piece{r.From, r.To, r.Fence}
	mv := m.moves[p]
	if r.Owner == "" || mv == nil || !mv.refused {
		return false
	}
	delete(m.moves, p)
	return true
}

// unreachable reports whether the owner of a range cannot be asked to give it up.
func (m *Manager) unreachable(now clock.Instant, r keyrange.Range) bool {
	if r.Owner == "" {
		return false
	}
	h := m.holder(r.Owner)
	if !h.listed && h.target.Address == "" && now.Sub(m.tookOver) < settleFor {
		// The registry may not have been read yet.
		return false
	}
	return h.ended || h.lost(now) || !h.listed
}

// leaves reports whether a range needs another owner: it has none, or one that is about to
// leave. Keys that nobody has ever had go to the targets that are there.
func (m *Manager) leaves(now clock.Instant, r keyrange.Range) bool {
	if r.Owner == "" {
		return m.firstTarget != clock.Never && now.Sub(m.firstTarget) >= settleFor
	}
	h := m.holder(r.Owner)
	return h.listed && h.target.Draining
}

// spread gives ranges on to the targets that take keys.
func (m *Manager) spread(e *keyrange.Editor, now clock.Instant, ranges []keyrange.Range, lost bool) {
	if len(ranges) == 0 {
		return
	}
	for _, mv := range keyrange.Reassign(m.current, m.load, ranges, m.capacities(now, "")) {
		e.Move(mv.From, mv.To, mv.Next, lost)
	}
}

// emptiest returns the targets with the least work for their capacity.
func (m *Manager) emptiest(list []keyrange.Capacity, count int) []keyrange.Capacity {
	if len(list) <= count {
		return list
	}
	used := keyrange.Utilisation(m.current, m.load, list)
	slices.SortStableFunc(list, func(a, b keyrange.Capacity) int { return cmp.Compare(used[a.Target], used[b.Target]) })
	return list[:count]
}

const (
	// leastMoves is the number of ranges that may change hands for balance at a time, whatever
	// the number of targets. Requests for them wait until the running ones have ended.
	leastMoves = 8
	// movesPart is the part of the targets that may give keys away at a time. Load that has
	// moved is evened out in a few steps, whatever the number of targets.
	movesPart = 4
	// maxRanges bounds the ranges of a map, which is one row of at most 64 KiB; a range takes
	// about 10 bytes, and its owner's name 15.
	maxRanges = 4000
	// joinAbove is the number of ranges for each target from which on adjoining ones of one
	// owner are joined even if nothing else is to be stored.
	joinAbove = 2
)

func (m *Manager) balance(e *keyrange.Editor, now clock.Instant, moving int) {
	targets := m.capacities(now, "")
	every := min(balanceLatest, max(balanceSoonest, time.Duration(len(targets))*balanceEach))
	if m.balancedAt != clock.Never && now.Sub(m.balancedAt) < every {
		return
	}
	m.balancedAt = now
	room := max(leastMoves, len(targets)/movesPart) - moving
	if e.Changed() || room <= 0 || len(m.current.Ranges) > maxRanges {
		return
	}
	policy := m.config.Policy
	policy.MaxMoves = (room + 1) / 2
	for _, mv := range keyrange.Plan(m.current, m.load, targets, policy) {
		e.Move(mv.From, mv.To, mv.Next, false)
	}
}
