package assign

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
)

var _ = ginkgo.Describe("keys whose owner is not listed and does not answer", func() {
	lost := func(m *keyrange.Map) (keys int) {
		for _, r := range m.Ranges {
			if r.Lost {
				keys += r.Keys()
			}
		}
		return keys
	}

	ginkgo.It("are marked as lost until its last grant has expired (guards against callers that wait for them)", func() {
		m := NewManager(config, nil, start)
		m.SetLoad(evenLoad(6), nil)
		a, b := target("a"), target("b")
		now := settle(m, start, []view.Target{a, b})
		had := owners(m.Map())["a"]
		// runWithoutA runs the manager while a is not listed and does not answer.
		runWithoutA := func(length time.Duration) {
			for end := now.Add(length); now < end; {
				now = now.Add(25 * time.Millisecond)
				m.SetTargets(now, []view.Target{b})
				for _, o := range m.DueOrders(now, false) {
					outcome := OutcomeDone
					if o.Target == "a" {
						outcome = OutcomeNotSent
					}
					m.RecordOutcome(now, o, outcome, "h")
				}
				if p := m.Propose(now); p != nil {
					m.RecordStored(p)
				}
			}
		}
		runWithoutA(unresponsiveAfter + retryAfter + time.Second)
		Expect(lost(m.Map())).To(Equal(had))
		runWithoutA(config.HoldMax)
		Expect(lost(m.Map())).To(BeZero())
		Expect(owners(m.Map())["b"]).To(Equal(keyrange.MaxKey + 1))
	})
})
