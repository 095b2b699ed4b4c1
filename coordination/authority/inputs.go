package authority

import (
	"slices"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/state"
)

// ReadDone takes the answer to a read of the row; ok is false when none came.
func (m *Machine) ReadDone(now clock.Instant, row state.Authority, version uint64, ok bool) []Effect {
	m.reading = false
	if !ok {
		m.steadySince = clock.Never
		m.ready = nil
		return m.take()
	}
	m.answeredAt = now
	if m.steadySince == clock.Never {
		m.steadySince = now
	}
	m.observe(now, row, version)
	return m.take()
}

// observe takes in a row that was read. Versions only grow, so an older one is late.
func (m *Machine) observe(now clock.Instant, row state.Authority, version uint64) {
	if version < m.rowVersion {
		return
	}
	if version > m.rowVersion || m.rowSince == clock.Never {
		m.row = row
		m.rowVersion = version
		m.rowSince = now
	}
	m.resolveBy(now)
	m.release()
	if m.mode == Preparing && m.holds(now) && m.pending == nil {
		m.beginAbort(now)
	}
}

// resolveBy settles an unresolved write by the row: its condition named the version
// before, so once the row has another version it has either landed or never will.
func (m *Machine) resolveBy(now clock.Instant) {
	p := m.pending
	if p == nil || m.rowVersion == p.write.Expect {
		if p != nil && p.kind == writeRenew && m.mode == Preparing {
			// The table answers again; the renewal is repeated by the abort.
			m.pending = nil
		}
		return
	}
	m.pending = nil
	landed := m.row.Leader == m.cfg.ID && m.rowVersion == p.write.Expect+1 && m.row.Nonce == p.write.Row.Nonce
	if landed {
		m.landed(now, p)
		return
	}
	if m.row.Leader != m.cfg.ID || m.row.Term != m.newest.Term {
		m.dethrone()
	}
}

// release frees the machine from older promises once the row shows a later stage.
func (m *Machine) release() {
	shown := stageOf(m.row)
	if !m.newest.before(shown) {
		return
	}
	m.newest = shown
	m.dethrone()
}

// dethrone makes the machine follow after somebody else wrote the row.
func (m *Machine) dethrone() {
	if m.mode == Following {
		return
	}
	m.pending = nil
	m.leaseEnd = clock.Never
	m.resetLeave()
	m.setMode(Following)
}

// WriteDone takes the answer to the write with the given id.
func (m *Machine) WriteDone(now clock.Instant, id uint64, outcome Outcome) []Effect {
	p := m.pending
	if p == nil || p.write.ID != id {
		return m.take()
	}
	p.inFlight = false
	switch outcome {
	case Applied:
		m.pending = nil
		m.row = p.write.Row
		m.rowVersion = p.write.Expect + 1
		m.rowSince = now
		m.landed(now, p)
	case Conflicted:
		// Either an earlier try of this very write has landed, or somebody else wrote:
		// only the row can tell.
		m.nextRead = now
		m.readRow(now)
	case Unknown:
		m.steadySince = clock.Never
		m.nextRead = now
	}
	return m.take()
}

// ProbeDone takes the answer to a probe. One that fails counts like a read that fails.
func (m *Machine) ProbeDone(now clock.Instant, ok bool) {
	if ok {
		m.probedAt = now
		return
	}
	m.steadySince = clock.Never
	m.ready = nil
}

// landed takes over the rights that a write of ours gives, counted from before it was
// first sent.
func (m *Machine) landed(now clock.Instant, p *pendingWrite) {
	lease := p.sentAt.Add(m.cfg.LeaseTTL)
	switch p.kind {
	case writeRenew:
		if m.mode == Leading {
			m.leaseEnd = m.leaseEnd.Later(lease)
		}
	case writeAbort:
		m.newest = stageOf(m.row)
		if m.mode == Aborting {
			m.leaseEnd = lease
			m.nextRenew = now
			m.setMode(Leading)
		}
	case writeTake:
		m.tookRow(now, p, lease)
	}
}

// tookRow starts to lead. Sessions of former issuers are waited out: those of a leader
// end at most Overhang after its lease, those of a frozen state last their full length.
func (m *Machine) tookRow(now clock.Instant, p *pendingWrite, lease clock.Instant) {
	m.newest = stageOf(m.row)
	wait := m.cfg.Overhang
	if p.thaw {
		wait = m.cfg.Session
	}
	m.thawed = p.thaw
	m.quietUntil = now
	if p.write.Expect != 0 {
		m.quietUntil = now.Add(wait + m.cfg.Margin)
	}
	m.leaseEnd = lease
	m.nextRenew = p.sentAt.Add(m.cfg.RenewEvery)
	m.resetLeave()
	m.setMode(Leading)
}

// Receive takes a message of another named instance.
func (m *Machine) Receive(now clock.Instant, msg Message) []Effect {
	switch msg.Kind {
	case Prepare:
		m.onPrepare(msg)
	case Commit:
		m.onCommit(msg)
	case LeaveQuery:
		// The asker needs the table, this instance does not: released or not, it issues
		// nothing until it has read of a later stage.
		if m.canLeave(now, msg.Stage) {
			m.send(msg.From, LeaveReady, msg.Stage)
		}
	case Leave:
		if m.canLeave(now, msg.Stage) {
			m.stopIssuing()
			m.send(msg.From, LeaveAck, msg.Stage)
		}
	default:
		m.onAck(msg)
	}
	return m.take()
}

// onPrepare promises not to take the row. It refuses when a take of its own may still
// land, when it knows a newer stage, and when it does not hold the state to be frozen.
func (m *Machine) onPrepare(msg Message) {
	if m.mode == Promised && msg.Stage == m.newest && !m.leaving {
		m.send(msg.From, PrepareAck, msg.Stage)
		return
	}
	if m.mode != Following || m.pending != nil || msg.Stage.before(m.newest) || m.versions != msg.Versions {
		return
	}
	m.newest = msg.Stage
	m.frozen = msg.Versions
	m.named = slices.Clone(msg.Named)
	m.acks = nil
	m.resetLeave()
	m.steadySince = clock.Never
	m.setMode(Promised)
	m.send(msg.From, PrepareAck, msg.Stage)
}

func (m *Machine) onCommit(msg Message) {
	if msg.Stage != m.newest || m.leaving {
		return
	}
	if m.mode == Promised {
		m.setMode(Static)
	}
	if m.mode == Static {
		m.send(msg.From, CommitAck, msg.Stage)
	}
}

// canLeave reports whether the machine can stop issuing in this stage for good.
func (m *Machine) canLeave(now clock.Instant, stage Stage) bool {
	if stage != m.newest || m.pending != nil {
		return false
	}
	return m.mode == Promised || m.mode == Static || m.mode == Preparing && !m.holds(now)
}

// onAck counts an acknowledgement, if it is for the stage the machine is in.
func (m *Machine) onAck(msg Message) {
	if msg.Stage != m.newest {
		return
	}
	switch msg.Kind {
	case PrepareAck:
		if m.mode == Preparing {
			m.acks = addOnce(m.acks, msg.From)
		}
	case CommitAck:
		if m.mode == Static {
			m.acks = addOnce(m.acks, msg.From)
		}
	case LeaveReady:
		m.ready = addOnce(m.ready, msg.From)
	case LeaveAck:
		m.left = addOnce(m.left, msg.From)
	}
}

func addOnce(list []string, id string) []string {
	if slices.Contains(list, id) {
		return list
	}
	return append(list, id)
}
