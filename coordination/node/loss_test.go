package node

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/state"
)

var _ = Describe("a deployment that loses processes", func() {
	It("serves every slot without a gap when nothing happens", func() {
		h, l := started(1, keyed)
		h.run(10 * time.Second)
		h.expectNoViolation()
		_, all := h.slotsOf("")
		_, worst := l.gaps(all)
		Expect(worst).To(BeNumerically("<=", 10*time.Millisecond))
		Expect(l.results).To(HaveLen(1))
		Expect(l.results).To(HaveKey("answered"))
	})

	// Symptom: the keys of a killed target are not answered.
	// Sequence: a target is killed; its renewers get no answer and report it; all
	// instances try it; the leader takes its slots away, waits until nobody sends there
	// and its grant has run out, and gives them to others.
	// Cause: an owner is lost.
	It("serves the keys of a killed target again within two seconds", func() {
		h, l := started(2, keyed)
		s := h.startRecord()
		lost, others := h.slotsOf("t2")
		s.note("t2 is killed")
		h.end(&h.target("t2").proc)
		h.run(5 * time.Second)
		_, worst := s.measured(l, "slots of t2", lost)
		Expect(worst).To(BeNumerically("<=", 2*time.Second))
		_, worst = s.measured(l, "other slots", others)
		Expect(worst).To(BeNumerically("<=", 10*time.Millisecond))
		h.expectNoViolation()
		s.matches("owner-killed")
	})

	// Symptom: work of a frozen target appears after its keys have moved.
	// Sequence: a target stops in the middle of requests; its keys move; it wakes and
	// goes on as if nothing had happened, with requests in hand and more in its queue.
	// Cause: a process can be paused at any instruction; only its own clock tells it.
	It("moves the keys of a frozen target and keeps it from running on when it wakes", func() {
		h, l := started(3, keyed)
		s := h.startRecord()
		lost, _ := h.slotsOf("t3")
		s.note("t3 freezes for 6 s")
		h.target("t3").freeze(6 * time.Second)
		h.run(5 * time.Second)
		_, worst := s.measured(l, "slots of t3", lost)
		Expect(worst).To(BeNumerically("<=", 2*time.Second))
		h.run(5 * time.Second)
		h.expectNoViolation()
		s.matches("owner-frozen")
	})

	// Symptom: keys stop being served when the leader is lost.
	// Sequence: the leader is killed; the others go on with their sessions; a standby
	// sees the row unchanged for a whole lease, takes it, and renews the sessions.
	// Cause: sessions end unless somebody renews them.
	It("loses no key and no time when only the leader is killed", func() {
		h, l := started(4, keyed)
		s := h.startRecord()
		_, all := h.slotsOf("")
		s.note("the leader %s is killed", h.leader().id)
		h.end(h.leader())
		h.run(8 * time.Second)
		_, worst := s.measured(l, "all slots, through the instances left", all)
		Expect(worst).To(BeNumerically("<=", 40*time.Millisecond))
		Expect(h.leader()).NotTo(BeNil())
		h.expectNoViolation()
		s.matches("leader-killed")
	})

	// Symptom: keys of a target that is lost together with the leader stay unserved.
	// Sequence: both are killed at once; the next leader must first wait until no session
	// of the former one can be alive before it moves anything.
	// Cause: two losses at once, as with a rack.
	It("serves again within four seconds when the leader and an owner are lost together", func() {
		h, l := started(5, keyed)
		s := h.startRecord()
		lost, _ := h.slotsOf("t1")
		s.note("the leader %s and t1 are killed", h.leader().id)
		h.end(h.leader())
		h.end(&h.target("t1").proc)
		h.run(8 * time.Second)
		_, worst := s.measured(l, "slots of t1", lost)
		Expect(worst).To(BeNumerically("<=", 4*time.Second))
		h.expectNoViolation()
		s.matches("leader-and-owner-killed")
	})

	// Symptom: after an instance and a target are lost at once, the keys stay unserved
	// longer than after the loss of the target alone.
	// Sequence: the dead instance's session must run out before its target's keys move,
	// because nobody can know that it no longer sends.
	// Cause: two losses at once.
	It("serves again within four seconds when another instance and an owner are lost together", func() {
		h, l := started(6, keyed)
		s := h.startRecord()
		lost, _ := h.slotsOf("t1")
		follower := h.procs[0]
		if follower == h.leader() {
			follower = h.procs[1]
		}
		s.note("%s and t1 are killed", follower.id)
		h.end(follower)
		h.end(&h.target("t1").proc)
		h.run(8 * time.Second)
		_, worst := s.measured(l, "slots of t1", lost)
		Expect(worst).To(BeNumerically("<=", 4*time.Second))
		h.expectNoViolation()
		s.matches("instance-and-owner-killed")
	})

	// Symptom: an instance that froze past its session sends work to former owners.
	// Sequence: an instance stops with requests in hand, between their check and their
	// sending; a target is lost and its keys move; the instance wakes and sends.
	// Cause: a process can be paused between a check and what it guards.
	It("runs nothing for an instance that wakes after its session with requests in hand", func() {
		h, l := started(11, keyed)
		l.pace(time.Millisecond)
		s := h.startRecord()
		sleeper := h.procs[0]
		if sleeper == h.leader() {
			sleeper = h.procs[1]
		}
		s.note("%s freezes for 6 s, and t2 is leaving", sleeper.id)
		h.after(500*time.Microsecond, func() { sleeper.freeze(6 * time.Second) })
		h.lifecycle("t2", state.Leaving)
		h.run(10 * time.Second)
		owned, _ := h.slotsOf("t2")
		Expect(owned).To(BeEmpty())
		h.expectNoViolation()
		s.matches("instance-frozen")
	})

	// Symptom: two leaders change the map.
	// Sequence: the leader freezes past its lease in the middle of a move, another takes
	// the row and finishes the move, and the former one wakes and goes on.
	// Cause: a lease lapses while its holder is paused and unaware of it.
	It("ignores a leader that wakes after its lease", func() {
		h, l := started(12, keyed)
		s := h.startRecord()
		leader := h.leader()
		moving, _ := h.slotsOf("t2")
		s.note("t2 is leaving, and the leader %s freezes in the middle of the move", leader.id)
		h.lifecycle("t2", state.Leaving)
		h.runUntil(func() bool { return leader.node.owned.Services[keyed.Name].Slots[moving[0]].Moving() })
		leader.freeze(6 * time.Second)
		h.run(12 * time.Second)
		_, worst := s.measured(l, "slots of t2", moving)
		Expect(worst).To(BeNumerically("<=", 4*time.Second))
		owned, _ := h.slotsOf("t2")
		Expect(owned).To(BeEmpty())
		h.expectNoViolation()
		s.matches("leader-frozen-during-a-move")
	})

	// Symptom: keys move although most instances reach their owner.
	// Sequence: one instance is cut off from one target.
	// Cause: one instance's view is not the state of the target.
	It("moves no key when only one instance cannot reach a target", func() {
		h, l := started(13, keyed)
		s := h.startRecord()
		s.note("e1 and t1 are cut off from each other")
		h.block("e1", "t1")
		before := h.leader().node.owned.Version
		h.run(10 * time.Second)
		Expect(h.leader().node.owned.Version).To(Equal(before))
		Expect(l.results["answered"]).To(BeNumerically(">", 0))
		h.expectNoViolation()
		s.matches("target-cut-from-one-instance")
	})

	// Symptom: callers wait for a target that answers its health checks.
	// Sequence: a target takes grants and answers no request; the instances see their own
	// requests fail.
	// Cause: health endpoints mislead.
	It("moves the keys of a target that answers grants but no requests", func() {
		h, l := started(14, keyed)
		s := h.startRecord()
		moving, _ := h.slotsOf("t3")
		s.note("t3 answers no request")
		h.target("t3").deaf = true
		h.after(1500*time.Millisecond, func() {
			for _, p := range h.procs {
				p.node.SetFailing([]string{"t3"})
			}
		})
		h.run(5 * time.Second)
		_, worst := s.measured(l, "slots of t3", moving)
		Expect(worst).To(BeNumerically("<=", 4*time.Second))
		h.expectNoViolation()
		s.matches("target-deaf")
	})

	// Symptom: requests break or state is lost when instances are replaced.
	// Sequence: twelve instances are replaced one by one, gracefully: listed as leaving,
	// closed to new requests, then ended; then a third of them is killed at once, the
	// leader among them, but not all named ones.
	// Cause: 930 instances are restarted or replaced on an ordinary day.
	It("serves every key while all instances are replaced, and a third is lost at once", func() {
		h := newHarness(23, keyed)
		for i := range 12 {
			h.addInstance(fmt.Sprintf("dc%d", i%3+1))
		}
		for range 4 {
			h.addTarget()
		}
		h.run(3 * time.Second)
		l := h.startLoad(10 * time.Millisecond)
		h.run(time.Second)
		l.mark()
		s := h.startRecord()
		for _, p := range h.procs[:12] {
			h.addInstance("dc1")
			h.lifecycle(p.id, state.Leaving)
			p.closed = true
			p.node.Leave()
			h.run(2 * time.Second)
			p.input(p.node.EndSession)
			h.run(200 * time.Millisecond)
			h.end(p)
		}
		h.run(4 * time.Second)
		_, all := h.slotsOf("")
		Expect(l.results).NotTo(HaveKey("unknown"))
		s.expectServed(l, "one by one", all)
		row := h.leader().node.machine.Row()
		killed := 0
		for _, p := range h.procs {
			spared := p.dead || p.id == row.Standbys[0]
			if !spared && (killed < 4 || p.id == row.Leader) {
				h.end(p)
				killed++
			}
		}
		h.run(10 * time.Second)
		Expect(l.results).NotTo(HaveKey("unknown"))
		s.expectServed(l, "a third at once", all)
		Expect(h.leader().node.rules.Text).To(Equal("first"))
		h.expectNoViolation()
	})
})
