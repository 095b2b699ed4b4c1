package lead

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
)

// network carries calls between coordinators, counts them by the instance that replies, and fails
// calls from and to instances that are down or cut off.
type network struct {
	mu           sync.Mutex
	coordinators map[string]*Coordinator
	replies      map[string]int
	// Calls from and to instances that are down fail; of those in sendFails only calls from them.
	down, sendFails map[string]bool
}

// instanceNetwork is the network as used by one instance.
type instanceNetwork struct {
	*network
	address string
}

func (f instanceNetwork) Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error) {
	f.mu.Lock()
	c := f.coordinators[address]
	unreachable := c == nil || f.down[address] || f.down[f.address] || f.sendFails[f.address]
	if !unreachable {
		f.replies[address]++
	}
	f.mu.Unlock()
	if unreachable {
		return nil, errors.New("no reply")
	}
	return c.Sync(ctx, args), nil
}

// takeReplyCounts returns how many calls each instance has replied to since the last
// takeReplyCounts.
func (n *network) takeReplyCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.replies
	n.replies = map[string]int{}
	return counts
}

func (n *network) setFlags(in map[string]bool, value bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		in[a] = value
	}
}

// largeFleet is a fleet of mostly small instances in several data centres, with a large leader.
type largeFleet struct {
	*network
	instances []view.Instance
	leader    *Coordinator
	row       lease.Row
}

func newLargeFleet(count, dataCentres int) *largeFleet {
	g := &largeFleet{network: &network{coordinators: map[string]*Coordinator{}, replies: map[string]int{}, down: map[string]bool{}, sendFails: map[string]bool{}}}
	for i := range count {
		weight := 0.16
		if i < 3*dataCentres {
			weight = 0.8
		}
		g.instances = append(g.instances, view.Instance{ID: fmt.Sprintf("i%03d.1", i), Address: fmt.Sprintf("a%03d", i), DataCentre: fmt.Sprint("dc", i%dataCentres), Weight: weight})
	}
	g.row = lease.Row{Holder: g.instances[0].ID, Address: g.instances[0].Address, Term: 1}
	now := clock.System{}.Now()
	for _, self := range g.instances {
		board := view.NewBoard(clock.System{})
		board.SetTargets(9, makeTargets("x", "y"), now)
		board.ConfirmRules(9, now)
		s := &countingStore{row: g.row}
		c := New(Config{Self: self, Source: testSource()}, clock.System{}, s, board, instanceNetwork{g.network, self.Address}, noOrders{}, demand.NewCollector(), discardLog)
		c.startedAt = now.Add(-time.Minute)
		g.coordinators[self.Address] = c
	}
	g.leader = g.coordinators[g.row.Address]
	t := g.leader.beginTerm(&storedRows{lease: g.row, leaseVersion: 7}, now)
	for _, i := range g.instances {
		t.noteMember(i, now, false)
	}
	t.publishMembers()
	for _, c := range g.coordinators {
		c.board.SetInstances(g.leader.board.Snapshot().InstancesVersion, g.leader.board.Snapshot().Instances)
		c.setLeader(g.row)
	}
	return g
}

// start runs all instances but the leader as followers until the end of the spec.
func (g *largeFleet) start() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, c := range g.coordinators {
		if c != g.leader {
			running.Go(func() { c.follow(ctx) })
		}
	}
	running.Go(func() {
		// The leader's own reads keep its snapshot current.
		for ctx.Err() == nil {
			g.leader.board.ConfirmTargets(g.leader.clock.Now())
			g.leader.board.ConfirmRules(9, g.leader.clock.Now())
			sleep(ctx, 50*time.Millisecond)
		}
	})
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
}

// changeRules publishes a new version of the rules at the leader.
func (g *largeFleet) changeRules(version uint64) {
	GinkgoHelper()
	set, err := rules.Parse("rules", "")
	Expect(err).NotTo(HaveOccurred())
	g.leader.board.SetRules(version, set, g.leader.clock.Now())
}

// countBehind counts the running instances that do not have the given version of the rules.
func (g *largeFleet) countBehind(version uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for address, c := range g.coordinators {
		if !g.down[address] && c.board.Snapshot().RulesVersion < version {
			count++
		}
	}
	return count
}

// relaysOf returns the addresses of the tree relays of a data centre.
func (g *largeFleet) relaysOf(dataCentre string) []string {
	return treeRelays(g.instances, dataCentre)
}

