package quota_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/protocol/rules"
)

// manualClock is the true time of a fleet.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant       { return c.now }
func (c *manualClock) advance(by time.Duration) { c.now = c.now.Add(by) }

// fleet is a leader and holders whose messages a spec delivers itself.
type fleet struct {
	manualClock
	rule    *rules.Rule
	term    uint64
	leader  *quota.Allocator
	holders map[string]*quota.Holder
}

func newFleet(limit rules.Limit, ids ...string) *fleet {
	limit.Scope = rules.ScopeAll
	f := &fleet{manualClock: manualClock{clock.Instant(time.Hour)}, holders: map[string]*quota.Holder{}}
	f.rule = &rules.Rule{Name: "r", Then: rules.Then{Limit: &limit, Deadline: rules.Duration(8 * time.Second)}}
	for _, id := range ids {
		f.holders[id] = quota.NewHolder(f)
	}
	f.lead()
	return f
}

// lead begins the term of a new leader.
func (f *fleet) lead() {
	f.term++
	f.leader = quota.NewAllocator(f.term, f.term > 1, f.now)
	f.leader.SetLimits(quota.LimitsOf(f.list()), f.now)
}

func (f *fleet) list() []*rules.Rule { return []*rules.Rule{f.rule} }

func (f *fleet) report(id string) *quota.Report { return f.holders[id].Report(f.list(), f.term) }

// exchange delivers a report and its reply.
func (f *fleet) exchange(ids ...string) {
	for _, id := range ids {
		f.holders[id].Adopt(f.leader.Allocate(f.now, id, f.report(id)))
	}
}

// settle exchanges reports for a time, with the given requests at each of them in between.
func (f *fleet) settle(d time.Duration, request func(id string), ids ...string) {
	for end := f.now.Add(d); f.now < end; f.advance(100 * time.Millisecond) {
		f.exchange(ids...)
		for _, id := range ids {
			if request != nil {
				request(id)
			}
		}
	}
}

func (f *fleet) rate(id string) float64 { return f.holders[id].Share("r").Rate }

// admit reports whether a request is admitted. It does not end.
func (f *fleet) admit(id string) bool {
	_, _, ok := f.holders[id].Admit(f.rule)
	return ok
}

// demand has an instance ask for more than the limit.
func (f *fleet) demand(id string) {
	for range 20 {
		if release, _, ok := f.holders[id].Admit(f.rule); ok {
			release()
		}
	}
}

