package permit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

func TestPermit(t *testing.T) {
	RegisterFailHandler(g.Fail)
	g.RunSpecs(t, "Permit")
}

const start = clock.Instant(time.Hour)

// fixture is a pool with a manually driven clock.
type fixture struct {
	*pool
	now  clock.Instant
	next int
}

func newFixture(slots ...Target) *fixture {
	f := &fixture{pool: newPool(), now: start}
	f.setTargets(slots, f.now)
	return f
}

func twoTargets(slots int) []Target {
	return []Target{{ID: "a", Slots: slots, DataCentre: "dc1"}, {ID: "b", Slots: slots, DataCentre: "dc2"}}
}

// ask submits a request and returns it with its permit, if it got one at once.
func (f *fixture) ask(change func(*Ask)) (*waiter, Permit, error) {
	f.next++
	a := Ask{ID: fmt.Sprint(f.next), Rule: "r", AimLeft: 500 * time.Millisecond, Left: 2 * time.Second}
	if change != nil {
		change(&a)
	}
	w := &waiter{ask: a, arrived: f.now, aim: f.now.Add(a.AimLeft), deadline: f.now.Add(a.Left), expected: f.expectedDuration(a), done: make(chan decision, 1)}
	p, _, err := f.admit(w, f.now)
	return w, p, err
}

func (f *fixture) reportServed(p Permit, took time.Duration) {
	f.report(Report{ID: p.ID, Target: p.Target, Rule: "r", Result: ResultServed, Took: took}, f.now)
	f.serveQueue(f.now)
}

