package lead

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/store"
)

// slowStore is a store that takes its time.
type slowStore struct {
	*leaseStore
	answersIn time.Duration
}

func (s *slowStore) Scan(ctx context.Context, table, part string) ([]store.Row, uint64, error) {
	select {
	case <-time.After(s.answersIn):
		return s.leaseStore.Scan(ctx, table, part)
	case <-ctx.Done():
		return nil, 0, store.ErrOutcomeUnknown
	}
}

// noOrders carries no orders.
type noOrders struct{}

func (noOrders) Do(context.Context, assign.Order) (assign.Outcome, string, clock.Instant) {
	return assign.NotSent, "", clock.Never
}
func (noOrders) RetainTargets(func(string) bool) {}

var _ = Describe("a leading instance that the store does not answer", func() {
	const held = 3
	var (
		leader, follower *Coordinator
		leads            *term
	)

	// begin lets an instance lead whose lease was confirmed some time ago, and a relay follow it,
	// for which the store takes the given time.
	begin := func(confirmed, answersIn time.Duration) {
		_, all, _ := fleet(2)
		leader, follower = all["a00"], all["a01"]
		row := lease.Row{Holder: leader.config.Self.ID, Address: "a00", Term: held}
		follower.store = &slowStore{&leaseStore{row: row, version: 9}, answersIn}
		leader.orders = noOrders{}
		leader.collector, follower.collector = demand.NewCollector(), demand.NewCollector()
		leads = leader.begin(&stored{lease: row, leaseVersion: 9}, leader.clock.Now().Add(-confirmed))
		leads.retryAt = leader.clock.Now().Add(time.Hour)
		done := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			leads.run(ctx)
			leader.mu.Lock()
			leader.term = nil
			leader.mu.Unlock()
			close(done)
		}()
		DeferCleanup(func() { cancel(); <-done })
	}

	report := func() bool { return follower.report(context.Background(), "a00", false) }

	// Symptom: keys of targets that fell silent are unserved for 9 s. Sequence: the store turns the
	// leading instance away; it gives all targets the longest hold, 10 s, since nobody may be able
	// to renew; its lease runs out, the next one leads and waits for those holds. Cause: it took
	// the store for lost though it answered all others.
	It("gives the lease up by word when it answers others", func() {
		begin(900*time.Millisecond, 0)
		Expect(report()).To(BeTrue(), "is asked to try the store")
		Eventually(report, "1s").Should(BeFalse(), "tells, and is told that the lease is given up")
		Expect(leader.Leading()).To(BeFalse())
		Expect(follower.vacated.term).To(Equal(uint64(held)))

		next, err := follower.lookAtLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).NotTo(BeNil(), "takes the lease at once")
		Expect(next.formerHeld).To(BeNumerically("<", follower.clock.Now().Add(time.Second)), "nothing was granted")
	})

	// Symptom: two targets hold the same keys. Sequence: an instance leads before it knows the
	// rules, and gives the lease up; the next one gives on the keys of a lost target at once.
	// Cause: what it had no manager for counted as held by nobody.
	It("tells the longest hold for services whose rules it does not know", func() {
		begin(900*time.Millisecond, 0)
		leader.config.HoldMax = 10 * time.Second
		leads.stored.maps = map[string]*keyrange.Map{"s": keyrange.Empty()}
		now := leader.clock.Now()
		Expect(leads.heldUntil(now).Sub(now)).To(BeNumerically(">", 10*time.Second))
	})

	It("goes on while a renewal is not overdue", func() {
		begin(100*time.Millisecond, 0)
		follower.answeredAt = follower.clock.Now()
		Expect(report()).To(BeTrue())
		Expect(leader.Leading()).To(BeTrue())
	})

	// Symptom: leaders change again and again while the store is slow. Cause: an answer after a
	// quarter of a second was taken to show that the store is well.
	It("goes on when the store is slow for others as well", func() {
		begin(900*time.Millisecond, 2*promptAnswer)
		Expect(report()).To(BeTrue())
		Expect(report()).To(BeTrue())
		Expect(leader.Leading()).To(BeTrue())
	})

	It("is not believed about another term", func() {
		begin(0, 0)
		follower.noteVacated(held-1, 0)
		t, err := follower.lookAtLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(t).To(BeNil())
	})
})

// holdsOrdered notes the longest hold that was ordered.
type holdsOrdered struct {
	noOrders
	mu      sync.Mutex
	longest time.Duration
}

func (h *holdsOrdered) Do(_ context.Context, o assign.Order) (assign.Outcome, string, clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest = max(h.longest, o.Hold)
	return assign.Done, "", clock.System{}.Now()
}

var _ = Describe("a leading instance that is stopped", func() {
	// Symptom: all keys are unserved for four seconds. Sequence: the store goes dark; a second
	// later, before the holds are extended, the leading instance gets SIGTERM and ends its
	// leadership at once; holds run out, and nobody can take the lease. Cause: the end of the
	// leadership did not look at the store.
	leave := func(s store.Store) time.Duration {
		set, err := rules.Parse("rules", "[[service]]\nname = \"s\"\nkeyed = true\n")
		Expect(err).NotTo(HaveOccurred())
		_, all, _ := fleet(1)
		c := all["a00"]
		orders := &holdsOrdered{}
		c.orders, c.store, c.config.HoldMax = orders, s, 10*time.Second
		c.board.SetRules(1, set, c.clock.Now())
		e := keyrange.Empty().Edit()
		e.Move(0, keyrange.MaxKey, "x", false)
		e.Finish(0, keyrange.MaxKey)
		row := lease.Row{Holder: c.config.Self.ID, Address: "a00", Term: 3}
		t := c.begin(&stored{lease: row, leaseVersion: 9, maps: map[string]*keyrange.Map{"s": e.Map()}, mapVersions: map[string]uint64{"s": 9}}, c.clock.Now())
		t.retryAt = c.clock.Now().Add(time.Hour)
		go t.run(context.Background())
		time.Sleep(100 * time.Millisecond)
		c.Leave(context.Background())
		orders.mu.Lock()
		defer orders.mu.Unlock()
		return orders.longest
	}

	It("gives all targets the longest hold while the store is away", func() {
		Expect(leave(&darkStore{})).To(Equal(10 * time.Second))
	})

	It("leaves holds as they are while the store answers", func() {
		Expect(leave(&leaseStore{row: lease.Row{Holder: "i00.1", Term: 3}, version: 9})).To(BeNumerically("<", 5*time.Second))
	})
})

var _ = Describe("the word about a term", func() {
	It("is not replaced by one about an older term", func() {
		c := New(Config{Self: view.Instance{ID: "i"}}, clock.System{}, nil, view.NewBoard(clock.System{}), nil, nil, nil, quiet)
		c.noteVacated(5, time.Second)
		c.noteVacated(4, time.Minute)
		term, held := c.vacatedWord()
		Expect(term).To(Equal(uint64(5)))
		Expect(held).To(BeNumerically("<=", time.Second))
	})
})
