package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the return detector", func() {
	It("tells a returning request from a first one", func() {
		p := NewReturnDetector()
		for range 20 {
			_, returning := p.Observe("r", 4*time.Second)
			Expect(returning).To(BeFalse())
		}
		elapsed, returning := p.Observe("r", 2900*time.Millisecond)
		Expect(returning).To(BeTrue())
		Expect(elapsed).To(BeNumerically("~", 1100*time.Millisecond, 100*time.Millisecond))
	})

	// Guards against taking first requests for returning ones where callers' timeouts vary, here
	// between 5.1 and 6 s. Those requests had most of their aim used up, were queued up to their
	// deadline, answered late, and refused again when they came back.
	It("takes requests whose timeouts vary a little for first ones", func() {
		p := NewReturnDetector()
		returned := 0
		for i := range 900 {
			if _, returning := p.Observe("r", 5100*time.Millisecond+time.Duration(i*337%900)*time.Millisecond); returning && i > 50 {
				returned++
			}
			if i%3 == 0 {
				p.Observe("r", 3400*time.Millisecond+time.Duration(i*337%600)*time.Millisecond)
			}
			if i%100 == 99 {
				_, returning := p.Observe("r", 9*time.Second)
				Expect(returning).To(BeFalse())
			}
		}
		Expect(returned).To(BeNumerically("<", 20))
		elapsed, returning := p.Observe("r", 3700*time.Millisecond)
		Expect(returning).To(BeTrue())
		Expect(elapsed).To(BeNumerically("~", 1850*time.Millisecond, 350*time.Millisecond))
	})
})
