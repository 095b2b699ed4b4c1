package standing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/standing"
)

func TestStanding(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Standing")
}

// handClock is a clock that tests set.
type handClock struct{ now clock.Instant }

func (c *handClock) Now() clock.Instant { return c.now }

func (c *handClock) pass(d time.Duration) { c.now = c.now.Add(d) }

// drain is how long a target takes requests after it has said that it leaves.
const drain = 2500 * time.Millisecond

var _ = Describe("what targets say of themselves", func() {
	var (
		c *handClock
		r *standing.Registry
	)
	BeforeEach(func() {
		c = &handClock{now: clock.Instant(time.Hour)}
		r = standing.NewRegistry(c, drain)
	})
	all := func(string) bool { return true }
	none := func(string) bool { return false }

	It("counts from the first word", func() {
		Expect(r.Heard("t", true, 0)).To(BeTrue())
		c.pass(time.Second)
		Expect(r.Heard("t", true, 0)).To(BeFalse())
		Expect(r.Left("t")).To(BeFalse())
		c.pass(drain - time.Second)
		Expect(r.Left("t")).To(BeTrue())
		Expect(r.Left("other")).To(BeFalse())
	})

	It("is sent nothing from the first word on where it takes nothing", func() {
		r = standing.NewRegistry(c, 0)
		r.Heard("t", true, 0)
		Expect(r.Left("t")).To(BeTrue())
	})

	It("does not take back a word that an answer lacks", func() {
		r.Heard("t", true, 0)
		r.Heard("t", false, 0)
		r.Heard("t", false, time.Second)
		c.pass(drain)
		Expect(r.Left("t")).To(BeTrue())
	})

	It("has the longest of several pauses", func() {
		r.Heard("t", false, 3*time.Second)
		c.pass(time.Second)
		r.Heard("t", false, time.Second)
		Expect(r.Pause("t")).To(Equal(2 * time.Second))
		Expect(r.Avoid()).To(ConsistOf("t"))
		c.pass(2 * time.Second)
		Expect(r.Pause("t")).To(BeZero())
		Expect(r.Avoid()).To(BeEmpty())
		Expect(r.Left("t")).To(BeFalse())
	})

	It("is kept while the registry has lost a target, and not for ever", func() {
		r.Heard("t", true, 0)
		c.pass(time.Minute)
		r.Forget(none)
		Expect(r.Left("t")).To(BeTrue())
		c.pass(time.Hour)
		r.Forget(all)
		Expect(r.Left("t")).To(BeTrue())
		r.Forget(none)
		Expect(r.Left("t")).To(BeFalse())
	})

	It("binds only who was told; others are told who leaves", func() {
		r.Report([]string{"t"})
		c.pass(drain)
		Expect(r.Left("t")).To(BeFalse())
		Expect(r.Avoid()).To(BeEmpty())
		Expect(r.Leaving(all)).To(ConsistOf("t"))
		Expect(r.Leaving(none)).To(BeEmpty())
		c.pass(time.Minute)
		Expect(r.Leaving(all)).To(BeEmpty())
	})

	It("names a target once that several were told by", func() {
		r.Heard("t", true, 0)
		r.Report([]string{"t", "u"})
		Expect(r.Leaving(all)).To(Equal([]string{"t", "u"}))
	})

	It("are limits for all instances, with the age of the word, until a target names none", func() {
		Expect(r.HeardLimit("a", 0)).To(BeZero())
		Expect(r.HeardLimit("a", 1.5)).To(BeZero())
		c.pass(time.Second)
		r.HeardLimit("b", 3)
		Expect(r.Limits(all)).To(ConsistOf(
			standing.Limit{Target: "a", PerSecond: 1.5, Age: time.Second}, standing.Limit{Target: "b", PerSecond: 3},
		))
		Expect(r.Limits(none)).To(BeEmpty())
		Expect(r.HeardLimit("a", 0)).To(Equal(1.5))
		Expect(r.Limited("a")).To(BeFalse())
		Expect(r.Limited("b")).To(BeTrue())
		Expect(r.Avoid()).To(BeEmpty())
	})
})
