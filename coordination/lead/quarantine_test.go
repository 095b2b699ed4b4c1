package lead

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/quarantine"
)

var _ = Describe("a request that crashes targets of different instances", func() {
	// learnTime is the time after the last crash within which the request must be quarantined on
	// all instances.
	const learnTime = 3 * time.Second

	id := quarantine.Identity{Fingerprint: 7, Caller: 1}

	// countQuarantined counts the running instances on which the request is quarantined.
	countQuarantined := func(g *largeFleet) int {
		g.mu.Lock()
		defer g.mu.Unlock()
		count := 0
		for address, c := range g.coordinators {
			if _, is := c.quarantine.Quarantined(id); is && !g.down[address] {
				count++
			}
		}
		return count
	}

	// Guards against a request that crashes more targets through instances that have not seen it:
	// two instances of different data centres of a large fleet see one crash each, and neither has
	// seen enough by itself.
	It("is known to all in time", func() {
		g := newLargeFleet(120, 5)
		g.start()
		g.coordinators[g.instances[118].Address].quarantine.RecordCrash(id, "t1")
		g.coordinators[g.instances[119].Address].quarantine.RecordCrash(id, "t2")
		Eventually(func() int { return countQuarantined(g) }, learnTime, "20ms").Should(Equal(120))
	})

	// The same, while a tree relay that forwards one of the two reports goes down.
	It("is known to all in time when a relay goes down", func() {
		g := newLargeFleet(120, 5)
		g.start()
		time.Sleep(300 * time.Millisecond)
		g.coordinators[g.instances[118].Address].quarantine.RecordCrash(id, "t1")
		g.coordinators[g.instances[119].Address].quarantine.RecordCrash(id, "t2")
		down := g.relaysOf("dc4")[0]
		g.setFlags(g.down, true, down)
		Eventually(func() int { return countQuarantined(g) }, learnTime, "20ms").Should(BeNumerically(">=", 119))
	})
})
