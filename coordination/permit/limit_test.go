package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/targetstatus"
)

var _ = g.Describe("a target that reports a limit for all instances together", func() {
	const perSecond = 1.5
	withLimit := func(age time.Duration) func(*Ask) {
		return func(a *Ask) { a.Limits = []targetstatus.Limit{{Target: "a", PerSecond: perSecond, Age: age}} }
	}
	oneTarget := func() *fixture { return newFixture(Target{ID: "a", Slots: 6}) }
	// useBurst uses up the burst that is available after a time without requests.
	useBurst := func(f *fixture) {
		g.GinkgoHelper()
		f.recordLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		f.now = f.now.Add(5 * time.Second)
		for range minBurst {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Target).To(Equal("a"))
		}
	}
	// countSent asks continuously, reports the given limit of the target at once, and counts the
	// permits.
	countSent := func(f *fixture, length time.Duration, change func(*Ask), limit float64) int {
		count := 0
		for end := f.now.Add(length); f.now < end; f.now = f.now.Add(10 * time.Millisecond) {
			a := Ask{}
			if change != nil {
				change(&a)
			}
			f.recordLimits(a.Limits, f.now)
			w, p, err := f.ask(func(ask *Ask) { ask.AimLeft, ask.Left = time.Minute, time.Minute })
			if err != nil {
				continue
			}
			if p.Target == "" {
				f.abandon(w.ask.ID, f.now)
				continue
			}
			count++
			f.report(Report{ID: p.ID, Target: p.Target, Rule: "r", Result: ResultServed, Took: time.Millisecond, Heard: true, Limit: limit}, f.now)
		}
		return count
	}

	g.It("gets requests at this rate once one response has reported it (guards against a limit that is only forwarded)", func() {
		f := oneTarget()
		countSent(f, time.Second, nil, perSecond)
		Expect(countSent(f, 20*time.Second, nil, perSecond)).To(BeNumerically("~", 20*perSecond, 2))
	})

	g.It("gets requests at this rate from a new keeper too, from the first ask that contains the limit (guards against a keeper that starts without it)", func() {
		Expect(countSent(oneTarget(), 4*time.Second, withLimit(0), perSecond)).To(BeNumerically("<=", 4*perSecond))
	})

	g.It("gets no more when its keeper changes (guards against each keeper starting with a burst)", func() {
		before, after := oneTarget(), oneTarget()
		countSent(before, 10*time.Second, withLimit(0), perSecond)
		after.now = before.now
		Expect(countSent(before, 2*time.Second, withLimit(0), perSecond) + countSent(after, 2*time.Second, withLimit(0), perSecond)).To(BeNumerically("<=", 4*perSecond+minBurst))
	})

	g.It("gets requests without a limit after the first response that reports none (guards against a limit that is never lifted)", func() {
		f := oneTarget()
		countSent(f, 5*time.Second, nil, perSecond)
		Expect(countSent(f, 2*time.Second, nil, 0)).To(BeNumerically(">", 100))
	})

	g.It("is not limited by an older limit than its last response reported (guards against instances that do not know that the limit was lifted)", func() {
		f := oneTarget()
		countSent(f, time.Second, nil, 0)
		Expect(countSent(f, time.Second, withLimit(time.Minute), 0)).To(BeNumerically(">", 90))
	})

	g.It("is limited by its newest limit (guards against enforcing the first one)", func() {
		f := oneTarget()
		countSent(f, 5*time.Second, nil, 20)
		countSent(f, 5*time.Second, nil, perSecond)
		Expect(countSent(f, 20*time.Second, nil, perSecond)).To(BeNumerically("~", 20*perSecond, 2))
	})

	g.It("gets two requests at once after a time without requests (guards against requests that wait although it would accept them)", func() {
		f := oneTarget()
		useBurst(f)
		_, p, _ := f.ask(nil)
		Expect(p.Target).To(BeEmpty())
	})

	g.It("has requests beyond it refused at once with a matching retry time (guards against callers that wait until their deadline)", func() {
		f := oneTarget()
		f.recordLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		_, _, err := f.ask(nil)
		var refused *RefusedError
		Expect(err).To(BeAssignableToTypeOf(refused))
		Expect(err.(*RefusedError).RetryAfter).To(BeNumerically("~", time.Second*2/3, 10*time.Millisecond))
	})

	g.It("serves requests that will be in time (guards against late responses while more requests arrive than it accepts)", func() {
		f := oneTarget()
		f.recordLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		inTime := func(a *Ask) { a.AimLeft = 800 * time.Millisecond }
		late := func(a *Ask) { a.AimLeft = 700 * time.Millisecond }
		_, _, err := f.ask(late)
		Expect(err).To(HaveOccurred())
		_, _, err = f.ask(inTime)
		Expect(err).NotTo(HaveOccurred())
	})

	g.It("does not count its running requests as waiting for the limit", func() {
		f := oneTarget()
		useBurst(f)
		w, _, _ := f.ask(func(a *Ask) { a.AimLeft = time.Minute })
		Expect(f.estimateWait(w, f.now)).To(BeNumerically("~", time.Second*2/3+time.Second*2/3, 20*time.Millisecond))
	})

	g.It("does not delay requests to other targets of its pool", func() {
		f := newFixture(twoTargets(2)...)
		f.recordLimits([]targetstatus.Limit{{Target: "a", PerSecond: perSecond}}, f.now)
		for range 2 {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Target).To(Equal("b"))
		}
	})
})
