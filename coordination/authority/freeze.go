package authority

import (
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// maybePrepare starts a freeze. It needs a standby, and it must not start while a
// change of the standbys is unresolved: the set that has to agree would be ambiguous.
func (m *Machine) maybePrepare(now clock.Instant) {
	if now < m.leaseEnd.Add(-m.cfg.FreezeBefore) || len(m.row.Standbys) == 0 {
		return
	}
	if !slices.Equal(m.pending.write.Row.Standbys, m.row.Standbys) {
		return
	}
	m.frozen = m.versions
	m.named = m.row.Members()
	m.acks = nil
	m.resetLeave()
	m.steadySince = clock.Never
	m.setMode(Preparing)
	m.prepare(now)
}

func (m *Machine) resetLeave() {
	m.leaving = false
	m.ready = nil
	m.left = nil
}

// prepare waits for every promise. It may wait beyond the end of the lease: a
// standby that has promised cannot take the row, and one that takes it never promises.
func (m *Machine) prepare(now clock.Instant) {
	if m.allNamed(m.acks) {
		m.leaseEnd = clock.Never
		m.pending = nil
		m.acks = nil
		m.setMode(Static)
		m.keepStatic(now)
		return
	}
	if !m.holds(now) {
		m.thaw(now)
	}
	if m.mode == Preparing && m.due(now) {
		m.sendRest(Prepare, m.acks)
	}
}

// allNamed reports whether every named instance but this one is in list.
func (m *Machine) allNamed(list []string) bool {
	for _, id := range m.named {
		if !m.self(id) && !slices.Contains(list, id) {
			return false
		}
	}
	return true
}

func (m *Machine) sendRest(kind MessageKind, answered []string) {
	for _, id := range m.named {
		if !slices.Contains(answered, id) {
			m.send(id, kind, m.newest)
		}
	}
}

// beginAbort ends the freeze before a commit. Once the write may have reached the
// table this episode is never committed: a standby may have been released by the row.
func (m *Machine) beginAbort(now clock.Instant) {
	m.setMode(Aborting)
	m.writeAbort(now)
}

func (m *Machine) writeAbort(now clock.Instant) {
	next := m.row
	next.Episode = m.newest.Episode + 1
	m.write(now, writeAbort, next, false)
}

func (m *Machine) abort(now clock.Instant) {
	if !m.holds(now) {
		// A standby may have taken the row, or everybody is still bound by its promise.
		m.leaseEnd = clock.Never
		m.rowSince = clock.Never
		m.pending = nil
		m.setMode(Promised)
		return
	}
	if m.pending != nil {
		m.resend(now)
		return
	}
	m.writeAbort(now)
}

// keepStatic repeats the commit until everybody has it, and looks for the way out.
// Standbys repeat it too: the leader may be lost after it has told only one of them.
func (m *Machine) keepStatic(now clock.Instant) {
	if !m.allNamed(m.acks) && now >= m.nextCommit {
		m.nextCommit = now.Add(m.cfg.ResendEvery)
		m.sendRest(Commit, m.acks)
	}
	m.thaw(now)
}

// rank spreads the attempts to leave: the leader of the row goes first.
func (m *Machine) rank() int { return slices.Index(m.named, m.cfg.ID) }

// answering reports whether the table has answered lately, and every time since the
// freeze or the last failure. That no read has failed yet says nothing: the one under way
// may be waiting in vain.
func (m *Machine) answering(now clock.Instant) bool {
	return m.steadySince != clock.Never && now < m.answeredAt.Add(2*m.cfg.ReadEvery)
}

// steady reports whether the table has answered long enough for this instance's rank.
func (m *Machine) steady(now clock.Instant) bool {
	if !m.answering(now) || m.rowSince == clock.Never {
		return false
	}
	wait := m.cfg.SteadyFor + time.Duration(m.rank())*m.cfg.SteadyFor/2
	return now >= m.steadySince.Add(wait)
}

// probeFresh is how many reads' time a probe stands for.
const probeFresh = 5

// writable reports whether the table has taken a write lately, and probes it when it is
// time. A table that answers reads need not take writes; all instances would stop issuing,
// and the take could not be written.
func (m *Machine) writable(now clock.Instant) bool {
	if now >= m.nextProbe {
		m.nextProbe = now.Add(m.cfg.ReadEvery)
		m.emit(Effect{Probe: true})
	}
	return now < m.probedAt.Add(probeFresh*m.cfg.ReadEvery)
}

// thaw leads out of a freeze. First a question that binds nobody, so that an instance
// that cannot be reached does not make the others stop serving; then the order to
// stop; then the take.
func (m *Machine) thaw(now clock.Instant) {
	if m.pending != nil {
		m.resend(now)
		return
	}
	if stageOf(m.row) != m.newest || !m.answering(now) {
		return
	}
	writable := m.writable(now)
	if !m.steady(now) || !m.leaving && !writable {
		return
	}
	if !m.agreed(m.ready) {
		if m.due(now) {
			m.sendRest(LeaveQuery, m.ready)
		}
		return
	}
	m.stopIssuing()
	if !m.agreed(m.left) {
		if m.due(now) {
			m.sendRest(Leave, m.left)
		}
		return
	}
	m.event("take-after-freeze")
	m.write(now, writeTake, m.nextRow(), true)
}

// agreed reports whether every named instance is in list or has long ended.
func (m *Machine) agreed(list []string) bool {
	for _, id := range m.named {
		if !m.self(id) && !slices.Contains(list, id) && !m.gone(id) {
			return false
		}
	}
	return true
}

// stopIssuing makes the machine issue no more sessions in this stage.
func (m *Machine) stopIssuing() {
	m.leaving = true
	if m.mode != Promised {
		m.leaseEnd = clock.Never
		m.setMode(Promised)
	}
}
