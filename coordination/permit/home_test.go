package permit

import (
	"math/rand/v2"
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

// served is what callers got in a play.
type servedCount struct{ inTime, late, refused, abroad int }

// playHomes lets requests of 180 ms arrive from three data centres, with two targets of six slots
// each, of which those of the first are twice as fast, and counts what callers get.
func playHomes(cost time.Duration, perSecond int) servedCount {
	const (
		work    = 180 * time.Millisecond
		aim     = 600 * time.Millisecond
		seconds = 20
	)
	random := rand.New(rand.NewPCG(3, 3))
	homes := []string{"dc1", "dc2", "dc3"}
	var list []Target
	for _, home := range homes {
		list = append(list, Target{ID: home + "a", DataCentre: home, Slots: 6}, Target{ID: home + "b", DataCentre: home, Slots: 6})
	}
	f := newFixture(list...)
	type end struct {
		at clock.Instant
		p  Permit
		w  *waiter
	}
	var count servedCount
	var running []end
	begin := func(w *waiter, p Permit) {
		took := time.Duration(float64(work) * (0.5 + random.Float64()))
		if f.slots[p.Target].DataCentre == "dc1" {
			took /= 2
		}
		if f.slots[p.Target].DataCentre != w.ask.DataCentre {
			count.abroad++
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
			f.report(Report{ID: e.p.ID, Target: e.p.Target, Rule: "r", Result: Served, Took: f.now.Sub(f.uses[e.p.ID].begun)}, f.now)
		}
		running = rest
		if random.IntN(1000) < perSecond {
			home := homes[random.IntN(len(homes))]
			w, p, err := f.ask(func(a *Ask) { a.DataCentre, a.Abroad, a.AimLeft, a.Left = home, cost, aim, 1500*time.Millisecond })
			switch {
			case err != nil:
				count.refused++
			case p.Target != "":
				begin(w, p)
			default:
				queued = append(queued, w)
			}
		}
		f.serve(f.now)
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

var _ = g.Describe("large answers", func() {
	large := CrossDataCentreCost(90_000)

	// Symptom: bytes between data centres cost more than anything else. Sequence: answers of
	// 90 KB are asked for in three data centres; the targets of one are fastest. Cause: nothing
	// but the time was looked at, and all went there, though all are in time at home.
	g.It("come from the own data centre while they are in time there", func() {
		near, far := playHomes(large, 60), playHomes(abroad, 60)
		total := near.inTime + near.late + near.refused
		Expect(near.abroad).To(BeNumerically("<", far.abroad/4), "%+v, by time alone %+v", near, far)
		Expect(near.late + near.refused).To(BeNumerically("<=", total/100))
	})

	// Symptom: callers of one data centre are refused while another has free slots.
	g.It("come from elsewhere where they would be late at home", func() {
		near := playHomes(large, 210)
		total := near.inTime + near.late + near.refused
		Expect(near.late+near.refused).To(BeNumerically("<", total/20), "%+v", near)
		Expect(near.abroad).To(BeNumerically(">", 0))
	})

	g.It("do not wait for targets that are not there", func() {
		f := newFixture(Target{ID: "b", Slots: 1, DataCentre: "dc2"})
		_, p, err := f.ask(func(a *Ask) { a.DataCentre, a.Abroad = "dc1", large })
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("b"))
	})
})
