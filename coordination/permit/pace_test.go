package permit

import (
	"math/rand/v2"
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

// The load: many short requests without keys, on targets of which each is disturbed a fifth of the time and
// then takes three times as long. It is played with pace told and with pace learnt from answers.
var _ = g.Describe("short requests on targets that are disturbed", func() {
	const (
		work    = 65 * time.Millisecond
		aim     = 250 * time.Millisecond
		each    = 5 * time.Millisecond
		seconds = 30
	)
	play := func(tells bool) (inTime float64) {
		random := rand.New(rand.NewPCG(5, 5))
		var list []Slot
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			list = append(list, Slot{Target: name, DataCentre: "dc1", Slots: 3})
		}
		f := newFixture(list...)
		slow := map[string]float64{}
		type end struct {
			at   clock.Instant
			took time.Duration
			p    Permit
			w    *waiter
		}
		var running []end
		asked, good := 0, 0
		begin := func(w *waiter, p Permit) {
			took := time.Duration(float64(work) * (0.3 + 1.4*random.Float64()) * slow[p.Target])
			running = append(running, end{f.now.Add(took), took, p, w})
		}
		var waiting []*waiter
		for step := range seconds * 1000 {
			f.now = start.Add(time.Duration(step) * time.Millisecond)
			if step%400 == 0 {
				for _, s := range list {
					slow[s.Target] = 1
					if random.Float64() < 0.2 {
						slow[s.Target] = 3
					}
				}
			}
			rest := running[:0]
			for _, e := range running {
				if f.now < e.at {
					rest = append(rest, e)
					continue
				}
				r := Report{ID: e.p.ID, Target: e.p.Target, Rule: "r", Result: Served, Took: e.took}
				if tells {
					r.Slowness = slow[e.p.Target]
				}
				f.report(r, f.now)
				if f.now.Sub(e.w.arrived) <= aim {
					good++
				}
			}
			running = rest
			f.serve(f.now)
			kept := waiting[:0]
			for _, w := range waiting {
				select {
				case a := <-w.done:
					if a.err == nil {
						begin(w, a.permit)
					}
				default:
					kept = append(kept, w)
				}
			}
			waiting = kept
			if step%int(each/time.Millisecond) == 0 {
				asked++
				w, p, err := f.ask(func(a *Ask) { a.AimLeft, a.Left, a.DataCentre = aim, time.Second, "dc1" })
				switch {
				case err != nil:
				case p.Target != "":
					begin(w, p)
				default:
					waiting = append(waiting, w)
				}
			}
		}
		return float64(good) / float64(asked)
	}

	g.It("are in time more often where targets tell their pace (guards against a mean that hides a disturbance)", func() {
		told, learnt := play(true), play(false)
		g.GinkgoWriter.Printf("in time: %.4f told, %.4f learnt\n", told, learnt)
		Expect(1 - told).To(BeNumerically("<", 0.6*(1-learnt)))
	})
})
