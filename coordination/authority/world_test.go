package authority

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/state"
)

// world is one state of a small model that drives the real Machine: one row, three named
// instances, messages that may be lost, late, repeated and reordered, reads and writes
// that fail, lose their answer or land late, pauses and crashes. Time has whole units.
//
// It checks the invariant of the package: when a version is granted, no session of an
// older one is alive, and no session of a version older than the granted one is issued.
type world struct {
	now      clock.Instant
	row      state.Authority
	version  uint64
	granted  uint64
	sessions map[uint64]clock.Instant
	players  [3]player
	messages []Envelope
	crashes  int
	broken   string
}

// player is one instance of the model.
type player struct {
	machine Machine
	dead    bool
	reading bool
	writes  []inFlight
	// changing is when the change that the leader has begun may be granted; Never if none.
	changing clock.Instant
	// issuedUntil is when the last session that it issued in this leadership ends: what a
	// leader knows of the sessions alive.
	issuedUntil clock.Instant
	known       uint64
}

// inFlight is a write under way to the table; answered ones may still land.
type inFlight struct {
	write    RowWrite
	answered bool
}

// Bounds of the model.
const (
	maxGranted  = 2
	maxCrashes  = 1
	maxTerm     = 3
	maxEpisode  = 2
	maxInFlight = 2
)

var names = [3]string{"a", "b", "c"}

func modelConfig(id string) Config {
	return Config{
		ID: id, Address: id, LeaseTTL: 3, Margin: 0, RenewEvery: 1, ReadEvery: 1, FreezeBefore: 2,
		ResendEvery: 1, Session: 2, Overhang: 1, GoneFor: 2, SteadyFor: 0, Standbys: 2,
	}
}

