package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/state"
)

var _ = Describe("a deployment whose table fails", func() {
	// Symptom: all keys stop being served when the table is down.
	// Sequence: the leader cannot renew its row; before its lease ends it freezes the
	// state with the standbys, and all of them renew sessions of the frozen version. In
	// the middle of the outage the former leader is killed, and a new instance starts.
	// Cause: the platform's table is down for an hour.
	It("serves the keys of living owners through an outage of the table of an hour", func() {
		h, l := started(7, keyed)
		s := h.startRecord()
		_, all := h.slotsOf("")
		s.note("the table goes down")
		h.table.down = true
		h.directoryDown = true
		h.run(10 * time.Second)
		s.expectServed(l, "while the state is frozen", all)
		l.pace(500 * time.Millisecond)
		h.run(20 * time.Minute)
		s.expectServed(l, "for twenty minutes", all)
		former := h.proc(h.procs[0].node.machine.Row().Leader)
		s.note("the former leader %s is killed, and an instance starts cold", former.id)
		l.pace(10 * time.Millisecond)
		h.end(former)
		cold := h.addInstance("dc1")
		h.run(10 * time.Second)
		s.expectServed(l, "while an issuer is lost", all)
		Expect(cold.view.Until).To(BeNumerically(">", cold.clock()))
		l.pace(500 * time.Millisecond)
		h.run(40 * time.Minute)
		s.expectServed(l, "for the rest of the hour", all)
		s.note("the table comes back")
		l.pace(10 * time.Millisecond)
		h.table.down = false
		h.directoryDown = false
		h.run(20 * time.Second)
		s.expectServed(l, "while the state is thawed", all)
		Expect(h.leader()).NotTo(BeNil())
		h.expectNoViolation()
		s.matches("table-down-for-an-hour")
	})

	// Symptom: keys that were being moved when the table went away are not served for the
	// whole outage, although their owner lives.
	// Sequence: a target is drained; the table takes the first change of the move, and
	// goes down before the second.
	// Cause: the slot is between owners in the table, and nothing can be written.
	It("goes on serving keys whose move was cut short by an outage of the table", func() {
		h, l := started(8, keyed)
		s := h.startRecord()
		moving, _ := h.slotsOf("t1")
		s.note("t1 is leaving, and the table goes down in the middle of the move")
		h.lifecycle("t1", state.Leaving)
		h.runUntil(func() bool { return h.leader().node.owned.Services[keyed.Name].Slots[moving[0]].Moving() })
		h.table.down = true
		h.run(time.Minute)
		_, worst := s.measured(l, "slots of t1 during the outage", moving)
		Expect(worst).To(BeNumerically("<=", 4*time.Second))
		s.note("the table comes back")
		h.table.down = false
		l.mark()
		h.run(20 * time.Second)
		_, worst = s.measured(l, "slots of t1 after the outage", moving)
		Expect(worst).To(BeNumerically("<=", 100*time.Millisecond))
		owned, _ := h.slotsOf("t1")
		Expect(owned).To(BeEmpty())
		h.expectNoViolation()
		s.matches("table-down-during-a-move")
	})

	// Symptom: after an outage two targets run work of the same key.
	// Sequence: as before, but the second change of the move takes effect and its answer is
	// lost, then the table goes down. While the state is frozen the former owner serves the
	// key. The next leader finds the new owner in the table and grants it the key.
	// Cause: a write whose answer is lost may have taken effect.
	It("does not give a key to its new owner while the former one serves it under a frozen state", func() {
		h, l := started(9, keyed)
		s := h.startRecord()
		moving, _ := h.slotsOf("t1")
		s.note("t1 is leaving; the second change of the move takes effect, its answer is lost, and the table goes down")
		h.lifecycle("t1", state.Leaving)
		h.runUntil(func() bool { return h.leader().node.owned.Services[keyed.Name].Slots[moving[0]].Moving() })
		h.table.loseAnswers = true
		begun := h.table.rows[state.KeyMap].Version
		h.runUntil(func() bool { return h.table.rows[state.KeyMap].Version > begun })
		h.table.loseAnswers = false
		h.table.down = true
		h.run(30 * time.Second)
		s.note("the table comes back")
		h.table.down = false
		h.run(20 * time.Second)
		_, worst := s.measured(l, "slots of t1", moving)
		Expect(worst).To(BeNumerically("<=", 4*time.Second))
		owned, _ := h.slotsOf("t1")
		Expect(owned).To(BeEmpty())
		h.expectNoViolation()
		s.matches("answer-lost-during-a-move")
	})

	// Symptom: a change whose answer was lost is told to have failed, or is made twice.
	// Sequence: the table applies the change and loses the answer; the leader repeats the
	// transaction, finds a conflict, and reads the table.
	// Cause: a write may take effect without an answer.
	It("finds out what became of a change whose answer was lost", func() {
		h, _ := started(17, keyed)
		leader := h.leader()
		h.table.loseAnswers = true
		token := leader.propose(message.Proposal{Kind: message.ApplyRules, Base: 1, ChangeID: "a", Text: "text a"})
		h.run(100 * time.Millisecond)
		h.table.loseAnswers = false
		h.run(2 * time.Second)
		Expect(leader.results[token]).To(Equal(message.ProposalResult{Version: 2}))
		Expect(h.table.rows[state.KeyRules].Version).To(Equal(uint64(2)))
		h.expectNoViolation()
	})

	// Symptom: sessions end although the table still answers half of the calls.
	// Sequence: every other call of the table fails; then it is slow, then it loses answers.
	// Cause: the platform's table is unreliable for long periods.
	DescribeTable("serves every key while the table misbehaves",
		func(seed uint64, misbehave func(*fakeTable)) {
			h, l := started(seed, keyed)
			misbehave(&h.table)
			h.run(30 * time.Second)
			h.table.failEvery, h.table.delay, h.table.loseAnswers = 0, 0, false
			h.run(15 * time.Second)
			_, all := h.slotsOf("")
			_, worst := l.gaps(all)
			Expect(worst).To(BeNumerically("<=", 40*time.Millisecond))
			Expect(h.leader()).NotTo(BeNil())
			h.expectNoViolation()
		},
		Entry("every other call fails", uint64(18), func(t *fakeTable) { t.failEvery = 2 }),
		Entry("each call takes 300 ms longer", uint64(19), func(t *fakeTable) { t.delay = 300 * time.Millisecond }),
		Entry("answers to calls are lost", uint64(20), func(t *fakeTable) { t.loseAnswers = true }),
	)

	// Symptom: all keys stop being served although the table still answers reads.
	// Sequence: the table takes no writes; the leader freezes the state; reads are answered
	// steadily, so all named instances stop issuing; the take cannot be written.
	// Cause: a table that answers reads need not take writes.
	It("serves every key while the table takes no writes", func() {
		h, l := started(24, keyed)
		s := h.startRecord()
		_, all := h.slotsOf("")
		s.note("the table takes no writes")
		h.table.readOnly = true
		h.run(time.Minute)
		s.expectServed(l, "while it takes none", all)
		s.note("the table takes writes again")
		h.table.readOnly = false
		h.run(15 * time.Second)
		s.expectServed(l, "afterwards", all)
		Expect(h.leader()).NotTo(BeNil())
		h.expectNoViolation()
		s.matches("table-read-only")
	})

	// Symptom: nothing can be changed although all but one instance reach the table.
	// Sequence: the leader alone is cut off from the table; it freezes the state with its
	// standbys; they wait for it to reach the table again.
	// Cause: leaving a frozen state needs the table at one instance, not at all.
	It("leads again elsewhere when the leader alone is cut off from the table", func() {
		h, l := started(25, keyed)
		s := h.startRecord()
		_, all := h.slotsOf("")
		former := h.leader()
		s.note("the leader %s is cut off from the table", former.id)
		h.block(former.id, "table")
		h.run(10 * time.Second)
		s.expectServed(l, "meanwhile", all)
		Expect(h.leader()).NotTo(BeNil())
		Expect(h.leader()).NotTo(Equal(former))
		h.expectNoViolation()
		s.matches("leader-cut-from-table")
	})
})
