package lead

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/store"
)

// directory carries calls between coordinators of one process, by address.
type directory map[string]*Coordinator

func (d directory) Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error) {
	c := d[address]
	if c == nil {
		return nil, errors.New("nobody listens")
	}
	return c.Sync(ctx, args), nil
}

// darkStore counts the calls that it refuses.
type darkStore struct{ calls atomic.Int64 }

func (s *darkStore) Commit(context.Context, store.Txn) (uint64, error) {
	s.calls.Add(1)
	return 0, store.ErrNotApplied
}

func (s *darkStore) Scan(context.Context, string, string) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	return nil, 0, store.ErrNotApplied
}

func (s *darkStore) Feed(context.Context, string, uint64, time.Duration) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	return nil, 0, store.ErrNotApplied
}

// leaseStore holds the row of the lease.
type leaseStore struct {
	darkStore
	row     lease.Row
	version uint64
}

func (s *leaseStore) Scan(context.Context, string, string) ([]store.Row, uint64, error) {
	text, err := s.row.Encode()
	return []store.Row{{ID: store.ID{Table: table, Part: part, Key: leaseKey}, Value: text, Version: s.version}}, s.version, err
}

func (s *leaseStore) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	if txn.Expect[0].Version != s.version {
		return 0, &store.ConflictError{}
	}
	s.version++
	return s.version, nil
}

// fleet makes coordinators that know one another and some targets.
func fleet(count int) (list []view.Instance, all directory, s *darkStore) {
	s = &darkStore{}
	all = directory{}
	for i := range count {
		list = append(list, view.Instance{ID: fmt.Sprintf("i%02d.1", i), Address: fmt.Sprintf("a%02d", i), Weight: 1})
	}
	now := clock.System{}.Now()
	for _, self := range list {
		board := view.NewBoard(clock.System{})
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, list)
		board.SetTargets(5, targets("x", "y"), now)
		board.ConfirmRules(0, now)
		c := New(Config{Self: self}, clock.System{}, s, board, all, nil, demand.NewCollector(), quiet)
		c.started = now.Add(-time.Minute)
		all[self.Address] = c
	}
	return list, all, s
}

