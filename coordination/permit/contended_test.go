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

	// Guards against a new keeper, which knows no rates and no running requests, that admits so much that
	// requests are late for long after the change.
	g.DescribeTable("serves urgent requests within their aim although keepers change in the peak",
		func(change func(*simulationRun)) {
			p := poolLoad
			p.onStep = change
			_, o := simulate(p, 1.2, 60, true)
			Expect(share(o["urgent"].inTime, o["urgent"].sent)).To(BeNumerically(">", 0.88))
		},
		g.Entry("the keeper is lost", func(r *simulationRun) {
			if r.now == start.Add(33*time.Second) {
				r.loseKeeper()
			}
		}),
		g.Entry("two instances act as keeper for 2 s", func(r *simulationRun) {
			switch r.now {
			case start.Add(32 * time.Second):
				r.addKeeper(2)
			case start.Add(34 * time.Second):
				r.asked = 1
			}
		}),
	)

	// Guards against the order by first arrival in a standing queue, in which each request is served
	// when it has just too little time left.
	g.It("serves most of an urgent kind in time while it exceeds the capacity", func() {
		p := poolLoad
		p.traffic = append([]traffic(nil), p.traffic[0])
		p.traffic[0].share, p.traffic[0].burst = 1, burst{}
		_, o := simulate(p, 1.4, 60, true)
		Expect(share(o["urgent"].inTime, o["urgent"].sent)).To(BeNumerically(">", 0.55))
		Expect(share(o["urgent"].late, o["urgent"].sent)).To(BeNumerically("<", 0.2))
	})

	g.Describe("reservations", func() {
		var f *fixture
		patient := func(a *Ask) {
			a.Contended, a.Rule, a.Priority, a.Aim = true, "patient", 2, 500*time.Millisecond
			a.Left = 6 * time.Second
		}
		returning := func(elapsed time.Duration) func(*Ask) {
			return func(a *Ask) {
				patient(a)
				a.Returning, a.AimLeft, a.Left = true, a.Aim-elapsed, a.Left-elapsed
			}
		}
		// fill queues requests until one is refused, and returns its refusal.
		fill := func() *RefusedError {
			g.GinkgoHelper()
			for range 50 {
				if _, _, err := f.ask(patient); err != nil {
					return err.(*RefusedError)
				}
			}
			g.Fail("no request was refused")
			return nil
		}
		g.BeforeEach(func() { f = newFixture(Target{ID: "a", Slots: 1, DataCentre: "dc1"}) })

		// Guards against a Retry-After at whose time the caller is refused again.
		g.It("are found by the callers when they return", func() {
			refused := fill()
			Expect(refused.RetryAfter).To(BeNumerically("<", 2*time.Second))
			Expect(f.contention.reservations).To(HaveLen(1))
			f.now = f.now.Add(refused.RetryAfter)
			w, _, err := f.ask(returning(refused.RetryAfter))
			Expect(err).NotTo(HaveOccurred())
			Expect(f.contention.reservations).To(BeEmpty())
			Expect(w.rank(f.now).first).To(Equal(start))
		})

		// Guards against many callers that are told the same time.
		g.It("delay the time that the next callers are told", func() {
			first := fill()
			_, _, err := f.ask(patient)
			Expect(err.(*RefusedError).RetryAfter).To(BeNumerically(">", first.RetryAfter))
		})

		// Guards against capacity that stays unused because callers have gone elsewhere.
		g.It("expire when the callers do not return", func() {
			refused := fill()
			f.now = f.now.Add(refused.RetryAfter + reservationGrace)
			f.serveQueue(f.now)
			Expect(f.contention.reservations).To(BeEmpty())
		})

		// Guards against an unbounded list, and against promises that callers cannot use.
		g.It("are bounded, and are made only for times up to which callers wait", func() {
			fill()
			for range 4 * maxReservations {
				_, _, err := f.ask(patient)
				Expect(err.(*RefusedError).RetryAfter).To(BeNumerically("<=", 2*time.Second))
			}
			Expect(len(f.contention.reservations)).To(BeNumerically("<=", maxReservations))
			for _, r := range f.contention.reservations {
				Expect(r.from).To(BeNumerically("<=", start.Add(2*time.Second)))
			}
		})
	})

	contended := func(rule string, priority int, aim time.Duration) func(*Ask) {
		return func(a *Ask) {
			a.Contended, a.Rule, a.Priority, a.Aim, a.AimLeft, a.Left = true, rule, priority, aim, aim, 6*time.Second
		}
	}

	// Guards against a less urgent request that is queued although the more urgent ones that arrive
	// meanwhile leave it no slot within its aim.
	g.It("refuses a less urgent request at once while more urgent ones are expected to fill the pool", func() {
		admitted := func(every time.Duration) bool {
			f := newFixture(Target{ID: "a", Slots: 2, DataCentre: "dc1"})
			var running []Permit
			for range 40 {
				f.now = f.now.Add(every)
				if len(running) == 2 {
					f.reportServed(running[0], 100*time.Millisecond)
					running = running[1:]
				}
				if _, p, err := f.ask(contended("urgent", 0, 500*time.Millisecond)); err == nil && p.Target != "" {
					running = append(running, p)
				}
			}
			f.ask(contended("patient", 2, 400*time.Millisecond))
			_, _, err := f.ask(contended("patient", 2, 400*time.Millisecond))
			return err == nil
		}
		Expect(admitted(100 * time.Millisecond)).To(BeTrue())
		Expect(admitted(45 * time.Millisecond)).To(BeFalse())
	})

	g.It("orders an ask of an older build by its arrival", func() {
		f := newFixture(Target{ID: "a", Slots: 1, DataCentre: "dc1"})
		_, first, _ := f.ask(contended("r", 1, time.Second))
		old, _, _ := f.ask(func(a *Ask) { a.Priority, a.AimLeft, a.Left = 1, time.Second, 6*time.Second })
		f.now = f.now.Add(10 * time.Millisecond)
		newer, _, _ := f.ask(contended("r", 1, time.Second))
		f.reportServed(first, 10*time.Millisecond)
		Expect(old.done).To(Receive())
		Expect(newer.done).NotTo(Receive())
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
