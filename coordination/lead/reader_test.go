package lead

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/state/store"
)

// tableStore is a store of one table whose rows tests change.
type tableStore struct {
	unavailableStore
	rows        map[string]string
	changed     []store.Row
	version     uint64
	historyGone bool
}

func (s *tableStore) put(key, value string) {
	s.version++
	s.rows[key] = value
	s.changed = append(s.changed, store.Row{ID: store.ID{Key: key}, Value: []byte(value), Version: s.version})
}

func (s *tableStore) Scan(context.Context, string, string) (rows []store.Row, next uint64, err error) {
	for key, value := range s.rows {
		rows = append(rows, store.Row{ID: store.ID{Key: key}, Value: []byte(value), Version: s.version})
	}
	return rows, s.version, nil
}

func (s *tableStore) Feed(_ context.Context, _ string, after uint64, _ time.Duration) (rows []store.Row, next uint64, err error) {
	if s.historyGone {
		s.historyGone = false
		return nil, 0, store.ErrHistoryGone
	}
	for _, row := range s.changed {
		if row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, s.version, nil
}

// manualClock is a clock that tests set.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

// decodeEntry decodes "ADDRESS START"; anything else is an invalid entry.
func decodeEntry(row store.Row) (view.Target, error) {
	address, start, ok := strings.Cut(string(row.Value), " ")
	born, err := strconv.ParseInt(start, 10, 64)
	if !ok || err != nil {
		return view.Target{}, errors.New("no target")
	}
	return view.Target{ID: view.TargetID(row.Key, born), Born: born, Service: "s", Address: address, Slots: 2}, nil
}

var _ = Describe("reading the registry", func() {
	var (
		c     *manualClock
		s     *tableStore
		r     *reader
		lines int
	)

	// read reads the registry every 400 ms for the given time.
	read := func(length time.Duration) {
		GinkgoHelper()
		for end := c.now.Add(length); c.now < end; c.now = c.now.Add(400 * time.Millisecond) {
			Expect(r.readTargets(context.Background())).To(Succeed())
		}
	}

	knownIDs := func() (ids []string) {
		for id := range r.board.Snapshot().Targets {
			ids = append(ids, id)
		}
		return ids
	}

	BeforeEach(func() {
		c = &manualClock{now: clock.Instant(time.Hour)}
		s = &tableStore{rows: map[string]string{}}
		lines = 0
		source := Source{TargetTable: "targets", DecodeTarget: decodeEntry}
		r = newReader(c, s, source, view.NewBoard(c), func(event string, _ ...any) {
			if event == "target-refused" {
				lines++
			}
		})
		s.put("x", "a1 1000")
		s.put("y", "a2 1000")
		read(3 * time.Second)
		Expect(knownIDs()).To(ConsistOf("x@1000", "y@1000"))
	})

	// Guards against mistaking a target that holds no keys for their owner: it crashed and started
	// again under the same name between two reads, and only its name was compared.
	It("recognizes a restarted target by its start time alone", func() {
		s.put("x", "a1 2000")
		read(400 * time.Millisecond)
		Expect(knownIDs()).To(ConsistOf("x@2000", "y@1000"))
	})

	// Guards against moving all keys of a target twice: a write of its former process takes effect
	// after that of the new one, which writes again within a heartbeat. Each entry was adopted at
	// once.
	It("does not adopt an earlier start time at once", func() {
		s.put("x", "a1 2000")
		read(400 * time.Millisecond)
		s.put("x", "a1 1000")
		read(800 * time.Millisecond)
		Expect(knownIDs()).To(ConsistOf("x@2000", "y@1000"))
		s.historyGone = true
		read(400 * time.Millisecond)
		Expect(knownIDs()).To(ConsistOf("x@2000", "y@1000"))
		s.put("x", "a1 2000")
		read(4 * time.Second)
		Expect(knownIDs()).To(ConsistOf("x@2000", "y@1000"))
	})

	// Guards against a target that never gets requests again: its clock was set back before it
	// started again, and entries with an earlier start time were always ignored.
	It("adopts an earlier start time that entries keep stating", func() {
		s.put("x", "a1 500")
		read(4 * time.Second)
		Expect(knownIDs()).To(ConsistOf("x@500", "y@1000"))
	})

	// Guards against requests to addresses that are not targets, and against the loss of all
	// targets, when others write into the registry. An invalid entry must neither be used nor end
	// the read.
	It("skips invalid entries, logs each once, and keeps the valid ones", func() {
		s.put("z", "\xff\x00nothing")
		s.put("x", "a1")
		read(4 * time.Second)
		s.put("z", "a3 1.5")
		read(2 * time.Second)
		Expect(knownIDs()).To(ConsistOf("y@1000"))
		Expect(lines).To(Equal(2))
		s.put("x", "a1 1000")
		read(400 * time.Millisecond)
		Expect(knownIDs()).To(ConsistOf("x@1000", "y@1000"))
	})

	It("logs a limited number of invalid entries", func() {
		for i := range 2 * maxRejectedLogged {
			s.put(fmt.Sprintf("foreign-%d", i), "?")
		}
		read(400 * time.Millisecond)
		Expect(lines).To(Equal(maxRejectedLogged))
		Expect(knownIDs()).To(HaveLen(2))
	})
})

// bidStore accepts one transaction and records it.
type bidStore struct {
	unavailableStore
	committed store.Txn
}

func (s *bidStore) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	s.committed = txn
	return 20, nil
}

var _ = Describe("an instance that becomes leader", func() {
	// Guards against a target that accepts keys under a fence that its former process had. The
	// leader and a target exit at the same time, and the target starts again under its name. The
	// next leader renews what the map says, and has no earlier connection that would show which
	// process answers.
	It("raises all fences in the transaction that takes the lease", func() {
		s := &bidStore{}
		c := New(Config{Self: view.Instance{ID: "i1", Address: "a1", Weight: 1}}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, discardLog)
		e := keyrange.Empty().Edit()
		e.Move(0, keyrange.MaxKey, "x@1", false)
		e.FinishMove(0, 999)
		m := e.Map()
		t := c.bid(context.Background(), &storedRows{
			lease: lease.Row{Holder: "i0", Term: 1}, leaseVersion: 9,
			maps: map[string]*keyrange.Map{"s": m}, mapVersions: map[string]uint64{"s": 7},
		})
		Expect(t).NotTo(BeNil())
		Expect(s.committed.Expect).To(HaveLen(3))
		Expect(s.committed.Expect[2]).To(Equal(store.Expect{ID: eraRow(1)}))
		Expect(s.committed.Expect[1].Version).To(Equal(uint64(7)))
		Expect(t.stored.mapVersions).To(HaveKeyWithValue("s", uint64(20)))
		raised := c.board.Snapshot().Maps["s"]
		Expect(raised.Find(0).Fence).To(BeNumerically(">", m.Version))
		Expect(raised.Find(1000).NextFence).To(BeNumerically(">", m.Version))
		Expect(raised.Find(0).Owner).To(Equal("x@1"))
	})
})