var _ = Describe("the lease of a process that has ended", func() {
	take := func(holder, address string) *term {
		s := &leaseStore{row: lease.Row{Holder: holder, Address: address, Term: 3}, version: 9}
		c := New(Config{Self: view.Instance{ID: "i1.2", Address: "a1", Weight: 1}}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, demand.NewCollector(), quiet)
		t, err := c.lookAtLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	// Symptom: nobody leads for 2 s after all instances were killed and started again.
	// Sequence: the former leader starts again, finds its own former lease and waits for it.
	// Cause: the lease was taken for that of another instance.
	It("is taken at once by the next process at its address", func() {
		Expect(take("i1.1", "a1")).NotTo(BeNil())
	})

	It("is waited for by all others", func() {
		Expect(take("i2.1", "a2")).To(BeNil())
	})
})

var _ = Describe("an instance that starts while the store is away", func() {
	// Symptom: it serves nobody until the store is back. Sequence: the leading instance is killed
	// and starts again; the others know rules and targets, and none of them leads. Cause: only a
	// leader, or a relay that had read the lease a moment ago, told it anything.
	It("learns from any other what that knows, with its age", func() {
		_, all, s := fleet(3)
		known := all["a00"].board.CurrentAsOf()
		starts := New(Config{Self: view.Instance{ID: "new", Address: "a09"}, Seeds: []string{"a09", "nobody", "a01"}}, clock.System{}, s, view.NewBoard(clock.System{}), all, nil, demand.NewCollector(), quiet)
		set, err := rules.Parse("rules", "")
		Expect(err).NotTo(HaveOccurred())
		all["a01"].board.SetRules(3, set, known)
		starts.askAnybody(context.Background())
		Expect(starts.board.Load().Targets).To(HaveLen(2))
		Expect(starts.board.Load().RulesVersion).To(Equal(uint64(3)))
		Expect(starts.board.Load().Instances).To(HaveLen(3))
		Expect(starts.board.CurrentAsOf()).To(BeNumerically("~", known, time.Second))
		Expect(starts.Leader()).To(Equal(lease.Row{}))
	})
})

var _ = Describe("reading the store", func() {
	// Symptom: a target gets a request 2.06 s after it left. Sequence: the leading instance is
	// cut off from the store; a follower to which the store once did not answer goes on
	// following, without a reading of its own for 2.5 s, and leads next.
	// Cause: nothing but a look at the lease made it try the store again, and one that follows
	// does not look.
	It("is tried again by a follower with old knowledge, also where it failed before", func() {
		_, all, _ := fleet(5)
		for _, c := range all {
			now := c.clock.Now()
			c.lastSync = now
			c.storeOK = false
			c.failedAt = now
			c.board = view.NewBoard(c.clock)
			Expect(c.reads(context.Background())).To(BeFalse())
			c.failedAt = now.Add(-time.Minute)
			Expect(c.reads(context.Background())).To(BeTrue())
		}
	})
})

var _ = Describe("relays", func() {
	It("are the same few for all, without the leader that was lost", func() {
		list, _, _ := fleet(20)
		relays := rankRelays(list, "")
		Expect(relays).To(HaveLen(relayCount))
		var first view.Instance
		for _, i := range list {
			if i.Address == relays[0] {
				first = i
			}
		}
		after := rankRelays(list, first.ID)
		Expect(after).To(HaveLen(relayCount))
		Expect(after[:relayCount-1]).To(Equal(relays[1:]))
	})

	It("are the seeds while nobody else is known", func() {
		c := New(Config{Self: view.Instance{Address: "a"}, Seeds: []string{"b", "c"}}, clock.System{}, nil, view.NewBoard(clock.System{}), nil, nil, nil, quiet)
		Expect(c.isRelay()).To(BeFalse())
		c.config.Self.Address = "c"
		Expect(c.isRelay()).To(BeTrue())
	})

	// Symptom: 250 calls a second to the store while nobody leads.
	// Sequence: the leader is lost, and each of 20 instances looks at the lease and reads the
	// tables by itself. Cause: none of them asked another.
	It("tell the others who leads, without a call to the store", func() {
		list, all, s := fleet(20)
		relays := rankRelays(list, "")
		leader := list[0]
		for _, address := range relays {
			c := all[address]
			c.lookedAt = c.clock.Now()
			c.lost = "somebody"
			c.setLeader(lease.Row{Holder: leader.ID, Address: leader.Address, Term: 2})
		}
		asked := 0
		for _, c := range all {
			if c.isRelay() {
				continue
			}
			asked++
			Expect(c.askRelay(context.Background(), false)).To(BeTrue())
			Expect(c.Leader().Holder).To(Equal(leader.ID))
		}
		Expect(asked).To(Equal(len(list) - relayCount))
		Expect(s.calls.Load()).To(BeZero())
	})

	It("say nothing when they have not heard of the lease lately", func() {
		list, all, _ := fleet(20)
		for _, c := range all {
			if !c.isRelay() {
				Expect(c.askRelay(context.Background(), false)).To(BeFalse())
				break
			}
		}
		Expect(all[list[0].Address].Leader().Address).To(BeEmpty())
	})

	// Symptom: instances go on asking a leader that is gone, and never hear of the next one.
	// Cause: the relay had not noticed yet either, and named the one that was lost.
	It("wait for a leader other than the lost one", func() {
		list, all, _ := fleet(20)
		relay := all[rankRelays(list, "")[0]]
		relay.lookedAt = relay.clock.Now()
		relay.setLeader(lease.Row{Holder: "gone", Address: "nowhere"})
		go func() {
			time.Sleep(20 * time.Millisecond)
			relay.mu.Lock()
			defer relay.mu.Unlock()
			relay.lost = "gone"
			relay.setLeader(lease.Row{Holder: "next", Address: "a00"})
		}()
		args := relay.question()
		args.Lost = "gone"
		args.Wait = 10 * time.Second
		reply := relay.Sync(context.Background(), args)
		Expect(reply.Current).To(BeTrue())
		Expect(reply.Leader.Holder).To(Equal("next"))
	})

	// Symptom: targets that live get nothing. Sequence: the registry lacks them while the store
	// comes back; an instance that has just started reads it and is asked by others.
	It("tell nobody that targets are gone right after their own start", func() {
		list, all, _ := fleet(20)
		relay := all[rankRelays(list, "")[0]]
		relay.lookedAt = relay.clock.Now()
		relay.started = relay.clock.Now()
		Expect(relay.Sync(context.Background(), &peerapi.SyncArgs{TargetsDigest: 7}).Current).To(BeFalse())
		Expect(relay.Sync(context.Background(), &peerapi.SyncArgs{}).Current).To(BeTrue())
	})
})

var _ = Describe("instances that wait for the store", func() {
	// Symptom: 3.1 s after the store was back, with a change that it had just acknowledged, one of
	// 89 instances still decides requests by the configuration before.
	// Sequence: the store is silent for eight seconds. Each instance looks at it again after
	// pauses that have grown to two seconds, and a look that began before it was back hangs for
	// another 1.2 s. The relays hear it at once.
	// Cause: a relay that could not say anything current said so at once, and whoever had asked
	// slept until its own next look.
	It("hear from a relay at once when it is back", func() {
		list, all, _ := fleet(60)
		relays := rankRelays(list, "")
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
		var waiting []*Coordinator
		for _, i := range list {
			if c := all[i.Address]; !slices.Contains(relays, i.Address) && len(waiting) < 8 {
				waiting = append(waiting, c)
				running.Go(func() { c.follow(ctx) })
			}
		}
		// Until the pauses have grown to the longest.
		time.Sleep(3 * time.Second)
		set, err := rules.Parse("rules", "")
		Expect(err).NotTo(HaveOccurred())
		for _, address := range relays {
			c := all[address]
			c.board.SetRules(2, set, c.clock.Now())
			c.mu.Lock()
			c.looked(c.clock.Now())
			c.mu.Unlock()
		}
		for _, c := range waiting {
			Eventually(func() uint64 { return c.board.Load().RulesVersion }, "400ms", "5ms").Should(Equal(uint64(2)), c.config.Self.ID)
		}
	})
})
