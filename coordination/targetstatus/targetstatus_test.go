package targetstatus_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/targetstatus"
)

func TestTargetStatus(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "TargetStatus")
}

// fakeClock is a manually driven clock.
type fakeClock struct{ now clock.Instant }

func (c *fakeClock) Now() clock.Instant { return c.now }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// drain is how long a target accepts requests after it has first stated that it is leaving.
const drain = 2500 * time.Millisecond

var _ = Describe("the status that targets state", func() {
	var (
		c *fakeClock
		r *targetstatus.Tracker
	)
	BeforeEach(func() {
		c = &fakeClock{now: clock.Instant(time.Hour)}
		r = targetstatus.NewTracker(c, drain)
	})
	all := func(string) bool { return true }
	none := func(string) bool { return false }

	It("counts the drain time from the first statement that the target is leaving", func() {
		Expect(r.RecordStatus("t", true, 0)).To(BeTrue())
		c.advance(time.Second)
		Expect(r.RecordStatus("t", true, 0)).To(BeFalse())
		Expect(r.DrainTimeOver("t")).To(BeFalse())
		c.advance(drain - time.Second)
		Expect(r.DrainTimeOver("t")).To(BeTrue())
		Expect(r.DrainTimeOver("other")).To(BeFalse())
	})

	It("allows no requests at all to a leaving target if the drain time is zero", func() {
		r = targetstatus.NewTracker(c, 0)
		r.RecordStatus("t", true, 0)
		Expect(r.DrainTimeOver("t")).To(BeTrue())
	})

	It("keeps a target leaving when a later answer does not state it", func() {
		r.RecordStatus("t", true, 0)
		r.RecordStatus("t", false, 0)
		r.RecordStatus("t", false, time.Second)
		c.advance(drain)
		Expect(r.DrainTimeOver("t")).To(BeTrue())
	})

	It("uses the pause that ends last", func() {
		r.RecordStatus("t", false, 3*time.Second)
		c.advance(time.Second)
		r.RecordStatus("t", false, time.Second)
		Expect(r.RemainingPause("t")).To(Equal(2 * time.Second))
		Expect(r.TargetsToAvoid()).To(ConsistOf("t"))
		c.advance(2 * time.Second)
		Expect(r.RemainingPause("t")).To(BeZero())
		Expect(r.TargetsToAvoid()).To(BeEmpty())
		Expect(r.DrainTimeOver("t")).To(BeFalse())
	})

	It("is retained while a target is not listed, but not forever", func() {
		r.RecordStatus("t", true, 0)
		c.advance(time.Minute)
		r.Prune(none)
		Expect(r.DrainTimeOver("t")).To(BeTrue())
		c.advance(time.Hour)
		r.Prune(all)
		Expect(r.DrainTimeOver("t")).To(BeTrue())
		r.Prune(none)
		Expect(r.DrainTimeOver("t")).To(BeFalse())
	})

	It("binds only the instance that received it; others learn which targets are leaving", func() {
		r.RecordReported([]string{"t"})
		c.advance(drain)
		Expect(r.DrainTimeOver("t")).To(BeFalse())
		Expect(r.TargetsToAvoid()).To(BeEmpty())
		Expect(r.Leaving(all)).To(ConsistOf("t"))
		Expect(r.Leaving(none)).To(BeEmpty())
		c.advance(time.Minute)
		Expect(r.Leaving(all)).To(BeEmpty())
	})

	It("lists a target once if it has stated to several instances that it is leaving", func() {
		r.RecordStatus("t", true, 0)
		r.RecordReported([]string{"t", "u"})
		Expect(r.Leaving(all)).To(Equal([]string{"t", "u"}))
	})

	It("includes limits for all instances, with their age, until a target states none", func() {
		Expect(r.RecordLimit("a", 0)).To(BeZero())
		Expect(r.RecordLimit("a", 1.5)).To(BeZero())
		c.advance(time.Second)
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
