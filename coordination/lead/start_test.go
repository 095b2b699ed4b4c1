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

// Tables of testSource.
const (
	rulesTable  = "rules"
	targetTable = "targets"
)

// countingStore holds a lease, rules and a target, and counts the calls of one instance.
type countingStore struct {
	row   lease.Row
	calls atomic.Int64
}

func (s *countingStore) Scan(_ context.Context, name, _ string) ([]store.Row, uint64, error) {
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

func (s *countingStore) Feed(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	sleep(ctx, wait)
	return nil, 9, nil
}

func (s *countingStore) Commit(context.Context, store.Txn) (uint64, error) {
	s.calls.Add(1)
	return 0, &store.ConflictError{}
}

// testSource decodes the rows of a countingStore.
func testSource() Source {
	set, err := rules.Parse("rules", "")
	Expect(err).NotTo(HaveOccurred())
	return Source{
		RulesTable: rulesTable, IsRules: func(store.Row) bool { return true },
		DecodeRules: func([]byte) (uint64, *rules.Set, error) { return 1, set, nil },
		TargetTable: targetTable, DecodeTarget: decodeEntry,
	}
}

// newStarting returns an instance that knows nothing, with a store that holds the given lease row.
func newStarting(n int, all directory, row lease.Row, seeds []string) (*Coordinator, *countingStore) {
	s := &countingStore{row: row}
	self := view.Instance{ID: fmt.Sprintf("new%02d.1", n), Address: fmt.Sprintf("n%02d", n), Weight: 0.16}
	return New(Config{Self: self, Seeds: seeds, Source: testSource()}, clock.System{}, s, view.NewBoard(clock.System{}), all, noOrders{}, demand.NewCollector(), discardLog), s
}

// runAll runs instances until the end of the spec.
func runAll(list ...*Coordinator) {
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

func knowsEverything(c *Coordinator) bool {
	s := c.board.Snapshot()
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

	// startLeading gives the leader a complete snapshot and a term.
	startLeading := func() {
		now := leader.clock.Now()
		set, err := rules.Parse("rules", "")
		Expect(err).NotTo(HaveOccurred())
		leader.board.SetRules(1, set, now)
		leader.board.SetTargets(9, makeTargets("x", "y"), now)
		m := keyrange.Empty().Edit()
		m.Move(0, keyrange.MaxKey, "x", false)
		leader.board.SetMap("s", m.Map())
		t := leader.beginTerm(&storedRows{lease: row, leaseVersion: 7}, now)
		t.publishMembers()
	}

	BeforeEach(func() {
		row = lease.Row{Holder: "i00.1", Address: "a00", Term: 3}
		all = directory{}
		seeds = nil
		leader = New(Config{Self: view.Instance{ID: "i00.1", Address: "a00", Weight: 0.8}, Source: testSource()}, clock.System{}, &countingStore{row: row}, view.NewBoard(clock.System{}), all, noOrders{}, demand.NewCollector(), discardLog)
		all["a00"] = leader
	})

	callsMade := func(count int) []int64 {
		GinkgoHelper()
		var list []*Coordinator
		var stores []*countingStore
		for n := range count {
			c, s := newStarting(n, all, row, seeds)
			list = append(list, c)
			stores = append(stores, s)
			all[c.config.Self.Address] = c
		}
		runAll(list...)
		for _, c := range list {
			Eventually(func() bool { return knowsEverything(c) }, "3s", "5ms").Should(BeTrue(), c.config.Self.ID)
		}
		var made []int64
		for _, s := range stores {
			made = append(made, s.calls.Load())
		}
		return made
	}

	// Guards against 600 calls of 295 instances at the first start of a deployment: all of them bid
	// for a lease that only one can get, and the others read it again. Seeds sometimes start later
	// than the others.
	It("make at most one call each at the first start, also if the seeds start late", func() {
		row.Holder = ""
		seeds = []string{"a00"}
		time.AfterFunc(300*time.Millisecond, func() {
			row = lease.Row{Holder: "i00.1", Address: "a00", Term: 1}
			startLeading()
		})
		Expect(callsMade(fleetSize)).To(HaveEach(BeNumerically("<=", 1)))
	})

	// Guards against refusing callers for half a second longer than necessary after a power
	// failure: the holder of the lease is among the last to start, and the others waited for it
	// although they could read the store.
	It("read at once when the holder of the lease does not answer", func() {
		delete(all, "a00")
		c, _ := newStarting(0, all, row, nil)
		runAll(c)
		Eventually(func() bool { return len(c.board.Snapshot().Targets) > 0 }, "100ms", "5ms").Should(BeTrue())
	})

	It("read by themselves when no seed replies", func() {
		row.Holder = ""
		c, _ := newStarting(0, all, row, []string{"nobody"})
		runAll(c)
		Eventually(func() bool { return len(c.board.Snapshot().Targets) > 0 }, maxSeedWait+200*time.Millisecond, "5ms").Should(BeTrue())
	})
})
