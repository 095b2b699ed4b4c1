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

// network carries calls between coordinators, counts them by who answers, and loses those to
// instances that are down or cut off.
type network struct {
	mu       sync.Mutex
	all      map[string]*Coordinator
	answered map[string]int
	// down instances answer nobody and are not answered; mute ones are not answered.
	down, mute map[string]bool
}

// from is the network as one instance sees it.
type from struct {
	*network
	address string
}

func (f from) Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error) {
	f.mu.Lock()
	c := f.all[address]
	lost := c == nil || f.down[address] || f.down[f.address] || f.mute[f.address]
	if !lost {
		f.answered[address]++
	}
	f.mu.Unlock()
	if lost {
		return nil, errors.New("no answer")
	}
	return c.Sync(ctx, args), nil
}

// takeCounts returns how many questions each instance has answered since the last call.
func (n *network) takeCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.answered
	n.answered = map[string]int{}
	return counts
}

func (n *network) set(in map[string]bool, lost bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		in[a] = lost
	}
}

// grown makes a fleet of small instances in data centres, with a large leading one.
type grown struct {
	*network
	list   []view.Instance
	leader *Coordinator
	row    lease.Row
}

func newGrown(count, dataCentres int) *grown {
	g := &grown{network: &network{all: map[string]*Coordinator{}, answered: map[string]int{}, down: map[string]bool{}, mute: map[string]bool{}}}
	for i := range count {
		weight := 0.16
		if i < 3*dataCentres {
			weight = 0.8
		}
		g.list = append(g.list, view.Instance{ID: fmt.Sprintf("i%03d.1", i), Address: fmt.Sprintf("a%03d", i), DataCentre: fmt.Sprint("dc", i%dataCentres), Weight: weight})
	}
	g.row = lease.Row{Holder: g.list[0].ID, Address: g.list[0].Address, Term: 1}
	now := clock.System{}.Now()
	for _, self := range g.list {
		board := view.NewBoard(clock.System{})
		board.SetTargets(9, targets("x", "y"), now)
		board.ConfirmRules(9, now)
		s := &countedStore{row: g.row}
		c := New(Config{Self: self, Source: startSource()}, clock.System{}, s, board, from{g.network, self.Address}, noOrders{}, demand.NewCollector(), quiet)
		c.started = now.Add(-time.Minute)
		g.all[self.Address] = c
	}
	g.leader = g.all[g.row.Address]
	t := g.leader.begin(&stored{lease: g.row, leaseVersion: 7}, now)
	for _, i := range g.list {
		t.heard(i, now, false)
	}
	t.publishMembers()
	for _, c := range g.all {
		c.board.SetInstances(g.leader.board.Load().InstancesVersion, g.leader.board.Load().Instances)
		c.setLeader(g.row)
	}
	return g
}

