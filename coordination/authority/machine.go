package authority

import (
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/state"
)

// Machine is the state of one instance in the protocol. It is not safe for
// concurrent use.
type Machine struct {
	cfg  Config
	mode Mode

	// newest is the newest stage seen in the row or in a message. Older prepares are
	// refused: the row may already have released somebody from that stage.
	newest Stage

	row        state.Authority
	rowVersion uint64
	// rowSince is when the row was first seen with rowVersion; Never before the first read.
	rowSince clock.Instant
	// steadySince is since when every read has been answered; Never after a failure.
	steadySince clock.Instant
	// answeredAt is when the last read was answered.
	answeredAt clock.Instant
	nextRead   clock.Instant
	// probedAt is when a probe was last known to have been written.
	probedAt  clock.Instant
	nextProbe clock.Instant
	reading   bool

	// leaseEnd is when the right to lead ends, counted from before the write was sent.
	leaseEnd clock.Instant
	// quietUntil is until when sessions issued by others may still be alive.
	quietUntil clock.Instant
	nextRenew  clock.Instant
	nextNonce  uint64
	pending    *pendingWrite

	// Fields of a freeze.
	frozen   Versions
	named    []string
	acks     []string
	leaving  bool
	ready    []string
	left     []string
	nextSend clock.Instant
	// nextCommit is when the commit is repeated. It has a time of its own: a named instance
	// that is lost never acknowledges, and the question to leave must go out all the same.
	nextCommit clock.Instant

	// missing holds since when each named instance has been gone from the platform's list.
	missing    map[string]clock.Instant
	listedAt   clock.Instant
	listed     []string
	candidates []string
	// versions is the state this instance holds, as last told by the driver.
	versions Versions
	// thawed says that this instance took the row after a freeze.
	thawed bool

	effects []Effect
}

// New returns the machine of an instance that has just started.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:         cfg,
		rowSince:    clock.Never,
		steadySince: clock.Never,
		answeredAt:  clock.Never,
		probedAt:    clock.Never,
		nextProbe:   clock.Never,
		leaseEnd:    clock.Never,
		missing:     map[string]clock.Instant{},
	}
}

// Mode returns the current mode.
func (m *Machine) Mode() Mode { return m.mode }

// Row returns the row as last read or written.
func (m *Machine) Row() state.Authority { return m.row }

// Stage returns the stage the machine is in.
func (m *Machine) Stage() Stage { return m.newest }

// Frozen returns the frozen versions; they mean something in Promised and Static only.
func (m *Machine) Frozen() Versions { return m.frozen }

// holds reports whether the lease is still running.
func (m *Machine) holds(now clock.Instant) bool {
	switch m.mode {
	case Leading, Preparing, Aborting:
		return now < m.leaseEnd
	}
	return false
}

// SessionLength returns how long a session issued now may last, and 0 when this
// instance may not issue any.
//
// A session of a leader ends at most Overhang after the leader's lease, because the
// next leader waits just that long before it changes anything.
func (m *Machine) SessionLength(now clock.Instant) time.Duration {
	if m.mode == Static {
		return m.cfg.Session
	}
	if !m.holds(now) {
		return 0
	}
	return min(m.cfg.Session, m.leaseEnd.Sub(now)+m.cfg.Overhang)
}

// MayChange reports whether this instance may begin or go on with changes to the
// state. In Preparing it may not: the versions that the standbys promised to freeze
// must stay the newest.
func (m *Machine) MayChange(now clock.Instant) bool {
	return m.mode == Leading && now < m.leaseEnd
}

// QuietAt returns the instant from which on no session issued by another instance
// can be alive. A change that needs old sessions to be gone waits for it.
func (m *Machine) QuietAt() clock.Instant { return m.quietUntil }

// Thawed reports whether this instance leads since the end of a freeze: then Frozen is the
// state that sessions may still be using.
func (m *Machine) Thawed() bool { return m.mode == Leading && m.thawed }

// SetVersions tells the machine which state this instance holds.
func (m *Machine) SetVersions(v Versions) { m.versions = v }

// SetMembers tells the machine which instances the platform lists, and which of them
// may be named, in order of preference.
func (m *Machine) SetMembers(now clock.Instant, listed, candidates []string) {
	m.listedAt = now
	m.listed = listed
	m.candidates = candidates
	for _, id := range listed {
		delete(m.missing, id)
	}
	for _, id := range m.row.Members() {
		m.noteMissing(now, id)
	}
	for _, id := range m.named {
		m.noteMissing(now, id)
	}
}

func (m *Machine) noteMissing(now clock.Instant, id string) {
	if _, known := m.missing[id]; known || id == m.cfg.ID || slices.Contains(m.listed, id) {
		return
	}
	m.missing[id] = now
}

// gone reports whether the platform has long ended the instance: it was missing from
// two lists that were read at least GoneFor apart, and from those between them. Named
// instances were on the list when they were named, so a missing one is not a new one.
func (m *Machine) gone(id string) bool {
	since, missing := m.missing[id]
	return missing && m.listedAt >= since.Add(m.cfg.GoneFor)
}

// Tick lets time pass and returns what is to be done.
func (m *Machine) Tick(now clock.Instant) []Effect {
	m.readRow(now)
	switch m.mode {
	case Following:
		m.follow(now)
	case Leading:
		m.lead(now)
	case Preparing:
		m.prepare(now)
	case Aborting:
		m.abort(now)
	case Promised:
		m.thaw(now)
	case Static:
		m.keepStatic(now)
	}
	return m.take()
}

