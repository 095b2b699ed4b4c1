package assign

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
)

// Propose returns a changed map to be stored, or nil if there is nothing to change. It returns no
// other map until RecordStored or RecordNotStored is called.
func (m *Manager) Propose(now clock.Instant) *keyrange.Map {
	if m.proposed != nil {
		return nil
	}
	e := m.current.Edit()
	moving := 0
	var toReassign, lost []keyrange.Range
	for _, r := range m.current.Ranges {
		switch {
		case r.Moving():
			moving++
			m.concludeMove(e, now, r)
			m.markLost(e, now, r)
		case m.takeRefusedRenewal(r):
			e.Move(r.From, r.To, r.Owner, false)
		case m.stateOf(r.Owner).canRelease():
			toReassign = append(toReassign, r)
		case m.ownerLost(now, r):
			lost = append(lost, r)
		case m.needsOwner(now, r):
			toReassign = append(toReassign, r)
		}
	}
	m.regrantUnverified(e, now)
	m.reassign(e, now, toReassign, false)
	m.reassign(e, now, lost, true)
	m.balance(e, now, moving)
	if e.Changed() || len(m.current.Ranges) > mergeAbove*len(m.states) {
		e.MergeAdjoining(func(owner string) bool { return m.stateOf(owner).eligible() })
	}
	if !e.Changed() {
		return nil
	}
	m.proposed = e.Map()
	return m.proposed
}

// regrantUnverified raises the fences of targets that may have been restarted: the process that
// answers at the address gets the keys under a fence that no former process has had. A target that
// was not restarted replaces the former grant by the new one, and its running work continues.
func (m *Manager) regrantUnverified(e *keyrange.Editor, now clock.Instant) {
	for id, st := range m.states {
		if !st.unverified || st.regrantedAt != clock.Never && now.Sub(st.regrantedAt) < regrantInterval {
			continue
		}
		st.unverified = false
		st.regrantedAt = now
		if st.eligible() || st.listed && !st.exited {
			e.RaiseFences(id)
		}
	}
}

// canRelease reports whether a target that is no longer listed can be asked to give its keys up: it
// was restarted, or it is only cut off from the registry. Its keys move within the time that
// running work takes, and requests for them wait. Requests for the keys of a target that cannot be
// asked are refused at once.
func (st *targetState) canRelease() bool {
	if st.listed || st.exited || st.target.Address == "" {
		return false
	}
	return st.restarted || !st.failing()
}

// concludeMove ends a move whose next owner has confirmed the grant. If the next owner cannot get
// the keys, it begins the move to another owner, or to the same owner under a higher fence.
func (m *Manager) concludeMove(e *keyrange.Editor, now clock.Instant, r keyrange.Range) {
	mv := m.move(now, r)
	next := m.stateOf(r.Next)
	if mv.granted {
		e.FinishMove(r.From, r.To)
		return
	}
	gone := next.exited || next.unresponsive(now) || !next.listed || next.target.Draining
	if !mv.released || mv.granting || !gone && !mv.refused && !mv.unanswered {
		return
	}
	if !gone && !mv.refused {
		if now >= mv.retryAt {
			m.grantAgain(e, r, mv)
		}
		return
	}
	target := r.Next
	if gone {
		list := m.leastUtilised(m.capacities(now, r.Next), 1)
		if len(list) == 0 {
			return
		}
		target = list[0].Target
	}
	// No grant may be sent under this fence any more, even if the change is not stored at first:
	// once it is stored, the keys go to another target, and two targets would own them.
	mv.refused = true
	if mv.offered {
		// The former next owner may have got the keys, so it must release them like any owner.
		e.FinishMove(r.From, r.To)
		e.Move(r.From, r.To, target, next.unresponsive(now))
		return
	}
	e.Move(r.From, r.To, target, r.Lost)
	m.moves[rangeKey{r.From, r.To, e.Version()}] = &move{released: true, handover: mv.handover, retryAt: clock.Never, startedAt: mv.startedAt}
}

// markLost marks a moving range as lost if its owner does not answer the release, so that requests
// for it are refused instead of waiting: its keys are served again only when the owner's last grant
// has certainly expired.
func (m *Manager) markLost(e *keyrange.Editor, now clock.Instant, r keyrange.Range) {
	if r.Lost || r.Owner == "" || m.move(now, r).released || !m.stateOf(r.Owner).unresponsive(now) {
		return
	}
	e.MarkLost(r.From, r.To)
}