var _ = g.Describe("a pool of slots", func() {
	// Guards against many instances, each within its own limit, sending a target more than it can
	// run and queue: it would reset connections, and bookings on them would be lost.
	g.It("never grants more permits than the targets have slots", func() {
		f := newFixture(twoTargets(3)...)
		granted := 0
		for range 50 {
			if _, p, err := f.ask(nil); err == nil && p.Target != "" {
				granted++
			}
		}
		Expect(granted).To(Equal(6))
	})

	g.It("grants a free slot to the more urgent request first", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		_, first, _ := f.ask(nil)
		low, _, err := f.ask(func(a *Ask) { a.Priority = 2 })
		Expect(err).NotTo(HaveOccurred())
		high, _, err := f.ask(func(a *Ask) { a.Priority = 0 })
		Expect(err).NotTo(HaveOccurred())
		f.reportServed(first, 100*time.Millisecond)
		Expect(high.done).To(Receive())
		Expect(low.done).NotTo(Receive())
	})

	// Guards against a queue that is as long as the deadline allows: under a load of twice the
	// capacity, each served request would have waited too long, and every response would be late.
	g.It("refuses at once requests that would be late, with the time until a slot is free", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		var refused *RefusedError
		for range 20 {
			if _, _, err := f.ask(nil); err != nil {
				refused = err.(*RefusedError)
			}
		}
		Expect(refused.Reason).To(Equal(ReasonFull))
		Expect(refused.RetryAfter).To(BeNumerically("~", 400*time.Millisecond, 200*time.Millisecond))
		Expect(len(f.waiting)).To(BeNumerically("<=", 5))
	})

	g.It("queues a request that was refused before up to its deadline", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		for range 20 {
			f.ask(nil)
		}
		_, _, err := f.ask(func(a *Ask) { a.Returning = true })
		Expect(err).NotTo(HaveOccurred())
	})

	g.It("refuses a queued request that has too little time left", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		f.ask(nil)
		w, _, err := f.ask(func(a *Ask) { a.Left = 300 * time.Millisecond; a.AimLeft = 300 * time.Millisecond })
		Expect(err).NotTo(HaveOccurred())
		f.now = f.now.Add(280 * time.Millisecond)
		f.serveQueue(f.now)
		var a decision
		Expect(w.done).To(Receive(&a))
		Expect(a.err).To(MatchError(ContainSubstring(ReasonLate)))
	})

	// A look-up is queued, and more urgent requests arrive one after the other. If it were refused
	// only at its own deadline, that would be after 2.9 s of 3 s, with no time left to retry.
	g.It("refuses early a queued request that more urgent ones have delayed too much", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		f.ask(nil)
		low, _, err := f.ask(func(a *Ask) { a.Priority = 2 })
		Expect(err).NotTo(HaveOccurred())
		for range 25 {
			_, _, err := f.ask(func(a *Ask) { a.Returning, a.Left = true, time.Minute })
			Expect(err).NotTo(HaveOccurred())
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.serveQueue(f.now)
		var a decision
		Expect(low.done).To(Receive(&a))
		Expect(a.err).To(MatchError(ContainSubstring(ReasonLate)))
	})

	g.It("prefers the faster target", func() {
		f := newFixture(twoTargets(4)...)
		for range 40 {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			took := 100 * time.Millisecond
			if p.Target == "a" {
				took = 400 * time.Millisecond
			}
			f.now = f.now.Add(took)
			f.reportServed(p, took)
		}
		_, p, _ := f.ask(nil)
		Expect(p.Target).To(Equal("b"))
	})

	// If a new target were assumed to have average speed, it would get no requests while faster
	// targets are in use.
	g.It("tries a new target, with one request at first", func() {
		f := newFixture(twoTargets(4)...)
		for range 60 {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			f.now = f.now.Add(100 * time.Millisecond)
			f.reportServed(p, 100*time.Millisecond)
		}
		f.setTargets(append(twoTargets(4), Target{ID: "c", Slots: 4}), f.now)
		used := map[string]int{}
		for range 4 {
			_, p, _ := f.ask(nil)
			used[p.Target]++
		}
		Expect(used["c"]).To(Equal(1))
	})

	g.It("does not send a request to an excluded target", func() {
		f := newFixture(twoTargets(4)...)
		for range 4 {
			_, p, err := f.ask(func(a *Ask) { a.Exclude = []string{"a"} })
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Target).To(Equal("b"))
		}
	})

	// If all targets fail some requests and all were ejected, nothing would be served although half
	// of the targets work.
	g.It("ejects a failing target, but never most of a pool", func() {
		f := newFixture(twoTargets(4)...)
		for range 60 {
			_, p, err := f.ask(nil)
			if err != nil {
				break
			}
			f.report(Report{ID: p.ID, Target: p.Target, Rule: "r", Result: ResultFailed}, f.now)
		}
		Expect(f.capacity(100*time.Millisecond, f.now).rateLimitedSlots).To(BeNumerically(">", 0))
	})

	g.It("lets one of several equal suspect requests through at a time, and refuses the others at once (guards against each of them crashing a target)", func() {
		f := newFixture(twoTargets(4)...)
		suspect := func(name uint64) func(*Ask) { return func(a *Ask) { a.Suspect = name } }
		_, first, err := f.ask(suspect(7))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = f.ask(suspect(7))
		var refused *RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(ReasonSuspect))
		_, _, err = f.ask(suspect(8))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = f.ask(nil)
		Expect(err).NotTo(HaveOccurred())
		f.reportServed(first, time.Millisecond)
		_, _, err = f.ask(suspect(7))
		Expect(err).NotTo(HaveOccurred())
	})

	// Instances may crash before they return their permits. If these were not reclaimed, the target
	// would have fewer and fewer slots.
	g.It("reclaims permits after their deadline", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		f.ask(nil)
		f.now = f.now.Add(2*time.Second + reclaimDelay)
		f.reclaimExpired(f.now)
		_, p, err := f.ask(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("a"))
	})

	// If the only target that a request has not tried leaves or pauses, the request would wait for
	// a slot that it cannot use, and be refused only at its deadline.
	g.It("refuses at once a request that excludes all targets", func() {
		f := newFixture(twoTargets(1)...)
		_, _, err := f.ask(func(a *Ask) { a.Exclude = []string{"a", "b"} })
		var refused *RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(ReasonNoTarget))
	})

	g.It("refuses requests if there is no target", func() {
		_, _, err := newFixture().ask(nil)
		Expect(err).To(MatchError(ContainSubstring(ReasonNoTarget)))
	})
})

