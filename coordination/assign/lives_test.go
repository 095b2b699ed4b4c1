package assign

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

// life returns a target by its name and start.
func life(name string, born int64) view.Target {
	t := target(view.TargetID(name, born))
	t.Address = "address-" + name
	return t
}

// step lets 25 ms pass and returns the orders that are due; a proposal is stored.
func step25(m *Manager, now clock.Instant, targets []view.Target) (clock.Instant, []Order) {
	now = now.Add(25 * time.Millisecond)
	m.SetTargets(now, targets)
	if p := m.Propose(now); p != nil {
		m.Stored(p)
	}
	return now, m.Tick(now, false)
}

var _ = ginkgo.Describe("a target that was started again under its name", func() {
	// Symptom: two targets hold the same keys. Sequence: a target ends and is started again; the
	// new process gets the keys by a renewal that was on its way; they are given to another at
	// once. Cause: the former process had ended, and its keys were taken to be nobody's.
	ginkgo.It("is asked to release the keys of its former process before they go on", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{life("a", 1), life("b", 1)}
		now := settle(m, start, targets)
		targets[0] = life("a", 2)
		released := false
		for range 40 {
			var orders []Order
			now, orders = step25(m, now, targets)
			for _, o := range orders {
				if o.Target == "a@1" {
					Expect(o.Kind).To(Equal(Release))
					Expect(o.Address).To(Equal("address-a"))
					released = true
				}
				Expect(o.Kind == Grant && !released).To(BeFalse(), "granted before the release: %+v", o)
				m.RecordOutcome(now, o, Done, "h")
			}
		}
		Expect(released).To(BeTrue())
		Expect(owners(m.Map())).To(And(HaveKey("a@2"), HaveKey("b@1"), Not(HaveKey("a@1"))))
	})

	ginkgo.It("has ended for certain where it is listed at another address", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{life("a", 1), life("b", 1)})
		moved := life("a", 2)
		moved.Address = "elsewhere"
		m.SetTargets(now, []view.Target{moved, life("b", 1)})
		Expect(m.holder("a@1").ended).To(BeTrue())
	})
})

var _ = ginkgo.Describe("a target whose connections are gone", func() {
	// Symptom: a change of the map is stored every 12 ms. Sequence: a target resets each connection
	// as it is made, so that nothing shows who answers there. Cause: its fences were raised again
	// with each try.
	ginkgo.It("gets new fences no more often than twice a second", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		before := m.Map().Version
		for end := now.Add(time.Second); now < end; {
			var orders []Order
			now, orders = step25(m, now, targets)
			for _, o := range orders {
				outcome := Done
				if o.Target == "a" {
					outcome = Unverified
				}
				m.RecordOutcome(now, o, outcome, "")
			}
		}
		Expect(m.Map().Version - before).To(BeNumerically("<=", 3))
		Expect(m.Map().Version).To(BeNumerically(">", before))
		Expect(owners(m.Map())).To(HaveKey("a"))
	})
})

var _ = ginkgo.Describe("a target that is cut off from the registry only", func() {
	// Symptom: callers are refused for seconds for keys whose owner answers all the while. Sequence:
	// the target's entry lapses. Cause: whatever was not listed counted as lost, and requests for
	// its keys were refused at once in place of waiting for the move.
	ginkgo.It("gives its keys up while requests wait", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		_, orders := step25(m, now, targets[1:])
		Expect(orders).To(ContainElement(And(HaveField("Kind", Release), HaveField("Target", "a"))))
		Expect(m.Map().Ranges).To(ContainElement(And(HaveField("Owner", "a"), HaveField("Next", "b"), HaveField("Lost", false))))
	})

	ginkgo.It("is lost where it does not answer orders either", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		m.RecordOutcome(now, Order{Kind: Release, Target: "a"}, Unknown, "")
		step25(m, now, targets[1:])
		Expect(m.Map().Ranges).To(ContainElement(And(HaveField("Owner", "a"), HaveField("Lost", true))))
	})
})

var _ = ginkgo.Describe("a new leading instance that was told what is held", func() {
	// Symptom: keys of a silent target are unserved for the longest hold, 10 s. Sequence: the former
	// leader gave the lease up by word and said that all holds end in 4 s. Cause: the next one took
	// the longest hold as it would after a leader that said nothing.
	ginkgo.It("waits no longer than that", func() {
		told := config
		told.HeldUntil = start.Add(4 * time.Second)
		m := NewManager(told, keyrange.Empty(), start)
		Expect(m.holder("x").heldUntil).To(Equal(start.Add(4 * time.Second)))
		Expect(m.HeldUntil(start)).To(Equal(start.Add(4 * time.Second)))
		silent := NewManager(config, keyrange.Empty(), start)
		Expect(silent.HeldUntil(start)).To(Equal(start.Add(GrantLifetime(config.HoldMax))))
	})
})
