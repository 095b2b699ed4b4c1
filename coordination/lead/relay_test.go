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

// directory carries calls between coordinators in one process, by address.
type directory map[string]*Coordinator

func (d directory) Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error) {
	c := d[address]
	if c == nil {
		return nil, errors.New("no instance at this address")
	}
	return c.Sync(ctx, args), nil
}

// unavailableStore refuses all calls and counts them.
type unavailableStore struct{ calls atomic.Int64 }

func (s *unavailableStore) Commit(context.Context, store.Txn) (uint64, error) {
	s.calls.Add(1)
	return 0, store.ErrNotApplied
}

func (s *unavailableStore) Scan(context.Context, string, string) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	return nil, 0, store.ErrNotApplied
}

func (s *unavailableStore) Feed(context.Context, string, uint64, time.Duration) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	return nil, 0, store.ErrNotApplied
}

// leaseStore holds only the lease row.
type leaseStore struct {
	unavailableStore
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

// newFleet returns coordinators that know one another and some targets.
func newFleet(count int) (list []view.Instance, all directory, s *unavailableStore) {
	s = &unavailableStore{}
	all = directory{}
	for i := range count {
		list = append(list, view.Instance{ID: fmt.Sprintf("i%02d.1", i), Address: fmt.Sprintf("a%02d", i), Weight: 1})
	}
	now := clock.System{}.Now()
	for _, self := range list {
		board := view.NewBoard(clock.System{})
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, list)
		board.SetTargets(5, makeTargets("x", "y"), now)
		board.ConfirmRules(0, now)
		c := New(Config{Self: self}, clock.System{}, s, board, all, nil, demand.NewCollector(), discardLog)
		c.startedAt = now.Add(-time.Minute)
		all[self.Address] = c
	}
	return list, all, s
}

