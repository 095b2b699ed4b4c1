package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/targetstatus"
)

var _ = g.Describe("a target that names a limit for all instances together", func() {
	const perSecond = 1.5
	named := func(age time.Duration) func(*Ask) {
		return func(a *Ask) { a.Limits = []targetstatus.Limit{{Target: "a", PerSecond: perSecond, Age: age}} }
	}
	one := func() *fixture { return newFixture(Target{ID: "a", Slots: 6}) }
	// spendAll uses what has been saved up in a pause.
	spendAll := func(f *fixture) {
		g.GinkgoHelper()
		f.noteLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		f.now = f.now.Add(5 * time.Second)
		for range leastBurst {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Target).To(Equal("a"))
		}
	}
	// sent asks all the time, with answers at once that say what the target says, and counts what is let
	// through.
	sent := func(f *fixture, length time.Duration, change func(*Ask), says float64) int {
		count := 0
		for end := f.now.Add(length); f.now < end; f.now = f.now.Add(10 * time.Millisecond) {
			a := Ask{}
			if change != nil {
				change(&a)
			}
			f.noteLimits(a.Limits, f.now)
			w, p, err := f.ask(func(ask *Ask) { ask.AimLeft, ask.Left = time.Minute, time.Minute })
			if err != nil {
				continue
			}
			if p.Target == "" {
				f.abandon(w.ask.ID, f.now)
				continue
			}
			count++
			f.report(Report{ID: p.ID, Target: p.Target, Rule: "r", Result: Served, Took: time.Millisecond, Heard: true, Limit: says}, f.now)
		}
		return count
	}

	g.It("gets that, once one answer has named it (guards against a limit that is only passed on)", func() {
		f := one()
		sent(f, time.Second, nil, perSecond)
		Expect(sent(f, 20*time.Second, nil, perSecond)).To(BeNumerically("~", 20*perSecond, 2))
	})

	g.It("gets that from a next keeper too, from the first ask of an instance that was told (guards against a keeper that starts anew)", func() {
		Expect(sent(one(), 4*time.Second, named(0), perSecond)).To(BeNumerically("<=", 4*perSecond))
	})

	g.It("gets no more from the keepers before and after a change (guards against each beginning with a burst)", func() {
		before, after := one(), one()
		sent(before, 10*time.Second, named(0), perSecond)
		after.now = before.now
		Expect(sent(before, 2*time.Second, named(0), perSecond) + sent(after, 2*time.Second, named(0), perSecond)).To(BeNumerically("<=", 4*perSecond+leastBurst))
	})

	g.It("gets all that it takes again with the first answer that names none (guards against a limit that outlives its end)", func() {
		f := one()
		sent(f, 5*time.Second, nil, perSecond)
		Expect(sent(f, 2*time.Second, nil, 0)).To(BeNumerically(">", 100))
	})

	g.It("is not held to an older word than its last one (guards against instances that have not heard of the end)", func() {
		f := one()
		sent(f, time.Second, nil, 0)
		Expect(sent(f, time.Second, named(time.Minute), 0)).To(BeNumerically(">", 90))
	})

	g.It("is held to its newest number (guards against the first one that was named)", func() {
		f := one()
		sent(f, 5*time.Second, nil, 20)
		sent(f, 5*time.Second, nil, perSecond)
		Expect(sent(f, 20*time.Second, nil, perSecond)).To(BeNumerically("~", 20*perSecond, 2))
	})

	g.It("gets two at once after a pause (guards against requests that wait though it takes them)", func() {
		f := one()
		spendAll(f)
		_, p, _ := f.ask(nil)
		Expect(p.Target).To(BeEmpty())
	})

	g.It("has requests beyond it refused at once with when there is room (guards against callers held until their deadline)", func() {
		f := one()
		f.noteLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		_, _, err := f.ask(nil)
		var refused *RefusedError
		Expect(err).To(BeAssignableToTypeOf(refused))
		Expect(err.(*RefusedError).RetryAfter).To(BeNumerically("~", time.Second*2/3, 10*time.Millisecond))
	})

	g.It("leaves its turns to requests that are in time then (guards against late answers while more is asked than it takes)", func() {
		f := one()
		f.noteLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		inTime := func(a *Ask) { a.AimLeft = 800 * time.Millisecond }
		late := func(a *Ask) { a.AimLeft = 700 * time.Millisecond }
		_, _, err := f.ask(late)
		Expect(err).To(HaveOccurred())
		_, _, err = f.ask(inTime)
		Expect(err).NotTo(HaveOccurred())
	})

	g.It("does not count what it runs as waiting for a turn", func() {
		f := one()
		spendAll(f)
		w, _, _ := f.ask(func(a *Ask) { a.AimLeft = time.Minute })
		Expect(f.wait(w, f.now)).To(BeNumerically("~", time.Second*2/3+time.Second*2/3, 20*time.Millisecond))
	})

	g.It("leaves requests to others of its pool", func() {
		f := newFixture(two(2)...)
		f.noteLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		for range 2 {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Target).To(Equal("b"))
		}
	})
})
