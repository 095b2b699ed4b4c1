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

var config = Config{Service: "s", HoldMax: 10 * time.Second, HeldUntil: clock.Never, Policy: keyrange.Policy{Imbalance: 1.2, MinGain: 0.1}}

func target(id string) view.Target {
	return view.Target{ID: id, Service: "s", Address: "address-" + id, Slots: 6}
}

func draining(t view.Target) view.Target {
	t.Draining = true
	return t
}

// settle drives a manager whose targets answer every order at once until nothing changes.
func settle(m *Manager, now clock.Instant, targets []view.Target) clock.Instant {
	for range 200 {
		now = settleOnce(m, now, targets)
	}
	return now
}

// settleOnce is one look of settle.
func settleOnce(m *Manager, now clock.Instant, targets []view.Target) clock.Instant {
	now = now.Add(25 * time.Millisecond)
	m.SetTargets(now, targets)
	for _, o := range m.Tick(now, false) {
		m.RecordOutcome(now, o, Done, "h")
	}
	if p := m.Propose(now); p != nil {
		m.Stored(p)
	}
	return now
}

func owners(m *keyrange.Map) map[string]int {
	keys := map[string]int{}
	for _, r := range m.Ranges {
		if r.Served() {
			keys[r.Owner] += r.Keys()
		}
	}
	return keys
}

// until drives a manager to its next proposal, with no answer to any order.
func until(m *Manager, now clock.Instant) (*keyrange.Map, clock.Instant) {
	for range 1000 {
		now = now.Add(25 * time.Millisecond)
		m.Tick(now, false)
		if p := m.Propose(now); p != nil {
			return p, now
		}
	}
	return nil, now
}

