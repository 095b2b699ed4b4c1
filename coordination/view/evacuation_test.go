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
		c *handClock
		b *Board
	)
	x := Target{ID: "x", Service: "s", Address: "a-x", DataCentre: "dc1"}

	BeforeEach(func() {
		c = &handClock{now: clock.Instant(time.Hour)}
		b = NewBoard(c)
		set, err := rules.Build("test", []rules.Service{{Name: "s", ColdStart: rules.Duration(3 * time.Second), ColdRate: 5}}, nil)
		Expect(err).NotTo(HaveOccurred())
		b.SetRules(1, set, c.now)
	})

	It("is wanted for nothing new at once, and closed to all a while later", func() {
		Expect(b.SetEvacuations(5, []string{"dc1"})).To(BeTrue())
		s := b.Load()
		Expect(s.AcceptsNewWork(x)).To(BeFalse())
		Expect(s.AcceptsNewWork(Target{DataCentre: "dc2"})).To(BeTrue())
		Expect(s.Excluded(x, c.now)).To(BeFalse())
		Expect(s.Excluded(x, c.now.Add(evacuateAfter))).To(BeTrue())
	})

	It("is not opened again by older news (guards against a relay that knows less)", func() {
		b.SetEvacuations(5, []string{"dc1"})
		Expect(b.SetEvacuations(4, nil)).To(BeFalse())
		Expect(b.Load().Evacuations.Contains("dc1")).To(BeTrue())
	})

	It("keeps its time when another one follows", func() {
		b.SetEvacuations(5, []string{"dc1"})
		c.now = c.now.Add(time.Second)
		b.SetEvacuations(6, []string{"dc2", "dc1"})
		Expect(b.Load().Evacuations.Since["dc1"]).To(Equal(c.now.Add(-time.Second)))
		Expect(b.Load().Evacuations.List()).To(Equal([]string{"dc1", "dc2"}))
	})

	It("has targets that count as cold when it is taken back (guards against a rush before their entries tell)", func() {
		b.SetEvacuations(5, []string{"dc1"})
		b.SetEvacuations(6, nil)
		s := b.Load()
		Expect(s.AcceptsNewWork(x)).To(BeTrue())
		Expect(s.ColdUntil(x)).To(Equal(c.now.Add(3 * time.Second)))
		Expect(s.ColdRate("s")).To(Equal(5.0))
		Expect(s.ColdUntil(Target{Service: "s", DataCentre: "dc2"})).To(BeNumerically("<=", c.now))
	})

	It("wakes nobody when nothing has changed", func() {
		b.SetEvacuations(5, []string{"dc1"})
		before := b.Load()
		Expect(b.SetEvacuations(7, []string{"dc1"})).To(BeFalse())
		Expect(b.Load()).To(BeIdenticalTo(before))
	})
})

var _ = Describe("a cold target", func() {
	It("is told with what is left of its cold time, which is counted by the other's clock", func() {
		c := &handClock{now: clock.Instant(time.Hour)}
		b := NewBoard(c)
		list := listing("x")
		x := list["x"]
		x.Cold, x.ColdSpell, x.ColdUntil = 3*time.Second, 7, c.now.Add(3*time.Second)
		list["x"] = x
		b.SetTargets(1, list, c.now)
		other := &handClock{now: clock.Instant(time.Minute)}
		board := NewBoard(other)
		told := b.Load().Targets["x"].ForSync(c.now.Add(time.Second))
		board.SetLeaderTargets(1, map[string]Target{"x": told}, Retained{}, other.now)
		Expect(board.Load().Targets["x"].ColdUntil).To(Equal(other.now.Add(2 * time.Second)))
		Expect(board.Load().TargetsDigest).To(Equal(b.Load().TargetsDigest))
	})
})
