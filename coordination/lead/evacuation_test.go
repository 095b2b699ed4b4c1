package lead

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/state/store"
)

// evacuates reads rows named evacuate/DATA-CENTRE.
func evacuates(row store.Row) (string, bool) { return strings.CutPrefix(row.Key, "evacuate/") }

var _ = Describe("which data centres are evacuated", func() {
	var (
		s *tableStore
		r *reader
	)

	read := func() []string {
		_, err := r.readRules(context.Background(), 0)
		Expect(err).NotTo(HaveOccurred())
		return r.board.Load().Evacuations.List()
	}
	remove := func(key string) {
		s.version++
		delete(s.rows, key)
		s.changed = append(s.changed, store.Row{ID: store.ID{Key: key}, Version: s.version, Deleted: true})
	}

	BeforeEach(func() {
		c := &stepClock{now: clock.Instant(time.Hour)}
		s = &tableStore{rows: map[string]string{}}
		source := Source{IsRules: func(store.Row) bool { return false }, EvacuatedDataCentre: evacuates}
		r = newReader(c, s, source, view.NewBoard(c), quiet)
		s.put("other", "")
	})

	It("is read as it changes", func() {
		Expect(read()).To(BeEmpty())
		s.put("evacuate/dc1", "{}")
		Expect(read()).To(Equal([]string{"dc1"}))
		s.put("evacuate/dc2", "{}")
		remove("evacuate/dc1")
		Expect(read()).To(Equal([]string{"dc2"}))
	})

	It("is read anew where the history is gone (guards against one that was taken back meanwhile)", func() {
		s.put("evacuate/dc1", "{}")
		read()
		remove("evacuate/dc1")
		s.put("evacuate/dc2", "{}")
		s.gone = true
		Expect(read()).To(Equal([]string{"dc2"}))
	})

	It("is told with the rules, at the start too (guards against an instance that starts while the store is away)", func() {
		leader, follower := newCoordinator(), newCoordinator()
		leader.board.SetEvacuations(3, []string{"dc1"})
		tell(leader, follower)
		Expect(follower.board.Load().Evacuations.Contains("dc1")).To(BeTrue())
		leader.board.SetEvacuations(4, nil)
		tell(leader, follower)
		Expect(follower.board.Load().Evacuations.Contains("dc1")).To(BeFalse())
		leader.board.SetEvacuations(5, []string{"dc2"})
		starting := newCoordinator()
		args := starting.question()
		args.Starting = true
		starting.adopt(starting.clock.Now(), args, leader.news(args))
		Expect(starting.board.Load().Evacuations.Contains("dc2")).To(BeTrue())
	})

	It("is news to one that has not heard of it (guards against a report that is held while targets are sent to)", func() {
		leader, follower := newCoordinator(), newCoordinator()
		leader.board.SetEvacuations(3, []string{"dc1"})
		Expect(newer(follower.question(), leader.board.Load())).To(BeTrue())
	})
})

var _ = Describe("a target that the registry lists as cold", func() {
	It("has one cold time until it tells of another (guards against telling all instances each heartbeat)", func() {
		now := clock.Instant(time.Hour)
		first := chill(view.Target{}, view.Target{ID: "x", Cold: 3 * time.Second}, 5, now)
		later := chill(first, view.Target{ID: "x", Cold: 2200 * time.Millisecond}, 6, now.Add(900*time.Millisecond))
		Expect(later.EqualForRouting(first)).To(BeTrue())
		Expect(later.ColdUntil).To(Equal(first.ColdUntil))
		again := chill(later, view.Target{ID: "x", Cold: 3 * time.Second}, 7, now.Add(2*time.Second))
		Expect(again.ColdSpell).To(Equal(uint64(7)))
		Expect(chill(again, view.Target{ID: "x"}, 8, now.Add(6*time.Second)).ColdSpell).To(BeZero())
	})
})
