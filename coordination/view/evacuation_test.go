package view

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/rules"
)

var _ = Describe("an evacuated data centre", func() {
	var (
		c *fakeClock
		b *Board
	)
	x := Target{ID: "x", Service: "s", Address: "a-x", DataCentre: "dc1"}

	BeforeEach(func() {
		c = &fakeClock{now: clock.Instant(time.Hour)}
		b = NewBoard(c)
		set, err := rules.Build("test", []rules.Service{{Name: "s", ColdStart: rules.Duration(3 * time.Second), ColdRate: 5}}, nil)
		Expect(err).NotTo(HaveOccurred())
		b.SetRules(1, set, c.now)
	})

	It("gets no new work at once, and no requests at all after evacuationGrace", func() {
		Expect(b.SetEvacuations(5, []string{"dc1"})).To(BeTrue())
		s := b.Snapshot()
		Expect(s.AcceptsNewWork(x)).To(BeFalse())
		Expect(s.AcceptsNewWork(Target{DataCentre: "dc2"})).To(BeTrue())
		Expect(s.Excluded(x, c.now)).To(BeFalse())
		Expect(s.Excluded(x, c.now.Add(evacuationGrace))).To(BeTrue())
	})

	It("stays evacuated when an older update arrives (guards against a relay with older data)", func() {
		b.SetEvacuations(5, []string{"dc1"})
		Expect(b.SetEvacuations(4, nil)).To(BeFalse())
		Expect(b.Snapshot().Evacuations.Contains("dc1")).To(BeTrue())
	})

	It("keeps the time of its evacuation when another data centre is evacuated", func() {
		b.SetEvacuations(5, []string{"dc1"})
		c.now = c.now.Add(time.Second)
		b.SetEvacuations(6, []string{"dc2", "dc1"})
		Expect(b.Snapshot().Evacuations.Since["dc1"]).To(Equal(c.now.Add(-time.Second)))
		Expect(b.Snapshot().Evacuations.List()).To(Equal([]string{"dc1", "dc2"}))
	})

	It("has targets that count as cold when the evacuation ends (guards against too many requests before their entries show it)", func() {
		b.SetEvacuations(5, []string{"dc1"})
		b.SetEvacuations(6, nil)
		s := b.Snapshot()
		Expect(s.AcceptsNewWork(x)).To(BeTrue())
		Expect(s.ColdUntil(x)).To(Equal(c.now.Add(3 * time.Second)))
		Expect(s.ColdRate("s")).To(Equal(5.0))
		Expect(s.ColdUntil(Target{Service: "s", DataCentre: "dc2"})).To(BeNumerically("<=", c.now))
	})

	It("publishes no snapshot when nothing has changed", func() {
		b.SetEvacuations(5, []string{"dc1"})
		before := b.Snapshot()
		Expect(b.SetEvacuations(7, []string{"dc1"})).To(BeFalse())
		Expect(b.Snapshot()).To(BeIdenticalTo(before))
	})
})

var _ = Describe("a cold target", func() {
	It("is sent with the rest of its cold period, which the receiver counts by its own clock", func() {
		c := &fakeClock{now: clock.Instant(time.Hour)}
		b := NewBoard(c)
		list := targetList("x")
		x := list["x"]
		x.Cold, x.ColdSpell, x.ColdUntil = 3*time.Second, 7, c.now.Add(3*time.Second)
		list["x"] = x
		b.SetTargets(1, list, c.now)
		other := &fakeClock{now: clock.Instant(time.Minute)}
		board := NewBoard(other)
		sent := b.Snapshot().Targets["x"].ForSync(c.now.Add(time.Second))
		board.SetLeaderTargets(1, map[string]Target{"x": sent}, Retained{}, other.now)
		Expect(board.Snapshot().Targets["x"].ColdUntil).To(Equal(other.now.Add(2 * time.Second)))
		Expect(board.Snapshot().TargetsDigest).To(Equal(b.Snapshot().TargetsDigest))
	})
})
