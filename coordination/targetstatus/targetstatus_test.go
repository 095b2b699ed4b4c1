package targetstatus_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/targetstatus"
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
		r *targetstatus.Registry
	)
	BeforeEach(func() {
		c = &handClock{now: clock.Instant(time.Hour)}
		r = targetstatus.NewRegistry(c, drain)
	})
	all := func(string) bool { return true }
	none := func(string) bool { return false }

	It("counts from the first word", func() {
		Expect(r.RecordStatus("t", true, 0)).To(BeTrue())
		c.pass(time.Second)
		Expect(r.RecordStatus("t", true, 0)).To(BeFalse())
		Expect(r.HasLeft("t")).To(BeFalse())
		c.pass(drain - time.Second)
		Expect(r.HasLeft("t")).To(BeTrue())
		Expect(r.HasLeft("other")).To(BeFalse())
	})

	It("is sent nothing from the first word on where it takes nothing", func() {
		r = targetstatus.NewRegistry(c, 0)
		r.RecordStatus("t", true, 0)
		Expect(r.HasLeft("t")).To(BeTrue())
	})

	It("does not take back a word that an answer lacks", func() {
		r.RecordStatus("t", true, 0)
		r.RecordStatus("t", false, 0)
		r.RecordStatus("t", false, time.Second)
		c.pass(drain)
		Expect(r.HasLeft("t")).To(BeTrue())
	})

	It("has the longest of several pauses", func() {
		r.RecordStatus("t", false, 3*time.Second)
		c.pass(time.Second)
		r.RecordStatus("t", false, time.Second)
		Expect(r.RemainingPause("t")).To(Equal(2 * time.Second))
		Expect(r.TargetsToAvoid()).To(ConsistOf("t"))
		c.pass(2 * time.Second)
		Expect(r.RemainingPause("t")).To(BeZero())
		Expect(r.TargetsToAvoid()).To(BeEmpty())
		Expect(r.HasLeft("t")).To(BeFalse())
	})

	It("is kept while the registry has lost a target, and not for ever", func() {
		r.RecordStatus("t", true, 0)
		c.pass(time.Minute)
		r.Prune(none)
		Expect(r.HasLeft("t")).To(BeTrue())
		c.pass(time.Hour)
		r.Prune(all)
		Expect(r.HasLeft("t")).To(BeTrue())
		r.Prune(none)
		Expect(r.HasLeft("t")).To(BeFalse())
	})

	It("binds only who was told; others are told who leaves", func() {
		r.RecordReported([]string{"t"})
		c.pass(drain)
		Expect(r.HasLeft("t")).To(BeFalse())
		Expect(r.TargetsToAvoid()).To(BeEmpty())
		Expect(r.Leaving(all)).To(ConsistOf("t"))
		Expect(r.Leaving(none)).To(BeEmpty())
		c.pass(time.Minute)
		Expect(r.Leaving(all)).To(BeEmpty())
	})

	It("names a target once that several were told by", func() {
		r.RecordStatus("t", true, 0)
		r.RecordReported([]string{"t", "u"})
		Expect(r.Leaving(all)).To(Equal([]string{"t", "u"}))
	})

	It("are limits for all instances, with the age of the word, until a target names none", func() {
		Expect(r.RecordLimit("a", 0)).To(BeZero())
		Expect(r.RecordLimit("a", 1.5)).To(BeZero())
		c.pass(time.Second)
		r.RecordLimit("b", 3)
		Expect(r.Limits(all)).To(ConsistOf(
			targetstatus.Limit{Target: "a", PerSecond: 1.5, Age: time.Second}, targetstatus.Limit{Target: "b", PerSecond: 3},
		))
		Expect(r.Limits(none)).To(BeEmpty())
		Expect(r.RecordLimit("a", 0)).To(Equal(1.5))
		Expect(r.Limited("a")).To(BeFalse())
		Expect(r.Limited("b")).To(BeTrue())
		Expect(r.TargetsToAvoid()).To(BeEmpty())
	})
})
