package lead

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// newCoordinatorKnowing returns an instance that knows the given number of targets, each with a key
// range, and of instances.
func newCoordinatorKnowing(targetCount, instanceCount int) *Coordinator {
	c := newCoordinator()
	list := map[string]view.Target{}
	e := keyrange.Empty().Edit()
	for i := range targetCount {
		id := view.TargetID(fmt.Sprintf("i-%08x", uint32(i)*2654435761), int64(1776885668000+i*37))
		list[id] = view.Target{ID: id, Born: int64(1776885668000 + i*37), Service: "bookings", Address: fmt.Sprintf("10.%d.64.%d:8524", i%5, i/5), DataCentre: fmt.Sprint("dc", i%5), Slots: 6}
		from := i * (keyrange.MaxKey + 1) / targetCount
		to := (i+1)*(keyrange.MaxKey+1)/targetCount - 1
		e.Move(uint16(from), uint16(to), id, false)
		e.FinishMove(uint16(from), uint16(to))
	}
	now := clock.System{}.Now()
	c.board.SetTargets(5, list, now)
	c.board.SetMap("bookings", e.Map())
	c.board.ConfirmRules(5, now)
	var instances []view.Instance
	for i := range instanceCount {
		instances = append(instances, view.Instance{ID: fmt.Sprintf("front-%d.%08x", i, uint32(i)*2654435761), Address: fmt.Sprintf("10.%d.0.%d:8146", i%5, i/5), DataCentre: fmt.Sprint("dc", i%5), Weight: 0.16})
	}
	c.board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, instances)
	return c
}

var _ = Describe("the full state sent to an instance that starts", func() {
	// Guards against 100 instances that start together waiting for their seed: the last one got its
	// state 5 s after the first. Each was sent 720 targets, their ranges and 295 instances, 120 KB,
	// over 20 Mbit/s, and the state was encoded again for each of them, with all names.
	It("fits the link of a small instance, and is encoded once for all", func() {
		const (
			starters = 100
			// link is what a small instance can send in a second, in bytes.
			link = 20_000_000 / 8
		)
		c := newCoordinatorKnowing(720, 295)
		args := &peerapi.SyncArgs{Starting: true}
		first := c.updateFor(args)
		Expect(len(first.Whole) * starters).To(BeNumerically("<", 2*link))
		Expect(testing.AllocsPerRun(10, func() { c.updateFor(args) })).To(BeNumerically("<", 50))
		Expect(&c.updateFor(args).Whole[0]).To(BeIdenticalTo(&first.Whole[0]))
	})

	It("is applied as a whole, and encoded again when anything has changed", func() {
		c, starting := newCoordinatorKnowing(40, 9), newCoordinator()
		args := &peerapi.SyncArgs{Starting: true}
		reply := c.updateFor(args)
		before := reply.Whole
		Expect(unpackFullState(reply)).To(Succeed())
		starting.applyReply(starting.clock.Now(), args, reply)
		Expect(starting.board.Snapshot().TargetsDigest).To(Equal(c.board.Snapshot().TargetsDigest))
		Expect(starting.board.Snapshot().Instances).To(Equal(c.board.Snapshot().Instances))
		Expect(starting.board.Snapshot().Maps).To(Equal(c.board.Snapshot().Maps))
		c.board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, nil)
		Expect(c.updateFor(args).Whole).NotTo(Equal(before))
	})

	It("is refused when it cannot be decoded", func() {
		Expect(unpackFullState(&peerapi.SyncReply{Whole: []byte("no")})).NotTo(Succeed())
	})
})

var _ = Describe("the history that an instance records for its replies", func() {
	// heapOf returns the bytes that the history of an instance takes after many changes, in a fleet
	// of the given size.
	heapOf := func(instanceCount int) uint64 {
		c := newCoordinatorKnowing(720, instanceCount)
		c.config.Self = view.Instance{ID: "self", Address: "self"}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 2 * historyLength {
			e := c.board.Snapshot().Maps["bookings"].Edit()
			e.Move(uint16(i*400), uint16(i*400+100), "next", false)
			c.board.SetMap("bookings", e.Map())
			list := maps.Clone(c.board.Snapshot().Targets)
			id := fmt.Sprint("new", i)
			list[id] = view.Target{ID: id, Service: "s", Address: id}
			c.board.SetTargets(uint64(10+i), list, clock.System{}.Now())
			c.history.record(c.board.Snapshot(), c.versionsToRecord())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(c)
		return after.HeapAlloc - before.HeapAlloc
	}

	// Guards against 45 MB of history on each of 280 small instances: all of them recorded the last
	// 64 versions of maps and targets, because any of them might become leader and reply to all
	// others.
	It("is small on an instance that replies to no others", func() {
		Expect(heapOf(295)).To(BeNumerically("<", 3<<20))
		Expect(heapOf(9)).To(BeNumerically(">", 6<<20))
	})
})