var _ = Describe("a limit on all instances", func() {
	const margin = 100 * time.Millisecond
	perSecond := rules.Limit{PerSecond: 10, Burst: 10}
	concurrent := rules.Limit{Concurrent: 8}

	// Guards against an instance that goes on with its share while it hears from nobody, so that
	// others get it too. The share passes on when it has expired, not before.
	It("passes the share of a cut-off instance on when it has expired", func() {
		f := newFleet(perSecond, "a", "b")
		f.settle(4*time.Second, f.demand, "a", "b")
		Expect(f.rate("a")).To(BeNumerically("~", 5, 0.5))
		cutOff := f.now
		for f.now.Sub(cutOff) < quota.Validity+time.Second {
			f.settle(100*time.Millisecond, f.demand, "b")
			Expect(f.rate("a") + f.rate("b")).To(BeNumerically("<=", 10.0001))
		}
		Expect(f.rate("a")).To(BeZero())
		Expect(f.rate("b")).To(BeNumerically("~", 10, 0.01))
		Expect(f.admit("a")).To(BeFalse())
	})

	// Guards against a validity that is counted from the receipt of a delayed reply.
	It("ignores a reply that arrives after its shares have expired", func() {
		f := newFleet(perSecond, "a")
		shares := f.leader.Allocate(f.now, "a", f.report("a"))
		f.advance(quota.Validity)
		f.holders["a"].Adopt(shares)
		Expect(f.rate("a")).To(BeZero())
	})

	// Guards against a late reply that replaces a newer one whose smaller share the leader has counted
	// on.
	It("ignores a reply that is overtaken, and a duplicate", func() {
		f := newFleet(perSecond, "a", "b")
		late := f.leader.Allocate(f.now, "a", f.report("a"))
		Expect(late.List[0].Rate).To(BeNumerically("~", 10, 0.01))
		f.exchange("b")
		f.settle(time.Second, nil, "a", "b")
		Expect(f.rate("a")).To(BeNumerically("~", 5, 0.01))
		f.holders["a"].Adopt(late)
		Expect(f.rate("a")).To(BeNumerically("~", 5, 0.01))
		r := f.report("a")
		Expect(f.leader.Allocate(f.now, "a", r)).NotTo(BeNil())
		Expect(f.leader.Allocate(f.now, "a", r)).To(BeNil(), "a duplicate of a report")
	})

	// Guards against a leader that counts on a reduction which has not arrived.
	It("grants on what an instance gives up only after it has confirmed that", func() {
		f := newFleet(perSecond, "a", "b")
		f.exchange("a")
		f.exchange("b")
		lost := f.leader.Allocate(f.now, "a", f.report("a"))
		Expect(lost.List[0].Rate).To(BeNumerically("~", 5, 0.01))
		f.advance(200 * time.Millisecond)
		f.exchange("b")
		Expect(f.rate("b")).To(BeZero())
		f.exchange("a")
		f.exchange("a")
		f.exchange("b")
		Expect(f.rate("b")).To(BeNumerically("~", 5, 0.01))
	})

	// Guards against shares of two leaders that together exceed the limit, and against refusals at
	// all instances after each change of the leader.
	It("stays divided as it was until a new leader knows that all former shares have expired", func() {
		f := newFleet(perSecond, "a", "b", "c")
		f.settle(2*time.Second, nil, "a", "b")
		f.lead()
		f.exchange("a", "c")
		Expect(f.rate("a")).To(BeNumerically("~", 5, 0.01), "extended")
		Expect(f.rate("c")).To(BeZero())
		_, retryAfter, _ := f.holders["c"].Admit(f.rule)
		Expect(retryAfter).To(BeNumerically("~", quota.Validity, margin))
		// b has not reported to the new leader. Its share is free when it has expired.
		f.settle(quota.Validity-margin, nil, "a", "c")
		Expect(f.rate("c")).To(BeZero())
		f.settle(time.Second, nil, "a", "c")
		Expect(f.rate("a")).To(BeNumerically("~", 5, 0.01))
		Expect(f.rate("c")).To(BeNumerically("~", 5, 0.01))
	})

	// Guards against an extension of shares that have expired, or that the former leader has reduced
	// since they were reported.
	It("is not exceeded by an extension that comes late", func() {
		f := newFleet(perSecond, "a", "b")
		f.exchange("a")
		former := f.leader
		stale := f.holders["a"].Report(f.list(), f.term+1)
		f.exchange("b")
		f.holders["a"].Adopt(former.Allocate(f.now, "a", f.report("a")))
		Expect(f.rate("a")).To(BeNumerically("~", 5, 0.01))
		f.lead()
		f.holders["a"].Adopt(f.leader.Allocate(f.now, "a", stale))
		Expect(f.rate("a")).To(BeNumerically("~", 5, 0.01), "extended from before the reduction")
		extension := f.leader.Allocate(f.now, "a", f.report("a"))
		f.advance(quota.Validity)
		f.holders["a"].Adopt(extension)
		Expect(f.rate("a")).To(BeZero())
	})

	// Guards against an extension of shares that are larger than those that the instance has reported:
	// a reply of the former leader has arrived since.
	It("is extended only as it was reported", func() {
		f := newFleet(perSecond, "a")
		f.exchange("a")
		reported := f.holders["a"].Report(f.list(), f.term+1)
		inFlight := f.leader.Allocate(f.now, "a", f.report("a"))
		f.lead()
		extension := f.leader.Allocate(f.now, "a", reported)
		f.holders["a"].Adopt(inFlight)
		f.holders["a"].Adopt(extension)
		Expect(f.report("a").Held).To(Equal(inFlight.Version))
	})

	// Guards against a new leader that counts only on the shares that it has granted itself.
	It("counts an extended share as in use until it has expired", func() {
		f := newFleet(perSecond, "a", "b")
		f.settle(time.Second, nil, "a", "b")
		f.lead()
		f.settle(quota.Validity-margin, nil, "a")
		for f.rate("a") > 0 {
			f.settle(100*time.Millisecond, nil, "b")
			Expect(f.rate("a") + f.rate("b")).To(BeNumerically("<=", 10.0001))
		}
		f.settle(time.Second, nil, "b")
		Expect(f.rate("b")).To(BeNumerically("~", 10, 0.01))
	})

	// Guards against a share that is valid for longer by a slow clock than the leader counts.
	It("holds although the clock of an instance is slow within the tolerance", func() {
		f := newFleet(perSecond)
		slow := &simClock{sim: &simulation{}, rate: 1 - 0.0198}
		a := quota.NewHolder(slow)
		f.holders["b"] = quota.NewHolder(f)
		a.Adopt(f.leader.Allocate(f.now, "a", a.Report(f.list(), f.term)))
		for f.rate("b") == 0 {
			f.advance(time.Millisecond)
			slow.sim.now += time.Millisecond
			f.exchange("b")
		}
		Expect(a.Share("r")).To(BeZero())
	})

	// The deadline is longer than the validity, so that requests outlast the wait of a new leader.
	// Guards against running requests that are forgotten with the share, or with the leader, that
	// admitted them.
	DescribeTable("counts running requests of an instance that is lost until they have ended",
		func(change func(f *fleet)) {
			f := newFleet(concurrent, "a", "b")
			f.settle(time.Second, nil, "a", "b")
			for range 4 {
				Expect(f.admit("a")).To(BeTrue())
			}
			f.exchange("a")
			f.settle(quota.Validity-margin, nil, "b")
			lastAdmitted := f.now
			change(f)
			for range 150 {
				f.settle(100*time.Millisecond, f.demand, "b")
				if f.now.Sub(lastAdmitted) < f.rule.Deadline() {
					Expect(f.holders["b"].Share("r").Concurrent).To(BeNumerically("<=", 4))
				}
			}
			Expect(f.holders["b"].Share("r").Concurrent).To(Equal(8))
		},
		Entry("with the same leader", func(*fleet) {}),
		Entry("with a new leader, which has never heard of it", func(f *fleet) { f.lead() }),
		Entry("with the limit out of force for a while", func(f *fleet) {
			f.leader.SetLimits(nil, f.now)
			f.advance(time.Second)
			f.leader.SetLimits(nil, f.now)
			f.leader.SetLimits(quota.LimitsOf(f.list()), f.now)
		}),
	)

	// Guards against a lowered limit that comes into force only when all shares have expired, or never.
	It("applies to an instance as soon as it knows that it was lowered, and to all after the validity", func() {
		f := newFleet(rules.Limit{PerSecond: 100, Burst: 100}, "a", "b")
		f.settle(2*time.Second, nil, "a", "b")
		f.rule = &rules.Rule{Name: "r", Then: rules.Then{Limit: &rules.Limit{PerSecond: 10, Burst: 10, Scope: rules.ScopeAll}}}
		f.report("a")
		Expect(f.rate("a")).To(BeNumerically("<=", 10))
		f.leader.SetLimits(quota.LimitsOf(f.list()), f.now)
		f.settle(time.Second, nil, "a")
		f.advance(quota.Validity)
		Expect(f.rate("b")).To(BeZero())
		f.settle(time.Second, nil, "a", "b")
		Expect(f.rate("a") + f.rate("b")).To(BeNumerically("~", 10, 0.01))
	})

	// Guards against shares of less than one request, with which nobody admits anything: a limit of
	// 1.5 a second over 80 instances.
	It("is used when it is smaller than the number of instances", func() {
		var ids []string
		for n := range 80 {
			ids = append(ids, fmt.Sprint("i", n))
		}
		f := newFleet(rules.Limit{PerSecond: 1.5, Burst: 1}, ids...)
		admitted := map[string]int{}
		total := 0
		request := func(id string) {
			release, retryAfter, ok := f.holders[id].Admit(f.rule)
			if !ok {
				Expect(retryAfter).To(BeNumerically(">", 0))
				return
			}
			release()
			admitted[id]++
			total++
		}
		f.settle(2*time.Minute, request, ids...)
		Expect(len(admitted)).To(BeNumerically(">=", 30), "instances that have had a turn")
		Expect(total).To(BeNumerically(">=", 120*1.5*0.7))
		Expect(total).To(BeNumerically("<=", 120*1.5+1))
		AddReportEntry("admitted of 180", total)
	})

	// Guards against the first instance that reports on a new limit getting all of it.
	It("has a part for instances that have not reported on a new limit yet", func() {
		f := newFleet(rules.Limit{PerSecond: 12, Burst: 12, Concurrent: 12}, "a", "b", "c")
		f.leader.SetMembers(3)
		f.exchange("a", "b", "c")
		for id := range f.holders {
			Expect(f.holders[id].Share("r").Concurrent).To(Equal(4), id)
		}
		f.settle(16*time.Second, nil, "a", "b")
		Expect(f.holders["a"].Share("r").Concurrent).To(Equal(6), "c does not report any more")
	})

	// Guards against a first request that is refused because its instance has had none before.
	It("has a part for an instance that gets its first request", func() {
		f := newFleet(rules.Limit{PerSecond: 100, Burst: 100}, "a", "b", "c")
		f.settle(20*time.Second, func(id string) {
			if id == "a" {
				f.demand(id)
			}
		}, "a", "b", "c")
		Expect(f.admit("b")).To(BeTrue())
		Expect(f.rate("a")).To(BeNumerically(">=", 90))
	})

	// Guards against callers that are all told to come back at the same time.
	It("tells refused callers different times at which there is capacity", func() {
		f := newFleet(perSecond, "a")
		f.settle(2*time.Second, nil, "a")
		for range 10 {
			Expect(f.admit("a")).To(BeTrue())
		}
		for n := range 5 {
			_, retryAfter, _ := f.holders["a"].Admit(f.rule)
			Expect(retryAfter.Seconds()).To(BeNumerically("~", 0.1*float64(n+1), 0.051))
		}
	})

	// Guards against a share that admits more because a leader or relay of an older build does not
	// know of shares.
	It("admits nothing without a share", func() {
		f := newFleet(perSecond, "a")
		Expect(f.report("a")).NotTo(BeNil())
		f.holders["a"].Adopt(nil)
		Expect(f.admit("a")).To(BeFalse())
		Expect(f.holders["a"].Report(nil, 1)).To(BeNil(), "without such a rule")
	})
})
