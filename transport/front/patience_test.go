package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("patience", func() {
	It("tells a request that came back from a first one", func() {
		p := NewPatience()
		for range 20 {
			_, returning := p.Seen("r", 4*time.Second)
			Expect(returning).To(BeFalse())
		}
		elapsed, returning := p.Seen("r", 2900*time.Millisecond)
		Expect(returning).To(BeTrue())
		Expect(elapsed).To(BeNumerically("~", 1100*time.Millisecond, 100*time.Millisecond))
	})

	// Symptom: most requests are queued up to their deadline, answered late, and refused again
	// when they come back. Sequence: callers wait for 5.1 to 6 s; one waits for 6 s.
	// Cause: all others were taken for callers who had come back, with most of the aim gone.
	It("takes callers that differ a little for first ones", func() {
		p := NewPatience()
		returned := 0
		for i := range 900 {
			if _, returning := p.Seen("r", 5100*time.Millisecond+time.Duration(i*337%900)*time.Millisecond); returning && i > 50 {
				returned++
			}
			if i%3 == 0 {
				p.Seen("r", 3400*time.Millisecond+time.Duration(i*337%600)*time.Millisecond)
			}
			if i%100 == 99 {
				_, returning := p.Seen("r", 9*time.Second)
				Expect(returning).To(BeFalse())
			}
		}
		Expect(returned).To(BeNumerically("<", 20))
		elapsed, returning := p.Seen("r", 3700*time.Millisecond)
		Expect(returning).To(BeTrue())
		Expect(elapsed).To(BeNumerically("~", 1850*time.Millisecond, 350*time.Millisecond))
	})
})
