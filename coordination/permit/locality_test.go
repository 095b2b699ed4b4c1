package permit

import (
	"math/rand/v2"
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

// outcomeCount counts the outcomes of simulated requests, and those that ran in another data centre
// than their caller's.
type outcomeCount struct{ inTime, late, refused, otherDataCentre int }

// simulateDataCentres simulates requests of 180 ms from three data centres with two targets of six
// slots each, where the targets of the first data centre are twice as fast, and counts the
// outcomes.
func simulateDataCentres(crossDataCentreCost time.Duration, perSecond int) outcomeCount {
	const (
		work    = 180 * time.Millisecond
		aim     = 600 * time.Millisecond
		seconds = 20
	)
	random := rand.New(rand.NewPCG(3, 3))
	dataCentres := []string{"dc1", "dc2", "dc3"}
	var list []Target
	for _, dataCentre := range dataCentres {
		list = append(list, Target{ID: dataCentre + "a", DataCentre: dataCentre, Slots: 6}, Target{ID: dataCentre + "b", DataCentre: dataCentre, Slots: 6})
	}
	f := newFixture(list...)
	type end struct {
		at clock.Instant
		p  Permit
		w  *waiter
	}
	var count outcomeCount
	var running []end
	begin := func(w *waiter, p Permit) {
		took := time.Duration(float64(work) * (0.5 + random.Float64()))
		if f.targets[p.Target].DataCentre == "dc1" {
			took /= 2
		}
		if f.targets[p.Target].DataCentre != w.ask.DataCentre {
			count.otherDataCentre++
		}
		running = append(running, end{f.now.Add(took), p, w})
	}
	var queued []*waiter
	for step := range seconds * 1000 {
		f.now = start.Add(time.Duration(step) * time.Millisecond)
		var rest []end
		for _, e := range running {
			if e.at > f.now {
				rest = append(rest, e)
				continue
			}
			if f.now <= e.w.aim {
				count.inTime++
			} else {
				count.late++
			}
			f.report(Report{ID: e.p.ID, Target: e.p.Target, Rule: "r", Result: ResultServed, Took: f.now.Sub(f.granted[e.p.ID].grantedAt)}, f.now)
		}
		running = rest
		if random.IntN(1000) < perSecond {
			dataCentre := dataCentres[random.IntN(len(dataCentres))]
			w, p, err := f.ask(func(a *Ask) {
				a.DataCentre, a.Abroad, a.AimLeft, a.Left = dataCentre, crossDataCentreCost, aim, 1500*time.Millisecond
			})
			switch {
			case err != nil:
				count.refused++
			case p.Target != "":
				begin(w, p)
			default:
				queued = append(queued, w)
			}
		}
		f.serveQueue(f.now)
		var waiting []*waiter
		for _, w := range queued {
			select {
			case a := <-w.done:
				if a.err != nil {
					count.refused++
				} else {
					begin(w, a.permit)
				}
			default:
				waiting = append(waiting, w)
			}
		}
		queued = waiting
	}
	return count
}

var _ = g.Describe("large responses", func() {
	largeResponseCost := CrossDataCentreCost(90_000)

	// Responses of 90 KB are requested in three data centres, and the targets of one are the
	// fastest. If only the duration counted, all requests would go there, although all are in time
	// locally too, and the traffic between data centres, which is the most expensive part, would
	// grow.
	g.It("come from the local data centre while they are in time there", func() {
		withCost, withoutCost := simulateDataCentres(largeResponseCost, 60), simulateDataCentres(crossDataCentreBaseCost, 60)
		total := withCost.inTime + withCost.late + withCost.refused
		Expect(withCost.otherDataCentre).To(BeNumerically("<", withoutCost.otherDataCentre/4), "%+v, by duration alone %+v", withCost, withoutCost)
		Expect(withCost.late + withCost.refused).To(BeNumerically("<=", total/100))
	})

	// Guards against refusing callers in one data centre while another one has free slots.
	g.It("come from another data centre if they would be late from the local one", func() {
		count := simulateDataCentres(largeResponseCost, 210)
		total := count.inTime + count.late + count.refused
		Expect(count.late+count.refused).To(BeNumerically("<", total/20), "%+v", count)
		Expect(count.otherDataCentre).To(BeNumerically(">", 0))
	})

	g.It("do not wait for a local target if there is none", func() {
		f := newFixture(Target{ID: "b", Slots: 1, DataCentre: "dc2"})
		_, p, err := f.ask(func(a *Ask) { a.DataCentre, a.Abroad = "dc1", largeResponseCost })
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("b"))
	})
})
