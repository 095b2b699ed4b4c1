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

// slowStore is a leaseStore that answers after a delay.
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

// noOrders sends no orders.
type noOrders struct{}

func (noOrders) Do(context.Context, assign.Order) (assign.Outcome, string, clock.Instant) {
	return assign.OutcomeNotSent, "", clock.Never
}
func (noOrders) CloseIdleExcept(func(string) bool) {}

var _ = Describe("a leader that the store does not answer", func() {
	const heldTerm = 3
	var (
		leader, follower *Coordinator
		leaderTerm       *term
	)

	// begin starts a leader whose lease was confirmed the given time ago, and a relay that follows
	// it and whose store answers after the given time.
	begin := func(confirmed, answersIn time.Duration) {
		_, all, _ := newFleet(2)
		leader, follower = all["a00"], all["a01"]
		row := lease.Row{Holder: leader.config.Self.ID, Address: "a00", Term: heldTerm}
		follower.store = &slowStore{&leaseStore{row: row, version: 9}, answersIn}
		leader.orders = noOrders{}
		leader.collector, follower.collector = demand.NewCollector(), demand.NewCollector()
		leaderTerm = leader.beginTerm(&storedRows{lease: row, leaseVersion: 9}, leader.clock.Now().Add(-confirmed))
		leaderTerm.retryAt = leader.clock.Now().Add(time.Hour)
		done := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			leaderTerm.run(ctx)
			leader.mu.Lock()
			leader.term = nil
			leader.mu.Unlock()
			close(done)
		}()
		DeferCleanup(func() { cancel(); <-done })
	}

	report := func() bool { return follower.reportTo(context.Background(), "a00", false) }

	// Guards against keys of unresponsive targets that are unserved for 9 s. The store refuses only
	// the leader. The leader takes the store for unavailable and gives all targets the longest
	// hold, 10 s. Its lease expires, and the next leader has to wait for those holds.
	It("gives the lease up by announcement when the store answers others", func() {
		begin(900*time.Millisecond, 0)
		Expect(report()).To(BeTrue(), "the follower is asked to try the store")
		Eventually(report, "1s").Should(BeFalse(), "the follower reports that the store answers, and learns that the lease is given up")
		Expect(leader.Leading()).To(BeFalse())
		Expect(follower.givenUpTerm.term).To(Equal(uint64(heldTerm)))

		next, err := follower.checkLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).NotTo(BeNil(), "the follower takes the lease at once")
		Expect(next.formerGrantsUntil).To(BeNumerically("<", follower.clock.Now().Add(time.Second)), "nothing was granted")
	})

	// Guards against two targets that hold the same keys: an instance leads before it knows the
	// rules and gives the lease up, and the next leader reassigns the keys of an unresponsive
	// target at once. Keys of services without a manager must count as granted.
	It("announces the longest hold for services whose rules it does not know", func() {
		begin(900*time.Millisecond, 0)
		leader.config.HoldMax = 10 * time.Second
		leaderTerm.stored.maps = map[string]*keyrange.Map{"s": keyrange.Empty()}
		now := leader.clock.Now()
		Expect(leaderTerm.grantsUntil(now).Sub(now)).To(BeNumerically(">", 10*time.Second))
	})

	It("goes on while no renewal is overdue", func() {
		begin(100*time.Millisecond, 0)
		follower.storeAnsweredAt = follower.clock.Now()
		Expect(report()).To(BeTrue())
		Expect(leader.Leading()).To(BeTrue())
	})

	// Guards against frequent changes of the leader while the store is slow: a response after a
	// quarter of a second does not show that the store answers promptly.
	It("goes on when the store is slow for others as well", func() {
		begin(900*time.Millisecond, 2*maxPromptResponse)
		Expect(report()).To(BeTrue())
		Expect(report()).To(BeTrue())
		Expect(leader.Leading()).To(BeTrue())
	})

	It("does not free the lease of a later term by its announcement", func() {
		begin(0, 0)
		follower.noteGivenUp(heldTerm-1, 0)
		t, err := follower.checkLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(t).To(BeNil())
	})
})

// recordingOrders records the longest hold that was ordered.
type recordingOrders struct {
	noOrders
	mu      sync.Mutex
	longest time.Duration
}

func (h *recordingOrders) Do(_ context.Context, o assign.Order) (assign.Outcome, string, clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest = max(h.longest, o.Hold)
	return assign.OutcomeDone, "", clock.System{}.Now()
}

