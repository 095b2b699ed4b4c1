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

// fixture is a pool with a hand-driven clock.
type fixture struct {
	*pool
	now  clock.Instant
	next int
}

func newFixture(slots ...Target) *fixture {
	f := &fixture{pool: newPool(), now: start}
	f.setSlots(slots, f.now)
	return f
}

func two(slots int) []Target {
	return []Target{{ID: "a", Slots: slots, DataCentre: "dc1"}, {ID: "b", Slots: slots, DataCentre: "dc2"}}
}

// ask enters a request and returns it with its permit, if it got one at once.
func (f *fixture) ask(change func(*Ask)) (*waiter, Permit, error) {
	f.next++
	a := Ask{ID: fmt.Sprint(f.next), Rule: "r", AimLeft: 500 * time.Millisecond, Left: 2 * time.Second}
	if change != nil {
		change(&a)
	}
	w := &waiter{ask: a, arrived: f.now, aim: f.now.Add(a.AimLeft), deadline: f.now.Add(a.Left), expected: f.expected(a), done: make(chan answer, 1)}
	p, _, err := f.admit(w, f.now)
	return w, p, err
}

func (f *fixture) served(p Permit, took time.Duration) {
	f.report(Report{ID: p.ID, Target: p.Target, Rule: "r", Result: Served, Took: took}, f.now)
	f.serve(f.now)
}

