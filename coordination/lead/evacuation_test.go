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

// evacuatedDataCentre decodes rows named evacuate/DATA-CENTRE.
func evacuatedDataCentre(row store.Row) (string, bool) {
	return strings.CutPrefix(row.Key, "evacuate/")
}

var _ = Describe("the evacuated data centres", func() {
	var (
		s *tableStore
		r *reader
	)

	read := func() []string {
		_, err := r.readRules(context.Background(), 0)
		Expect(err).NotTo(HaveOccurred())
		return r.board.Snapshot().Evacuations.List()
	}
	remove := func(key string) {
		s.version++
		delete(s.rows, key)
		s.changed = append(s.changed, store.Row{ID: store.ID{Key: key}, Version: s.version, Deleted: true})
	}

	BeforeEach(func() {
		c := &manualClock{now: clock.Instant(time.Hour)}
		s = &tableStore{rows: map[string]string{}}
		source := Source{IsRules: func(store.Row) bool { return false }, EvacuatedDataCentre: evacuatedDataCentre}
		r = newReader(c, s, source, view.NewBoard(c), discardLog)
		s.put("other", "")
	})

	It("are updated when they change", func() {
		Expect(read()).To(BeEmpty())
		s.put("evacuate/dc1", "{}")
		Expect(read()).To(Equal([]string{"dc1"}))
		s.put("evacuate/dc2", "{}")
		remove("evacuate/dc1")
		Expect(read()).To(Equal([]string{"dc2"}))
	})

	It("are read again as a whole when the history is gone (guards against missing an evacuation that ended meanwhile)", func() {
		s.put("evacuate/dc1", "{}")
		read()
		remove("evacuate/dc1")
		s.put("evacuate/dc2", "{}")
		s.historyGone = true
		Expect(read()).To(Equal([]string{"dc2"}))
	})

	It("are sent with the rules, and in the full state (guards against an instance that starts while the store is unavailable)", func() {
		leader, follower := newCoordinator(), newCoordinator()
		leader.board.SetEvacuations(3, []string{"dc1"})
		syncOnce(leader, follower)
		Expect(follower.board.Snapshot().Evacuations.Contains("dc1")).To(BeTrue())
		leader.board.SetEvacuations(4, nil)
		syncOnce(leader, follower)
		Expect(follower.board.Snapshot().Evacuations.Contains("dc1")).To(BeFalse())
		leader.board.SetEvacuations(5, []string{"dc2"})
		starting := newCoordinator()
		args := starting.newSyncArgs()
		args.Starting = true
		starting.applyReply(starting.clock.Now(), args, leader.updateFor(args))
		Expect(starting.board.Snapshot().Evacuations.Contains("dc2")).To(BeTrue())
	})

	It("count as an update for an instance that does not know them (guards against delaying the reply while requests still go to evacuated targets)", func() {
		leader, follower := newCoordinator(), newCoordinator()
		leader.board.SetEvacuations(3, []string{"dc1"})
		Expect(hasUpdateFor(follower.newSyncArgs(), leader.board.Snapshot())).To(BeTrue())
	})
})

var _ = Describe("a target that the registry lists as cold", func() {
	It("keeps its cold time until an entry reports another one (guards against an update to all instances at each heartbeat)", func() {
		now := clock.Instant(time.Hour)
		first := withColdUntil(view.Target{}, view.Target{ID: "x", Cold: 3 * time.Second}, 5, now)
		later := withColdUntil(first, view.Target{ID: "x", Cold: 2200 * time.Millisecond}, 6, now.Add(900*time.Millisecond))
		Expect(later.EqualForRouting(first)).To(BeTrue())
		Expect(later.ColdUntil).To(Equal(first.ColdUntil))
		again := withColdUntil(later, view.Target{ID: "x", Cold: 3 * time.Second}, 7, now.Add(2*time.Second))
		Expect(again.ColdSpell).To(Equal(uint64(7)))
		Expect(withColdUntil(again, view.Target{ID: "x"}, 8, now.Add(6*time.Second)).ColdSpell).To(BeZero())
	})
})
