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

// fakeClock is a clock that the tests set.
type fakeClock struct{ now clock.Instant }

func (c *fakeClock) Now() clock.Instant { return c.now }

func targetList(ids ...string) map[string]Target {
	list := map[string]Target{}
	for _, id := range ids {
		list[id] = Target{ID: id, Service: "s", Address: "a-" + id}
	}
	return list
}

var _ = Describe("a board", func() {
	var (
		c *fakeClock
		b *Board
	)

	// read adopts a list of the given targets, read from the registry at the given time.
	read := func(at time.Duration, ids ...string) {
		c.now = clock.Instant(at)
		b.SetTargets(uint64(at), targetList(ids...), c.now)
	}

	BeforeEach(func() {
		c = &fakeClock{}
		b = NewBoard(c)
	})

	known := func(id string) bool { _, ok := b.Snapshot().Targets[id]; return ok }

	It("drops a target that is no longer listed, when the registry was read without interruption", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			read(at, "x", "y")
		}
		read(4400*time.Millisecond, "y")
		Expect(known("x")).To(BeFalse())
	})

	// Guards against requests to targets that have exited. An instance that did not read the
	// registry for 2 s retained the targets that were missing. It became leader, and all others
	// adopted its list, since it did not report that their data might be newer.
	It("reports whether it retains targets that are no longer listed", func() {
		read(time.Second, "x", "y")
		Expect(b.HasRetained()).To(BeFalse())
		read(4*time.Second, "y")
		Expect(known("x")).To(BeTrue())
		Expect(b.HasRetained()).To(BeTrue())
		for at := 4400 * time.Millisecond; at <= 7*time.Second; at += 400 * time.Millisecond {
			read(at, "y")
		}
		Expect(known("x")).To(BeFalse())
		Expect(b.HasRetained()).To(BeFalse())
	})

	// Guards against healthy targets that get no requests after an outage. The store was
	// unavailable for 5 s and entries lapsed. When it was available again, the targets were listed
	// again within two seconds, but a missing entry was taken to mean that the target had exited.
	It("retains a target that is missing right after an outage, for two seconds", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			read(at, "x", "y")
		}
		read(9*time.Second, "y")
		Expect(known("x")).To(BeTrue())
		for at := 9400 * time.Millisecond; at <= 11200*time.Millisecond; at += 400 * time.Millisecond {
			read(at, "y")
		}
		Expect(known("x")).To(BeFalse())
	})

	// Guards against requests to a target that exited 12 s ago. An instance was cut off from the
	// network in the meantime. When it was connected again, the leader sent its targets. The
	// instance retained the missing one for two seconds, as after an outage of the store, though
	// the leader had read the registry all the time.
	It("drops at once a target that is missing from the leader's list", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			read(at, "x", "y")
		}
		c.now = clock.Instant(13 * time.Second)
		Expect(b.SetLeaderTargets(uint64(c.now), targetList("y"), Retained{}, c.now)).To(BeTrue())
		Expect(known("x")).To(BeFalse())
	})

	It("does not adopt a target that another instance only retains if its own list is newer (guards against a relay that was cut off)", func() {
		read(time.Second, "x", "y")
		read(2*time.Second, "y")
		for at := 2400 * time.Millisecond; at <= 6*time.Second; at += 400 * time.Millisecond {
			read(at, "y")
		}
		retained := Retained{IDs: []string{"x"}, AsOf: uint64(time.Second)}
		Expect(b.SetLeaderTargets(uint64(7*time.Second), targetList("x", "y"), retained, c.now)).To(BeFalse())
		Expect(known("x")).To(BeFalse())
		Expect(known("y")).To(BeTrue())
	})

	It("adopts a target that another instance retains if its own list is older", func() {
		read(time.Second, "y")
		retained := Retained{IDs: []string{"x"}, AsOf: uint64(2 * time.Second)}
		b.SetLeaderTargets(uint64(7*time.Second), targetList("x", "y"), retained, c.now)
		Expect(known("x")).To(BeTrue())
		Expect(b.Retained()).To(Equal(retained))
	})

	It("reports the store version at which the retained targets were last listed", func() {
		read(time.Second, "x", "y")
		read(4*time.Second, "y")
		read(4400*time.Millisecond, "y")
		Expect(b.Retained()).To(Equal(Retained{IDs: []string{"x"}, AsOf: uint64(time.Second)}))
	})

	It("does not adopt a list of the leader that is older than its own", func() {
		read(4*time.Second, "x", "y")
		Expect(b.SetLeaderTargets(1, targetList("y"), Retained{}, clock.Instant(5*time.Second))).To(BeFalse())
		Expect(known("x")).To(BeTrue())
	})

	It("drops a missing target whose address another target has", func() {
		read(time.Second, "x")
		c.now = clock.Instant(10 * time.Second)
		b.SetTargets(uint64(c.now), map[string]Target{"z": {ID: "z", Service: "s", Address: "a-x"}}, c.now)
		Expect(known("x")).To(BeFalse())
	})

	// Guards against requests to a process that has exited, for two seconds. A target crashed
	// during an outage of the store and was restarted under its name at another address. The entry
	// of the former process was missing from the registry, as the entries of running targets are
	// after an outage.
	It("drops a missing target if another process is listed under its name", func() {
		read(time.Second, "x@1")
		c.now = clock.Instant(10 * time.Second)
		b.SetTargets(uint64(c.now), map[string]Target{"x@2": {ID: "x@2", Service: "s", Address: "elsewhere"}}, c.now)
		Expect(known("x@1")).To(BeFalse())
	})

	It("publishes no snapshot when nothing has changed", func() {
		read(time.Second, "x")
		before := b.Snapshot()
		read(1400*time.Millisecond, "x")
		Expect(b.Snapshot()).To(BeIdenticalTo(before))
	})

	It("never adopts an older map or list of targets", func() {
		read(2*time.Second, "x")
		b.SetTargets(1, targetList("old"), clock.Instant(3*time.Second))
		Expect(known("old")).To(BeFalse())
		m2 := keyrange.Empty().Edit().Map()
		Expect(b.SetMap("s", m2)).To(BeTrue())
		Expect(b.SetMap("s", keyrange.Empty())).To(BeFalse())
		Expect(b.Snapshot().Maps["s"]).To(Equal(m2))
	})

	It("returns the name of a target from its ID, for any name", func() {
		for _, name := range []string{"i-1", "i@1", "@", ""} {
			for _, born := range []int64{0, 1, -1, 1764717600123} {
				Expect(TargetName(TargetID(name, born))).To(Equal(name))
			}
		}
		Expect(TargetID("i-1", 5)).NotTo(Equal(TargetID("i-1", 6)))
	})

	It("keeps the time at which a target began to leave", func() {
		c.now = clock.Instant(time.Second)
		list := targetList("x")
		x := list["x"]
		x.Draining = true
		list["x"] = x
		b.SetTargets(1, list, c.now)
		c.now = clock.Instant(3 * time.Second)
		list["x"] = x
		b.SetTargets(2, list, c.now)
		Expect(b.Snapshot().Targets["x"].DrainingAt).To(Equal(clock.Instant(time.Second)))
	})

	It("keeps targets draining that a store restored from a backup lists as ready", func() {
		list := targetList("x", "y")
		x := list["x"]
		x.Draining = true
		list["x"] = x
		c.now = clock.Instant(time.Hour)
		b.SetTargets(store.VersionOf(1, 900), list, c.now)
		b.SetTargets(store.VersionOf(2, 300), targetList("x", "y"), c.now.Add(300*time.Millisecond))
		Expect(b.Snapshot().Targets["x"].Draining).To(BeTrue())
		Expect(b.Snapshot().Targets["y"].Draining).To(BeFalse())
		b.SetTargets(store.VersionOf(2, 310), targetList("x", "y"), c.now.Add(700*time.Millisecond))
		Expect(b.Snapshot().Targets["x"].Draining).To(BeTrue())
	})

	It("retains a target that a store restored from a backup lacks, for two seconds", func() {
		for at := time.Second; at <= 4*time.Second; at += 400 * time.Millisecond {
			b.SetTargets(store.VersionOf(1, uint64(at)), targetList("x", "y"), clock.Instant(at))
		}
		b.SetTargets(store.VersionOf(2, 300), targetList("y"), clock.Instant(4400*time.Millisecond))
		Expect(known("x")).To(BeTrue())
		for at := 4800 * time.Millisecond; at <= 6800*time.Millisecond; at += 400 * time.Millisecond {
			b.SetTargets(store.VersionOf(2, 300+uint64(at)), targetList("y"), clock.Instant(at))
		}
		Expect(known("x")).To(BeFalse())
	})

	It("returns the latest time at which both the rules and the targets were current", func() {
		read(5*time.Second, "x")
		b.ConfirmRules(0, clock.Instant(3*time.Second))
		Expect(b.CurrentAsOf()).To(Equal(clock.Instant(3 * time.Second)))
	})
})
