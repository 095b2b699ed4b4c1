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

var _ = Describe("a store that came back from a copy", func() {
	var (
		now *stepClock
		s   *memoryStore
		c   *Coordinator
	)
	// mapOf returns a map in which one target has all keys, after some changes.
	mapOf := func(owner string, changes int) *keyrange.Map {
		m := keyrange.Empty()
		for range changes {
			e := m.Edit()
			e.Move(0, keyrange.MaxKey, owner, false)
			e.Finish(0, keyrange.MaxKey)
			m = e.Map()
		}
		return m
	}
	// comeBack has the store hold a lease's row and a map of the first era, in a later one.
	comeBack := func(era uint64, row lease.Row, m *keyrange.Map) {
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
		write(mapKey+"s", text, err)
		if row.Term != 0 {
			text, err = row.Encode()
			write(leaseKey, text, err)
		}
	}
	look := func() *term {
		GinkgoHelper()
		t, err := c.lookAtLease(context.Background(), true)
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	BeforeEach(func() {
		now = &stepClock{now: clock.Instant(time.Hour)}
		s = &memoryStore{}
		config := Config{Self: view.Instance{ID: "i1.2", Address: "a1", Weight: 1}, HoldMax: 10 * time.Second}
		c = New(config, now, s, view.NewBoard(now), nil, noOrders{}, demand.NewCollector(), quiet)
		c.observer.Observe(store.VersionOf(1, 9), false, now.now)
		c.heardLeader = true
	})

	DescribeTable("frees the lease by nothing that its row says but by a whole lease without a change", func(row lease.Row) {
		comeBack(2, row, mapOf("x", 3))
		now.now = now.now.Add(time.Minute)
		Expect(look()).To(BeNil())
		now.now = now.now.Add(lease.Duration)
		Expect(look()).To(BeNil())
		now.now = now.now.Add(lease.Duration / 10)
		Expect(look()).NotTo(BeNil())
	},
		Entry("given up, and taken since", lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Vacant: true, Era: 1}),
		Entry("held by a former process at the address, and taken since", lease.Row{Holder: "i1.1", Address: "a1", Term: 3, Era: 1}),
		Entry("held by this process itself, and taken since", lease.Row{Holder: "i1.2", Address: "a1", Term: 3, Era: 1}),
		Entry("held by another one", lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}),
		Entry("taken for the first time since", lease.Row{}),
	)

	It("is led on by the one that led, with the maps that it knows and fences above all (guards against owners of before)", func() {
		row := lease.Row{Holder: "i1.2", Address: "a1", Term: 7, Era: 1}
		newest := mapOf("y", 8)
		t := c.begin(&stored{era: 1, lease: row, leaseVersion: store.VersionOf(1, 9), maps: map[string]*keyrange.Map{"s": newest}}, now.now)
		c.board.SetTargets(store.VersionOf(2, 5), targets("y"), now.now)
		t.tick(context.Background())
		Expect(t.ended).To(BeTrue())
		c.term = nil
		comeBack(2, lease.Row{Holder: "i2.1", Address: "a2", Term: 6, Era: 1}, mapOf("x", 3))
		next := look()
		Expect(next).NotTo(BeNil())
		Expect(next.stored.lease.Term).To(BeNumerically(">", row.Term))
		r := c.board.Load().Maps["s"].Find(0)
		Expect(r.Owner).To(Equal("y"))
		Expect(r.Fence).To(BeNumerically(">", store.VersionOf(2, 0)))
		Expect(s.rows).To(HaveKey(eraRow(2)))
	})

	It("is not led on by one whose lease ran out meanwhile (guards against another one that leads)", func() {
		row := lease.Row{Holder: "i1.2", Address: "a1", Term: 7, Era: 1}
		t := c.begin(&stored{era: 1, lease: row, maps: map[string]*keyrange.Map{"s": mapOf("y", 8)}}, now.now)
		t.noteReturned(now.now)
		c.term = nil
		now.now = now.now.Add(lease.Duration)
		comeBack(2, row, mapOf("x", 3))
		Expect(look()).To(BeNil())
	})

	It("has its owners of before taken by nobody who knows no newer ones, until all holds have run out", func() {
		c.heardLeader = false
		comeBack(2, lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}, mapOf("x", 3))
		Expect(look()).To(BeNil())
		now.now = now.now.Add(assign.GrantLifetime(10*time.Second) - time.Millisecond)
		Expect(look()).To(BeNil())
		now.now = now.now.Add(2 * time.Millisecond)
		Expect(look()).NotTo(BeNil())
	})

	It("has the maps that others have told go before its own", func() {
		c.board.SetMap("s", mapOf("y", 8))
		comeBack(2, lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}, mapOf("x", 3))
		look()
		now.now = now.now.Add(time.Minute)
		Expect(look()).NotTo(BeNil())
		Expect(c.board.Load().Maps["s"].Find(0).Owner).To(Equal("y"))
	})

	It("takes no change of a former era (guards against a condition that is true by chance)", func() {
		row := lease.Row{Holder: "i2.1", Address: "a2", Term: 3, Era: 1}
		late := &term{stored: &stored{era: 1, lease: row, leaseVersion: store.VersionOf(2, 4)}}
		comeBack(2, row, mapOf("x", 3))
		txn, err := late.txn(nil, row)
		Expect(err).NotTo(HaveOccurred())
		look()
		now.now = now.now.Add(time.Minute)
		Expect(look()).NotTo(BeNil())
		txn.Expect[0].Version = s.rows[txn.Expect[0].ID].Version
		_, err = s.Commit(context.Background(), txn)
		Expect(err).To(MatchError(store.ErrConflict))
	})

	It("has evacuations go on until it has all of them again", func() {
		rows := &tableStore{rows: map[string]string{}, version: store.VersionOf(1, 5)}
		source := Source{IsRules: func(store.Row) bool { return false }, EvacuatedDataCentre: evacuates}
		r := newReader(now, rows, source, view.NewBoard(now), quiet)
		read := func() string {
			_, err := r.readRules(context.Background(), 0)
			Expect(err).NotTo(HaveOccurred())
			return strings.Join(r.board.Load().Evacuations.List(), " ")
		}
		rows.put("evacuate/dc1", "{}")
		rows.put("evacuate/dc2", "{}")
		Expect(read()).To(Equal("dc1 dc2"))
		rows.rows, rows.changed, rows.gone, rows.version = map[string]string{}, nil, true, store.VersionOf(2, 3)
		Expect(read()).To(Equal("dc1 dc2"))
		rows.put("evacuate/dc1", "{}")
		rows.put("evacuate/dc3", "{}")
		Expect(read()).To(Equal("dc1 dc2 dc3"))
		now.now = now.now.Add(view.RestoreGrace)
		rows.put("other", "")
		Expect(read()).To(Equal("dc1 dc3"))
	})
})
