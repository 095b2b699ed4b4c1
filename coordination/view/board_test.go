package view

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/state/store"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "View")
}

// handClock is a clock that tests set.
type handClock struct{ now clock.Instant }

func (c *handClock) Now() clock.Instant { return c.now }

func listing(ids ...string) map[string]Target {
	list := map[string]Target{}
	for _, id := range ids {
		list[id] = Target{ID: id, Service: "s", Address: "a-" + id}
	}
	return list
}

var _ = Describe("a board", func() {
	var (
		c *handClock
		b *Board
	)

	// read lists targets at a time, as a reading every 400 ms would.
	read := func(at time.Duration, ids ...string) {
		c.now = clock.Instant(at)
		b.SetTargets(uint64(at), listing(ids...), c.now)
	}

	BeforeEach(func() {
		c = &handClock{}
		b = NewBoard(c)
	})

	believed := func(id string) bool { _, ok := b.Load().Targets[id]; return ok }

	It("drops a target that a steady registry has removed", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			read(at, "x", "y")
		}
		read(4400*time.Millisecond, "y")
		Expect(believed("x")).To(BeFalse())
	})

	// Symptom: targets that left are sent to again. Sequence: an instance that did not read for
	// 2 s keeps what the registry lacks; it leads next, and all others adopt that from it.
	// Cause: it did not know, nor say, that others know better.
	It("says while it keeps targets that the registry lacks", func() {
		read(time.Second, "x", "y")
		Expect(b.HasRetained()).To(BeFalse())
		read(4*time.Second, "y")
		Expect(believed("x")).To(BeTrue())
		Expect(b.HasRetained()).To(BeTrue())
		for at := 4400 * time.Millisecond; at <= 7*time.Second; at += 400 * time.Millisecond {
			read(at, "y")
		}
		Expect(believed("x")).To(BeFalse())
		Expect(b.HasRetained()).To(BeFalse())
	})

	// Symptom: sound targets get nothing after an outage. Sequence: the store is away for
	// 5 s, entries lapse; it is back, and targets are listed again within two seconds.
	// Cause: a missing entry was taken for a target that is gone.
	It("keeps a target that is missing right after an outage, for two seconds", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			read(at, "x", "y")
		}
		read(9*time.Second, "y")
		Expect(believed("x")).To(BeTrue())
		for at := 9400 * time.Millisecond; at <= 11200*time.Millisecond; at += 400 * time.Millisecond {
			read(at, "y")
		}
		Expect(believed("x")).To(BeFalse())
	})

	// Symptom: requests reach a target 12 s after it has left. Sequence: an instance is cut off
	// while the target leaves; the cut heals, and the leading instance tells its targets.
	// Cause: the instance kept what was missing for two seconds, as after an outage of the
	// store, though the leading instance had read all the while.
	It("drops at once what the leading instance does not believe", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			read(at, "x", "y")
		}
		c.now = clock.Instant(13 * time.Second)
		Expect(b.SetLeaderTargets(uint64(c.now), listing("y"), Retained{}, c.now)).To(BeTrue())
		Expect(believed("x")).To(BeFalse())
	})

	It("does not take back what another instance only keeps, where it has read since that was listed (guards against a relay that was cut off)", func() {
		read(time.Second, "x", "y")
		read(2*time.Second, "y")
		for at := 2400 * time.Millisecond; at <= 6*time.Second; at += 400 * time.Millisecond {
			read(at, "y")
		}
		kept := Retained{IDs: []string{"x"}, AsOf: uint64(time.Second)}
		Expect(b.SetLeaderTargets(uint64(7*time.Second), listing("x", "y"), kept, c.now)).To(BeFalse())
		Expect(believed("x")).To(BeFalse())
		Expect(believed("y")).To(BeTrue())
	})

	It("takes what another instance keeps where it has not read since", func() {
		read(time.Second, "y")
		kept := Retained{IDs: []string{"x"}, AsOf: uint64(2 * time.Second)}
		b.SetLeaderTargets(uint64(7*time.Second), listing("x", "y"), kept, c.now)
		Expect(believed("x")).To(BeTrue())
		Expect(b.Retained()).To(Equal(kept))
	})

	It("tells as of when what it keeps was listed", func() {
		read(time.Second, "x", "y")
		read(4*time.Second, "y")
		read(4400*time.Millisecond, "y")
		Expect(b.Retained()).To(Equal(Retained{IDs: []string{"x"}, AsOf: uint64(time.Second)}))
	})

	It("does not take an older list of the leading instance's", func() {
		read(4*time.Second, "x", "y")
		Expect(b.SetLeaderTargets(1, listing("y"), Retained{}, clock.Instant(5*time.Second))).To(BeFalse())
		Expect(believed("x")).To(BeTrue())
	})

	It("drops a missing target whose address another one has", func() {
		read(time.Second, "x")
		c.now = clock.Instant(10 * time.Second)
		b.SetTargets(uint64(c.now), map[string]Target{"z": {ID: "z", Service: "s", Address: "a-x"}}, c.now)
		Expect(believed("x")).To(BeFalse())
	})

	// Symptom: requests go to a process that has ended, for two seconds. Sequence: a target
	// crashes behind an outage of the store and starts again under its name at another address.
	// Cause: its former life was missing from the registry, as entries are after an outage.
	It("drops a missing target of which another life is listed", func() {
		read(time.Second, "x@1")
		c.now = clock.Instant(10 * time.Second)
		b.SetTargets(uint64(c.now), map[string]Target{"x@2": {ID: "x@2", Service: "s", Address: "elsewhere"}}, c.now)
		Expect(believed("x@1")).To(BeFalse())
	})

	It("wakes nobody when nothing has changed", func() {
		read(time.Second, "x")
		before := b.Load()
		read(1400*time.Millisecond, "x")
		Expect(b.Load()).To(BeIdenticalTo(before))
	})

	It("never goes back to an older map or list of targets", func() {
		read(2*time.Second, "x")
		b.SetTargets(1, listing("old"), clock.Instant(3*time.Second))
		Expect(believed("old")).To(BeFalse())
		m2 := keyrange.Empty().Edit().Map()
		Expect(b.SetMap("s", m2)).To(BeTrue())
		Expect(b.SetMap("s", keyrange.Empty())).To(BeFalse())
		Expect(b.Load().Maps["s"]).To(Equal(m2))
	})

	It("tells the name of a target from its ID, whatever the name is", func() {
		for _, name := range []string{"i-1", "i@1", "@", ""} {
			for _, born := range []int64{0, 1, -1, 1764717600123} {
				Expect(TargetName(TargetID(name, born))).To(Equal(name))
			}
		}
		Expect(TargetID("i-1", 5)).NotTo(Equal(TargetID("i-1", 6)))
	})

	It("remembers since when a target has been draining", func() {
		c.now = clock.Instant(time.Second)
		list := listing("x")
		x := list["x"]
		x.Draining = true
		list["x"] = x
		b.SetTargets(1, list, c.now)
		c.now = clock.Instant(3 * time.Second)
		list["x"] = x
		b.SetTargets(2, list, c.now)
		Expect(b.Load().Targets["x"].DrainingAt).To(Equal(clock.Instant(time.Second)))
	})

	It("goes on to drain targets that a store which came back from a copy lists as ready", func() {
		list := listing("x", "y")
		x := list["x"]
		x.Draining = true
		list["x"] = x
		c.now = clock.Instant(time.Hour)
		b.SetTargets(store.VersionOf(1, 900), list, c.now)
		b.SetTargets(store.VersionOf(2, 300), listing("x", "y"), c.now.Add(300*time.Millisecond))
		Expect(b.Load().Targets["x"].Draining).To(BeTrue())
		Expect(b.Load().Targets["y"].Draining).To(BeFalse())
		b.SetTargets(store.VersionOf(2, 310), listing("x", "y"), c.now.Add(700*time.Millisecond))
		Expect(b.Load().Targets["x"].Draining).To(BeTrue())
	})

	It("keeps a target that a store which came back from a copy lacks, for two seconds", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			b.SetTargets(store.VersionOf(1, uint64(at)), listing("x", "y"), clock.Instant(at))
		}
		b.SetTargets(store.VersionOf(2, 300), listing("y"), clock.Instant(4400*time.Millisecond))
		Expect(believed("x")).To(BeTrue())
		for at := 4800 * time.Millisecond; at <= 6800*time.Millisecond; at += 400 * time.Millisecond {
			b.SetTargets(store.VersionOf(2, 300+uint64(at)), listing("y"), clock.Instant(at))
		}
		Expect(believed("x")).To(BeFalse())
	})

	It("knows as of when both the rules and the registry were current", func() {
		read(5*time.Second, "x")
		b.ConfirmRules(0, clock.Instant(3*time.Second))
		Expect(b.CurrentAsOf()).To(Equal(clock.Instant(3 * time.Second)))
	})
})
