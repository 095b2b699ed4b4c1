package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

var _ = g.Describe("the pace of a target", func() {
	g.It("is its word, and what it usually says when the word is old", func() {
		p := newPace()
		now := start
		for range 60 {
			now = now.Add(50 * time.Millisecond)
			p.heard(1, now)
		}
		p.heard(3, now)
		Expect(p.believedSlowness(now)).To(BeNumerically("~", 3, 0.01))
		Expect(p.believedSlowness(now.Add(wordHolds / 2))).To(BeNumerically("~", 2, 0.2))
		Expect(p.believedSlowness(now.Add(wordHolds))).To(BeNumerically("~", 1.2, 0.1))
	})

	g.It("fades when the target is not used (guards against one that was disturbed once and is never tried again)", func() {
		p := newPace()
		for range 30 {
			p.heard(4, start)
		}
		Expect(p.believedSlowness(start.Add(time.Minute))).To(BeNumerically("<", 1.5))
	})

	g.It("is learnt where the target does not tell it", func() {
		f := newFixture(two(4)...)
		_, p, _ := f.ask(nil)
		f.served(p, 100*time.Millisecond)
		Expect(f.slots[p.Target].wordAt).To(Equal(clock.Never))
	})
})

// The load: many short requests without keys, on targets that are disturbed. It is played with pace told and
// with pace learnt from answers.
var _ = g.Describe("short requests on targets that are disturbed", func() {
	g.It("are in time more often where targets tell their pace (guards against a mean that hides a disturbance)", func() {
		var list []Target
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			list = append(list, Target{ID: name, DataCentre: "dc1", Slots: 3})
		}
		p := play{
			kinds:     []kind{{rule: "r", share: 1, work: 65 * time.Millisecond, aim: 250 * time.Millisecond, patience: time.Second}},
			perSecond: 200, seconds: 30, slots: list,
		}
		learnt := p.run(5)["r"]
		p.tells = true
		told := p.run(5)["r"]
		g.GinkgoWriter.Printf("in time: %.4f told, %.4f learnt\n", told, learnt)
		Expect(1 - told).To(BeNumerically("<", 0.75*(1-learnt)))
	})
})
