package lead

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
)

// sharedLimitRules has a limit of 1200 requests a second on all instances together.
const sharedLimitRules = `
[[service]]
name = "s"
[[rule]]
name = "r"
then = { route = "s", limit = { per_second = 1200.0, scope = "all" } }
`

// useRules puts rules in force at the leader.
func (g *largeFleet) useRules(version uint64, text string) {
	GinkgoHelper()
	set, err := rules.Parse("rules", text)
	Expect(err).NotTo(HaveOccurred())
	g.leader.board.SetRules(version, set, g.leader.clock.Now())
}

// grantOwnShares does what the leader's loop, which does not run here, does: it renews the lease, and
// grants the leader's own shares.
func (g *largeFleet) grantOwnShares() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			t, now := g.leader.term, g.leader.clock.Now()
			t.mu.Lock()
			t.holder.Renewed(now)
			t.mu.Unlock()
			t.grantOwnShares(now)
			sleep(ctx, tickInterval)
		}
	})
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
}

// shares returns the number of instances that have a share of the limit, and the sum of the rates.
func (g *largeFleet) shares() (instances int, sum float64) {
	for _, c := range g.coordinators {
		if share := c.config.Quota.Share("r"); share.Rate > 0 {
			instances++
			sum += share.Rate
		}
	}
	return instances, sum
}

var _ = Describe("shares of a limit on all instances", func() {
	// Guards against instances behind a relay that get no share, or lose it between two reports.
	It("reach all instances through relays, and stay valid", func() {
		g := newLargeFleet(120, 5)
		g.start()
		g.grantOwnShares()
		g.useRules(2, sharedLimitRules)
		most, begun := 0, time.Now()
		Eventually(func() int {
			most, _ = g.shares()
			return most
		}, "3s", "20ms").Should(BeNumerically(">=", 119))
		AddReportEntry("all instances have a share after", time.Since(begun))
		Consistently(func() int {
			n, sum := g.shares()
			Expect(sum).To(BeNumerically("<=", 1200+1e-6))
			return n
		}, quota.Validity+time.Second, "100ms").Should(BeNumerically(">=", 119))
	})

	// Guards against shares that end with the relay that handed them out.
	It("stay valid when the relays of a data centre are lost", func() {
		g := newLargeFleet(120, 5)
		g.start()
		g.grantOwnShares()
		g.useRules(2, sharedLimitRules)
		Eventually(func() int { n, _ := g.shares(); return n }, "3s", "20ms").Should(BeNumerically(">=", 119))
		g.setFlags(g.down, true, g.relaysOf("dc1")...)
		Consistently(func() int { n, _ := g.shares(); return n }, quota.Validity+time.Second, "100ms").Should(BeNumerically(">=", 119-len(g.relaysOf("dc1"))))
	})

	// Guards against reports and replies that grow in deployments without such a limit.
	It("are not a part of any message without a rule that asks for them", func() {
		g := newLargeFleet(40, 1)
		g.useRules(2, `
[[service]]
name = "s"
[[rule]]
name = "r"
then = { route = "s", limit = { per_second = 1200.0 } }
`)
		args := g.leader.newSyncArgs()
		g.leader.addQuotaReport(args)
		Expect(args.Quota).To(BeNil())
		Expect(args.Wait).To(Equal(maxReplyDelay))
		reply := &peerapi.SyncReply{}
		g.leader.term.grantShares(args, reply)
		Expect(*reply).To(BeZero())
	})

	// Guards against two leaders that grant shares of the same limit: one whose lease has ended goes
	// on.
	It("are not granted any more when the lease has ended", func() {
		g := newLargeFleet(40, 1)
		g.useRules(2, sharedLimitRules)
		report := func(n uint64) *quota.Report { return &quota.Report{Number: n} }
		Expect(g.leader.term.allocate("x", report(1))).NotTo(BeNil())
		g.leader.term.mu.Lock()
		g.leader.term.holder.GivenUp()
		g.leader.term.mu.Unlock()
		Expect(g.leader.term.allocate("x", report(2))).To(BeNil())
	})

	// Guards against a new leader that grants shares while those of the former one are valid.
	It("are granted by a new leader only after those of the former one have expired", func() {
		for term := range uint64(3) {
			g := newLargeFleet(2, 1)
			c := g.leader
			next := c.beginTerm(&storedRows{lease: lease.Row{Holder: c.config.Self.ID, Address: c.config.Self.Address, Term: term + 1}, leaseVersion: 7}, clock.System{}.Now())
			g.useRules(2, sharedLimitRules)
			shares := next.allocate("x", &quota.Report{Number: 1})
			if term == 0 {
				Expect(shares.List).To(HaveLen(1), "no instance has led before")
				continue
			}
			Expect(shares.Version).To(BeZero(), fmt.Sprint("term ", term+1))
			Expect(shares.Wait).To(BeNumerically(">", quota.Validity-time.Second))
		}
	})
})