var _ = g.Describe("a keeper", func() {
	g.It("grants the slot of a caller that has gone away to the next one", func() {
		k := NewKeeper(clock.System{}, func(PoolID) []Target { return []Target{{ID: "a", Slots: 1}} })
		ask := func(id string) Ask {
			return Ask{ID: id, Service: "s", Rule: "r", AimLeft: time.Second, Left: 2 * time.Second}
		}
		_, err := k.Acquire(context.Background(), ask("1"))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err = k.Acquire(ctx, ask("2"))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		k.Release(PoolID{Service: "s"}, Report{ID: "1", Target: "a", Rule: "r", Result: ResultServed, Took: time.Millisecond})
		p, err := k.Acquire(context.Background(), ask("3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("a"))
	})
})

var _ = g.Describe("groups", func() {
	makeTargets := func(count int) (list []Target) {
		for i := range count {
			list = append(list, Target{ID: fmt.Sprint("t", i), DataCentre: fmt.Sprint("dc", i%5), Slots: 2})
		}
		return list
	}

	g.It("are not used for a few targets", func() {
		Expect(Groups(makeTargets(maxUngroupedTargets))).To(HaveLen(1))
	})

	// With a single queue for 74 targets, their one keeper would handle 1,600 messages a second. On
	// a small instance, the service's requests would be late on all instances.
	g.It("have about a dozen targets of one data centre each", func() {
		list := makeTargets(74)
		slots := 0
		for _, group := range Groups(list) {
			Expect(group.Slots).To(BeNumerically("<=", 2*2*targetsPerGroup))
			Expect(group.DataCentre).NotTo(BeEmpty())
			slots += group.Slots
		}
		Expect(slots).To(Equal(2 * 74))
		Expect(len(Groups(list))).To(BeNumerically(">=", 8))
	})

	g.It("are asked in the local data centre first, and not while they are known to be full", func() {
		groups := Groups(makeTargets(74))
		c := NewChooser(clock.System{}, "dc3")
		Expect(c.Candidates("s", groups, crossDataCentreBaseCost)[0].DataCentre).To(Equal("dc3"))
		for _, group := range groups {
			if group.DataCentre == "dc3" {
				c.RecordWait("s", group.Name, time.Second)
			}
		}
		for _, group := range c.Candidates("s", groups, crossDataCentreBaseCost) {
			Expect(group.DataCentre).NotTo(Equal("dc3"))
		}
		for _, group := range groups {
			c.RecordWait("s", group.Name, time.Second)
		}
		Expect(c.Candidates("s", groups, crossDataCentreBaseCost)).To(BeEmpty())
		c.RecordWait("s", groups[2].Name, 100*time.Millisecond)
		Expect(c.ShortestWait("s", groups, crossDataCentreBaseCost).Name).To(Equal(groups[2].Name))
	})

	g.It("do not queue an ask with NoQueue", func() {
		k := NewKeeper(clock.System{}, func(PoolID) []Target { return []Target{{ID: "a", Slots: 1}} })
		ask := func(id string) Ask {
			return Ask{ID: id, Service: "s", Rule: "r", AimLeft: time.Second, Left: 2 * time.Second, NoQueue: true}
		}
		_, err := k.Acquire(context.Background(), ask("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = k.Acquire(context.Background(), ask("2"))
		Expect(err).To(MatchError(ContainSubstring(ReasonBusy)))
	})
})

// BenchmarkAcquire measures granting and returning a permit with an empty queue.
func BenchmarkAcquire(b *testing.B) {
	slots := twoTargets(6)
	k := NewKeeper(clock.System{}, func(PoolID) []Target { return slots })
	b.ReportAllocs()
	for b.Loop() {
		p, err := k.Acquire(context.Background(), Ask{ID: "x", Service: "s", Rule: "r", AimLeft: time.Second, Left: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		k.Release(PoolID{Service: "s"}, Report{ID: p.ID, Target: p.Target, Rule: "r", Result: ResultServed, Took: time.Millisecond})
	}
}

var _ = g.Describe("a keeper", func() {
	// If the queues were checked 100 times a second even while empty, an instance without requests
	// would use a tenth of the processor time of a busy one.
	g.It("does not check its queues while no slot is in use, and does so again when one is", func() {
		k := NewKeeper(clock.System{}, func(PoolID) []Target { return []Target{{ID: "a", Slots: 1}} })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go k.Run(ctx)
		ticks := func() int {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.ticks
		}
		ticking := func() bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.ticking
		}
		time.Sleep(5 * serveInterval)
		Expect(ticks()).To(BeZero())
		for n := range 2 {
			ask := Ask{ID: fmt.Sprint(n), Service: "s", Target: "a", Rule: "r", AimLeft: time.Second, Left: time.Second}
			p, err := k.Acquire(ctx, ask)
			Expect(err).NotTo(HaveOccurred())
			begun := ticks()
			Eventually(ticks, "1s", "5ms").Should(BeNumerically(">", begun))
			k.Release(ask.Pool(), Report{ID: p.ID, Target: "a", Rule: "r", Result: ResultServed, Took: time.Millisecond})
			released := ticks()
			Eventually(ticking, "1s", "5ms").Should(BeFalse())
			idle := ticks()
			Expect(idle).To(BeNumerically("<=", released+1))
			time.Sleep(5 * serveInterval)
			Expect(ticks()).To(Equal(idle))
		}
	})
})