var _ = Describe("reporting in a large fleet", func() {
	// halfTimeLimit is half of the time within which new rules must be in force in large
	// deployments.
	const halfTimeLimit = 1500 * time.Millisecond

	// Guards against a leader whose cost grows with the number of instances: with 301 instances,
	// each of which kept a call open at the leader that was replied to at each change, it used 0.8
	// of a CPU core and sent 5.9 MB a second.
	It("needs a limited number of replies from each instance, however many instances there are", func() {
		most := func(count int) int {
			g := newLargeFleet(count, 5)
			g.start()
			time.Sleep(600 * time.Millisecond)
			g.takeReplyCounts()
			g.changeRules(2)
			Eventually(func() int { return g.countBehind(2) }, halfTimeLimit, "5ms").Should(BeZero())
			busiest := 0
			for _, n := range g.takeReplyCounts() {
				busiest = max(busiest, n)
			}
			return busiest
		}
		few, many := most(60), most(300)
		// With five times as many instances, a single instance that replies to all would send five
		// times as many replies.
		Expect(many).To(BeNumerically("<=", 2*few+treeWidth), "%d with 60 instances, %d with 300", few, many)
	})

	It("uses no tree relays in a small fleet", func() {
		g := newLargeFleet(treeWidth, 3)
		for _, c := range g.coordinators {
			Expect(c.treeRelay()).To(BeEmpty())
		}
	})

	It("tells the leader about all instances and the load on their keys", func() {
		g := newLargeFleet(120, 5)
		g.start()
		last := g.coordinators[g.instances[119].Address]
		last.collector.RecordArrival("s", "r", 77)
		Eventually(func() float32 {
			load, _ := g.leader.aggregator.Load("s", g.leader.clock.Now())
			return load[77]
		}, "2s", "250ms").Should(BeNumerically(">", 0))
		time.Sleep(2 * memberTimeout)
		g.leader.term.updateMembers(g.leader.clock.Now())
		Expect(g.leader.board.Snapshot().Instances).To(HaveLen(120))
	})

	// Guards against a leaving target that keeps its keys while nobody sends it requests: it cannot
	// write to the registry, and has reported that it is leaving to only one instance, which
	// reports through a relay.
	It("tells the leader about a target that has reported that it is leaving", func() {
		g := newLargeFleet(120, 5)
		g.start()
		g.coordinators[g.instances[119].Address].targetStatus.RecordStatus("x", true, 0)
		Eventually(func() []string { return g.leader.leavingTargets(g.leader.board.Snapshot()) }, "1.5s", "20ms").Should(ConsistOf("x"))
		Expect(placementTargets(&view.Snapshot{}, []view.Target{{ID: "x"}, {ID: "y"}}, []string{"x"})).To(Equal([]view.Target{{ID: "x", Draining: true}, {ID: "y"}}))
	})

	It("tells the leader about an instance that is shutting down", func() {
		g := newLargeFleet(120, 5)
		g.start()
		stopping := g.coordinators[g.instances[119].Address]
		stopping.mu.Lock()
		stopping.shuttingDown = true
		stopping.mu.Unlock()
		Eventually(func() int {
			g.leader.term.updateMembers(g.leader.clock.Now())
			return len(g.leader.board.Snapshot().Instances)
		}, memberTimeout, "25ms").Should(Equal(119))
	})

	// Guards against instances that decide by an older version while their relay is down: one or
	// all relays of a data centre go down before or while a change is sent.
	DescribeTable("works without relays", func(takeDown func(g *largeFleet), delay time.Duration) {
		g := newLargeFleet(120, 5)
		g.start()
		time.Sleep(500 * time.Millisecond)
		if delay == 0 {
			takeDown(g)
		} else {
			time.AfterFunc(delay, func() { takeDown(g) })
		}
		g.changeRules(2)
		Eventually(func() int { return g.countBehind(2) }, halfTimeLimit, "5ms").Should(BeZero())
		for _, c := range g.coordinators {
			Expect(c.store.(*countingStore).calls.Load()).To(BeNumerically("<=", 2), c.config.Self.ID)
		}
	},
		Entry("one down", func(g *largeFleet) { g.setFlags(g.down, true, g.relaysOf("dc1")[0]) }, time.Duration(0)),
		Entry("all of a data centre down", func(g *largeFleet) { g.setFlags(g.down, true, g.relaysOf("dc1")...) }, time.Duration(0)),
		Entry("one down in each of two data centres", func(g *largeFleet) {
			g.setFlags(g.down, true, g.relaysOf("dc1")[0], g.relaysOf("dc2")[0])
		}, time.Duration(0)),
		Entry("one down just after the change", func(g *largeFleet) { g.setFlags(g.down, true, g.relaysOf("dc1")[0]) }, time.Millisecond),
		Entry("one down while the change is being sent", func(g *largeFleet) { g.setFlags(g.down, true, g.relaysOf("dc1")[0]) }, 10*time.Millisecond),
	)

	// Guards against a relay without a connection to the leader that cuts its followers off as
	// well.
	It("bypasses a relay whose calls to the leader fail", func() {
		g := newLargeFleet(120, 5)
		g.start()
		time.Sleep(500 * time.Millisecond)
		g.setFlags(g.sendFails, true, g.relaysOf("dc1")[0])
		time.Sleep(maxRelayAge)
		g.changeRules(2)
		Eventually(func() int { return g.countBehind(2) }, halfTimeLimit, "5ms").Should(BeNumerically("<=", 1))
	})

	It("uses large instances as relays where there are enough", func() {
		g := newLargeFleet(120, 5)
		for _, address := range g.relaysOf("dc1") {
			Expect(g.coordinators[address].config.Self.Weight).To(Equal(0.8))
		}
	})
})

