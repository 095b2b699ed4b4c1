package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = g.Describe("a contended pool", func() {
	simulate := func(p simulation, load float64, seconds int, contended bool) (simulation, map[string]*outcome) {
		p = p.atLoad(load, seconds)
		p.contended = contended
		outcomes := p.outcomes(5)
		for rule, o := range outcomes {
			g.GinkgoWriter.Printf("contended %v, load %.1f: %s %v\n", contended, load, rule, o)
		}
		return p, outcomes
	}
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }

	// In the order by arrival, less urgent requests maintain a queue that is within their own aim but
	// four times as long as that of the more urgent ones: at the load of the capacity, 0.79 of these
	// are in time.
	g.DescribeTable("keeps urgent requests in time beside bursts of less urgent ones with a long aim",
		func(load, before, inTime, patient float64) {
			_, old := simulate(poolLoad, load, 60, false)
			Expect(share(old["urgent"].inTime, old["urgent"].sent)).To(BeNumerically("<", before))
			_, o := simulate(poolLoad, load, 60, true)
			Expect(share(o["urgent"].inTime, o["urgent"].sent)).To(BeNumerically(">", inTime))
			Expect(share(o["patient"].inTime, o["patient"].sent)).To(BeNumerically(">", patient))
		},
		g.Entry("a load equal to the capacity", 1.0, 0.85, 0.9, 0.8),
		g.Entry("an overload", 1.4, 0.6, 0.88, 0.5),
	)

	// Guards against a strict order, in which the less urgent kind gets nothing for as long as the
	// more urgent one fills all slots.
	g.It("starves no kind while a more urgent one alone exceeds the capacity, and serves none better than a more urgent one", func() {
		p := poolLoad
		p.traffic = append([]traffic(nil), p.traffic...)
		p.traffic[0].share, p.traffic[1].share = 0.8, 0.2
		p.traffic[0].burst, p.traffic[1].burst = burst{}, burst{}
		p, o := simulate(p, 1.6, 60, true)
		patient, urgent := o["patient"], o["urgent"]
		Expect(share(patient.inTime+patient.late, patient.sent)).To(BeNumerically(">", 0.15))
		Expect(patient.served(p.traffic[1])).To(BeNumerically("<", urgent.served(p.traffic[0])))
	})

	g.DescribeTable("serves a less urgent kind no better than a more urgent one",
		func(p simulation, load float64) {
			p, o := simulate(p, load, 60, true)
			Expect(o["patient"].served(p.traffic[1])).To(BeNumerically("<=", o["urgent"].served(p.traffic[0])+0.02))
		},
		g.Entry("interchangeable targets, overload", poolLoad, 1.2),
		g.Entry("one target, full", twoSlots, 1.0),
		g.Entry("one target, overload", twoSlots, 1.4),
	)

	// Guards against an order that helps one deployment at the cost of another one.
	g.DescribeTable("serves callers as well as the order by arrival, by the value of responses in time and late",
		func(p simulation, load float64) {
			_, old := simulate(p, load, 120, false)
			p, o := simulate(p, load, 120, true)
			Expect(p.served(o)).To(BeNumerically(">", p.served(old)-0.015))
		},
		g.Entry("interchangeable targets", poolLoad, 0.8),
		g.Entry("one target with 2 slots", twoSlots, 1.2),
		g.Entry("one target with 3 slots", threeSlots, 1.2),
	)

	// Guards against old instances whose requests go before or behind all others while two builds run
	// beside each other.
	g.It("serves the asks of an older build, which have no Aim, like the others", func() {
		p := poolLoad
		p.ownBuild = 0.5
		_, mixed := simulate(p, 1.2, 60, true)
		Expect(share(mixed["urgent"].inTime, mixed["urgent"].sent)).To(BeNumerically(">", 0.88))
	})

	g.It("keeps the order by arrival for asks without Contended", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		_, first, _ := f.ask(nil)
		old, _, _ := f.ask(func(a *Ask) { a.Rule, a.Priority = "old", 1 })
		f.now = f.now.Add(150 * time.Millisecond)
		f.ask(nil)
		f.reportServed(first, 150*time.Millisecond)
		Expect(old.done).To(Receive())
		Expect(f.contention).To(BeNil())
	})
})