var _ = Describe("a leader that is stopped", func() {
	// Guards against keys that are unserved for four seconds. The store becomes unavailable; a
	// second later, before the holds are extended, the leader gets SIGTERM. If it ended its
	// leadership at once, holds would expire, and no instance could take the lease.
	shutDown := func(s store.Store) time.Duration {
		set, err := rules.Parse("rules", "[[service]]\nname = \"s\"\nkeyed = true\n")
		Expect(err).NotTo(HaveOccurred())
		_, all, _ := newFleet(1)
		c := all["a00"]
		orders := &recordingOrders{}
		c.orders, c.store, c.config.HoldMax = orders, s, 10*time.Second
		c.board.SetRules(1, set, c.clock.Now())
		e := keyrange.Empty().Edit()
		e.Move(0, keyrange.MaxKey, "x", false)
		e.FinishMove(0, keyrange.MaxKey)
		row := lease.Row{Holder: c.config.Self.ID, Address: "a00", Term: 3}
		t := c.beginTerm(&storedRows{lease: row, leaseVersion: 9, maps: map[string]*keyrange.Map{"s": e.Map()}, mapVersions: map[string]uint64{"s": 9}}, c.clock.Now())
		t.retryAt = c.clock.Now().Add(time.Hour)
		go t.run(context.Background())
		time.Sleep(100 * time.Millisecond)
		c.PrepareShutdown(context.Background())
		orders.mu.Lock()
		defer orders.mu.Unlock()
		return orders.longest
	}

	It("gives all targets the longest hold while the store is unavailable", func() {
		Expect(shutDown(&unavailableStore{})).To(Equal(10 * time.Second))
	})

	It("does not extend holds while the store answers", func() {
		Expect(shutDown(&leaseStore{row: lease.Row{Holder: "i00.1", Term: 3}, version: 9})).To(BeNumerically("<", 5*time.Second))
	})
})

// forgetfulStore loses the responses to its first commits: it applies them and answers only when the call
// has ended.
type forgetfulStore struct {
	*leaseStore
	losses  int
	written lease.Row
}

func (s *forgetfulStore) Scan(ctx context.Context, table, part string) ([]store.Row, uint64, error) {
	s.row = s.written
	return s.leaseStore.Scan(ctx, table, part)
}

func (s *forgetfulStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	version, err := s.leaseStore.Commit(ctx, txn)
	if err != nil {
		return version, err
	}
	if s.written, err = lease.Decode(txn.Writes[0].Value); err != nil {
		return 0, err
	}
	if s.losses == 0 {
		return version, nil
	}
	s.losses--
	<-ctx.Done()
	return 0, store.ErrOutcomeUnknown
}

var _ = Describe("a leader that gives its lease up", func() {
	// prepareShutdown stops a leader in term 3, and returns how long that took.
	prepareShutdown := func(s store.Store) time.Duration {
		_, all, _ := newFleet(1)
		c := all["a00"]
		c.orders, c.store = noOrders{}, s
		t := c.beginTerm(&storedRows{lease: lease.Row{Holder: c.config.Self.ID, Address: "a00", Term: 3}, leaseVersion: 9}, c.clock.Now())
		t.retryAt = c.clock.Now().Add(time.Hour)
		go t.run(context.Background())
		start := time.Now()
		c.PrepareShutdown(context.Background())
		return time.Since(start)
	}
	held := func(term uint64) lease.Row { return lease.Row{Holder: "i00.1", Address: "a00", Term: term} }

	// Guards against a leader that waits to the end of its grace period for one response of the store.
	It("does not wait longer for a lost response than a call may take", func() {
		s := &forgetfulStore{leaseStore: &leaseStore{version: 9}, losses: 1, written: held(3)}
		Expect(prepareShutdown(s)).To(BeNumerically("<", callTimeout+500*time.Millisecond))
		Expect(s.written.Vacant).To(BeTrue())
	})

	It("does not wait until its lease has expired anyway", func() {
		s := &forgetfulStore{leaseStore: &leaseStore{version: 9}, losses: 100, written: held(3)}
		Expect(prepareShutdown(s)).To(BeNumerically("<", lease.Duration+500*time.Millisecond))
	})

	// Guards against a lease that counts as free while its holder acts: the instance took it again in a
	// later term while it was still giving the former one up.
	It("does not mark a later term of its own as vacant", func() {
		s := &forgetfulStore{leaseStore: &leaseStore{version: 9}, written: held(4)}
		prepareShutdown(s)
		Expect(s.written.Vacant).To(BeFalse())
	})
})

var _ = Describe("the announcement of a given-up term", func() {
	It("is not replaced by one for an older term", func() {
		c := New(Config{Self: view.Instance{ID: "i"}}, clock.System{}, nil, view.NewBoard(clock.System{}), nil, nil, nil, discardLog)
		c.noteGivenUp(5, time.Second)
		c.noteGivenUp(4, time.Minute)
		term, grantsLeft := c.givenUpNotice()
		Expect(term).To(Equal(uint64(5)))
		Expect(grantsLeft).To(BeNumerically("<=", time.Second))
	})
})