// grantAgain moves a range to the same next owner under a higher fence.
func (m *Manager) grantAgain(e *keyrange.Editor, r keyrange.Range, mv *move) {
	e.Move(r.From, r.To, r.Next, r.Lost)
	m.moves[rangeKey{r.From, r.To, e.Version()}] = &move{released: true, offered: true, handover: mv.handover, retryAt: clock.Never, startedAt: mv.startedAt}
	// No grant may be sent under the old fence. If the change is not stored, the keys are released
	// first.
	mv.refused = true
}

// takeRefusedRenewal reports whether the owner of a range refused a renewal because it has seen a
// higher fence, and deletes the record of that. The owner gets the keys again under a higher fence.
func (m *Manager) takeRefusedRenewal(r keyrange.Range) bool {
	key := rangeKey{r.From, r.To, r.Fence}
	mv := m.moves[key]
	if r.Owner == "" || mv == nil || !mv.refused {
		return false
	}
	delete(m.moves, key)
	return true
}

// ownerLost reports whether the owner of a range cannot be asked to give it up: it has exited, does
// not answer, or is not listed. For unlisted owners that can be asked, see canRelease.
func (m *Manager) ownerLost(now clock.Instant, r keyrange.Range) bool {
	if r.Owner == "" {
		return false
	}
	st := m.stateOf(r.Owner)
	if !st.listed && st.target.Address == "" && now.Sub(m.startedAt) < startupWait {
		// The registry may not have been read yet.
		return false
	}
	return st.exited || st.unresponsive(now) || !st.listed
}

// needsOwner reports whether a range needs another owner: its owner is leaving, or it has none.
// Keys without an owner are assigned startupWait after the first target was listed.
func (m *Manager) needsOwner(now clock.Instant, r keyrange.Range) bool {
	if r.Owner == "" {
		return m.firstTargetAt != clock.Never && now.Sub(m.firstTargetAt) >= startupWait
	}
	st := m.stateOf(r.Owner)
	return st.listed && st.target.Draining
}

// reassign begins to move ranges to the targets that can get keys.
func (m *Manager) reassign(e *keyrange.Editor, now clock.Instant, ranges []keyrange.Range, lost bool) {
	if len(ranges) == 0 {
		return
	}
	for _, mv := range keyrange.Reassign(m.current, m.load, ranges, m.capacities(now, "")) {
		e.Move(mv.From, mv.To, mv.Next, lost)
	}
}

// leastUtilised returns the count least utilised targets of a list.
func (m *Manager) leastUtilised(list []keyrange.Capacity, count int) []keyrange.Capacity {
	if len(list) <= count {
		return list
	}
	used := keyrange.Utilisation(m.current, m.load, list)
	slices.SortStableFunc(list, func(a, b keyrange.Capacity) int { return cmp.Compare(used[a.Target], used[b.Target]) })
	return list[:count]
}

const (
	// minConcurrentMoves is the number of ranges that may move at a time to balance the load,
	// however few targets there are. Requests for moving ranges wait until the running ones have
	// ended.
	minConcurrentMoves = 8
	// targetsPerMove is the number of targets for each range that may move at a time. With moves in
	// proportion to the targets, load is balanced in a few steps for any number of targets.
	targetsPerMove = 4
	// maxRanges is the number of ranges above which no moves to balance the load begin. A map is
	// stored in one row of at most 64 KiB; a range takes about 10 bytes, and the ID of an owner 15.
	maxRanges = 4000
	// mergeAbove is the number of ranges for each target above which adjoining ranges of the same
	// owner are merged even if there is nothing else to store.
	mergeAbove = 2
)

// balance begins moves that balance the load, unless other changes are pending.
func (m *Manager) balance(e *keyrange.Editor, now clock.Instant, moving int) {
	every := min(maxBalanceInterval, max(minBalanceInterval, time.Duration(m.eligibleTargets())*balanceIntervalPerTarget))
	if m.balancedAt != clock.Never && now.Sub(m.balancedAt) < every {
		return
	}
	if m.byLateness {
		m.updateUtilisation(now)
	}
	m.balancedAt = now
	targets := m.capacities(now, "")
	room := max(minConcurrentMoves, len(targets)/targetsPerMove) - moving
	if e.Changed() || room <= 0 || len(m.current.Ranges) > maxRanges {
		return
	}
	policy := m.config.Policy
	policy.MaxMoves = (room + 1) / 2
	moves := keyrange.Plan(m.current, m.load, targets, policy)
	for _, mv := range moves {
		e.Move(mv.From, mv.To, mv.Next, false)
	}
	m.recordBalancing(moves, targets)
}