func (m *Machine) take() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) event(name string) { m.emit(Effect{Event: name}) }

func (m *Machine) self(id string) bool { return id == m.cfg.ID }

func (m *Machine) setMode(next Mode) {
	m.mode = next
	m.nextSend = clock.Never
	m.nextCommit = clock.Never
	m.event(next.String())
}

func (m *Machine) send(to string, kind MessageKind, stage Stage) {
	if m.self(to) {
		return
	}
	msg := Message{Kind: kind, From: m.cfg.ID, Stage: stage}
	if kind == Prepare || kind == Commit {
		msg.Versions = m.frozen
		msg.Named = m.named
	}
	m.emit(Effect{Send: &Envelope{To: to, Message: msg}})
}

// due reports whether it is time to repeat unanswered messages.
func (m *Machine) due(now clock.Instant) bool {
	if now < m.nextSend {
		return false
	}
	m.nextSend = now.Add(m.cfg.ResendEvery)
	return true
}

// readRow keeps the picture of the row fresh. A holder that renews learns the row from
// its own writes and reads only after one of them came back without an answer.
func (m *Machine) readRow(now clock.Instant) {
	if m.reading || now < m.nextRead {
		return
	}
	if m.mode == Leading && m.pending == nil {
		return
	}
	m.reading = true
	m.nextRead = now.Add(m.readEvery())
	m.emit(Effect{Read: true})
}

// slowRead is how much more rarely an instance reads that may not take the row anyway:
// reads must not grow with the number of instances.
const slowRead = 10

func (m *Machine) readEvery() time.Duration {
	if m.rowVersion == 0 || m.row.Named(m.cfg.ID) {
		return m.cfg.ReadEvery
	}
	return slowRead * m.cfg.ReadEvery
}

// write starts a conditional write of the row. At most one is outstanding.
func (m *Machine) write(now clock.Instant, kind writeKind, row state.Authority, thaw bool) {
	m.nextNonce++
	row.Nonce = m.nextNonce
	w := RowWrite{ID: m.nextNonce, Expect: m.rowVersion, Row: row, NewTerm: kind == writeTake}
	m.pending = &pendingWrite{kind: kind, write: w, sentAt: now, inFlight: true, thaw: thaw}
	m.emit(Effect{Write: &w})
}

// resend repeats an unresolved write. Its condition lets it apply only once, and the
// lease keeps counting from the first time it was sent.
func (m *Machine) resend(now clock.Instant) {
	if m.pending.inFlight || !m.due(now) {
		return
	}
	m.pending.inFlight = true
	w := m.pending.write
	m.emit(Effect{Write: &w})
}

// follow watches the row and takes it when its holder has let it lapse.
func (m *Machine) follow(now clock.Instant) {
	if m.pending != nil {
		m.resend(now)
		return
	}
	if m.rowSince == clock.Never {
		return
	}
	if !slices.Contains(m.candidates, m.cfg.ID) {
		return
	}
	if m.rowVersion == 0 || m.mayTake(now) {
		m.event("take")
		m.write(now, writeTake, m.nextRow(), false)
	}
}

// mayTake reports whether the holder of the row has surely lost its lease and no
// named instance can be serving a frozen state.
//
// A named instance knows the latter because it has not promised anything itself and a
// freeze needs the promise of all. Any other instance does not know, and has to wait
// until the platform has ended all named ones.
func (m *Machine) mayTake(now clock.Instant) bool {
	if now < m.rowSince.Add(m.cfg.LeaseTTL+m.cfg.Margin) {
		return false
	}
	if stageOf(m.row).before(m.newest) {
		return false
	}
	if m.row.Named(m.cfg.ID) {
		return true
	}
	for _, id := range m.row.Members() {
		if !m.gone(id) {
			return false
		}
	}
	return true
}

func (m *Machine) nextRow() state.Authority {
	return state.Authority{
		Leader:   m.cfg.ID,
		Address:  m.cfg.Address,
		Term:     m.row.Term + 1,
		Standbys: m.chooseStandbys(nil),
	}
}

// chooseStandbys keeps those standbys that still live and fills up from the list.
func (m *Machine) chooseStandbys(keep []string) []string {
	chosen := make([]string, 0, m.cfg.Standbys)
	for _, list := range [][]string{keep, m.candidates} {
		for _, id := range list {
			if len(chosen) == m.cfg.Standbys {
				return chosen
			}
			if m.self(id) || slices.Contains(chosen, id) || !slices.Contains(m.candidates, id) {
				continue
			}
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// lead renews the row, and starts to freeze the state when the table does not answer.
func (m *Machine) lead(now clock.Instant) {
	if now >= m.leaseEnd {
		m.stepDown()
		return
	}
	if m.pending != nil {
		m.resend(now)
		m.maybePrepare(now)
		return
	}
	if now < m.nextRenew {
		return
	}
	next := m.row
	next.Standbys = m.chooseStandbys(m.row.Standbys)
	m.nextRenew = now.Add(m.cfg.RenewEvery)
	m.write(now, writeRenew, next, false)
}

// stepDown gives up a lease that has run out. The row is watched afresh.
func (m *Machine) stepDown() {
	m.event("lease-expired")
	m.leaseEnd = clock.Never
	m.rowSince = clock.Never
	m.setMode(Following)
}
