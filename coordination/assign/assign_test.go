package assign

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

func TestAssign(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Assign")
}

const start = clock.Instant(time.Hour)

var config = Config{Service: "s", HoldMax: 10 * time.Second, HeldUntil: clock.Never, Policy: keyrange.Policy{Imbalance: 1.2, MinDifference: 0.1}}

// target returns a target with the given ID and six slots.
func target(id string) view.Target {
	return view.Target{ID: id, Service: "s", Address: "address-" + id, Slots: 6}
}

// draining returns the target as one that is leaving.
func draining(t view.Target) view.Target {
	t.Draining = true
	return t
}

// settle runs a manager for 5 s with targets that answer every order at once.
func settle(m *Manager, now clock.Instant, targets []view.Target) clock.Instant {
	for range 200 {
		now = settleStep(m, now, targets)
	}
	return now
}

// settleStep is one step of settle, of 25 ms.
func settleStep(m *Manager, now clock.Instant, targets []view.Target) clock.Instant {
	now = now.Add(25 * time.Millisecond)
	m.SetTargets(now, targets)
	for _, o := range m.DueOrders(now, false) {
		m.RecordOutcome(now, o, OutcomeDone, "h")
	}
	if p := m.Propose(now); p != nil {
		m.RecordStored(p)
	}
	return now
}

// owners returns the number of keys that each target serves.
func owners(m *keyrange.Map) map[string]int {
	keys := map[string]int{}
	for _, r := range m.Ranges {
		if r.Served() {
			keys[r.Owner] += r.Keys()
		}
	}
	return keys
}

// nextProposal runs a manager until its next proposal; no order gets a response. It returns nil if
// there is no proposal within 25 s.
func nextProposal(m *Manager, now clock.Instant) (*keyrange.Map, clock.Instant) {
	for range 1000 {
		now = now.Add(25 * time.Millisecond)
		m.DueOrders(now, false)
		if p := m.Propose(now); p != nil {
			return p, now
		}
	}
	return nil, now
}

