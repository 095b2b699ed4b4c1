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

// drain is how long a target accepts requests after it has first reported that it is leaving.
const drain = 2500 * time.Millisecond

var _ = Describe("the status that targets report", func() {
	var (
		c  *fakeClock
		tr *targetstatus.Tracker
	)
	BeforeEach(func() {
		c = &fakeClock{now: clock.Instant(time.Hour)}
		tr = targetstatus.NewTracker(c, drain)
	})
	all := func(string) bool { return true }
	none := func(string) bool { return false }

	It("counts the drain time from the first report that the target is leaving", func() {
		Expect(tr.RecordStatus("t", true, 0)).To(BeTrue())
		c.advance(time.Second)
		Expect(tr.RecordStatus("t", true, 0)).To(BeFalse())
		Expect(tr.DrainTimeOver("t")).To(BeFalse())
		c.advance(drain - time.Second)
		Expect(tr.DrainTimeOver("t")).To(BeTrue())
		Expect(tr.DrainTimeOver("other")).To(BeFalse())
	})

	It("allows no requests at all to a leaving target if the drain time is zero", func() {
		tr = targetstatus.NewTracker(c, 0)
		tr.RecordStatus("t", true, 0)
		Expect(tr.DrainTimeOver("t")).To(BeTrue())
	})

	It("keeps a target leaving when a later response does not report it", func() {
		tr.RecordStatus("t", true, 0)
		tr.RecordStatus("t", false, 0)
		tr.RecordStatus("t", false, time.Second)
		c.advance(drain)
		Expect(tr.DrainTimeOver("t")).To(BeTrue())
	})

	It("uses the pause that ends last", func() {
		tr.RecordStatus("t", false, 3*time.Second)
		c.advance(time.Second)
		tr.RecordStatus("t", false, time.Second)
		Expect(tr.RemainingPause("t")).To(Equal(2 * time.Second))
		Expect(tr.TargetsToAvoid()).To(ConsistOf("t"))
		c.advance(2 * time.Second)
		Expect(tr.RemainingPause("t")).To(BeZero())
		Expect(tr.TargetsToAvoid()).To(BeEmpty())
		Expect(tr.DrainTimeOver("t")).To(BeFalse())
	})

	It("is retained while a target is not listed, but not forever", func() {
		tr.RecordStatus("t", true, 0)
		c.advance(time.Minute)
		tr.Prune(none)
		Expect(tr.DrainTimeOver("t")).To(BeTrue())
		c.advance(time.Hour)
		tr.Prune(all)
		Expect(tr.DrainTimeOver("t")).To(BeTrue())
		tr.Prune(none)
		Expect(tr.DrainTimeOver("t")).To(BeFalse())
	})

	It("applies only to the instance that received it; others only pass on which targets are leaving", func() {
		tr.RecordReported([]string{"t"})
		c.advance(drain)
		Expect(tr.DrainTimeOver("t")).To(BeFalse())
		Expect(tr.TargetsToAvoid()).To(BeEmpty())
		Expect(tr.Leaving(all)).To(ConsistOf("t"))
		Expect(tr.Leaving(none)).To(BeEmpty())
		c.advance(time.Minute)
		Expect(tr.Leaving(all)).To(BeEmpty())
	})

	It("lists a target once if it has reported to several instances that it is leaving", func() {
		tr.RecordStatus("t", true, 0)
		tr.RecordReported([]string{"t", "u"})
		Expect(tr.Leaving(all)).To(Equal([]string{"t", "u"}))
	})

	It("includes limits for all instances, with their age, until a target reports none", func() {
		Expect(tr.RecordLimit("a", 0)).To(BeZero())
		Expect(tr.RecordLimit("a", 1.5)).To(BeZero())
		c.advance(time.Second)
		tr.RecordLimit("b", 3)
		Expect(tr.Limits(all)).To(ConsistOf(
			targetstatus.Limit{Target: "a", PerSecond: 1.5, Age: time.Second}, targetstatus.Limit{Target: "b", PerSecond: 3},
		))
		Expect(tr.Limits(none)).To(BeEmpty())
		Expect(tr.RecordLimit("a", 0)).To(Equal(1.5))
		Expect(tr.Limited("a")).To(BeFalse())
		Expect(tr.Limited("b")).To(BeTrue())
		Expect(tr.TargetsToAvoid()).To(BeEmpty())
	})
})