// newWorld returns the world in which a has just taken the row and all know it.
func newWorld() *world {
	w := &world{sessions: map[uint64]clock.Instant{}}
	w.row = state.Authority{Leader: "a", Address: "a", Term: 1, Standbys: []string{"b", "c"}, Nonce: 1}
	w.version = 1
	for i := range w.players {
		m := New(modelConfig(names[i]))
		m.SetMembers(0, names[:], names[:])
		m.nextNonce = uint64(i) * 1000
		if i == 0 {
			m.mode, m.row, m.rowVersion, m.rowSince = Leading, w.row, 1, 0
			m.newest, m.leaseEnd = Stage{Term: 1}, 3
		}
		w.players[i] = player{machine: *m, changing: clock.Never, issuedUntil: clock.Never}
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	c.sessions = maps.Clone(w.sessions)
	c.messages = slices.Clone(w.messages)
	for i := range c.players {
		p := &c.players[i]
		p.writes = slices.Clone(p.writes)
		m := &p.machine
		m.acks, m.ready, m.left = slices.Clone(m.acks), slices.Clone(m.ready), slices.Clone(m.left)
		m.missing = maps.Clone(m.missing)
		if m.pending != nil {
			pending := *m.pending
			m.pending = &pending
		}
	}
	return &c
}

// step is one thing that can happen.
type step struct {
	name string
	do   func(w *world)
}

// steps lists what can happen next.
func (w *world) steps() []step {
	out := []step{{"time", func(w *world) { w.now++ }}}
	for i := range w.players {
		out = append(out, w.stepsOf(i)...)
	}
	for k, env := range w.messages {
		to := slices.Index(names[:], env.To)
		if !w.players[to].dead {
			out = append(out, step{fmt.Sprintf("%s->%s %s%v", env.Message.From, env.To, env.Message.Kind, env.Message.Stage), func(w *world) {
				w.take(to, w.players[to].machine.Receive(w.now, w.messages[k].Message))
			}})
		}
	}
	return out
}

func (w *world) stepsOf(i int) []step {
	var out []step
	add := func(name string, do func(w *world)) { out = append(out, step{names[i] + " " + name, do}) }
	p := &w.players[i]
	for k, f := range p.writes {
		w.writeSteps(add, i, k, f)
	}
	if p.dead {
		return out
	}
	m := &p.machine
	add("tick", func(w *world) { w.take(i, w.players[i].machine.Tick(w.now)) })
	if w.crashes < maxCrashes {
		add("crash", func(w *world) { w.players[i].dead = true; w.crashes++ })
	}
	if p.reading {
		add("read", func(w *world) { w.read(i, true) })
		add("read fails", func(w *world) { w.read(i, false) })
	}
	if m.SessionLength(w.now) > 0 && p.changing == clock.Never && (m.Mode() != Static || m.Frozen() == m.versions) {
		for j := range w.players {
			if !w.players[j].dead {
				add("session for "+names[j], func(w *world) { w.issue(i, j) })
			}
		}
	}
	if m.MayChange(w.now) && w.now >= m.QuietAt() && p.changing == clock.Never && w.granted < maxGranted && p.known == w.granted {
		add("begins change", func(w *world) { w.players[i].changing = w.now.Later(w.players[i].issuedUntil) })
	}
	if p.changing != clock.Never {
		add("grants", func(w *world) { w.grant(i) })
	}
	return out
}

func (w *world) writeSteps(add func(string, func(w *world)), i, k int, f inFlight) {
	add("write lands", func(w *world) { w.land(i, k, false) })
	if f.answered || w.players[i].dead {
		add("write is lost", func(w *world) { w.players[i].writes = slices.Delete(w.players[i].writes, k, k+1) })
		return
	}
	add("write answered", func(w *world) { w.land(i, k, true) })
	add("write times out", func(w *world) {
		w.players[i].writes[k].answered = true
		w.take(i, w.players[i].machine.WriteDone(w.now, f.write.ID, Unknown))
	})
}

// land lets a write reach the table; the writer may get the answer.
func (w *world) land(i, k int, answer bool) {
	f := w.players[i].writes[k]
	outcome := Conflicted
	if f.write.Expect == w.version {
		outcome = Applied
		w.version++
		w.row = f.write.Row
	}
	w.players[i].writes = slices.Delete(w.players[i].writes, k, k+1)
	if w.players[i].dead || f.answered {
		return
	}
	if !answer {
		outcome = Unknown
	}
	w.take(i, w.players[i].machine.WriteDone(w.now, f.write.ID, outcome))
}

func (w *world) read(i int, ok bool) {
	w.players[i].reading = false
	w.take(i, w.players[i].machine.ReadDone(w.now, w.row, w.version, ok))
}

// issue gives instance j a session, and with it the issuer's state.
func (w *world) issue(i, j int) {
	m := &w.players[i].machine
	v := w.players[i].known
	if v < w.granted {
		w.broken = fmt.Sprintf("%s issues a session of version %d after %d was granted", names[i], v, w.granted)
	}
	until := w.now.Add(m.SessionLength(w.now))
	w.sessions[v] = w.sessions[v].Later(until)
	w.players[i].issuedUntil = until.Later(w.players[i].issuedUntil)
	if v > w.players[j].known {
		w.learn(j, v)
	}
}

func (w *world) learn(j int, v uint64) {
	w.players[j].known = v
	w.players[j].machine.SetVersions(Versions{Map: v})
}

// grant makes the change effective that the leader has begun, if it still may.
func (w *world) grant(i int) {
	p := &w.players[i]
	if !p.machine.MayChange(w.now) {
		p.changing = clock.Never
		return
	}
	if w.now < p.changing {
		return
	}
	for v, until := range w.sessions {
		if v <= w.granted && w.now < until {
			w.broken = fmt.Sprintf("%s grants version %d while a session of %d lives", names[i], w.granted+1, v)
		}
	}
	w.granted++
	p.changing = clock.Never
	w.learn(i, w.granted)
}

// take carries out the effects of a machine.
func (w *world) take(i int, effects []Effect) {
	p := &w.players[i]
	for _, e := range effects {
		switch {
		case e.Read:
			p.reading = true
		case e.Probe:
			// Whether the take can be written is up to its own steps.
			p.machine.ProbeDone(w.now, true)
		case e.Write != nil:
			w.send(p, *e.Write)
		case e.Send != nil:
			if !slices.ContainsFunc(w.messages, func(o Envelope) bool { return sameMessage(o, *e.Send) }) {
				w.messages = append(w.messages, *e.Send)
			}
		}
	}
	if mode := p.machine.Mode(); mode != Leading && mode != Preparing && mode != Aborting {
		// A leadership that ends takes the change it has begun with it.
		p.changing = clock.Never
		p.issuedUntil = clock.Never
	}
	// A new leader reads the state from the table before it issues anything.
	if p.machine.Mode() == Leading && p.known < w.granted && p.machine.MayChange(w.now) {
		w.learn(i, w.granted)
	}
}

func (w *world) send(p *player, write RowWrite) {
	if len(p.writes) < maxInFlight {
		p.writes = append(p.writes, inFlight{write: write})
		return
	}
	p.machine.pending.inFlight = false
}

func sameMessage(a, b Envelope) bool {
	return a.To == b.To && a.Message.Kind == b.Message.Kind && a.Message.From == b.Message.From &&
		a.Message.Stage == b.Message.Stage && a.Message.Versions == b.Message.Versions
}

// play makes the steps with the given names, in order.
func (w *world) play(steps ...string) *world {
	for _, name := range steps {
		options := w.steps()
		k := slices.IndexFunc(options, func(s step) bool { return s.name == name })
		if k < 0 {
			panic("the model has no step " + name + " here")
		}
		options[k].do(w)
	}
	return w
}

// settle lets everything that is under way succeed, and forgets the messages.
func (w *world) settle() {
	for range 4 {
		for k := 0; k < len(w.messages); k++ {
			to := slices.Index(names[:], w.messages[k].To)
			if !w.players[to].dead {
				w.take(to, w.players[to].machine.Receive(w.now, w.messages[k].Message))
			}
		}
		w.messages = nil
		for i := range w.players {
			for !w.players[i].dead && len(w.players[i].writes) > 0 {
				w.land(i, 0, true)
			}
			if w.players[i].reading && !w.players[i].dead {
				w.read(i, true)
			}
		}
	}
}

// Beginnings that lead into the parts of the protocol that random walks rarely reach.
func preparing() *world {
	return newWorld().play("b tick", "b read", "c tick", "c read", "a tick", "time", "time", "a write times out", "a write is lost", "a tick")
}

func promised() *world {
	return preparing().play("a->b prepare{1 0}", "a->c prepare{1 0}")
}

func frozen() *world {
	return promised().play("b->a prepare-ack{1 0}", "c->a prepare-ack{1 0}", "a tick", "a->b commit{1 0}", "a->c commit{1 0}")
}

// frozenAgain is the world after a freeze that was left as it should be, and a second one.
func frozenAgain() *world {
	return frozen().play(
		"a write times out", "a write is lost", "a read", "b tick", "b read", "c tick", "c read", "time",
		"a tick", "a read", "a tick", "a->b leave-query{1 0}", "a->c leave-query{1 0}", "b->a leave-ready{1 0}", "c->a leave-ready{1 0}",
		"time", "a tick", "a->b leave{1 0}", "a->c leave{1 0}", "b->a leave-ack{1 0}", "c->a leave-ack{1 0}",
		"a tick", "a write answered", "b tick", "b read", "c tick", "c read", "time",
		"a tick", "time", "a write times out", "a tick",
		"a->b prepare{2 0}", "a->c prepare{2 0}", "b->a prepare-ack{2 0}", "c->a prepare-ack{2 0}",
		"a tick", "a->b commit{2 0}", "a->c commit{2 0}")
}

// taking is the world in which a standby's take is under way and the leader has asked for
// promises.
func taking() *world {
	return newWorld().play("b tick", "b read", "a tick", "time", "time", "a write times out", "a tick",
		"time", "b tick", "b write times out")
}

// within reports whether the world is inside the model's bounds.
func (w *world) within() bool { return w.row.Term <= maxTerm && w.row.Episode <= maxEpisode }

// key returns the state up to the origin of time, of versions and of nonces.
func (w *world) key() string {
	var b strings.Builder
	rel := func(at clock.Instant) int {
		return int(max(at-w.now, -6))
	}
	nonces := w.nonceRanks()
	ver := func(v uint64) int { return int(v) - int(w.version) }
	fmt.Fprintf(&b, "%s%d.%d %v %d g%d c%d|", w.row.Leader, w.row.Term, w.row.Episode, w.row.Standbys, nonces[w.row.Nonce], w.granted, w.crashes)
	for v := range uint64(maxGranted + 1) {
		fmt.Fprintf(&b, "s%d ", max(0, rel(w.sessions[v])))
	}
	for i := range w.players {
		p := &w.players[i]
		m := &p.machine
		if p.dead {
			fmt.Fprintf(&b, "|dead")
		} else {
			fmt.Fprintf(&b, "|%d %v %d.%d %d %d %d %v %d %d %d %d %d k%d ch%d r%v %v %v%v%v%v %d %d", m.mode, m.newest, m.row.Term, m.row.Episode,
				ver(m.rowVersion), rel(m.rowSince), rel(m.steadySince), m.reading, rel(m.nextRead), rel(m.leaseEnd), rel(m.quietUntil), rel(m.nextRenew), rel(m.nextSend),
				p.known, rel(p.changing), p.reading, m.frozen, m.acks, m.ready, m.left, m.leaving, rel(m.answeredAt)*100+rel(m.nextCommit)*10+rel(m.probedAt), rel(p.issuedUntil))
			if q := m.pending; q != nil {
				fmt.Fprintf(&b, " p%d %d %d %v %v", q.kind, nonces[q.write.ID], rel(q.sentAt), q.inFlight, q.thaw)
			}
		}
		for _, f := range p.writes {
			fmt.Fprintf(&b, " w%d %d %s%d.%d %v", nonces[f.write.ID], ver(f.write.Expect), f.write.Row.Leader, f.write.Row.Term, f.write.Row.Episode, f.answered)
		}
	}
	var lines []string
	for _, e := range w.messages {
		lines = append(lines, fmt.Sprintf("%s%s%d%v%v", e.To, e.Message.From, e.Message.Kind, e.Message.Stage, e.Message.Versions))
	}
	slices.Sort(lines)
	b.WriteString(strings.Join(lines, ";"))
	return b.String()
}

// nonceRanks numbers the nonces in use, so that states that differ in their history only
// are the same.
func (w *world) nonceRanks() map[uint64]int {
	used := []uint64{w.row.Nonce}
	for i := range w.players {
		if q := w.players[i].machine.pending; q != nil {
			used = append(used, q.write.ID)
		}
		for _, f := range w.players[i].writes {
			used = append(used, f.write.ID)
		}
	}
	slices.Sort(used)
	ranks := map[uint64]int{}
	for _, n := range slices.Compact(used) {
		ranks[n] = len(ranks)
	}
	return ranks
}
