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

func quiet(string, ...any) {}

func newCoordinator() *Coordinator {
	return New(Config{}, clock.System{}, nil, view.NewBoard(clock.System{}), nil, nil, nil, quiet)
}

func targets(ids ...string) map[string]view.Target {
	list := map[string]view.Target{}
	for _, id := range ids {
		list[id] = view.Target{ID: id, Service: "s", Address: "a-" + id, Slots: 2}
	}
	return list
}

// tell lets a follower report and adopt the answer, as over the network.
func tell(leader, follower *Coordinator) *peerapi.SyncReply {
	s := follower.board.Load()
	args := &peerapi.SyncArgs{
		RulesVersion: s.RulesVersion, TargetsDigest: s.TargetsDigest, InstancesVersion: s.InstancesVersion, MapVersions: map[string]uint64{},
	}
	for service, m := range s.Maps {
		args.MapVersions[service] = m.Version
	}
	reply := leader.news(args)
	follower.adopt(follower.clock.Now(), args, reply)
	return reply
}

var _ = Describe("a bid for the lease", func() {
	// Symptom: the lease runs out again and again after all instances were started anew.
	// Sequence: a small instance takes it and is too slow to renew it under its duties.
	// Cause: whoever was first to read the row led.
	It("is held back the longer the smaller the instance is", func() {
		Expect(bidDelay(0.8)).To(BeNumerically("<", 20*time.Millisecond))
		Expect(bidDelay(0.32)).To(BeNumerically(">", 5*bidDelay(0.8)))
		Expect(bidDelay(0.16)).To(BeNumerically(">", 2*bidDelay(0.32)))
		Expect(bidDelay(0.001)).To(Equal(longestBid))
		Expect(bidDelay(4)).To(BeZero())
	})
})

var _ = Describe("what a follower is told", func() {
	var leader, follower *Coordinator

	BeforeEach(func() { leader, follower = newCoordinator(), newCoordinator() })

	read := func(version uint64, ids ...string) {
		now := clock.System{}.Now()
		leader.board.SetTargets(version, targets(ids...), now)
	}

	// Symptom: instances crash at the start. Sequence: a follower that knows no targets
	// reports to a leading instance that has none yet, and again when it has some.
	// Cause: "none known" was taken for the version of a list that is empty.
	It("is everything when it knows nothing", func() {
		tell(leader, follower)
		read(5, "a", "b")
		Expect(tell(leader, follower).TargetsWhole).To(BeTrue())
		Expect(follower.board.Load().Targets).To(HaveLen(2))
	})

	It("is what has changed among the targets", func() {
		read(5, "a", "b")
		tell(leader, follower)
		read(6, "a", "b", "c")
		reply := tell(leader, follower)
		Expect(reply.TargetsWhole).To(BeFalse())
		Expect(reply.Targets).To(HaveLen(1))
		Expect(follower.board.Load().Targets).To(HaveLen(3))
	})

	It("is nothing when nothing has changed", func() {
		read(5, "a", "b")
		tell(leader, follower)
		read(6, "a", "b")
		reply := tell(leader, follower)
		Expect(reply.Targets).To(BeEmpty())
		Expect(reply.Maps).To(BeEmpty())
		Expect(follower.board.CurrentAsOf()).To(BeNumerically("<=", clock.System{}.Now()))
	})

	// Symptom: a leading instance of 300 sends 13 MB a second.
	// Sequence: targets that have just started report the rest of their cold time with each
	// heartbeat; another one joins. Cause: all of them counted as changed.
	It("is not how long targets are cold still", func() {
		now := clock.System{}.Now()
		list := targets("a", "b", "c")
		leader.board.SetTargets(5, list, now)
		tell(leader, follower)
		for id, t := range list {
			t.Cold = time.Second
			list[id] = t
		}
		list["d"] = view.Target{ID: "d", Service: "s", Address: "a-d", Slots: 2}
		leader.board.SetTargets(6, list, now)
		reply := tell(leader, follower)
		Expect(reply.Targets).To(HaveLen(1))
		Expect(follower.board.Load().TargetsDigest).To(Equal(leader.board.Load().TargetsDigest))
	})

	It("is not a target that a relay only keeps, where the follower has known better (guards against a relay that was cut off)", func() {
		read(1, "x", "y")
		tell(leader, follower)
		now := clock.System{}.Now()
		follower.board.SetLeaderTargets(5, targets("y"), view.Retained{}, now)
		leader.board.SetTargets(9, targets("y"), now.Add(10*time.Second))
		Expect(leader.board.Load().Targets).To(HaveKey("x"))
		tell(leader, follower)
		Expect(follower.board.Load().Targets).NotTo(HaveKey("x"))
		Expect(follower.board.Load().Targets).To(HaveKey("y"))
	})

	It("is which instances came and went", func() {
		instances := func(count uint64, ids ...string) {
			var list []view.Instance
			for _, id := range ids {
				list = append(list, view.Instance{ID: id, Address: id})
			}
			leader.board.SetInstances(view.InstancesVersion{Term: 1, Count: count}, list)
		}
		instances(1, "a", "b", "c")
		Expect(tell(leader, follower).InstancesWhole).To(BeTrue())
		instances(2, "a", "c", "d")
		reply := tell(leader, follower)
		Expect(reply.InstancesWhole).To(BeFalse())
		Expect(reply.Instances).To(HaveLen(1))
		Expect(reply.InstancesGone).To(Equal([]string{"b"}))
		Expect(follower.board.Load().Instances).To(Equal(leader.board.Load().Instances))
		Expect(tell(leader, follower).Instances).To(BeEmpty())
	})

	It("is what has changed in a map, and the whole map to one that is far behind", func() {
		m := keyrange.Empty()
		for i := range 3 * toldVersions {
			e := m.Edit()
			from := uint16(i * 300)
			e.Move(from, from+100, fmt.Sprint("t", i), false)
			m = e.Map()
			leader.board.SetMap("s", m)
			if i < 10 || i%100 == 0 {
				reply := tell(leader, follower)
				Expect(reply.Maps["s"].From == 0).To(Equal(i == 0 || i > toldVersions), "change %d", i)
				Expect(follower.board.Load().Maps["s"]).To(Equal(m))
			} else {
				leader.told.remember(leader.board.Load(), toldVersions)
			}
		}
	})

	It("is refused when it cannot be applied", func() {
		follower.adoptMap("s", peerapi.MapUpdate{Version: 7, From: 6, Changed: []keyrange.Range{{From: 0, To: 9}}})
		follower.adoptMap("s", peerapi.MapUpdate{Version: 7, Changed: []keyrange.Range{{From: 0, To: 9}}})
		Expect(follower.board.Load().Maps).To(BeEmpty())
	})
})