var _ = ginkgo.Describe("a manager", func() {
	ginkgo.It("distributes all keys among the listed targets", func() {
		m := NewManager(config, nil, start)
		settle(m, start, []view.Target{target("a"), target("b"), target("c")})
		Expect(owners(m.Map())).To(HaveLen(3))
		Expect(owners(m.Map())["a"]).To(BeNumerically("~", 21845, 2))
	})

	ginkgo.It("moves all keys of a leaving target away, with a single release", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{target("a"), target("b"), target("c")})
		now = now.Add(25 * time.Millisecond)
		m.SetTargets(now, []view.Target{draining(target("a")), target("b"), target("c")})
		m.RecordStored(m.Propose(now))
		releases := 0
		for _, o := range m.DueOrders(now, false) {
			if o.Kind == Release {
				releases++
				Expect(o.Target).To(Equal("a"))
			}
		}
		Expect(releases).To(Equal(1))
		settle(m, now, []view.Target{draining(target("a")), target("b"), target("c")})
		Expect(owners(m.Map())).NotTo(HaveKey("a"))
	})

	// Guards against two targets that own the same keys for four seconds. A range was moving to a
	// target that began to leave, so another target was to get it. Before that change was stored,
	// the manager still acted on the old map and sent the grant to the first target.
	ginkgo.It("grants nothing under a fence that is about to be replaced", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{target("a"), target("b"), target("c")})
		now = now.Add(25 * time.Millisecond)
		m.SetTargets(now, []view.Target{draining(target("a")), target("b"), target("c")})
		m.RecordStored(m.Propose(now))
		for _, o := range m.DueOrders(now, false) {
			if o.Kind == Release {
				m.RecordOutcome(now, o, OutcomeDone, "h")
			}
		}
		m.SetTargets(now, []view.Target{draining(target("a")), draining(target("b")), target("c")})
		proposed := m.Propose(now)
		Expect(proposed).NotTo(BeNil())
		for _, o := range m.DueOrders(now, false) {
			Expect(o.Kind == Grant && o.Target == "b").To(BeFalse(), "granted %v", o)
		}
		m.RecordNotStored()
		for _, o := range m.DueOrders(now, false) {
			Expect(o.Kind == Grant && o.Target == "b").To(BeFalse(), "granted %v after the change was not stored", o)
		}
	})

	// Guards against two targets that own the same keys: a target stops answering, and its keys are
	// granted to others before its last grant has expired by its slow clock.
	ginkgo.It("waits until the last grant of a target that does not answer has expired", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		for now.Sub(start) < timeToExpiry(config.HoldMax) {
			// Until then, grants of a former leader may be valid.
			now = settle(m, now, targets)
		}
		failedAt := now
		held := now
		granted := clock.Never
		for range 600 {
			now = now.Add(25 * time.Millisecond)
			m.SetTargets(now, targets)
			for _, o := range m.DueOrders(now, false) {
				if o.Target == "a" {
					if o.Kind == Renew {
						held = held.Later(now.Add(o.Hold + o.Hold/50))
					}
					m.RecordOutcome(now, o, OutcomeUnknown, "")
					continue
				}
				if o.Kind == Grant && granted == clock.Never {
					granted = now
				}
				m.RecordOutcome(now, o, OutcomeDone, "")
			}
			if p := m.Propose(now); p != nil {
				m.RecordStored(p)
			}
		}
		Expect(granted).NotTo(Equal(clock.Never))
		Expect(granted).To(BeNumerically(">=", held))
		Expect(granted.Sub(failedAt)).To(BeNumerically("<", minRenewInterval+failoverTime+time.Second))
		Expect(owners(m.Map())).NotTo(HaveKey("a"))
	})

	ginkgo.It("reassigns the keys of a target at once when another target is listed at its address", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{target("a"), target("b")})
		restarted := target("a2")
		restarted.Address = target("a").Address
		now = settle(m, now, []view.Target{restarted, target("b")})
		Expect(now.Sub(start)).To(BeNumerically("<", 11*time.Second))
		Expect(owners(m.Map())).NotTo(HaveKey("a"))
		Expect(owners(m.Map())).To(HaveKey("a2"))
	})

	// Guards against two targets that own the same keys. A target exited and was restarted at its
	// address while its former entry had not lapsed yet, so that two targets were listed there. The
	// new process was taken for the one that had exited, and its new keys were reassigned without a
	// release.
	ginkgo.It("does not assume that a listed target has exited because another has its address", func() {
		former, restarted := target("b"), target("a")
		restarted.Address = former.Address
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{former, target("c")})
		now = now.Add(25 * time.Millisecond)
		m.SetTargets(now, []view.Target{restarted, former, target("c")})
		for range 40 {
			now = now.Add(25 * time.Millisecond)
			m.SetTargets(now, []view.Target{restarted, former, target("c")})
			for _, o := range m.DueOrders(now, false) {
				outcome := OutcomeDone
				if o.Target == former.ID {
					outcome = OutcomeOtherTarget
				}
				m.RecordOutcome(now, o, outcome, "h")
			}
			if p := m.Propose(now); p != nil {
				m.RecordStored(p)
			}
		}
		Expect(m.stateOf(restarted.ID).exited).To(BeFalse())
		Expect(m.stateOf(former.ID).exited).To(BeTrue())
		Expect(owners(m.Map())).To(HaveKey(restarted.ID))
	})

	// Guards against two targets that own the same keys. A target exited and was restarted, and
	// both processes were listed. The new one was cut off from the registry and its entry lapsed
	// first. The entry of the former process was taken as proof that the new one had exited.
	ginkgo.It("does not assume that a target has exited because its former process is still listed", func() {
		former, restarted := target("a"), target("b")
		restarted.Address = former.Address
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{former, target("c")})
		m.SetTargets(now, []view.Target{former, restarted, target("c")})
		m.SetTargets(now.Add(time.Second), []view.Target{former, target("c")})
		Expect(m.stateOf(restarted.ID).exited).To(BeFalse())
	})

	// Guards against reassigning keys of a target whose grants the former leader has just renewed:
	// a new leader does not know what was granted last.
	ginkgo.It("waits for the longest hold after it took over", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{target("a"), target("b")})
		next := NewManager(config, m.Map(), now)
		tookOver := now
		next.SetTargets(now, []view.Target{target("b")})
		granted := clock.Never
		for range 600 {
			now = now.Add(25 * time.Millisecond)
			next.SetTargets(now, []view.Target{target("b")})
			for _, o := range next.DueOrders(now, false) {
				if o.Kind == Grant && granted == clock.Never {
					granted = now
				}
				next.RecordOutcome(now, o, OutcomeDone, "")
			}
			if p := next.Propose(now); p != nil {
				next.RecordStored(p)
			}
		}
		Expect(granted.Sub(tookOver)).To(BeNumerically(">=", config.HoldMax))
	})

	ginkgo.It("raises the fence of an owner that has seen a higher one", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		before := m.Map().Find(0).Fence
		for _, o := range m.DueOrders(now.Add(maxRenewInterval), false) {
			outcome := OutcomeDone
			if o.From == 0 {
				outcome = OutcomeHigherFence
			}
			m.RecordOutcome(now.Add(maxRenewInterval), o, outcome, "")
		}
		settle(m, now.Add(maxRenewInterval), targets)
		Expect(m.Map().Find(0).Fence).To(BeNumerically(">", before))
		Expect(m.Map().Find(0).Owner).NotTo(BeEmpty())
	})

	ginkgo.It("proposes one change at a time", func() {
		m := NewManager(config, nil, start)
		m.SetTargets(start, []view.Target{target("a"), target("b")})
		p, now := nextProposal(m, start)
		Expect(p).NotTo(BeNil())
		again, _ := nextProposal(m, now)
		Expect(again).To(BeNil())
	})
})
