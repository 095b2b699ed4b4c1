package node

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/standin"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
)

// harness runs sessions of several nodes, targets and a table in virtual time. Network,
// table and targets are small fakes at the node's interfaces; everything is decided by a
// seed, so a session is the same on every run.
type harness struct {
	now     clock.Instant
	queue   eventQueue
	seq     int
	rand    *rand.Rand
	procs   []*proc
	targets []*fakeTarget
	table   fakeTable
	members []state.Member
	service ownership.ServiceSpec
	check   *checker
	// blocked holds cut directions of the network, by the ids of both ends.
	blocked map[[2]string]bool
	// lossy is the share of messages between instances that are lost; repeated is the
	// share that arrives twice.
	lossy, repeated float64
	directoryDown   bool
}

// Times of the fakes, after today's sizes of the brief.
const (
	netDelay   = time.Millisecond
	tableDelay = 4 * time.Millisecond
	workTime   = 3 * time.Millisecond
	tickEvery  = 20 * time.Millisecond
)

type scheduled struct {
	at  clock.Instant
	seq int
	fn  func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// proc is a process of the harness: an instance or a target. A frozen one does what
// comes in only when it wakes; a dead one never does.
type proc struct {
	h    *harness
	id   string
	dead bool
	// closed instances get no new requests any more.
	closed bool
	wakeAt clock.Instant
	// skew is added to the harness's time: no two clocks agree.
	skew time.Duration

	node    *Node
	view    View
	ring    *timeline.Ring
	flights map[int]*flight
	nextID  int
	watches map[uint64]func(message.WatchReply)
	tokens  uint64
	results map[uint64]message.ProposalResult

	// cost is what the process spends; it is kept only when the harness measures.
	cost *cost
}

// flight is a request of an instance under way to a target.
type flight struct {
	slot     int
	since    uint64
	version  uint64
	finished bool
	giveUp   func()
}

type fakeTable struct {
	rows        map[string]state.Row
	down        bool
	readOnly    bool
	loseAnswers bool
	failEvery   int
	delay       time.Duration
	calls       int
	writes      int
}

type fakeTarget struct {
	proc
	holdings *standin.Holdings
	fenced   bool
	// deaf targets answer grants but no requests.
	deaf bool
}

func newHarness(seed uint64, service ownership.ServiceSpec) *harness {
	h := &harness{
		rand:    rand.New(rand.NewPCG(seed, 1)),
		blocked: map[[2]string]bool{},
		service: service,
	}
	h.table.rows = map[string]state.Row{}
	h.check = newChecker(h)
	return h
}

func (h *harness) at(at clock.Instant, fn func()) {
	h.seq++
	heap.Push(&h.queue, scheduled{at, h.seq, fn})
}

func (h *harness) after(d time.Duration, fn func()) { h.at(h.now.Add(d), fn) }

// run lets virtual time pass.
func (h *harness) run(d time.Duration) {
	end := h.now.Add(d)
	for len(h.queue) > 0 && h.queue[0].at <= end {
		next := heap.Pop(&h.queue).(scheduled)
		h.now = next.at
		next.fn()
		h.check.owners()
	}
	h.now = end
}

// runUntil lets virtual time pass until something has happened.
func (h *harness) runUntil(happened func() bool) {
	for limit := h.now.Add(time.Minute); !happened() && h.now < limit; {
		next := heap.Pop(&h.queue).(scheduled)
		h.now = next.at
		next.fn()
		h.check.owners()
	}
}

// addInstance starts an instance named after its place in the list.
func (h *harness) addInstance(dc string) *proc {
	p := &proc{h: h, id: fmt.Sprintf("e%d", len(h.procs)+1), flights: map[int]*flight{}, watches: map[uint64]func(message.WatchReply){}, results: map[uint64]message.ProposalResult{}}
	p.skew = time.Duration(h.rand.IntN(int(time.Hour)))
	self := message.Peer{ID: p.id, Address: p.id, DataCentre: dc}
	cfg := DefaultConfig(self)
	cfg.Services = func(text string) ([]ownership.ServiceSpec, error) {
		if strings.HasPrefix(text, "bad") {
			return nil, fmt.Errorf("bad text")
		}
		return []ownership.ServiceSpec{h.service}, nil
	}
	cfg.FirstRules = "first"
	for _, other := range h.procs {
		cfg.Seeds = append(cfg.Seeds, other.id)
	}
	p.node = New(cfg)
	p.ring = timeline.NewRing(p.id, 100000)
	h.procs = append(h.procs, p)
	h.members = append(h.members, state.Member{ID: p.id, Kind: state.KindInstance, Address: p.id, DataCentre: dc, Lifecycle: state.Live})
	h.after(time.Duration(h.rand.IntN(int(tickEvery))), p.tick)
	h.after(0, p.readMembers)
	return p
}

// addTarget starts a target.
func (h *harness) addTarget() *fakeTarget {
	id := fmt.Sprintf("t%d", len(h.targets)+1)
	t := &fakeTarget{proc: proc{h: h, id: id}, holdings: standin.NewHoldings(id), fenced: h.service.Fenced}
	t.skew = time.Duration(h.rand.IntN(int(time.Hour)))
	h.targets = append(h.targets, t)
	h.members = append(h.members, state.Member{ID: id, Kind: state.KindTarget, Service: h.service.Name, Address: id, Lifecycle: state.Live})
	return t
}

func (p *proc) clock() clock.Instant { return p.h.now.Add(p.skew) }

// step runs fn in the process: at once, when it wakes, or never.
func (p *proc) step(fn func()) {
	switch {
	case p.dead:
	case p.h.now < p.wakeAt:
		p.h.at(p.wakeAt, func() { p.step(fn) })
	default:
		fn()
	}
}

func (p *proc) kill() { p.dead = true }

func (p *proc) freeze(d time.Duration) { p.wakeAt = p.h.now.Add(d) }

func (p *proc) tick() {
	if p.dead {
		return
	}
	p.step(func() { p.input(nil) })
	p.h.after(tickEvery, p.tick)
}

const membersEvery = 500 * time.Millisecond

func (p *proc) readMembers() {
	if p.dead {
		return
	}
	p.step(func() {
		ok := !p.h.directoryDown
		list := slices.Clone(p.h.members)
		p.input(func(now clock.Instant) []Effect { return p.node.MembersRead(now, list, ok) })
	})
	p.h.after(membersEvery, p.readMembers)
}

// end takes a machine whose process has ended off the platform's list, after its lag.
func (h *harness) end(p *proc) {
	p.kill()
	h.after(2*time.Second, func() {
		h.members = slices.DeleteFunc(slices.Clone(h.members), func(m state.Member) bool { return m.ID == p.id })
	})
}

// lifecycle changes what the platform lists about a machine.
func (h *harness) lifecycle(id string, l state.Lifecycle) {
	h.members = slices.Clone(h.members)
	for i := range h.members {
		if h.members[i].ID == id {
			h.members[i].Lifecycle = l
		}
	}
}

// input gives the node an input, lets its time pass, and carries out what follows.
func (p *proc) input(fn func(now clock.Instant) []Effect) {
	defer p.cost.timed()()
	if fn != nil {
		p.carryOut(fn(p.clock()))
	}
	p.carryOut(p.node.Tick(p.clock()))
}

func (p *proc) carryOut(effects []Effect) {
	for _, e := range effects {
		p.effect(e)
	}
}

func (p *proc) effect(e Effect) {
	switch {
	case e.Publish != nil:
		p.publish(*e.Publish)
	case e.Event != nil:
		p.ring.Record(time.Time{}, *e.Event)
	case e.TableRead != nil:
		p.readTable(e.TableRead)
	case e.TableCommit != nil:
		p.commitTable(e.TableCommit)
	case e.SendAuthority != nil:
		p.sendAuthority(e.SendAuthority)
	case e.SendHeartbeat != nil:
		p.sendHeartbeat(e.SendHeartbeat)
	case e.SendWatch != nil:
		p.sendWatch(e.SendWatch)
	case e.SendGrant != nil:
		p.sendGrant(e.SendGrant)
	case e.AnswerWatch != nil:
		if answer := p.watches[e.AnswerWatch.Token]; answer != nil {
			delete(p.watches, e.AnswerWatch.Token)
			answer(e.AnswerWatch.Reply)
		}
	case e.AnswerPropose != nil:
		p.results[e.AnswerPropose.Token] = e.AnswerPropose.Result
	}
}

func (p *proc) publish(v View) {
	p.h.check.view(p, v)
	p.view = v
	p.settle()
}

// settle does what the request path does: it gives up requests to lost owners and tells
// the node which assignments are no longer in use.
func (p *proc) settle() {
	settled := p.view.Map.Version
	for _, id := range sortedKeys(p.flights) {
		f := p.flights[id]
		if f == nil {
			// Giving up an earlier one has settled again.
			continue
		}
		s := p.view.Map.Services[p.h.service.Name].Slots[f.slot]
		if s.Since == f.since && !s.Moving() {
			continue
		}
		settled = min(settled, f.version-1)
		if s.Lost && p.h.service.Fenced {
			f.giveUp()
		}
	}
	p.carryOut(p.node.Drained(p.clock(), settled))
}

func sortedKeys(m map[int]*flight) []int {
	var keys []int
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// call sends a request from p to a process and gives the answer, or nothing in time, to
// done. Late answers are dropped, as by the real transport.
func (p *proc) call(to *proc, timeout time.Duration, serve func(answer func(func())), done func(ok bool)) {
	h := p.h
	over := false
	finish := func(ok bool) {
		if !over {
			over = true
			done(ok)
		}
	}
	h.after(timeout, func() { p.step(func() { finish(false) }) })
	if to != nil && to.dead && !h.cut(p.id, to.id) {
		h.after(2*netDelay, func() { p.step(func() { finish(false) }) })
		return
	}
	if to == nil || h.lost(p.id, to.id) {
		return
	}
	deliver := func() {
		to.step(func() {
			serve(func(take func()) {
				if h.lost(to.id, p.id) {
					return
				}
				h.after(netDelay, func() {
					p.step(func() {
						if !over {
							take()
							finish(true)
						}
					})
				})
			})
		})
	}
	h.after(netDelay, deliver)
	if h.repeated > 0 && h.rand.Float64() < h.repeated {
		h.after(netDelay+time.Duration(h.rand.IntN(int(time.Second))), deliver)
	}
}

func (h *harness) cut(from, to string) bool {
	return h.blocked[[2]string{from, to}] || h.blocked[[2]string{from, "*"}] || h.blocked[[2]string{"*", to}]
}

func (h *harness) lost(from, to string) bool {
	return h.cut(from, to) || h.lossy > 0 && h.rand.Float64() < h.lossy
}

// block cuts both directions between two processes; "*" means everybody.
func (h *harness) block(a, b string) {
	h.blocked[[2]string{a, b}] = true
	h.blocked[[2]string{b, a}] = true
}

func (h *harness) proc(id string) *proc {
	for _, p := range h.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (h *harness) target(id string) *fakeTarget {
	for _, t := range h.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (p *proc) sendHeartbeat(s *SendHeartbeat) {
	to := p.h.proc(s.To)
	var reply message.HeartbeatReply
	p.cost.sent(s.Request)
	p.call(to, 300*time.Millisecond, func(answer func(func())) {
		var r message.HeartbeatReply
		to.input(func(now clock.Instant) (effects []Effect) {
			r, effects = to.node.HeartbeatReceived(now, s.Request)
			return effects
		})
		to.ring.Witness(p.ring.Lamport())
		to.cost.sent(r)
		answer(func() { reply = r; p.ring.Witness(to.ring.Lamport()) })
	}, func(ok bool) {
		p.input(func(now clock.Instant) []Effect { return p.node.HeartbeatDone(now, s.SentAt, reply, ok) })
	})
}

func (p *proc) sendWatch(s *SendWatch) {
	to := p.h.proc(s.To)
	var reply message.WatchReply
	p.cost.sent(s.Request)
	p.call(to, 8*time.Second, func(answer func(func())) {
		to.tokens++
		token := to.tokens
		to.watches[token] = func(r message.WatchReply) {
			to.cost.sent(r)
			answer(func() { reply = r; p.ring.Witness(to.ring.Lamport()) })
		}
		to.input(func(now clock.Instant) []Effect { return to.node.WatchReceived(now, token, s.Request) })
	}, func(ok bool) {
		p.input(func(now clock.Instant) []Effect { return p.node.WatchDone(now, reply, ok) })
	})
}

func (p *proc) sendAuthority(s *SendAuthority) {
	to := p.h.proc(s.To)
	p.call(to, time.Second, func(func(func())) {
		to.ring.Witness(p.ring.Lamport())
		to.input(func(now clock.Instant) []Effect { return to.node.AuthorityReceived(now, s.Message) })
	}, func(bool) {})
}

func (p *proc) sendGrant(s *SendGrant) {
	t := p.h.target(s.Address)
	var reply message.GrantReply
	p.cost.sentGrant(s.Grant)
	p.call(&t.proc, 150*time.Millisecond, func(answer func(func())) {
		r := message.GrantReply{Accepted: true}
		if s.Fenced {
			r = t.holdings.Grant(t.clock(), s.Grant)
		}
		answer(func() { reply = r })
	}, func(ok bool) {
		p.input(func(now clock.Instant) []Effect { return p.node.GrantDone(now, s.Grant.Target, reply, ok) })
	})
}

const tableTimeout = 400 * time.Millisecond

// tableCall reaches the table as instance p: fn runs there and returns whether the answer
// comes back.
func (p *proc) tableCall(fn func() bool, done func(ok bool)) {
	h := p.h
	over := false
	finish := func(ok bool) {
		p.step(func() {
			if !over {
				over = true
				done(ok)
			}
		})
	}
	h.after(tableTimeout, func() { finish(false) })
	if h.cut(p.id, "table") {
		return
	}
	p.cost.table()
	h.after(tableDelay/2+h.table.delay, func() {
		h.table.calls++
		if h.table.down || h.table.failEvery > 0 && h.table.calls%h.table.failEvery == 0 {
			return
		}
		if fn() && !h.cut("table", p.id) {
			h.after(tableDelay/2, func() { finish(true) })
		}
	})
}

func (p *proc) readTable(r *TableRead) {
	var rows []state.Row
	p.tableCall(func() bool {
		for _, key := range r.Keys {
			row := p.h.table.rows[key]
			row.Key = key
			rows = append(rows, row)
		}
		return true
	}, func(ok bool) {
		p.input(func(now clock.Instant) []Effect { return p.node.TableReadDone(now, r.ID, rows, ok) })
	})
}

func (p *proc) commitTable(c *TableCommit) {
	outcome := authority.Unknown
	p.tableCall(func() bool {
		if p.h.table.readOnly {
			return false
		}
		outcome = p.h.table.commit(c.Txn)
		return !p.h.table.loseAnswers
	}, func(ok bool) {
		if !ok {
			outcome = authority.Unknown
		}
		p.input(func(now clock.Instant) []Effect { return p.node.TableCommitDone(now, c.Purpose, c.ID, outcome) })
	})
}

func (t *fakeTable) commit(txn state.Txn) authority.Outcome {
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return authority.Conflicted
		}
	}
	t.writes++
	for _, w := range txn.Writes {
		t.rows[w.Key] = state.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
	}
	return authority.Applied
}

// propose asks an instance for a change; the result is in p.results once it is known.
func (p *proc) propose(change message.Proposal) uint64 {
	p.tokens++
	token := p.tokens
	p.input(func(now clock.Instant) []Effect { return p.node.ProposalReceived(now, token, change) })
	return token
}

// leader returns the instance that leads, or nil.
func (h *harness) leader() *proc {
	for _, p := range h.procs {
		if !p.dead && p.node.Mode() == authority.Leading && p.node.machine.MayChange(p.clock()) {
			return p
		}
	}
	return nil
}

// timeline merges the events of all instances.
func (h *harness) timeline() []timeline.Event {
	var rings [][]timeline.Event
	for _, p := range h.procs {
		rings = append(rings, p.ring.Events())
	}
	return timeline.Merge(rings...)
}
