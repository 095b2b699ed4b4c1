package lead

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/state/store"
)

var _ = Describe("a store that was restored from a backup", func() {
	var (
		now *manualClock
		s   *memoryStore
		c   *Coordinator
	)
	// mapOf returns a map in which one target owns all keys, after the given number of changes.
	mapOf := func(owner string, changes int) *keyrange.Map {
		m := keyrange.Empty()
		for range changes {
			e := m.Edit()
			e.Move(0, keyrange.MaxKey, owner, false)
			e.FinishMove(0, keyrange.MaxKey)
			m = e.Map()
		}
		return m
	}
	// restoreStore replaces the store's content by a lease row and a map of the first era, in a
	// later era.
	restoreStore := func(era uint64, row lease.Row, m *keyrange.Map) {
		GinkgoHelper()
		s.version = store.VersionOf(era, 4)
		s.rows = map[store.ID]store.Row{}
		write := func(key string, text []byte, err error) {
			GinkgoHelper()
			Expect(err).NotTo(HaveOccurred())
			id := store.ID{Table: table, Part: part, Key: key}
			s.rows[id] = store.Row{ID: id, Value: text, Version: s.version}
		}
		text, err := m.Encode()
		write(mapKeyPrefix+"s", text, err)
		if row.Term != 0 {
			text, err = row.Encode()
			write(leaseKey, text, err)
		}
	}
	checkLease := func() *term {
		GinkgoHelper()
		t, err := c.checkLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	BeforeEach(func() {
		now = &manualClock{now: clock.Instant(time.Hour)}
		s = &memoryStore{}
		config := Config{Self: view.Instance{ID: "i1.2", Address: "a1", Weight: 1}, HoldMax: 10 * time.Second}
		c = New(config, now, s, view.NewBoard(now), nil, noOrders{}, demand.NewCollector(), discardLog)
		c.observer.Observe(store.VersionOf(1, 9), false, now.now)
		c.heardFromLeader = true
	})

	DescribeTable("frees the lease only after a whole lease duration without a change, whatever its row says", func(row lease.Row) {
		restoreStore(2, row, mapOf("x", 3))
		now.now = now.now.Add(time.Minute)
		Expect(checkLease()).To(BeNil())
		now.now = now.now.Add(lease.Duration)
		Expect(checkLease()).To(BeNil())
		now.now = now.now.Add(lease.Duration / 10)
		Expect(checkLease()).NotTo(BeNil())
	},
		Entry("given up, and taken since", lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Vacant: true, Era: 1}),
		Entry("held by a former process at the same address, and taken since", lease.Row{Holder: "i1.1", Address: "a1", Term: 3, Era: 1}),
		Entry("held by this process, and taken since", lease.Row{Holder: "i1.2", Address: "a1", Term: 3, Era: 1}),
		Entry("held by another instance", lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}),
		Entry("taken for the first time since", lease.Row{}),
	)

	It("lets the former leader resume with its own maps and higher fences (guards against keys that go back to former owners)", func() {
		row := lease.Row{Holder: "i1.2", Address: "a1", Term: 7, Era: 1}
		newest := mapOf("y", 8)
		t := c.beginTerm(&storedRows{era: 1, lease: row, leaseVersion: store.VersionOf(1, 9), maps: map[string]*keyrange.Map{"s": newest}}, now.now)
		c.board.SetTargets(store.VersionOf(2, 5), makeTargets("y"), now.now)
		t.tick(context.Background())
		Expect(t.ended).To(BeTrue())
		c.term = nil
		restoreStore(2, lease.Row{Holder: "i2.1", Address: "a2", Term: 6, Era: 1}, mapOf("x", 3))
		next := checkLease()
		Expect(next).NotTo(BeNil())
		Expect(next.stored.lease.Term).To(BeNumerically(">", row.Term))
		r := c.board.Snapshot().Maps["s"].Find(0)
		Expect(r.Owner).To(Equal("y"))
		Expect(r.Fence).To(BeNumerically(">", store.VersionOf(2, 0)))
		Expect(s.rows).To(HaveKey(eraRow(2)))
	})

	It("does not let a former leader resume after its lease has expired (guards against two leaders)", func() {
		row := lease.Row{Holder: "i1.2", Address: "a1", Term: 7, Era: 1}
		t := c.beginTerm(&storedRows{era: 1, lease: row, maps: map[string]*keyrange.Map{"s": mapOf("y", 8)}}, now.now)
		t.endAfterRestore(now.now)
		c.term = nil
		now.now = now.now.Add(lease.Duration)
		restoreStore(2, row, mapOf("x", 3))
		Expect(checkLease()).To(BeNil())
	})

	It("does not let an instance lead with the restored owners until all grants have expired, unless a leader has replied to it", func() {
		c.heardFromLeader = false
		restoreStore(2, lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}, mapOf("x", 3))
		Expect(checkLease()).To(BeNil())
		now.now = now.now.Add(assign.GrantLifetime(10*time.Second) - time.Millisecond)
		Expect(checkLease()).To(BeNil())
		now.now = now.now.Add(2 * time.Millisecond)
		Expect(checkLease()).NotTo(BeNil())
	})

	It("has its maps replaced by newer ones from other instances", func() {
		c.board.SetMap("s", mapOf("y", 8))
		restoreStore(2, lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}, mapOf("x", 3))
		checkLease()
		now.now = now.now.Add(time.Minute)
		Expect(checkLease()).NotTo(BeNil())
		Expect(c.board.Snapshot().Maps["s"].Find(0).Owner).To(Equal("y"))
	})

	It("refuses changes of a former era (guards against a condition that holds by chance)", func() {
		row := lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}
		late := &term{stored: &storedRows{era: 1, lease: row, leaseVersion: store.VersionOf(2, 4)}}
		restoreStore(2, row, mapOf("x", 3))
		txn, err := late.newTxn(nil, row)
		Expect(err).NotTo(HaveOccurred())
		checkLease()
		now.now = now.now.Add(time.Minute)
		Expect(checkLease()).NotTo(BeNil())
		txn.Expect[0].Version = s.rows[txn.Expect[0].ID].Version
		_, err = s.Commit(context.Background(), txn)
		Expect(err).To(MatchError(store.ErrConflict))
	})

	It("keeps evacuations in force until they have been written again", func() {
		rows := &tableStore{rows: map[string]string{}, version: store.VersionOf(1, 5)}
		source := Source{IsRules: func(store.Row) bool { return false }, EvacuatedDataCentre: evacuatedDataCentre}
		r := newReader(now, rows, source, view.NewBoard(now), discardLog)
		read := func() string {
			_, err := r.readRules(context.Background(), 0)
			Expect(err).NotTo(HaveOccurred())
			return strings.Join(r.board.Snapshot().Evacuations.List(), " ")
		}
		rows.put("evacuate/dc1", "{}")
		rows.put("evacuate/dc2", "{}")
		Expect(read()).To(Equal("dc1 dc2"))
		rows.rows, rows.changed, rows.historyGone, rows.version = map[string]string{}, nil, true, store.VersionOf(2, 3)
		Expect(read()).To(Equal("dc1 dc2"))
		rows.put("evacuate/dc1", "{}")
		rows.put("evacuate/dc3", "{}")
		Expect(read()).To(Equal("dc1 dc2 dc3"))
		now.now = now.now.Add(view.RestoreGrace)
		rows.put("other", "")
		Expect(read()).To(Equal("dc1 dc3"))
	})
})
