package lead

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/store"
)

// Tables of the source in these tests.
const (
	rulesTable  = "rules"
	targetTable = "targets"
)

// countedStore holds a lease, a configuration and some targets, and counts the calls of one instance.
type countedStore struct {
	row   lease.Row
	calls atomic.Int64
}

func (s *countedStore) Scan(_ context.Context, name, _ string) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	switch name {
	case rulesTable:
		return []store.Row{{ID: store.ID{Key: "config"}, Value: []byte("1"), Version: 3}}, 9, nil
	case targetTable:
		return []store.Row{{ID: store.ID{Key: "x"}, Value: []byte("a-x 5"), Version: 4}}, 9, nil
	}
	if s.row.Holder == "" {
		return nil, 9, nil
	}
	text, err := s.row.Encode()
	return []store.Row{{ID: store.ID{Table: table, Part: part, Key: leaseKey}, Value: text, Version: 7}}, 9, err
}

func (s *countedStore) Feed(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	sleep(ctx, wait)
	return nil, 9, nil
}

func (s *countedStore) Commit(context.Context, store.Txn) (uint64, error) {
	s.calls.Add(1)
	return 0, &store.ConflictError{}
}

// startSource decodes what a countedStore holds.
func startSource() Source {
	set, err := rules.Parse("rules", "")
	Expect(err).NotTo(HaveOccurred())
	return Source{
		RulesTable: rulesTable, IsRules: func(store.Row) bool { return true },
		DecodeRules: func([]byte) (uint64, *rules.Set, error) { return 1, set, nil },
		TargetTable: targetTable, DecodeTarget: decodeEntry,
	}
}

// starting makes an instance that knows nothing, in a store that names who leads.
func starting(n int, all directory, row lease.Row, seeds []string) (*Coordinator, *countedStore) {
	s := &countedStore{row: row}
	self := view.Instance{ID: fmt.Sprintf("new%02d.1", n), Address: fmt.Sprintf("n%02d", n), Weight: 0.16}
	return New(Config{Self: self, Seeds: seeds, Source: startSource()}, clock.System{}, s, view.NewBoard(clock.System{}), all, noOrders{}, demand.NewCollector(), quiet), s
}

// run lets instances run until the end of the test.
func run(list ...*Coordinator) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, c := range list {
		running.Go(func() { c.Run(ctx) })
	}
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
}

func knowsAll(c *Coordinator) bool {
	s := c.board.Load()
	return s.Rules != nil && len(s.Targets) > 0 && len(s.Maps) > 0 && len(s.Instances) > 0
}

var _ = Describe("instances that start", func() {
	const fleetSize = 24
	var (
		leader *Coordinator
		row    lease.Row
		all    directory
		seeds  []string
	)

	// lead lets the leading instance know everything, and lead.
	lead := func() {
		now := leader.clock.Now()
		set, err := rules.Parse("rules", "")
		Expect(err).NotTo(HaveOccurred())
		leader.board.SetRules(1, set, now)
		leader.board.SetTargets(9, targets("x", "y"), now)
		m := keyrange.Empty().Edit()
		m.Move(0, keyrange.MaxKey, "x", false)
		leader.board.SetMap("s", m.Map())
		t := leader.begin(&stored{lease: row, leaseVersion: 7}, now)
		t.publishMembers()
	}

	BeforeEach(func() {
		row = lease.Row{Holder: "i00.1", Address: "a00", Term: 3}
		all = directory{}
		seeds = nil
		leader = New(Config{Self: view.Instance{ID: "i00.1", Address: "a00", Weight: 0.8}, Source: startSource()}, clock.System{}, &countedStore{row: row}, view.NewBoard(clock.System{}), all, noOrders{}, demand.NewCollector(), quiet)
		all["a00"] = leader
	})

	calls := func(count int) []int64 {
		GinkgoHelper()
		var list []*Coordinator
		var stores []*countedStore
		for n := range count {
			c, s := starting(n, all, row, seeds)
			list = append(list, c)
			stores = append(stores, s)
			all[c.config.Self.Address] = c
		}
		run(list...)
		for _, c := range list {
			Eventually(func() bool { return knowsAll(c) }, "3s", "5ms").Should(BeTrue(), c.config.Self.ID)
		}
		var made []int64
		for _, s := range stores {
			made = append(made, s.calls.Load())
		}
		return made
	}

	// Symptom: 295 instances that start for the first time make 600 calls about a lease that one can have.
	// Sequence: none of them has ever led; all bid, all but one are refused and look again.
	// Cause: nobody left the first lease to others. Seeds start late at times.
	It("make one call each where nobody has ever led, and the seeds start as well", func() {
		row.Holder = ""
		seeds = []string{"a00"}
		time.AfterFunc(300*time.Millisecond, func() {
			row = lease.Row{Holder: "i00.1", Address: "a00", Term: 1}
			lead()
		})
		Expect(calls(fleetSize)).To(HaveEach(BeNumerically("<=", 1)))
	})

	// Symptom: after all have lost power callers are refused for half a second longer than need be.
	// Sequence: the holder of the lease is one of the last to start; the others wait for it.
	// Cause: they could read the store, and did not.
	It("read at once when the holder of the lease does not answer", func() {
		delete(all, "a00")
		c, _ := starting(0, all, row, nil)
		run(c)
		Eventually(func() bool { return len(c.board.Load().Targets) > 0 }, "100ms", "5ms").Should(BeTrue())
	})

	It("read by themselves when no seed is there", func() {
		row.Holder = ""
		c, _ := starting(0, all, row, []string{"nobody"})
		run(c)
		Eventually(func() bool { return len(c.board.Load().Targets) > 0 }, firstPatience+200*time.Millisecond, "5ms").Should(BeTrue())
	})
})
