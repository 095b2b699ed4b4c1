package timeline

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Timeline")
}

var _ = Describe("a time line", func() {
	// Symptom: an effect stands before its cause. Sequence: the clock of the process that
	// acted first is an hour ahead. Cause: clocks of machines differ.
	It("puts a cause before its effect whatever the clocks say", func() {
		a, b := NewRing("a", 10), NewRing("b", 10)
		late := time.Unix(7200, 0)
		a.Record(late, Event{Kind: MoveBegun})
		b.Witness(a.Lamport())
		b.Record(late.Add(-time.Hour), Event{Kind: ViewAdopted})
		merged := Merge(b.Events(), a.Events())
		Expect(merged[0].Kind).To(Equal(MoveBegun))
		Expect(merged[1].Kind).To(Equal(ViewAdopted))
	})

	It("keeps the newest events and shows that older ones are gone", func() {
		r := NewRing("a", 3)
		for range 5 {
			r.Record(time.Time{}, Event{Kind: ViewAdopted})
		}
		merged := Merge(r.Events())
		Expect(merged).To(HaveLen(4))
		Expect(merged[0].Kind).To(Equal(EventsDropped))
		Expect(merged[1].Seq).To(Equal(uint64(3)))
	})

	It("writes slots as ranges", func() {
		Expect(FormatSlots([]int{1, 2, 3, 7, 9, 10})).To(Equal("1-3,7,9-10"))
		Expect(FormatSlots(nil)).To(BeEmpty())
	})
})
