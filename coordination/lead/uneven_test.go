package lead

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

var _ = Describe("a leader of targets of uneven speed", func() {
	// moved returns how many keys a leader moves from the slow target x, which has three of four keys,
	// to the fast target y after reports of their slowness and of an even load.
	moved := func(uneven func() bool) (keys int, c *Coordinator, lines []string) {
		now := &manualClock{now: clock.Instant(time.Hour)}
		log := func(event string, fields ...any) { lines = append(lines, event+fmt.Sprint(fields...)) }
		policy := keyrange.Policy{Imbalance: 1.2, MinDifference: 0.12}
		config := Config{Self: view.Instance{ID: "i1.1", Weight: 1}, HoldMax: 10 * time.Second, PlaceByLateness: uneven, Policy: policy}
		c = New(config, now, &memoryStore{}, view.NewBoard(now), nil, noOrders{}, demand.NewCollector(), log)
		t := c.beginTerm(&storedRows{lease: lease.Row{Holder: "i1.1", Term: 1}}, now.now)
		const split = keyrange.MaxKey / 4 * 3
		stored := &keyrange.Map{Version: 3, Ranges: []keyrange.Range{{To: split, Owner: "x", Fence: 3}, {From: split + 1, To: keyrange.MaxKey, Owner: "y", Fence: 3}}}
		m := assign.NewManager(assign.Config{Service: "s", HeldUntil: now.now, Policy: policy}, stored, now.now)
		m.SetTargets(now.now, []view.Target{{ID: "x", Address: "x", Slots: 2}, {ID: "y", Address: "y", Slots: 2}})
		t.managers["s"] = m
		for range 60 {
			now.now = now.now.Add(loadInterval)
			t.holder.Renewed(now.now)
			var work []peerapi.KeyLoad
			for key := uint16(0); key < 100; key++ {
				work = append(work, peerapi.KeyLoad{Service: "s", Key: key * (keyrange.MaxKey / 100), Seconds: 0.004})
			}
			c.aggregator.AddReport(work, []peerapi.TargetStats{{Target: "x", Count: 10, Slowness: 20}, {Target: "y", Count: 10, Slowness: 5}}, now.now)
			t.refreshLoad(now.now)
		}
		t.publishMap("s", m.Propose(now.now))
		t.publishMap("s", m.Map())
		for _, r := range m.Map().Ranges {
			if r.Moving() {
				keys += r.Keys()
			}
		}
		return keys, c, lines
	}

	It("places keys by lateness only where the configuration calls for it, and tells why keys move (guards against other deployments served differently, and moves that nobody can explain)", func() {
		on, c, lines := moved(func() bool { return true })
		off, _, _ := moved(func() bool { return false })
		unset, _, _ := moved(nil)
		Expect(off).To(Equal(unset))
		Expect(on).To(BeNumerically(">", unset))
		Expect(c.Speeds()).To(And(HaveKeyWithValue("x", BeNumerically("~", 0.5, 0.05)), HaveKeyWithValue("y", BeNumerically("~", 2, 0.2))))
		Expect(lines[1:]).To(HaveExactElements(MatchRegexp(`keys-moved.*x at \d\.\d\d to y at \d\.\d\d`), HavePrefix("map-stored"), HavePrefix("map-stored")))
	})
})