// start lets all but the leading instance follow until the end of the spec.
func (g *grown) start() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, c := range g.all {
		if c != g.leader {
			running.Go(func() { c.follow(ctx) })
		}
	}
	running.Go(func() {
		// What the leading instance reads, it reads all the while.
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

// change puts another version of the rules into force at the leading instance.
func (g *grown) change(version uint64) {
	GinkgoHelper()
	set, err := rules.Parse("rules", "")
	Expect(err).NotTo(HaveOccurred())
	g.leader.board.SetRules(version, set, g.leader.clock.Now())
}

// behind counts the instances that do not have a version of the rules, but for those that are down.
func (g *grown) behind(version uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for address, c := range g.all {
		if !g.down[address] && c.board.Load().RulesVersion < version {
			count++
		}
	}
	return count
}

// relaysOf returns the addresses of the relays of a data centre.
func (g *grown) relaysOf(dataCentre string) []string {
	return treeRelays(g.list, dataCentre)
}

var _ = Describe("telling and collecting", func() {
	// halfBound is half of the time in which a configuration must be in force on large deployments.
	const halfBound = 1500 * time.Millisecond

	// Symptom: the leading instance of 301 uses 0.8 of a core and sends 5.9 MB a second; both grow with
	// the number of instances. Sequence: each of the others keeps a question open at it, which is
	// answered at each change. Cause: one instance answers all.
	It("asks of no instance more than a bounded number of answers, however many there are", func() {
		most := func(count int) int {
			g := newGrown(count, 5)
			g.start()
			time.Sleep(600 * time.Millisecond)
			g.takeCounts()
			g.change(2)
			Eventually(func() int { return g.behind(2) }, halfBound, "5ms").Should(BeZero())
			busiest := 0
			for _, n := range g.takeCounts() {
				busiest = max(busiest, n)
			}
			return busiest
		}
		few, many := most(60), most(300)
		// Five times as many instances; all questions at one would be five times as many answers.
		Expect(many).To(BeNumerically("<=", 2*few+treeWidth), "%d with 60 instances, %d with 300", few, many)
	})

	It("is left as it is in a small fleet", func() {
		g := newGrown(treeWidth, 3)
		for _, c := range g.all {
			Expect(c.treeRelay()).To(BeEmpty())
		}
	})

	It("tells the leading instance of all, and of what arrives for their keys", func() {
		g := newGrown(120, 5)
		g.start()
		last := g.all[g.list[119].Address]
		last.collector.RecordArrival("s", "r", 77)
		Eventually(func() float32 {
			load, _ := g.leader.total.Load("s", g.leader.clock.Now())
			return load[77]
		}, "2s", "250ms").Should(BeNumerically(">", 0))
		time.Sleep(2 * memberFor)
		g.leader.term.checkMembers(g.leader.clock.Now())
		Expect(g.leader.board.Load().Instances).To(HaveLen(120))
	})

	// Symptom: the keys of a target that leaves stay with it, and nobody sends it anything. Sequence: it
	// does not reach the registry, and says so to one instance only, which reports through a relay.
	It("tells the leading instance of a target that has said that it leaves", func() {
		g := newGrown(120, 5)
		g.start()
		g.all[g.list[119].Address].standing.RecordStatus("x", true, 0)
		Eventually(func() []string { return g.leader.leavingTargets(g.leader.board.Load()) }, "1.5s", "20ms").Should(ConsistOf("x"))
		Expect(asPlaced(&view.Snapshot{}, []view.Target{{ID: "x"}, {ID: "y"}}, []string{"x"})).To(Equal([]view.Target{{ID: "x", Draining: true}, {ID: "y"}}))
	})

	It("tells the leading instance of one that leaves", func() {
		g := newGrown(120, 5)
		g.start()
		leaves := g.all[g.list[119].Address]
		leaves.mu.Lock()
		leaves.leaving = true
		leaves.mu.Unlock()
		Eventually(func() int {
			g.leader.term.checkMembers(g.leader.clock.Now())
			return len(g.leader.board.Load().Instances)
		}, memberFor, "25ms").Should(Equal(119))
	})

	// Symptom: an instance decides by an older version while its relay is gone. Sequence: relays are
	// lost, one or all of a data centre, before or while a change is told. Cause: nobody else tells.
	DescribeTable("goes on without relays", func(lose func(g *grown), lostLater time.Duration) {
		g := newGrown(120, 5)
		g.start()
		time.Sleep(500 * time.Millisecond)
		if lostLater == 0 {
			lose(g)
		} else {
			time.AfterFunc(lostLater, func() { lose(g) })
		}
		g.change(2)
		Eventually(func() int { return g.behind(2) }, halfBound, "5ms").Should(BeZero())
		for _, c := range g.all {
			Expect(c.store.(*countedStore).calls.Load()).To(BeNumerically("<=", 2), c.config.Self.ID)
		}
	},
		Entry("one of them", func(g *grown) { g.set(g.down, true, g.relaysOf("dc1")[0]) }, time.Duration(0)),
		Entry("all of a data centre", func(g *grown) { g.set(g.down, true, g.relaysOf("dc1")...) }, time.Duration(0)),
		Entry("one of each of two data centres", func(g *grown) {
			g.set(g.down, true, g.relaysOf("dc1")[0], g.relaysOf("dc2")[0])
		}, time.Duration(0)),
		Entry("one of them, just after the change", func(g *grown) { g.set(g.down, true, g.relaysOf("dc1")[0]) }, time.Millisecond),
		Entry("one of them, while it is told", func(g *grown) { g.set(g.down, true, g.relaysOf("dc1")[0]) }, 10*time.Millisecond),
	)

	// A relay that has lost its own way to the leading instance must not keep its followers from it.
	It("goes round a relay that the leading instance does not answer", func() {
		g := newGrown(120, 5)
		g.start()
		time.Sleep(500 * time.Millisecond)
		g.set(g.mute, true, g.relaysOf("dc1")[0])
		time.Sleep(relayCurrent)
		g.change(2)
		Eventually(func() int { return g.behind(2) }, halfBound, "5ms").Should(BeNumerically("<=", 1))
	})

	It("is done by large instances where there are enough", func() {
		g := newGrown(120, 5)
		for _, address := range g.relaysOf("dc1") {
			Expect(g.all[address].config.Self.Weight).To(Equal(0.8))
		}
	})
})

var _ = Describe("what a fleet reads when its leading instance hears nothing from the store", func() {
	// readAll lets all but the leading instance follow and read until the end of the spec.
	readAll := func(g *grown) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, c := range g.all {
			if c != g.leader {
				running.Go(func() { c.follow(ctx) })
				running.Go(func() { c.readRules(ctx) })
				running.Go(func() { c.readTargets(ctx) })
			}
		}
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
	}

	calls := func(g *grown) (byRelays, byOthers int64) {
		for _, c := range g.all {
			n := c.store.(*countedStore).calls.Load()
			if c.isRelay() {
				byRelays += n
			} else {
				byOthers += n
			}
		}
		return byRelays, byOthers
	}

	// Symptom: 9,950 calls to the store on a day on which it turns the leading instance away twice; a
	// second of that costs more than a minute of calm. Sequence: the leading instance goes on answering,
	// with knowledge that grows old; after 1.2 s each of 294 others reads everything by itself.
	// Cause: none of them asked whether another one had read it.
	It("is read by relays, and told to all others in time", func() {
		g := newGrown(90, 5)
		readAll(g)
		time.Sleep(3 * time.Second)
		_, byOthers := calls(g)
		Expect(byOthers).To(BeZero())
		for _, c := range g.all {
			if c != g.leader {
				age := c.clock.Now().Sub(c.board.CurrentAsOf())
				Expect(age).To(BeNumerically("<", 1500*time.Millisecond), c.config.Self.ID)
			}
		}
	})

	// Symptom: three instances read the store beside a leading one that is well. Sequence: what that tells
	// is 0.6 s old when a feed has waited, and a report is held for up to 0.35 s. Cause: relays took that
	// for old. The steps here are those of a feed that is never woken, and of a store that answers in 40 ms.
	It("is not read by relays while the leading instance is well", func() {
		g := newGrown(12, 3)
		hear := func(length time.Duration) {
			for begun := time.Now(); time.Since(begun) < length; time.Sleep(rulesWait + 40*time.Millisecond) {
				g.leader.board.ConfirmTargets(g.leader.clock.Now())
				g.leader.board.ConfirmRules(9, g.leader.clock.Now())
				g.leader.term.mu.Lock()
				g.leader.term.holder.Renewed(g.leader.clock.Now())
				g.leader.term.mu.Unlock()
			}
		}
		readAll(g)
		// Relays read until their first report has been answered.
		hear(time.Second)
		relaysBefore, othersBefore := calls(g)
		hear(4 * time.Second)
		byRelays, byOthers := calls(g)
		Expect(byRelays - relaysBefore).To(BeZero())
		Expect(byOthers - othersBefore).To(BeZero())
	})

	// Where the store turns all relays away, the others must still learn what is new.
	It("is read by the others where no relay can", func() {
		g := newGrown(90, 5)
		for _, c := range g.all {
			if c.isRelay() {
				c.store = &darkStore{}
				c.reader.store = c.store
			}
		}
		readAll(g)
		time.Sleep(2500 * time.Millisecond)
		for _, c := range g.all {
			if c != g.leader && !c.isRelay() {
				Expect(c.clock.Now().Sub(c.board.CurrentAsOf())).To(BeNumerically("<", 1800*time.Millisecond), c.config.Self.ID)
			}
		}
	})

	// Symptom: 300 calls a second while the store is away. Cause: each of 295 instances tried it again
	// every two seconds, for the rules and for the registry, though relays do that for all.
	It("is tried by few while the store answers nobody", func() {
		g := newGrown(90, 5)
		dark := &darkStore{}
		for _, c := range g.all {
			c.store = dark
			c.reader.store = dark
		}
		readAll(g)
		time.Sleep(3 * time.Second)
		before := dark.calls.Load()
		time.Sleep(3 * time.Second)
		Expect((dark.calls.Load()-before)/3).To(BeNumerically("<", 30), "calls a second")
	})
})

var _ = Describe("who has which duty", func() {
	// Symptom: an idle instance of 295 uses 1 % of a core. Sequence: 25 times a second it looks whether it
	// is a relay. Cause: each time all instances were ranked anew.
	It("is found out once for each list of instances", func() {
		g := newGrown(300, 5)
		c := g.all[g.list[299].Address]
		c.duties()
		Expect(testing.AllocsPerRun(100, func() {
			c.isRelay()
			c.treeRelay()
		})).To(BeNumerically("<", 5))
	})

	It("is found out anew when an instance has left", func() {
		g := newGrown(120, 5)
		c := g.all[g.list[119].Address]
		first := c.relays()[0]
		list := slices.DeleteFunc(slices.Clone(g.list), func(i view.Instance) bool { return i.Address == first })
		c.board.SetInstances(view.InstancesVersion{Term: 9, Count: 1}, list)
		Expect(c.relays()).NotTo(ContainElement(first))
	})
})
