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

// tableStore is a store of one table, whose rows tests change.
type tableStore struct {
	darkStore
	rows    map[string]string
	changed []store.Row
	version uint64
	gone    bool
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
	if s.gone {
		s.gone = false
		return nil, 0, store.ErrHistoryGone
	}
	for _, row := range s.changed {
		if row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, s.version, nil
}

// stepClock is a clock that tests set.
type stepClock struct{ now clock.Instant }

func (c *stepClock) Now() clock.Instant { return c.now }

// decodeEntry reads "ADDRESS START"; anything else names no target.
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
		c     *stepClock
		s     *tableStore
		r     *reader
		lines int
	)

	// read reads the registry every 400 ms for some time.
	read := func(length time.Duration) {
		GinkgoHelper()
		for end := c.now.Add(length); c.now < end; c.now = c.now.Add(400 * time.Millisecond) {
			Expect(r.readTargets(context.Background())).To(Succeed())
		}
	}

	known := func() (ids []string) {
		for id := range r.board.Load().Targets {
			ids = append(ids, id)
		}
		return ids
	}

	BeforeEach(func() {
		c = &stepClock{now: clock.Instant(time.Hour)}
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
		Expect(known()).To(ConsistOf("x@1000", "y@1000"))
	})

	// Symptom: a target that holds nothing is taken for the owner of keys. Sequence: it crashes
	// and starts again under its name between two readings. Cause: nothing but its name was
	// looked at.
	It("tells a target that was started again by its start alone", func() {
		s.put("x", "a1 2000")
		read(400 * time.Millisecond)
		Expect(known()).To(ConsistOf("x@2000", "y@1000"))
	})

	// Symptom: all keys of a target move twice. Sequence: a write of its former process takes
	// effect after that of the new one, which writes again within a heartbeat. Cause: each
	// entry was believed at once.
	It("does not believe an earlier start at once", func() {
		s.put("x", "a1 2000")
		read(400 * time.Millisecond)
		s.put("x", "a1 1000")
		read(800 * time.Millisecond)
		Expect(known()).To(ConsistOf("x@2000", "y@1000"))
		s.gone = true
		read(400 * time.Millisecond)
		Expect(known()).To(ConsistOf("x@2000", "y@1000"))
		s.put("x", "a1 2000")
		read(4 * time.Second)
		Expect(known()).To(ConsistOf("x@2000", "y@1000"))
	})

	// Symptom: a target is never sent to again. Sequence: its clock is set back, and it starts
	// again. Cause: what is said to have started earlier was taken for the past for ever.
	It("believes an earlier start that goes on being told", func() {
		s.put("x", "a1 500")
		read(4 * time.Second)
		Expect(known()).To(ConsistOf("x@500", "y@1000"))
	})

	// Symptom: requests go to an address that is no target's, or all targets are lost. Sequence:
	// others than targets write into the registry. Cause: entries were taken as they came, or
	// one that could not be read ended the reading.
	It("leaves out what names no target, tells it once, and keeps the others", func() {
		s.put("z", "\xff\x00nothing")
		s.put("x", "a1")
		read(4 * time.Second)
		s.put("z", "a3 1.5")
		read(2 * time.Second)
		Expect(known()).To(ConsistOf("y@1000"))
		Expect(lines).To(Equal(2))
		s.put("x", "a1 1000")
		read(400 * time.Millisecond)
		Expect(known()).To(ConsistOf("x@1000", "y@1000"))
	})

	It("tells no more than some entries that name no target", func() {
		for i := range 2 * mostRefused {
			s.put(fmt.Sprintf("foreign-%d", i), "?")
		}
		read(400 * time.Millisecond)
		Expect(lines).To(Equal(mostRefused))
		Expect(known()).To(HaveLen(2))
	})
})

// bidStore takes one transaction.
type bidStore struct {
	darkStore
	taken store.Txn
}

func (s *bidStore) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	s.taken = txn
	return 20, nil
}

var _ = Describe("an instance that begins to lead", func() {
	// Symptom: a target takes keys under a fence under which its former process had them.
	// Sequence: the leading instance and a target end at the same time; the target starts again
	// under its name; the next leading instance renews what the map says it has.
	// Cause: the new leading instance has no connection that shows who answers.
	It("raises all fences along with its lease", func() {
		s := &bidStore{}
		c := New(Config{Self: view.Instance{ID: "i1", Address: "a1", Weight: 1}}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, quiet)
		e := keyrange.Empty().Edit()
		e.Move(0, keyrange.MaxKey, "x@1", false)
		e.Finish(0, 999)
		m := e.Map()
		t := c.bid(context.Background(), &stored{
			lease: lease.Row{Holder: "i0", Term: 1}, leaseVersion: 9,
			maps: map[string]*keyrange.Map{"s": m}, mapVersions: map[string]uint64{"s": 7},
		})
		Expect(t).NotTo(BeNil())
		Expect(s.taken.Expect).To(HaveLen(3))
		Expect(s.taken.Expect[2]).To(Equal(store.Expect{ID: eraRow(1)}))
		Expect(s.taken.Expect[1].Version).To(Equal(uint64(7)))
		Expect(t.stored.mapVersions).To(HaveKeyWithValue("s", uint64(20)))
		raised := c.board.Load().Maps["s"]
		Expect(raised.Find(0).Fence).To(BeNumerically(">", m.Version))
		Expect(raised.Find(1000).NextFence).To(BeNumerically(">", m.Version))
		Expect(raised.Find(0).Owner).To(Equal("x@1"))
	})
})
