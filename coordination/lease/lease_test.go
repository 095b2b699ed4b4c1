package lease

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Lease")
}

const start = clock.Instant(time.Hour)

var _ = Describe("a lease", func() {
	// Guards against two leaders. A renewal takes effect, but the store's response is slow. An
	// observer waits for the duration of a lease from when it sees the new version, while the
	// holder counts from the response. The holder must count from the beginning of the renewal.
	It("expires for its holder before any other instance may take it", func() {
		var own OwnLease
		var o Observer
		begun, seen, answered := start, start.Add(300*time.Millisecond), start.Add(600*time.Millisecond)
		own.Renewed(begun)
		o.Observe(7, false, seen)
		Expect(own.Valid(answered)).To(BeTrue())
		for t := answered; t < start.Add(5*time.Second); t = t.Add(time.Millisecond) {
			Expect(own.Valid(t) && o.MayAcquire(t)).To(BeFalse())
		}
		Expect(o.MayAcquire(start.Add(5 * time.Second))).To(BeTrue())
	})

	It("does not count as free for an observer whose clock runs fast within the tolerance", func() {
		var own OwnLease
		var o Observer
		own.Renewed(start)
		o.Observe(7, false, start)
		end := own.Until().Sub(start)
		fast := time.Duration(float64(end) * (1 + ClockTolerance))
		Expect(o.MayAcquire(start.Add(fast))).To(BeFalse())
	})

	It("is counted anew from each newer version, and an older one is ignored", func() {
		var o Observer
		o.Observe(7, false, start)
		o.Observe(8, false, start.Add(time.Second))
		o.Observe(7, true, start.Add(1500*time.Millisecond))
		Expect(o.MayAcquire(start.Add(Duration + 500*time.Millisecond))).To(BeFalse())
	})

	It("may be taken at once if it was given up or never held", func() {
		var o Observer
		Expect(o.MayAcquire(start)).To(BeFalse())
		o.Observe(0, false, start)
		Expect(o.MayAcquire(start)).To(BeTrue())
		o.Observe(3, true, start)
		Expect(o.MayAcquire(start)).To(BeTrue())
	})

	It("is not valid before the first renewal and after it was given up", func() {
		var own OwnLease
		Expect(own.Valid(start)).To(BeFalse())
		own.Renewed(start)
		own.GivenUp()
		Expect(own.Valid(start)).To(BeFalse())
	})
})
