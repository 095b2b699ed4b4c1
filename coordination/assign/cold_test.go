package assign

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

// evenLoad returns a load with the same work for each key; total is the work of all keys, in slots
// of an average target.
func evenLoad(total float32) *keyrange.Load {
	load := &keyrange.Load{}
	for key := range load {
		load[key] = total / float32(len(load))
	}
	return load
}

var _ = ginkgo.Describe("keys", func() {
	ginkgo.It("move to a cold target only as far as its cold rate allows, and further when it is warm (guards against a data centre whose targets fail when its evacuation ends)", func() {
		m := NewManager(config, nil, start)
		m.SetColdRateAndWork(2, 500*time.Millisecond)
		m.SetLoad(evenLoad(6), nil)
		a, b := target("a"), target("b")
		now := settle(m, start, []view.Target{a})
		b.ColdUntil = now.Add(10 * time.Second)
		settle(m, now, []view.Target{a, b})
		share := float64(owners(m.Map())["b"]) / (keyrange.MaxKey + 1)
		Expect(share).To(BeNumerically("~", 1.0/7, 0.06))
		now = b.ColdUntil
		settle(m, now, []view.Target{a, b})
		share = float64(owners(m.Map())["b"]) / (keyrange.MaxKey + 1)
		Expect(share).To(BeNumerically("~", 0.5, 0.1))
	})

	ginkgo.It("move away from a target that reports a limit, except for what it accepts, and back when it reports none", func() {
		m := NewManager(config, nil, start)
		m.SetColdRateAndWork(0, 500*time.Millisecond)
		m.SetLoad(evenLoad(6), nil)
		list := []view.Target{target("a"), target("b")}
		now := settle(m, start, list)
		share := func() float64 { return float64(owners(m.Map())["b"]) / (keyrange.MaxKey + 1) }
		Expect(share()).To(BeNumerically("~", 0.5, 0.1))
		m.SetLimits(map[string]float64{"b": 2})
		now = settle(m, now, list)
		Expect(share()).To(BeNumerically("~", 1.0/7, 0.06))
		m.SetLimits(nil)
		settle(m, now, list)
		Expect(share()).To(BeNumerically("~", 0.5, 0.1))
	})

	ginkgo.It("all move away from an evacuated data centre at once, and back when the evacuation ends", func() {
		m := NewManager(config, nil, start)
		m.SetLoad(evenLoad(6), nil)
		a, b, c := target("a"), target("b"), target("c")
		now := settle(m, start, []view.Target{a, b, c})
		Expect(owners(m.Map())).To(HaveLen(3))
		begun := now
		for len(owners(m.Map())) > 2 || owners(m.Map())["a"] > 0 {
			now = settleStep(m, now, []view.Target{draining(a), b, c})
			Expect(now.Sub(begun)).To(BeNumerically("<", time.Second))
		}
		settle(m, now, []view.Target{a, b, c})
		Expect(owners(m.Map())).To(HaveLen(3))
	})
})
