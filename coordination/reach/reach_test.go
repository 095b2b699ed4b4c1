package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reach")
}

// manualClock is a clock that a test moves.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

func (c *manualClock) advance(d time.Duration) { c.now = c.now.Add(d) }

var _ = Describe("a tracker", func() {
	var c *manualClock
	var t *Tracker

	BeforeEach(func() {
		c = &manualClock{now: clock.Instant(time.Hour)}
		t = NewTracker(c)
	})

	// breakPath records that a direct attempt has failed after a while, and a peer has reached the target.
	breakPath := func(target string) bool {
		begun := c.now
		c.advance(350 * time.Millisecond)
		return t.RecordBroken(target, begun, true)
	}

	It("sends everything through peers after two broken paths without a sign of any target", func() {
		Expect(breakPath("t1")).To(BeFalse())
		Expect(t.ThroughPeer("t1")).To(BeTrue())
		Expect(t.ThroughPeer("t3")).To(BeFalse())
		Expect(breakPath("t2")).To(BeTrue())
		Expect(t.ThroughPeer("t3")).To(BeTrue())
	})

	// Guards against an instance that takes the broken links of a few targets for a partition of its own.
	It("does not take broken links for a partition while other targets respond", func() {
		breakPath("t1")
		t.RecordHeard()
		Expect(breakPath("t2")).To(BeFalse())
		c.advance(time.Millisecond)
		t.RecordHeard()
		Expect(breakPath("t4")).To(BeFalse())
		Expect(t.ThroughPeer("t3")).To(BeFalse())
	})

	// Guards against requests on connections that are known to be silent, and against closing those that
	// work where a target only refuses new ones.
	It("keeps open connections unless the target did not answer", func() {
		t.RecordBroken("t1", c.now, false)
		t.RecordHeard()
		t.RecordBroken("t2", c.now, true)
		Expect(t.DirectUsable("t1")).To(BeTrue())
		Expect(t.DirectUsable("t2")).To(BeFalse())
		Expect(t.DirectUsable("t3")).To(BeTrue())
	})

	It("does not combine broken paths that were found far apart", func() {
		breakPath("t1")
		c.advance(evidencePeriod)
		Expect(breakPath("t2")).To(BeFalse())
	})

	// Guards against an instance that takes targets that are gone for a partition of its own.
	It("does not count targets that no instance reaches", func() {
		for n := range 10 {
			t.RecordUnreachable(fmt.Sprint("t", n))
			t.RecordFailed()
		}
		Expect(t.Partitioned()).To(BeFalse())
		Expect(t.Route("t1")).To(Equal(Route{Known: true}))
		c.advance(unreachablePeriod)
		Expect(t.Route("t1")).To(Equal(Route{}))
	})

	It("ends a partition after two direct connections in a row", func() {
		breakPath("t1")
		breakPath("t2")
		Expect(t.RecordReached("t3")).To(BeFalse())
		t.RecordFailed()
		Expect(t.RecordReached("t3")).To(BeFalse())
		Expect(t.RecordReached("t5")).To(BeTrue())
		Expect(t.ThroughPeer("t3")).To(BeFalse())
		Expect(t.ThroughPeer("t1")).To(BeTrue(), "its path has not been probed")
	})

	// Guards against a wave of connections to all targets during a partition, and after its end.
	It("limits probes to one in a probeInterval during a partition, and one for each path after it", func() {
		breakPath("t1")
		breakPath("t2")
		probes := 0
		for range 100 {
			c.advance(10 * time.Millisecond)
			Expect(t.Route("t1").Probe).To(BeFalse())
			if t.ProbeDue() {
				probes++
				t.RecordFailed()
			}
		}
		Expect(probes).To(BeNumerically("~", 2, 1))
		t.RecordReached("t3")
		Expect(t.RecordReached("t3")).To(BeTrue())
		Expect(t.ProbeDue()).To(BeFalse())
		Expect(t.Route("t1")).To(Equal(Route{ThroughPeer: true, Probe: true}))
		Expect(t.Route("t1")).To(Equal(Route{ThroughPeer: true}))
		t.RecordReached("t1")
		Expect(t.Route("t1")).To(Equal(Route{}))
	})

	It("checks silent targets only while none responds, and one at a time", func() {
		since := c.now
		c.advance(time.Second)
		Expect(t.CheckDue(since)).To(BeTrue())
		Expect(t.CheckDue(since)).To(BeFalse())
		c.advance(checkInterval)
		Expect(t.CheckDue(since)).To(BeTrue())
		t.RecordHeard()
		c.advance(checkInterval)
		Expect(t.CheckDue(since)).To(BeFalse())
	})

	It("forgets targets that are not listed", func() {
		breakPath("t1")
		t.Prune(func(string) bool { return false })
		Expect(t.ThroughPeer("t1")).To(BeFalse())
	})

	Describe("the peers to ask", func() {
		instances := func(n int) []view.Instance {
			var list []view.Instance
			for i := range n {
				list = append(list, view.Instance{ID: fmt.Sprint("i", i), DataCentre: fmt.Sprint("dc", i%4), Weight: 0.3})
			}
			return list
		}

		It("alternate between near and far data centres, and leave out itself and unusable ones", func() {
			all := instances(12)
			peers := t.Peers(all[0], view.Target{ID: "t1", DataCentre: "dc1"}, all)
			Expect(peers).To(HaveLen(MaxPeers))
			for n, p := range peers {
				near := p.DataCentre == "dc0" || p.DataCentre == "dc1"
				Expect(near).To(Equal(n%2 == 0))
				Expect(p.ID).NotTo(Equal("i0"))
			}
			t.RecordUnusable(peers[0].ID)
			Expect(t.Peers(all[0], view.Target{ID: "t1", DataCentre: "dc1"}, all)).NotTo(ContainElement(peers[0]))
			c.advance(unusablePeriod)
			Expect(t.Peers(all[0], view.Target{ID: "t1", DataCentre: "dc1"}, all)).To(ContainElement(peers[0]))
		})

		// Guards against one instance that carries the traffic of a whole data centre.
		It("spread the connections of a data centre over the other instances", func() {
			all := instances(40)
			count := map[string]int{}
			for _, self := range all {
				if self.DataCentre != "dc0" {
					continue
				}
				for n := range 100 {
					target := view.Target{ID: fmt.Sprint("t", n), DataCentre: fmt.Sprint("dc", 1+rand.IntN(3))}
					for _, p := range t.Peers(self, target, all) {
						if p.DataCentre != "dc0" {
							count[p.ID]++
							break
						}
					}
				}
			}
			mean := 10 * 100 / 30
			for id, n := range count {
				Expect(n).To(BeNumerically("<", 3*mean), id)
			}
			Expect(len(count)).To(BeNumerically(">", 25))
		})
	})
})