var _ = Describe("the lease of a process that has exited", func() {
	take := func(holder, address string) *term {
		s := &leaseStore{row: lease.Row{Holder: holder, Address: address, Term: 3}, version: 9}
		c := New(Config{Self: view.Instance{ID: "i1.2", Address: "a1", Weight: 1}}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, demand.NewCollector(), discardLog)
		t, err := c.checkLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	// Guards against 2 s without a leader after all instances were killed and started again: the
	// former leader finds its own former lease, and must not wait for it as for that of another
	// instance.
	It("is taken at once by the next process at the same address", func() {
		Expect(take("i1.1", "a1")).NotTo(BeNil())
	})

	It("is waited for by all other instances", func() {
		Expect(take("i2.1", "a2")).To(BeNil())
	})
})

var _ = Describe("an instance that starts while the store is unavailable", func() {
	// Guards against an instance that serves nobody until the store is available again. The leader
	// is killed and starts again; the others know rules and targets, but none of them leads. Only a
	// leader, or a relay that had read the lease recently, replied to it.
	It("gets the state of any other instance, with its age", func() {
		_, all, s := newFleet(3)
		known := all["a00"].board.CurrentAsOf()
		starting := New(Config{Self: view.Instance{ID: "new", Address: "a09"}, Seeds: []string{"a09", "nobody", "a01"}}, clock.System{}, s, view.NewBoard(clock.System{}), all, nil, demand.NewCollector(), discardLog)
		set, err := rules.Parse("rules", "")
		Expect(err).NotTo(HaveOccurred())
		all["a01"].board.SetRules(3, set, known)
		starting.askSeeds(context.Background())
		Expect(starting.board.Snapshot().Targets).To(HaveLen(2))
		Expect(starting.board.Snapshot().RulesVersion).To(Equal(uint64(3)))
		Expect(starting.board.Snapshot().Instances).To(HaveLen(3))
		Expect(starting.board.CurrentAsOf()).To(BeNumerically("~", known, time.Second))
		Expect(starting.Leader()).To(Equal(lease.Row{}))
	})
})

var _ = Describe("reading the store", func() {
	// Guards against a request to a target 2.06 s after it left. The leader is cut off from the
	// store. A follower that the store once did not answer goes on following without a read of its
	// own for 2.5 s, and leads next. Only a read of the lease made it try the store again, and a
	// follower does not read the lease.
	It("is tried again by a follower with a stale snapshot even if it failed before", func() {
		_, all, _ := newFleet(5)
		for _, c := range all {
			now := c.clock.Now()
			c.lastSync = now
			c.storeAvailable = false
			c.storeFailedAt = now
			c.board = view.NewBoard(c.clock)
			Expect(c.shouldReadStore(context.Background())).To(BeFalse())
			c.storeFailedAt = now.Add(-time.Minute)
			Expect(c.shouldReadStore(context.Background())).To(BeTrue())
		}
	})
})

var _ = Describe("relays", func() {
	It("are the same few for all instances, without the lost leader", func() {
		list, _, _ := newFleet(20)
		relays := rankStoreRelays(list, "")
		Expect(relays).To(HaveLen(storeRelayCount))
		var first view.Instance
		for _, i := range list {
			if i.Address == relays[0] {
				first = i
			}
		}
		after := rankStoreRelays(list, first.ID)
		Expect(after).To(HaveLen(storeRelayCount))
		Expect(after[:storeRelayCount-1]).To(Equal(relays[1:]))
	})

	It("are the seeds while no other instances are known", func() {
		c := New(Config{Self: view.Instance{Address: "a"}, Seeds: []string{"b", "c"}}, clock.System{}, nil, view.NewBoard(clock.System{}), nil, nil, nil, discardLog)
		Expect(c.isStoreRelay()).To(BeFalse())
		c.config.Self.Address = "c"
		Expect(c.isStoreRelay()).To(BeTrue())
	})

	// Guards against 250 calls a second to the store without a leader: each of 20 instances read
	// the lease and the tables by itself, and none asked another.
	It("tell the others who leads, without a call to the store", func() {
		list, all, s := newFleet(20)
		relays := rankStoreRelays(list, "")
		leader := list[0]
		for _, address := range relays {
			c := all[address]
			c.leaseReadAt = c.clock.Now()
			c.lostLeader = "somebody"
			c.setLeader(lease.Row{Holder: leader.ID, Address: leader.Address, Term: 2})
		}
		asked := 0
		for _, c := range all {
			if c.isStoreRelay() {
				continue
			}
			asked++
			Expect(c.askRelays(context.Background(), false)).To(BeTrue())
			Expect(c.Leader().Holder).To(Equal(leader.ID))
		}
		Expect(asked).To(Equal(len(list) - storeRelayCount))
		Expect(s.calls.Load()).To(BeZero())
	})

	It("do not reply with what they know when they have not read the lease recently", func() {
		list, all, _ := newFleet(20)
		for _, c := range all {
			if !c.isStoreRelay() {
				Expect(c.askRelays(context.Background(), false)).To(BeFalse())
				break
			}
		}
		Expect(all[list[0].Address].Leader().Address).To(BeEmpty())
	})

	// Guards against instances that keep asking a leader that has exited and never learn of the
	// next one, because the relay has not noticed yet and replies with the same leader.
	It("wait for a leader other than the lost one", func() {
		list, all, _ := newFleet(20)
		relay := all[rankStoreRelays(list, "")[0]]
		relay.leaseReadAt = relay.clock.Now()
		relay.setLeader(lease.Row{Holder: "gone", Address: "nowhere"})
		go func() {
			time.Sleep(20 * time.Millisecond)
			relay.mu.Lock()
			defer relay.mu.Unlock()
			relay.lostLeader = "gone"
			relay.setLeader(lease.Row{Holder: "next", Address: "a00"})
		}()
		args := relay.newSyncArgs()
		args.Lost = "gone"
		args.Wait = 10 * time.Second
		reply := relay.Sync(context.Background(), args)
		Expect(reply.Current).To(BeTrue())
		Expect(reply.Leader.Holder).To(Equal("next"))
	})

	// Guards against live targets that get no requests: the registry does not list them yet when
	// the store is available again, and an instance that has just started reads it and replies to
	// others.
	It("do not remove targets from the snapshots of others right after their own start", func() {
		list, all, _ := newFleet(20)
		relay := all[rankStoreRelays(list, "")[0]]
		relay.leaseReadAt = relay.clock.Now()
		relay.startedAt = relay.clock.Now()
		Expect(relay.Sync(context.Background(), &peerapi.SyncArgs{TargetsDigest: 7}).Current).To(BeFalse())
		Expect(relay.Sync(context.Background(), &peerapi.SyncArgs{}).Current).To(BeTrue())
	})
})

var _ = Describe("instances that wait for the store", func() {
	// Guards against requests decided by the former rules 3.1 s after the store was available again
	// and had acknowledged new ones. The store did not answer for 8 s. Each instance read the lease
	// again after pauses of up to 2 s, and a read that began before the store was available again
	// timed out only after another 1.2 s. Relays noticed at once, but replied at once that they had
	// no current information, and the instance that had asked then slept until its own next read.
	It("hear from a relay at once when it is available again", func() {
		list, all, _ := newFleet(60)
		relays := rankStoreRelays(list, "")
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
		// Wait until the pauses have grown to the longest.
		time.Sleep(3 * time.Second)
		set, err := rules.Parse("rules", "")
		Expect(err).NotTo(HaveOccurred())
		for _, address := range relays {
			c := all[address]
			c.board.SetRules(2, set, c.clock.Now())
			c.mu.Lock()
			c.noteLeaseRead(c.clock.Now())
			c.mu.Unlock()
		}
		for _, c := range waiting {
			Eventually(func() uint64 { return c.board.Snapshot().RulesVersion }, "400ms", "5ms").Should(Equal(uint64(2)), c.config.Self.ID)
		}
	})
})