var _ = g.Describe("a pool of slots", func() {
	// Symptom: a target resets connections, and bookings on them are lost.
	// Sequence: more requests are sent than the target runs and queues.
	// Cause: many instances, each within its own bound.
	g.It("never hands out more than the targets have", func() {
		f := newFixture(two(3)...)
		given := 0
		for range 50 {
			if _, p, err := f.ask(nil); err == nil && p.Target != "" {
				given++
			}
		}
		Expect(given).To(Equal(6))
	})

	g.It("hands a free slot to the more urgent request first", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		_, first, _ := f.ask(nil)
		low, _, err := f.ask(func(a *Ask) { a.Priority = 2 })
		Expect(err).NotTo(HaveOccurred())
		high, _, err := f.ask(func(a *Ask) { a.Priority = 0 })
		Expect(err).NotTo(HaveOccurred())
		f.served(first, 100*time.Millisecond)
		Expect(high.done).To(Receive())
		Expect(low.done).NotTo(Receive())
	})

	// Symptom: under a load of twice the capacity every answer is late.
	// Sequence: requests queue until their deadline; each served one has waited too long.
	// Cause: a queue as long as the deadline allows.
	g.It("refuses at once what would be late, with the time until there is room", func() {
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

	g.It("queues one that came back up to its deadline", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		for range 20 {
			f.ask(nil)
		}
		_, _, err := f.ask(func(a *Ask) { a.Returning = true })
		Expect(err).NotTo(HaveOccurred())
	})

	g.It("gives up a request whose time has become too short", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		f.ask(nil)
		w, _, err := f.ask(func(a *Ask) { a.Left = 300 * time.Millisecond; a.AimLeft = 300 * time.Millisecond })
		Expect(err).NotTo(HaveOccurred())
		f.now = f.now.Add(280 * time.Millisecond)
		f.serve(f.now)
		var a answer
		Expect(w.done).To(Receive(&a))
		Expect(a.err).To(MatchError(ContainSubstring(ReasonLate)))
	})

	// Symptom: lookups are refused after 2.9 s of 3 s, with no time left to come back.
	// Sequence: a lookup is queued for its turn; more urgent requests come one after the other.
	// Cause: the queue was looked at again only when the lookup's own time was over.
	g.It("gives up early what more urgent requests have pushed too far back", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		f.ask(nil)
		low, _, err := f.ask(func(a *Ask) { a.Priority = 2 })
		Expect(err).NotTo(HaveOccurred())
		for range 25 {
			_, _, err := f.ask(func(a *Ask) { a.Returning, a.Left = true, time.Minute })
			Expect(err).NotTo(HaveOccurred())
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.serve(f.now)
		var a answer
		Expect(low.done).To(Receive(&a))
		Expect(a.err).To(MatchError(ContainSubstring(ReasonLate)))
	})

	g.It("prefers the faster target", func() {
		f := newFixture(two(4)...)
		for range 40 {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			took := 100 * time.Millisecond
			if p.Target == "a" {
				took = 400 * time.Millisecond
			}
			f.now = f.now.Add(took)
			f.served(p, took)
		}
		_, p, _ := f.ask(nil)
		Expect(p.Target).To(Equal("b"))
	})

	// Symptom: targets that join get nothing while others are in use. Sequence: two fast
	// targets serve; a third joins. Cause: nothing is known of it, and an average speed was
	// assumed, which is worse than theirs.
	g.It("tries a target that joins, with one request at first", func() {
		f := newFixture(two(4)...)
		for range 60 {
			_, p, err := f.ask(nil)
			Expect(err).NotTo(HaveOccurred())
			f.now = f.now.Add(100 * time.Millisecond)
			f.served(p, 100*time.Millisecond)
		}
		f.setSlots(append(two(4), Target{ID: "c", Slots: 4}), f.now)
		used := map[string]int{}
		for range 4 {
			_, p, _ := f.ask(nil)
			used[p.Target]++
		}
		Expect(used["c"]).To(Equal(1))
	})

	g.It("does not send a request to a target that it has tried", func() {
		f := newFixture(two(4)...)
		for range 4 {
			_, p, err := f.ask(func(a *Ask) { a.Exclude = []string{"a"} })
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Target).To(Equal("b"))
		}
	})

	// Symptom: nothing is served although half of the targets are sound.
	// Sequence: all targets fail some requests. Cause: every one is set aside.
	g.It("sets a failing target aside, but never most of a pool", func() {
		f := newFixture(two(4)...)
		for range 60 {
			_, p, err := f.ask(nil)
			if err != nil {
				break
			}
			f.report(Report{ID: p.ID, Target: p.Target, Rule: "r", Result: Failed}, f.now)
		}
		Expect(f.capacity(100*time.Millisecond, f.now).does).To(BeNumerically(">", 0))
	})

	g.It("lets one of several suspect requests through at a time, and refuses the others at once (guards against all of them ending a target)", func() {
		f := newFixture(two(4)...)
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
		f.served(first, time.Millisecond)
		_, _, err = f.ask(suspect(7))
		Expect(err).NotTo(HaveOccurred())
	})

	// Symptom: a target's slots shrink until it gets nothing.
	// Sequence: instances that hold permits are killed. Cause: nobody gives them back.
	g.It("takes permits back after their deadline", func() {
		f := newFixture(Target{ID: "a", Slots: 1})
		f.ask(nil)
		f.now = f.now.Add(2*time.Second + overtime)
		f.reclaim(f.now)
		_, p, err := f.ask(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("a"))
	})

	// Symptom: a caller is refused only when its time is over. Sequence: the only target that it has not
	// tried leaves, or wants nothing for a time. Cause: the request waited for a slot that it could not use.
	g.It("refuses at once a request that is to avoid all targets", func() {
		f := newFixture(two(1)...)
		_, _, err := f.ask(func(a *Ask) { a.Exclude = []string{"a", "b"} })
		var refused *RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(ReasonNoTarget))
	})

	g.It("says so when there is no target", func() {
		_, _, err := newFixture().ask(nil)
		Expect(err).To(MatchError(ContainSubstring(ReasonNoTarget)))
	})
})

