package lead

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

func TestLead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Lead")
}

func discardLog(string, ...any) {}

func newCoordinator() *Coordinator {
	return New(Config{}, clock.System{}, nil, view.NewBoard(clock.System{}), nil, nil, nil, discardLog)
}

func makeTargets(ids ...string) map[string]view.Target {
	list := map[string]view.Target{}
	for _, id := range ids {
		list[id] = view.Target{ID: id, Service: "s", Address: "a-" + id, Slots: 2}
	}
	return list
}

// syncOnce has a follower report to the leader and apply the reply, as over the network.
func syncOnce(leader, follower *Coordinator) *peerapi.SyncReply {
	s := follower.board.Snapshot()
	args := &peerapi.SyncArgs{
		RulesVersion: s.RulesVersion, TargetsDigest: s.TargetsDigest, InstancesVersion: s.InstancesVersion, MapVersions: map[string]uint64{},
	}
	for service, m := range s.Maps {
		args.MapVersions[service] = m.Version
	}
	reply := leader.updateFor(args)
	follower.applyReply(follower.clock.Now(), args, reply)
	return reply
}

var _ = Describe("a bid for the lease", func() {
	// Guards against a lease that expires again and again after a restart of all instances: the
	// first instance to read the row led, even if it was too small to renew the lease under a
	// leader's load.
	It("is delayed longer the smaller the instance is", func() {
		Expect(bidDelay(0.8)).To(BeNumerically("<", 20*time.Millisecond))
		Expect(bidDelay(0.32)).To(BeNumerically(">", 5*bidDelay(0.8)))
		Expect(bidDelay(0.16)).To(BeNumerically(">", 2*bidDelay(0.32)))
		Expect(bidDelay(0.001)).To(Equal(maxBidDelay))
		Expect(bidDelay(4)).To(BeZero())
	})
})

var _ = Describe("a reply to a follower", func() {
	var leader, follower *Coordinator

	BeforeEach(func() { leader, follower = newCoordinator(), newCoordinator() })

	read := func(version uint64, ids ...string) {
		now := clock.System{}.Now()
		leader.board.SetTargets(version, makeTargets(ids...), now)
	}

	// Guards against a crash at the start. A follower that knows no targets reports to a leader
	// that has none yet, and again when the leader has some. "No targets known" must not be taken
	// for the version of an empty list.
	It("contains everything when the follower knows nothing", func() {
		syncOnce(leader, follower)
		read(5, "a", "b")
		Expect(syncOnce(leader, follower).TargetsWhole).To(BeTrue())
		Expect(follower.board.Snapshot().Targets).To(HaveLen(2))
	})

	It("contains only the targets that have changed", func() {
		read(5, "a", "b")
		syncOnce(leader, follower)
		read(6, "a", "b", "c")
		reply := syncOnce(leader, follower)
		Expect(reply.TargetsWhole).To(BeFalse())
		Expect(reply.Targets).To(HaveLen(1))
		Expect(follower.board.Snapshot().Targets).To(HaveLen(3))
	})

	It("contains nothing when nothing has changed", func() {
		read(5, "a", "b")
		syncOnce(leader, follower)
		read(6, "a", "b")
		reply := syncOnce(leader, follower)
		Expect(reply.Targets).To(BeEmpty())
		Expect(reply.Maps).To(BeEmpty())
		Expect(follower.board.CurrentAsOf()).To(BeNumerically("<=", clock.System{}.Now()))
	})

	// Guards against 13 MB a second sent by the leader of 300 instances. Targets that have just
	// started report the rest of their cold time with each heartbeat, and when another target
	// joined, all of them counted as changed.
	It("does not contain targets of which only the remaining cold time has changed", func() {
		now := clock.System{}.Now()
		list := makeTargets("a", "b", "c")
		leader.board.SetTargets(5, list, now)
		syncOnce(leader, follower)
		for id, t := range list {
			t.Cold = time.Second
			list[id] = t
		}
		list["d"] = view.Target{ID: "d", Service: "s", Address: "a-d", Slots: 2}
		leader.board.SetTargets(6, list, now)
		reply := syncOnce(leader, follower)
		Expect(reply.Targets).To(HaveLen(1))
		Expect(follower.board.Snapshot().TargetsDigest).To(Equal(leader.board.Snapshot().TargetsDigest))
	})

	It("does not bring back a target that the sender only retains and the follower has seen removed (guards against a relay that was cut off)", func() {
		read(1, "x", "y")
		syncOnce(leader, follower)
		now := clock.System{}.Now()
		follower.board.SetLeaderTargets(5, makeTargets("y"), view.Retained{}, now)
		leader.board.SetTargets(9, makeTargets("y"), now.Add(10*time.Second))
		Expect(leader.board.Snapshot().Targets).To(HaveKey("x"))
		syncOnce(leader, follower)
		Expect(follower.board.Snapshot().Targets).NotTo(HaveKey("x"))
		Expect(follower.board.Snapshot().Targets).To(HaveKey("y"))
	})

	It("contains the instances that joined and left", func() {
		instances := func(count uint64, ids ...string) {
			var list []view.Instance
			for _, id := range ids {
				list = append(list, view.Instance{ID: id, Address: id})
			}
			leader.board.SetInstances(view.InstancesVersion{Term: 1, Count: count}, list)
		}
		instances(1, "a", "b", "c")
		Expect(syncOnce(leader, follower).InstancesWhole).To(BeTrue())
		instances(2, "a", "c", "d")
		reply := syncOnce(leader, follower)
		Expect(reply.InstancesWhole).To(BeFalse())
		Expect(reply.Instances).To(HaveLen(1))
		Expect(reply.InstancesGone).To(Equal([]string{"b"}))
		Expect(follower.board.Snapshot().Instances).To(Equal(leader.board.Snapshot().Instances))
		Expect(syncOnce(leader, follower).Instances).To(BeEmpty())
	})

	It("contains the changes in a map, and the whole map for a follower that is far behind", func() {
		m := keyrange.Empty()
		for i := range 3 * historyLength {
			e := m.Edit()
			from := uint16(i * 300)
			e.Move(from, from+100, fmt.Sprint("t", i), false)
			m = e.Map()
			leader.board.SetMap("s", m)
			if i < 10 || i%100 == 0 {
				reply := syncOnce(leader, follower)
				Expect(reply.Maps["s"].From == 0).To(Equal(i == 0 || i > historyLength), "change %d", i)
				Expect(follower.board.Snapshot().Maps["s"]).To(Equal(m))
			} else {
				leader.history.record(leader.board.Snapshot(), historyLength)
			}
		}
	})

	It("is ignored when it does not apply", func() {
		follower.applyMapUpdate("s", peerapi.MapUpdate{Version: 7, From: 6, Changed: []keyrange.Range{{From: 0, To: 9}}})
		follower.applyMapUpdate("s", peerapi.MapUpdate{Version: 7, Changed: []keyrange.Range{{From: 0, To: 9}}})
		Expect(follower.board.Snapshot().Maps).To(BeEmpty())
	})
})
