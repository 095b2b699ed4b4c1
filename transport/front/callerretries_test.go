package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the caller retry detector", func() {
	It("distinguishes a retry from a first request", func() {
		d := NewCallerRetryDetector()
		for range 20 {
			_, returning := d.Observe("r", 4*time.Second)
			Expect(returning).To(BeFalse())
		}
		elapsed, returning := d.Observe("r", 2900*time.Millisecond)
		Expect(returning).To(BeTrue())
		Expect(elapsed).To(BeNumerically("~", 1100*time.Millisecond, 100*time.Millisecond))
	})

	// Guards against taking first requests for retries where callers' timeouts vary, here between
	// 5.1 and 6 s. Such requests would count as having most of their aim used up, wait in the queue
	// up to their deadline, get late responses, and be refused again when their callers retry.
	It("takes requests whose timeouts vary a little for first ones", func() {
		d := NewCallerRetryDetector()
		returned := 0
		for i := range 900 {
			if _, returning := d.Observe("r", 5100*time.Millisecond+time.Duration(i*337%900)*time.Millisecond); returning && i > 50 {
				returned++
			}
			if i%3 == 0 {
				d.Observe("r", 3400*time.Millisecond+time.Duration(i*337%600)*time.Millisecond)
			}
			if i%100 == 99 {
				_, returning := d.Observe("r", 9*time.Second)
				Expect(returning).To(BeFalse())
			}
		}
		Expect(returned).To(BeNumerically("<", 20))
		elapsed, returning := d.Observe("r", 3700*time.Millisecond)
		Expect(returning).To(BeTrue())
		Expect(elapsed).To(BeNumerically("~", 1850*time.Millisecond, 350*time.Millisecond))
	})
})
