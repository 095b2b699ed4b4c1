package assign

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

var _ = ginkgo.Describe("keys of targets of uneven speed", func() {
	speeds := map[string]float64{"a": 0.5, "b": 1, "c": 1.5}
	targets := []view.Target{target("a"), target("b"), target("c")}

	// settleWith places keys for the given work, spread evenly, and returns the utilisation of targets.
	settleWith := func(m *Manager, now clock.Instant, work float32) (clock.Instant, map[string]float64) {
		load := &keyrange.Load{}
		for key := range load {
			load[key] = work / (keyrange.MaxKey + 1)
		}
		m.SetTargets(now, targets)
		m.SetLoad(load, speeds)
		now = settle(m, now, targets)
		used := map[string]float64{}
		for id, keys := range owners(m.Map()) {
			used[id] = float64(work) * float64(keys) / (keyrange.MaxKey + 1) / 6 / speeds[id]
		}
		return now, used
	}
	newManager := func(uneven bool) *Manager {
		m := NewManager(config, nil, start)
		m.SetByLateness(uneven)
		return m
	}

	ginkgo.It("are fewer at a slow target while there is spare capacity (guards against requests that are late at slow targets only)", func() {
		_, used := settleWith(newManager(true), start, 8)
		Expect(used["a"]).To(BeNumerically("<", 0.6*used["c"]))
		_, full := settleWith(newManager(true), start, 18)
		Expect(full["a"]).To(BeNumerically("~", full["c"], 0.2))
		_, off := settleWith(newManager(false), start, 8)
		Expect(off["a"]).To(BeNumerically("~", off["c"], 0.15))
	})

	ginkgo.It("stay for some time when the load falls (guards against moving keys each time that it rises and falls)", func() {
		m := newManager(true)
		now, _ := settleWith(m, start, 16)
		high := m.utilisation
		now, _ = settleWith(m, now, 4)
		Expect(m.utilisation).To(BeNumerically(">", 0.8*high))
		for range 20 {
			now = settle(m, now, targets)
		}
		Expect(m.utilisation).To(BeNumerically("~", 4.0/18, 0.05))
	})
})
