package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Look-ups and bookings arrive for the keys of one target with three slots, which is slowed down at
// times, at rising utilisation. Bookings are one priority more urgent.
var _ = g.Describe("the order of the queue", func() {
	simulate := func(perSecond float64) map[string]float64 {
		shares := simulation{
			traffic: []traffic{
				{rule: "look-up", priority: 2, share: 0.45, work: 160 * time.Millisecond, aim: 600 * time.Millisecond, timeout: 4 * time.Second},
				{rule: "booking", priority: 1, share: 0.55, work: 210 * time.Millisecond, aim: 800 * time.Millisecond, timeout: 5 * time.Second},
			},
			perSecond: perSecond, seconds: 600, targets: []Target{{ID: "a", DataCentre: "dc1", Slots: 3}}, reportsSlowness: true,
		}.run(3)
		g.GinkgoWriter.Printf("%.0f requests/s: in time %.3f\n", perSecond, shares)
		return shares
	}

	g.DescribeTable("serves urgent requests better, and the less urgent ones too (guards against a strict order, in which the least urgent wait for all others)",
		func(perSecond, bookings, lookUps float64) {
			shares := simulate(perSecond)
			Expect(shares["booking"]).To(BeNumerically(">=", shares["look-up"]-0.01))
			Expect(shares["booking"]).To(BeNumerically(">=", bookings))
			Expect(shares["look-up"]).To(BeNumerically(">=", lookUps))
		},
		g.Entry("half of the slots in use", 8.0, 0.85, 0.80),
		g.Entry("most of the slots in use", 9.6, 0.80, 0.75),
		g.Entry("all slots in use", 12.0, 0.70, 0.55),
	)
})
