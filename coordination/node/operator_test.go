package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/state"
)

var _ = Describe("a deployment that is changed", func() {
	// Symptom: a drain or an operator's move makes keys unavailable for long.
	// Sequence: a target is listed as leaving; all its slots move at once.
	// Cause: the planned move itself.
	It("moves the keys of a leaving target within fifty milliseconds", func() {
		h, l := started(10, keyed)
		l.pace(time.Millisecond)
		s := h.startRecord()
		moving, others := h.slotsOf("t4")
		s.note("t4 is leaving")
		h.lifecycle("t4", state.Leaving)
		h.run(3 * time.Second)
		_, worst := s.measured(l, "slots of t4", moving)
		Expect(worst).To(BeNumerically("<=", 50*time.Millisecond))
		_, worst = s.measured(l, "other slots", others)
		Expect(worst).To(BeNumerically("<=", time.Millisecond))
		owned, _ := h.slotsOf("t4")
		Expect(owned).To(BeEmpty())
		h.expectNoViolation()
		s.matches("target-leaving")
	})

	// Symptom: an instance cut off from the leader goes on with an old state.
	// Sequence: an instance is cut off from all others; the rules change; its session ends
	// before the change is said to be in force everywhere.
	// Cause: a partition between instances.
	It("stops an instance that is cut off before a change counts as in force everywhere", func() {
		h, _ := started(15, keyed)
		s := h.startRecord()
		cut := h.procs[2]
		if cut == h.leader() {
			cut = h.procs[1]
		}
		s.note("%s is cut off from the other instances, and the rules change", cut.id)
		for _, p := range h.procs {
			if p != cut {
				h.block(cut.id, p.id)
			}
		}
		leader := h.leader()
		leader.propose(message.Proposal{Kind: message.ApplyRules, Base: 1, ChangeID: "second", Text: "second"})
		h.runUntil(func() bool { return leader.node.leader.everywhere == 2 })
		Expect(cut.clock()).To(BeNumerically(">=", cut.view.Until))
		s.note("the cut is mended")
		h.blocked = map[[2]string]bool{}
		h.run(2 * time.Second)
		Expect(cut.view.Rules.Version).To(Equal(uint64(2)))
		Expect(cut.view.Until).To(BeNumerically(">", cut.clock()))
		h.expectNoViolation()
		s.matches("instance-cut-off-during-a-change")
	})

	// Symptom: an operator's change disappears, or is made twice.
	// Sequence: two operators start from the same version; one of them repeats its change
	// after it got no answer.
	// Cause: operators race, and answers are lost.
	It("lets one of two racing changes win and recognises a repeated one", func() {
		h, _ := started(16, keyed)
		leader := h.leader()
		first := message.Proposal{Kind: message.ApplyRules, Base: 1, ChangeID: "a", Text: "text a"}
		second := message.Proposal{Kind: message.ApplyRules, Base: 1, ChangeID: "b", Text: "text b"}
		tokens := []uint64{leader.propose(first), leader.propose(second), leader.propose(first)}
		h.run(time.Second)
		Expect(leader.results[tokens[0]]).To(Equal(message.ProposalResult{Version: 2}))
		Expect(leader.results[tokens[1]]).To(Equal(message.ProposalResult{Code: message.VersionConflict, Version: 2}))
		Expect(leader.results[tokens[2]]).To(Equal(message.ProposalResult{Version: 2}))
		for _, p := range h.procs {
			Expect(p.view.Rules.Text).To(Equal("text a"))
		}
		h.expectNoViolation()
	})

	// Symptom: a change is lost or made twice when operators act during a takeover.
	// Sequence: the leader is killed right after a change was proposed; the operator
	// repeats the change at the next leader.
	// Cause: the outcome at the former leader is not known.
	It("accepts a change that is repeated at the next leader once", func() {
		h, _ := started(21, keyed)
		leader := h.leader()
		change := message.Proposal{Kind: message.ApplyRules, Base: 1, ChangeID: "a", Text: "text a"}
		leader.propose(change)
		h.run(2 * time.Millisecond)
		h.end(leader)
		h.run(6 * time.Second)
		next := h.leader()
		token := next.propose(change)
		h.run(time.Second)
		Expect(next.results[token]).To(Equal(message.ProposalResult{Version: 2}))
		Expect(h.table.rows[state.KeyRules].Version).To(Equal(uint64(2)))
		h.expectNoViolation()
	})

	// Symptom: a slot ends at a target that is being drained, or at two.
	// Sequence: an operator moves a slot to another target while its owner is drained.
	// Cause: two changes of the same slot at once.
	It("carries out a move and a drain of the same slots at once", func() {
		h, _ := started(22, keyed)
		owned, _ := h.slotsOf("t1")
		leader := h.leader()
		leader.propose(message.Proposal{Kind: message.MoveSlot, Service: keyed.Name, Slot: owned[0], Target: "t2"})
		leader.propose(message.Proposal{Kind: message.DrainTarget, Service: keyed.Name, Target: "t2"})
		h.run(3 * time.Second)
		owned, _ = h.slotsOf("t2")
		Expect(owned).To(BeEmpty())
		h.expectNoViolation()
	})
})
