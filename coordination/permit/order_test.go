package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load: look-ups and bookings for the keys of one target with three slots, which is disturbed at times,
// at rising utilisation. Bookings are more urgent by one rank.
var _ = g.Describe("the order of the queue", func() {
	played := func(perSecond float64) map[string]float64 {
		shares := play{
			kinds: []kind{
				{rule: "look-up", rank: 2, share: 0.45, work: 160 * time.Millisecond, aim: 600 * time.Millisecond, patience: 4 * time.Second},
				{rule: "booking", rank: 1, share: 0.55, work: 210 * time.Millisecond, aim: 800 * time.Millisecond, patience: 5 * time.Second},
			},
			perSecond: perSecond, seconds: 600, slots: []Target{{ID: "a", DataCentre: "dc1", Slots: 3}}, tells: true,
		}.run(3)
		g.GinkgoWriter.Printf("%.0f a second: in time %.3f\n", perSecond, shares)
		return shares
	}

	g.DescribeTable("serves the more urgent better, and the less urgent too (guards against the least urgent waiting for all others)",
		func(perSecond, bookings, lookUps float64) {
			shares := played(perSecond)
			Expect(shares["booking"]).To(BeNumerically(">=", shares["look-up"]-0.01))
			Expect(shares["booking"]).To(BeNumerically(">=", bookings))
			Expect(shares["look-up"]).To(BeNumerically(">=", lookUps))
		},
		g.Entry("half of the slots in use", 8.0, 0.85, 0.80),
		g.Entry("most of them", 9.6, 0.80, 0.75),
		g.Entry("all of them", 12.0, 0.70, 0.55),
	)
})