var _ = Describe("reads of the store when it does not answer the leader", func() {
	// readAll runs all instances but the leader, with their reads, until the end of the spec.
	readAll := func(g *largeFleet) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, c := range g.coordinators {
			if c != g.leader {
				running.Go(func() { c.follow(ctx) })
				running.Go(func() { c.pollRules(ctx) })
				running.Go(func() { c.pollTargets(ctx) })
			}
		}
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
	}

	calls := func(g *largeFleet) (byRelays, byOthers int64) {
		for _, c := range g.coordinators {
			n := c.store.(*countingStore).calls.Load()
			if c.isStoreRelay() {
				byRelays += n
			} else {
				byOthers += n
			}
		}
		return byRelays, byOthers
	}

	// Guards against calls by all instances when the store refuses the leader. The leader goes on
	// replying with a snapshot that grows stale, and after 1.2 s each of 294 others read everything
	// itself: 9,950 calls in a day on which that happened twice. One second of it costs more than a
	// minute of normal operation.
	It("are made by relays, which update all others in time", func() {
		g := newLargeFleet(90, 5)
		readAll(g)
		time.Sleep(3 * time.Second)
		_, byOthers := calls(g)
		Expect(byOthers).To(BeZero())
		for _, c := range g.coordinators {
			if c != g.leader {
				age := c.clock.Now().Sub(c.board.CurrentAsOf())
				Expect(age).To(BeNumerically("<", 1500*time.Millisecond), c.config.Self.ID)
			}
		}
	})

	// Guards against relays that read the store while it answers the leader. The leader's snapshot
	// is 0.6 s old after a feed has waited, and a reply is delayed for up to 0.35 s; relays took
	// that for stale. The steps here are those of a feed that waits its full time and a store that
	// answers in 40 ms.
	It("are not made by relays while the store answers the leader", func() {
		g := newLargeFleet(12, 3)
		keepCurrent := func(length time.Duration) {
			for begun := time.Now(); time.Since(begun) < length; time.Sleep(rulesFeedWait + 40*time.Millisecond) {
				g.leader.board.ConfirmTargets(g.leader.clock.Now())
				g.leader.board.ConfirmRules(9, g.leader.clock.Now())
				g.leader.term.mu.Lock()
				g.leader.term.holder.Renewed(g.leader.clock.Now())
				g.leader.term.mu.Unlock()
			}
		}
		readAll(g)
		// Relays read until their first report has been answered.
		keepCurrent(time.Second)
		relaysBefore, othersBefore := calls(g)
		keepCurrent(4 * time.Second)
		byRelays, byOthers := calls(g)
		Expect(byRelays - relaysBefore).To(BeZero())
		Expect(byOthers - othersBefore).To(BeZero())
	})

	// Where the store refuses all relays, the others must still get what has changed.
	It("are made by the other instances when no relay can", func() {
		g := newLargeFleet(90, 5)
		for _, c := range g.coordinators {
			if c.isStoreRelay() {
				c.store = &unavailableStore{}
				c.reader.store = c.store
			}
		}
		readAll(g)
		time.Sleep(2500 * time.Millisecond)
		for _, c := range g.coordinators {
			if c != g.leader && !c.isStoreRelay() {
				Expect(c.clock.Now().Sub(c.board.CurrentAsOf())).To(BeNumerically("<", 1800*time.Millisecond), c.config.Self.ID)
			}
		}
	})

	// Guards against 300 calls a second while the store is unavailable: each of 295 instances tried
	// it again every two seconds, for the rules and for the registry, although relays do so for
	// all.
	It("are made by few instances while the store is unavailable", func() {
		g := newLargeFleet(90, 5)
		unavailable := &unavailableStore{}
		for _, c := range g.coordinators {
			c.store = unavailable
			c.reader.store = unavailable
		}
		readAll(g)
		time.Sleep(3 * time.Second)
		before := unavailable.calls.Load()
		time.Sleep(3 * time.Second)
		Expect((unavailable.calls.Load()-before)/3).To(BeNumerically("<", 30), "calls a second")
	})
})

var _ = Describe("the ranking of instances for duties", func() {
	// Guards against 1 % of a CPU core used by an idle instance in a fleet of 295: it checks 25
	// times a second whether it is a relay, and ranked all instances each time.
	It("is computed once for each list of instances", func() {
		g := newLargeFleet(300, 5)
		c := g.coordinators[g.instances[299].Address]
		c.duties()
		Expect(testing.AllocsPerRun(100, func() {
			c.isStoreRelay()
			c.treeRelay()
		})).To(BeNumerically("<", 5))
	})

	It("is computed again when an instance has left", func() {
		g := newLargeFleet(120, 5)
		c := g.coordinators[g.instances[119].Address]
		first := c.storeRelays()[0]
		list := slices.DeleteFunc(slices.Clone(g.instances), func(i view.Instance) bool { return i.Address == first })
		c.board.SetInstances(view.InstancesVersion{Term: 9, Count: 1}, list)
		Expect(c.storeRelays()).NotTo(ContainElement(first))
	})
})
