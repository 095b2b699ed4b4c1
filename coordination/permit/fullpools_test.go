package permit

import (
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

// testClock is a clock that tests set.
type testClock struct{ now clock.Instant }

func (c *testClock) Now() clock.Instant { return c.now }

var _ = g.Describe("full pools", func() {
	ask := Ask{Service: "s", Target: "a", Rule: "r", Contended: true, Priority: 1, Aim: 500 * time.Millisecond, AimLeft: 498 * time.Millisecond}
	full := &RefusedError{Reason: ReasonFull, RetryAfter: 400 * time.Millisecond}
	with := func(change func(*Ask)) Ask {
		a := ask
		change(&a)
		return a
	}

	g.DescribeTable("refuse only asks that the keeper would refuse too",
		func(after time.Duration, change func(*Ask), refused bool) {
			c := &testClock{now: start}
			f := NewFullPools(c)
			f.RecordOutcome(ask, full)
			c.now = c.now.Add(after)
			Expect(f.Refuse(with(change)) != nil).To(Equal(refused))
		},
		g.Entry("the same kind", time.Millisecond, func(a *Ask) { a.AimLeft = a.Aim }, true),
		g.Entry("a less urgent kind", time.Millisecond, func(a *Ask) { a.Priority = 2 }, true),
		g.Entry("a more urgent kind", time.Millisecond, func(a *Ask) { a.Priority = 0 }, false),
		g.Entry("a kind with a longer aim", time.Millisecond, func(a *Ask) { a.Priority, a.Aim = 2, 2*time.Second }, false),
		g.Entry("a caller that returns, whose capacity may be reserved", time.Millisecond, func(a *Ask) { a.Returning = true }, false),
		g.Entry("another pool", time.Millisecond, func(a *Ask) { a.Target = "b" }, false),
		g.Entry("an ask that is not contended", time.Millisecond, func(a *Ask) { a.Contended = false }, false),
		g.Entry("just before it expires", maxFullFor-1, func(*Ask) {}, true),
		g.Entry("when it has expired", maxFullFor, func(*Ask) {}, false),
	)

	g.DescribeTable("are not recorded from asks that say nothing about others",
		func(change func(*Ask), err error) {
			f := NewFullPools(&testClock{now: start})
			f.RecordOutcome(with(change), err)
			Expect(f.Refuse(ask)).To(Succeed())
		},
		g.Entry("not contended", func(a *Ask) { a.Contended = false }, full),
		g.Entry("a late caller", func(a *Ask) { a.Returning = true }, full),
		g.Entry("a second attempt with less time", func(a *Ask) { a.AimLeft = 100 * time.Millisecond }, full),
		g.Entry("another reason", func(*Ask) {}, &RefusedError{Reason: ReasonNoTarget, RetryAfter: time.Second}),
		g.Entry("a permit", func(*Ask) {}, nil),
	)

	// Guards against a more urgent refusal that is replaced by a less urgent one of the same moment.
	g.It("keep the more urgent of two refusals", func() {
		f := NewFullPools(&testClock{now: start})
		f.RecordOutcome(ask, full)
		f.RecordOutcome(with(func(a *Ask) { a.Priority = 2 }), full)
		Expect(f.Refuse(ask)).To(MatchError(full))
	})
})
