package assign

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

// startedAt returns the process of a target that was started at the given time, in Unix
// milliseconds.
func startedAt(name string, born int64) view.Target {
	t := target(view.TargetID(name, born))
	t.Address = "address-" + name
	return t
}

// storeAndCollect lets 25 ms pass, stores a proposal if there is one, and returns the orders that are
// due.
func storeAndCollect(m *Manager, now clock.Instant, targets []view.Target) (clock.Instant, []Order) {
	now = now.Add(25 * time.Millisecond)
	m.SetTargets(now, targets)
	if p := m.Propose(now); p != nil {
		m.RecordStored(p)
	}
	return now, m.DueOrders(now, false)
}

var _ = ginkgo.Describe("a target that was restarted under its name", func() {
	// Guards against two targets that own the same keys. A target exited and was restarted, and the
	// new process got the keys by a renewal that was in flight. Since the former process had
	// exited, the keys were taken to have no owner and were granted to another target at once.
	ginkgo.It("is asked to release the keys of its former process before they are granted to another", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{startedAt("a", 1), startedAt("b", 1)}
		now := settle(m, start, targets)
		targets[0] = startedAt("a", 2)
		released := false
		for range 40 {
			var orders []Order
			now, orders = storeAndCollect(m, now, targets)
			for _, o := range orders {
				if o.Target == "a@1" {
					Expect(o.Kind).To(Equal(Release))
					Expect(o.Address).To(Equal("address-a"))
					released = true
				}
				Expect(o.Kind == Grant && !released).To(BeFalse(), "granted before the release: %+v", o)
				m.RecordOutcome(now, o, OutcomeDone, "h")
			}
		}
		Expect(released).To(BeTrue())
		Expect(owners(m.Map())).To(And(HaveKey("a@2"), HaveKey("b@1"), Not(HaveKey("a@1"))))
	})

	ginkgo.It("is known to have exited if its successor is listed at another address", func() {
		m := NewManager(config, nil, start)
		now := settle(m, start, []view.Target{startedAt("a", 1), startedAt("b", 1)})
		moved := startedAt("a", 2)
		moved.Address = "elsewhere"
		m.SetTargets(now, []view.Target{moved, startedAt("b", 1)})
		Expect(m.stateOf("a@1").exited).To(BeTrue())
	})
})

var _ = ginkgo.Describe("a target whose connections are closed", func() {
	// Guards against a change of the map every 12 ms: a target reset each connection as soon as it
	// was open, so that it was unknown which process answered, and its fences were raised with each
	// attempt.
	ginkgo.It("gets new fences at most twice a second", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		before := m.Map().Version
		for end := now.Add(time.Second); now < end; {
			var orders []Order
			now, orders = storeAndCollect(m, now, targets)
			for _, o := range orders {
				outcome := OutcomeDone
				if o.Target == "a" {
					outcome = OutcomeUnverified
				}
				m.RecordOutcome(now, o, outcome, "")
			}
		}
		Expect(m.Map().Version - before).To(BeNumerically("<=", 3))
		Expect(m.Map().Version).To(BeNumerically(">", before))
		Expect(owners(m.Map())).To(HaveKey("a"))
	})
})

var _ = ginkgo.Describe("a target that is only cut off from the registry", func() {
	// Guards against requests that are refused for seconds though the owner of the keys answers.
	// The target's entry lapsed. The keys of every unlisted target were marked as lost, so that
	// requests for them were refused at once instead of waiting for the move.
	ginkgo.It("releases its keys while requests wait", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		_, orders := storeAndCollect(m, now, targets[1:])
		Expect(orders).To(ContainElement(And(HaveField("Kind", Release), HaveField("Target", "a"))))
		Expect(m.Map().Ranges).To(ContainElement(And(HaveField("Owner", "a"), HaveField("Next", "b"), HaveField("Lost", false))))
	})

	ginkgo.It("has its keys marked as lost if it does not answer orders either", func() {
		m := NewManager(config, nil, start)
		targets := []view.Target{target("a"), target("b")}
		now := settle(m, start, targets)
		m.RecordOutcome(now, Order{Kind: Release, Target: "a"}, OutcomeUnknown, "")
		storeAndCollect(m, now, targets[1:])
		Expect(m.Map().Ranges).To(ContainElement(And(HaveField("Owner", "a"), HaveField("Lost", true))))
	})
})

var _ = ginkgo.Describe("a new leader that knows when the grants of the former leader expire", func() {
	// Guards against keys of an unresponsive target that stay unserved for the longest hold, 10 s.
	// The former leader announced that it gave the lease up and that all its grants expire within 4
	// s, but the new one still waited for the longest hold, as after a leader that announced
	// nothing.
	ginkgo.It("waits no longer than that", func() {
		informed := config
		informed.HeldUntil = start.Add(4 * time.Second)
		m := NewManager(informed, keyrange.Empty(), start)
		Expect(m.stateOf("x").heldUntil).To(Equal(start.Add(4 * time.Second)))
		Expect(m.HeldUntil(start)).To(Equal(start.Add(4 * time.Second)))
		uninformed := NewManager(config, keyrange.Empty(), start)
		Expect(uninformed.HeldUntil(start)).To(Equal(start.Add(GrantLifetime(config.HoldMax))))
	})
})
