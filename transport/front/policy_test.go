package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/rules"
)

// handClock is a clock that tests set.
type handClock struct{ now clock.Instant }

func (c *handClock) Now() clock.Instant { return c.now }

var _ = Describe("the budget of repeats", func() {
	config := RetryBudgetConfig{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

	repeats := func(b *RetryBudget, instances int) int {
		n := 0
		for n < 1000 && b.AllowRetry("s", instances, true) {
			n++
		}
		return n
	}

	It("is a share of the requests and this instance's part of the rest", func() {
		b := NewRetryBudget(&handClock{now: clock.Instant(time.Hour)}, config)
		for range 1000 {
			b.CountRequest("s")
		}
		Expect(repeats(b, 12)).To(BeNumerically("~", budgetUse*(200+5), 1))
	})

	// Symptom: callers whose targets all refuse half of what they get are refused twice. Sequence:
	// repeats are spent on first tries, whose callers would have come back; none are left for
	// those that have.
	It("is kept in part for callers who do not come back", func() {
		b := NewRetryBudget(&handClock{now: clock.Instant(time.Hour)}, config)
		for range 1000 {
			b.CountRequest("s")
		}
		first := 0
		for first < 1000 && b.AllowRetry("s", 12, false) {
			first++
		}
		Expect(first).To(BeNumerically("~", firstUse*budgetUse*205, 1))
		Expect(repeats(b, 12)).To(BeNumerically("~", (1-firstUse)*budgetUse*205, 2))
	})

	// Symptom: services get more repeats than allowed after all instances were killed.
	// Sequence: each starts anew and takes the whole slack. Cause: none knows of the others.
	It("has no slack while the number of instances is not known", func() {
		b := NewRetryBudget(&handClock{now: clock.Instant(time.Hour)}, config)
		Expect(repeats(b, 0)).To(BeZero())
	})

	It("comes back as the window moves on", func() {
		c := &handClock{now: clock.Instant(time.Hour)}
		b := NewRetryBudget(c, config)
		Expect(repeats(b, 12)).To(Equal(4))
		c.now = c.now.Add(5 * time.Second)
		Expect(repeats(b, 12)).To(BeZero())
		c.now = c.now.Add(6 * time.Second)
		Expect(repeats(b, 12)).To(Equal(4))
	})
})

var _ = Describe("weights", func() {
	It("are kept to the request", func() {
		r := &rules.Rule{Name: "r", Then: rules.Then{Backends: []rules.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}}
		w := NewWeights()
		counts := map[string]int{}
		for range 200 {
			counts[w.Pick(r)]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 180, "b": 20}))
	})
})
