package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/rules"
)

// manualClock is a clock that tests set.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

var _ = Describe("the retry budget", func() {
	config := RetryBudgetConfig{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

	countRetries := func(b *RetryBudget, instances int) int {
		n := 0
		for n < 1000 && b.AllowRetry("s", instances, true) {
			n++
		}
		return n
	}

	It("is a share of the requests and this instance's part of the slack", func() {
		b := NewRetryBudget(&manualClock{now: clock.Instant(time.Hour)}, config)
		for range 1000 {
			b.CountRequest("s")
		}
		Expect(countRetries(b, 12)).To(BeNumerically("~", usableShare*(200+5), 1))
	})

	// Guards against spending all retries on callers that can retry themselves. When all targets
	// refuse half of their requests, none would be left for callers that have retried already, and
	// those would be refused twice.
	It("is reserved in part for callers that cannot retry themselves", func() {
		b := NewRetryBudget(&manualClock{now: clock.Instant(time.Hour)}, config)
		for range 1000 {
			b.CountRequest("s")
		}
		first := 0
		for first < 1000 && b.AllowRetry("s", 12, false) {
			first++
		}
		Expect(first).To(BeNumerically("~", callerCanRetryShare*usableShare*205, 1))
		Expect(countRetries(b, 12)).To(BeNumerically("~", (1-callerCanRetryShare)*usableShare*205, 2))
	})

	// Guards against exceeding the budget after all instances were killed. They start at the same
	// time, and none knows yet how many others there are: each would use the whole slack.
	It("has no slack while the number of instances is not known", func() {
		b := NewRetryBudget(&manualClock{now: clock.Instant(time.Hour)}, config)
		Expect(countRetries(b, 0)).To(BeZero())
	})

	It("is restored as the window moves on", func() {
		c := &manualClock{now: clock.Instant(time.Hour)}
		b := NewRetryBudget(c, config)
		Expect(countRetries(b, 12)).To(Equal(4))
		c.now = c.now.Add(5 * time.Second)
		Expect(countRetries(b, 12)).To(BeZero())
		c.now = c.now.Add(6 * time.Second)
		Expect(countRetries(b, 12)).To(Equal(4))
	})
})

var _ = Describe("the backend picker", func() {
	It("follows the weights exactly", func() {
		r := &rules.Rule{Name: "r", Then: rules.Then{Backends: []rules.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}}
		picker := NewBackendPicker()
		counts := map[string]int{}
		for range 200 {
			counts[picker.Pick(r)]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 180, "b": 20}))
	})
})