var _ = g.Describe("a keeper", func() {
	g.It("gives the slot of a caller that has gone to the next one", func() {
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
		k.Release(PoolID{Service: "s"}, Report{ID: "1", Target: "a", Rule: "r", Result: Served, Took: time.Millisecond})
		p, err := k.Acquire(context.Background(), ask("3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("a"))
	})
})

var _ = g.Describe("groups", func() {
	many := func(count int) (list []Target) {
		for i := range count {
			list = append(list, Target{ID: fmt.Sprint("t", i), DataCentre: fmt.Sprint("dc", i%5), Slots: 2})
		}
		return list
	}

	g.It("are one for a few targets", func() {
		Expect(Groups(many(groupAbove))).To(HaveLen(1))
	})

	// Symptom: requests of a service without keys are late on all instances.
	// Sequence: 74 targets, 1,600 messages a second to their one keeper, a small instance.
	// Cause: one queue for all of them.
	g.It("hold a dozen targets of one data centre each", func() {
		list := many(74)
		slots := 0
		for _, group := range Groups(list) {
			Expect(group.Slots).To(BeNumerically("<=", 2*2*groupSize))
			Expect(group.DataCentre).NotTo(BeEmpty())
			slots += group.Slots
		}
		Expect(slots).To(Equal(2 * 74))
		Expect(len(Groups(list))).To(BeNumerically(">=", 8))
	})

	g.It("are asked at home first, and not while they are known to be full", func() {
		groups := Groups(many(74))
		c := NewChooser(clock.System{}, "dc3")
		Expect(c.Candidates("s", groups, abroad)[0].DataCentre).To(Equal("dc3"))
		for _, group := range groups {
			if group.DataCentre == "dc3" {
				c.RecordWait("s", group.Name, time.Second)
			}
		}
		for _, group := range c.Candidates("s", groups, abroad) {
			Expect(group.DataCentre).NotTo(Equal("dc3"))
		}
		for _, group := range groups {
			c.RecordWait("s", group.Name, time.Second)
		}
		Expect(c.Candidates("s", groups, abroad)).To(BeEmpty())
		c.RecordWait("s", groups[2].Name, 100*time.Millisecond)
		Expect(c.ShortestWait("s", groups, abroad).Name).To(Equal(groups[2].Name))
	})

	g.It("do not queue an ask for a free slot", func() {
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

// BenchmarkAcquire measures a permit and its return, with a queue of none.
func BenchmarkAcquire(b *testing.B) {
	slots := two(6)
	k := NewKeeper(clock.System{}, func(PoolID) []Target { return slots })
	b.ReportAllocs()
	for b.Loop() {
		p, err := k.Acquire(context.Background(), Ask{ID: "x", Service: "s", Rule: "r", AimLeft: time.Second, Left: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		k.Release(PoolID{Service: "s"}, Report{ID: p.ID, Target: p.Target, Rule: "r", Result: Served, Took: time.Millisecond})
	}
}

var _ = g.Describe("a keeper", func() {
	// Symptom: an instance without a request uses a tenth of the processor time of a busy one. Cause:
	// its keepers looked at their queues 100 times a second, whether there were any or not.
	g.It("does nothing while no slot is in use, and looks again when one is", func() {
		k := NewKeeper(clock.System{}, func(PoolID) []Target { return []Target{{ID: "a", Slots: 1}} })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go k.Run(ctx)
		ticks := func() int {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.ticks
		}
		time.Sleep(5 * serveEvery)
		Expect(ticks()).To(BeZero())
		for n := range 2 {
			ask := Ask{ID: fmt.Sprint(n), Service: "s", Target: "a", Rule: "r", AimLeft: time.Second, Left: time.Second}
			p, err := k.Acquire(ctx, ask)
			Expect(err).NotTo(HaveOccurred())
			begun := ticks()
			Eventually(ticks, "1s", "5ms").Should(BeNumerically(">", begun))
			k.Release(ask.Pool(), Report{ID: p.ID, Target: "a", Rule: "r", Result: Served, Took: time.Millisecond})
			time.Sleep(2 * serveEvery)
			idle := ticks()
			time.Sleep(5 * serveEvery)
			Expect(ticks()).To(Equal(idle))
		}
	})
})
