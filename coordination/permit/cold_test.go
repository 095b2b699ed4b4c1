package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

var _ = g.Describe("a cold target", func() {
	const rate = 5.8
	cold := func(until time.Duration) Target {
		return Target{ID: "a", Slots: 30, ColdUntil: start.Add(until), ColdRate: rate}
	}
	// countSent asks continuously, returns the permits at once, and counts them.
	countSent := func(f *fixture, length time.Duration) int {
		count := 0
		for end := f.now.Add(length); f.now < end; f.now = f.now.Add(5 * time.Millisecond) {
			f.setTargets([]Target{f.targets["a"].Target}, f.now)
			w, p, err := f.ask(func(a *Ask) { a.Left = 60 * time.Second; a.AimLeft = time.Minute })
			if err != nil {
				continue
			}
			if p.Target == "" {
				f.serveQueue(f.now)
				select {
				case done := <-w.done:
					p = done.permit
				default:
					f.abandon(w.ask.ID, f.now)
					continue
				}
			}
			count++
			f.report(Report{ID: p.ID, Target: p.Target, Rule: "r", Result: ResultDropped}, f.now)
		}
		return count
	}

	g.It("gets requests at its cold rate, and all requests afterwards (guards against overloading targets that have just started)", func() {
		f := newFixture(cold(3 * time.Second))
		Expect(countSent(f, 3*time.Second)).To(BeNumerically("~", 3*rate, 2))
		Expect(countSent(f, time.Second)).To(BeNumerically(">", 100))
	})

	g.It("gets no more when its keeper changes (guards against each keeper starting with a burst)", func() {
		before, after := newFixture(cold(3*time.Second)), newFixture(cold(3*time.Second))
		countSent(before, 2*time.Second)
		after.now = before.now
		after.setTargets([]Target{cold(3 * time.Second)}, after.now)
		Expect(countSent(before, 500*time.Millisecond) + countSent(after, 500*time.Millisecond)).To(BeNumerically("<=", 6))
	})

	g.It("gets spaced requests when it becomes cold while in use (guards against keeping the previous rate)", func() {
		f := newFixture(Target{ID: "a", Slots: 30, ColdRate: rate})
		countSent(f, time.Second)
		f.setTargets([]Target{cold(10 * time.Second)}, f.now)
		Expect(countSent(f, time.Second)).To(BeNumerically("<=", 6))
	})

	g.It("has requests beyond its cold rate refused with a matching retry time (guards against callers that wait until their deadline)", func() {
		f := newFixture(cold(10 * time.Second))
		var refused *RefusedError
		for range 40 {
			_, _, err := f.ask(func(a *Ask) { a.AimLeft, a.Left = 2*time.Second, 2*time.Second })
			if err != nil {
				Expect(err).To(BeAssignableToTypeOf(refused))
				refused = err.(*RefusedError)
				break
			}
		}
		Expect(refused).NotTo(BeNil())
		Expect(len(f.waiting)).To(BeNumerically("~", 2*rate, 2))
		Expect(refused.RetryAfter).To(BeNumerically(">", time.Second))
	})

	g.It("does not delay requests to other targets of its pool", func() {
		f := newFixture(cold(3*time.Second), Target{ID: "b", Slots: 2})
		_, p, err := f.ask(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("b"))
	})

	g.It("is not cold if no cold rate is known", func() {
		Expect(Target{ColdUntil: clock.Instant(time.Hour)}.IsCold(0)).To(BeFalse())
	})
})
