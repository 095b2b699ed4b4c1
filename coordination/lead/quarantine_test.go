package lead

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/quarantine"
)

var _ = Describe("a request under which targets end at different instances", func() {
	// learnTime is the time after the last crash in which all instances must know of it.
	const learnTime = 3 * time.Second

	id := quarantine.Identity{Fingerprint: 7, Caller: 1}

	// knowing counts the instances at which the request is quarantined, but for those that are down.
	knowing := func(g *grown) int {
		g.mu.Lock()
		defer g.mu.Unlock()
		count := 0
		for address, c := range g.all {
			if _, is := c.quarantine.Quarantined(id); is && !g.down[address] {
				count++
			}
		}
		return count
	}

	// Symptom: a request goes on to crash targets through instances that have not seen it. Sequence: two
	// instances of different data centres of a large fleet see one crash each.
	// Cause: no instance saw enough by itself.
	It("is known to all in time", func() {
		g := newGrown(120, 5)
		g.start()
		g.all[g.list[118].Address].quarantine.RecordCrash(id, "t1")
		g.all[g.list[119].Address].quarantine.RecordCrash(id, "t2")
		Eventually(func() int { return knowing(g) }, learnTime, "20ms").Should(Equal(120))
	})

	// Sequence: the same, while a relay of the tree that one of them reports through is lost.
	It("is known to all in time when a relay is lost", func() {
		g := newGrown(120, 5)
		g.start()
		time.Sleep(300 * time.Millisecond)
		g.all[g.list[118].Address].quarantine.RecordCrash(id, "t1")
		g.all[g.list[119].Address].quarantine.RecordCrash(id, "t2")
		lost := g.relaysOf("dc4")[0]
		g.set(g.down, true, lost)
		Eventually(func() int { return knowing(g) }, learnTime, "20ms").Should(BeNumerically(">=", 119))
	})
})
