package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

var _ = g.Describe("the slowness of a target", func() {
	g.It("is the reported value, and the running mean when that value is old", func() {
		p := newSlownessEstimate()
		now := start
		for range 60 {
			now = now.Add(50 * time.Millisecond)
			p.recordReported(1, now)
		}
		p.recordReported(3, now)
		Expect(p.currentSlowness(now)).To(BeNumerically("~", 3, 0.01))
		Expect(p.currentSlowness(now.Add(reportedSlownessValidity / 2))).To(BeNumerically("~", 2, 0.2))
		Expect(p.currentSlowness(now.Add(reportedSlownessValidity))).To(BeNumerically("~", 1.2, 0.1))
	})

	g.It("approaches the average while the target is not used (guards against never again trying a target that was disturbed once)", func() {
		p := newSlownessEstimate()
		for range 30 {
			p.recordReported(4, start)
		}
		Expect(p.currentSlowness(start.Add(time.Minute))).To(BeNumerically("<", 1.5))
	})

	g.It("is measured if the target does not report it", func() {
		f := newFixture(twoTargets(4)...)
		_, p, _ := f.ask(nil)
		f.reportServed(p, 100*time.Millisecond)
		Expect(f.targets[p.Target].reportedAt).To(Equal(clock.Never))
	})
})

// Many short requests arrive for a service that is not keyed, whose targets are slowed down at
// times. The load is simulated with slowness reported by the targets and with slowness measured by
// the keeper.
var _ = g.Describe("short requests on targets that are slowed down at times", func() {
	g.It("are in time more often if targets report their slowness (guards against a mean that hides a short disturbance)", func() {
		var list []Target
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			list = append(list, Target{ID: name, DataCentre: "dc1", Slots: 3})
		}
		p := simulation{
			traffic:   []traffic{{rule: "r", share: 1, work: 65 * time.Millisecond, aim: 250 * time.Millisecond, timeout: time.Second}},
			perSecond: 200, seconds: 30, targets: list,
		}
		measured := p.run(5)["r"]
		p.reportsSlowness = true
		reported := p.run(5)["r"]
		g.GinkgoWriter.Printf("in time: %.4f reported, %.4f measured\n", reported, measured)
		Expect(1 - reported).To(BeNumerically("<", 0.75*(1-measured)))
	})
})