var _ = ginkgo.Describe("a manager", func() {
	ginkgo.It("gives all keys to the targets that are there", func() {
		m := NewManager(config, nil, start)
		settle(m, start, []view.Target{target("a"), target("b"), target("c")})
		Expect(owners(m.Map())).To(HaveLen(3))
		Expect(owners(m.Map())["a"]).To(BeNumerically("~", 21845, 2))
	})

	ginkgo.It("empties a target that leaves, with a single release", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{target("a"), target("b"), target("c")})
		now = now.Add(25 * time.Millisecond)
		m.SetTargets(now, []view.Target{draining(target("a")), target("b"), target("c")})
		m.Stored(m.Propose(now))
		releases := 0
		for _, o := range m.Tick(now, false) {
			if o.Kind == Release {
				releases++
				Expect(o.Target).To(Equal("a"))
			}
		}
		Expect(releases).To(Equal(1))
		settle(m, now, []view.Target{draining(target("a")), target("b"), target("c")})
		Expect(owners(m.Map())).NotTo(HaveKey("a"))
	})

	// Symptom: two targets hold the same keys for four seconds.
	// Sequence: a range is on its way to a target that begins to drain; another one is to
	// get it instead; before that change is stored the grant to the first goes out.
	// Cause: between the proposal and its storing the manager acted on the old map.
	ginkgo.It("grants nothing under a fence that is about to be replaced", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{target("a"), target("b"), target("c")})
		now = now.Add(25 * time.Millisecond)
		m.SetTargets(now, []view.Target{draining(target("a")), target("b"), target("c")})
		m.Stored(m.Propose(now))
		for _, o := range m.Tick(now, false) {
			if o.Kind == Release {
				m.RecordOutcome(now, o, Done, "h")
			}
		}
		m.SetTargets(now, []view.Target{draining(target("a")), draining(target("b")), target("c")})
		proposed := m.Propose(now)
		Expect(proposed).NotTo(BeNil())
		for _, o := range m.Tick(now, false) {
			Expect(o.Kind == Grant && o.Target == "b").To(BeFalse(), "granted %v", o)
		}
		m.NotStored()
		for _, o := range m.Tick(now, false) {
			Expect(o.Kind == Grant && o.Target == "b").To(BeFalse(), "granted %v after the change was not stored", o)
		}
	})

	// Symptom: two targets hold the same keys. Sequence: a target stops answering, and its
	// keys are given to others before its last hold has run out on its slow clock.
	ginkgo.It("waits out the hold of a target that does not answer", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		for now.Sub(start) < holdEnd(config.HoldMax) {
			// Until then a former leading instance may have granted more.
			now = settle(m, now, targets)
		}
		fell := now
		held := now
		granted := clock.Never
		for range 600 {
			now = now.Add(25 * time.Millisecond)
			m.SetTargets(now, targets)
			for _, o := range m.Tick(now, false) {
				if o.Target == "a" {
					if o.Kind == Renew {
						held = held.Later(now.Add(o.Hold + o.Hold/50))
					}
					m.RecordOutcome(now, o, Unknown, "")
					continue
				}
				if o.Kind == Grant && granted == clock.Never {
					granted = now
				}
				m.RecordOutcome(now, o, Done, "")
			}
			if p := m.Propose(now); p != nil {
				m.Stored(p)
			}
		}
		Expect(granted).NotTo(Equal(clock.Never))
		Expect(granted).To(BeNumerically(">=", held))
		Expect(granted.Sub(fell)).To(BeNumerically("<", renewSoonest+changeTime+time.Second))
		Expect(owners(m.Map())).NotTo(HaveKey("a"))
	})

	ginkgo.It("gives the keys of a target away at once when another is listed at its address", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{target("a"), target("b")})
		reborn := target("a2")
		reborn.Address = target("a").Address
		now = settle(m, now, []view.Target{reborn, target("b")})
		Expect(now.Sub(start)).To(BeNumerically("<", 11*time.Second))
		Expect(owners(m.Map())).NotTo(HaveKey("a"))
		Expect(owners(m.Map())).To(HaveKey("a2"))
	})

	// Symptom: a target that has just got keys loses them to another one, and both hold them.
	// Sequence: a target crashes and starts again at its address; its former entry has not
	// lapsed yet, so that two are listed there. Cause: the new life was taken for the one that
	// had ended, and its keys were given on without a release.
	ginkgo.It("takes neither of two targets at one address for ended", func() {
		former, reborn := target("b"), target("a")
		reborn.Address = former.Address
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{former, target("c")})
		now = now.Add(25 * time.Millisecond)
		m.SetTargets(now, []view.Target{reborn, former, target("c")})
		for range 40 {
			now = now.Add(25 * time.Millisecond)
			m.SetTargets(now, []view.Target{reborn, former, target("c")})
			for _, o := range m.Tick(now, false) {
				outcome := Done
				if o.Target == former.ID {
					outcome = OtherTarget
				}
				m.RecordOutcome(now, o, outcome, "h")
			}
			if p := m.Propose(now); p != nil {
				m.Stored(p)
			}
		}
		Expect(m.holder(reborn.ID).ended).To(BeFalse())
		Expect(m.holder(former.ID).ended).To(BeTrue())
		Expect(owners(m.Map())).To(HaveKey(reborn.ID))
	})

	// Symptom: two targets hold the same keys. Sequence: a target crashes and starts again;
	// both lives are listed; the new one is cut from the registry, and its entry lapses first.
	// Cause: the entry of the former life was taken to show that the new one had ended.
	ginkgo.It("does not take a target for ended because its former life is still listed", func() {
		former, reborn := target("a"), target("b")
		reborn.Address = former.Address
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{former, target("c")})
		m.SetTargets(now, []view.Target{former, reborn, target("c")})
		m.SetTargets(now.Add(time.Second), []view.Target{former, target("c")})
		Expect(m.holder(reborn.ID).ended).To(BeFalse())
	})

	// Symptom: a target that its former leading instance still renewed loses its keys to
	// another one. Cause: the new leading instance does not know what was granted last.
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
			for _, o := range next.Tick(now, false) {
				if o.Kind == Grant && granted == clock.Never {
					granted = now
				}
				next.RecordOutcome(now, o, Done, "")
			}
			if p := next.Propose(now); p != nil {
				next.Stored(p)
			}
		}
		Expect(granted.Sub(tookOver)).To(BeNumerically(">=", config.HoldMax))
	})

	ginkgo.It("raises the fence of an owner that has seen a higher one", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		before := m.Map().Find(0).Fence
		for _, o := range m.Tick(now.Add(renewLatest), false) {
			outcome := Done
			if o.From == 0 {
				outcome = HigherFence
			}
			m.RecordOutcome(now.Add(renewLatest), o, outcome, "")
		}
		settle(m, now.Add(renewLatest), targets)
		Expect(m.Map().Find(0).Fence).To(BeNumerically(">", before))
		Expect(m.Map().Find(0).Owner).NotTo(BeEmpty())
	})

	ginkgo.It("proposes one change at a time", func() {
		m := NewManager(config, nil, start)
		m.SetTargets(start, []view.Target{target("a"), target("b")})
		p, now := until(m, start)
		Expect(p).NotTo(BeNil())
		again, _ := until(m, now)
		Expect(again).To(BeNil())
	})
})
