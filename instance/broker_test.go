package instance

import (
	"context"
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/transport/peers"
)

var _ = Describe("a broker", func() {
	var (
		board *view.Board
		b     *broker
		// limits are the targets that name one.
		limits map[string]bool
	)

	BeforeEach(func() {
		self := view.Instance{ID: "i1.1", Address: "127.0.0.1:1", DataCentre: "dc0", Weight: 1}
		board = view.NewBoard(clock.System{})
		limits = map[string]bool{}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, []view.Instance{self})
		b = newBroker(self, clock.System{}, board, peers.NewClient(peers.Security{}), func(id string) bool { return limits[id] }, func(string, ...any) {})
	})

	list := func(change func(*view.Target)) {
		t := view.Target{ID: "k1", Service: "keyed", Address: "a", DataCentre: "dc0", Slots: 2}
		change(&t)
		board.SetTargets(board.TargetsReadVersion()+1, map[string]view.Target{"k1": t}, clock.System{}.Now())
	}

	// Symptom: a target gets a request 2.9 s after it said that it leaves.
	// Sequence: the instance that has the request is short of processor time, and has not heard
	// of it yet; its keeper has. Cause: the keeper gave it a permit all the same.
	It("hands out no slot of a target that is known to have been leaving for long", func() {
		ask := permit.Ask{ID: "1", Service: "keyed", Target: "k1", Rule: "r", AimLeft: time.Second, Left: time.Second}
		list(func(t *view.Target) { t.Draining = true })
		_, err := b.Acquire(context.Background(), ask)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(view.DrainGrace + 50*time.Millisecond)
		ask.ID = "2"
		_, err = b.Acquire(context.Background(), ask)
		Expect(err).To(MatchError(ContainSubstring(permit.ReasonNoTarget)))
	})

	It("sends nothing to a target that names a limit while its keeper is silent (guards against instances that each send a share)", func() {
		list(func(*view.Target) {})
		silent := view.Instance{ID: "i2.1", Address: "127.0.0.1:1", Weight: 1000}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, []view.Instance{silent})
		ask := permit.Ask{ID: "1", Service: "keyed", Target: "k1", Rule: "r", AimLeft: time.Second, Left: time.Second}
		_, err := b.Acquire(context.Background(), ask)
		Expect(err).NotTo(HaveOccurred())
		limits["k1"] = true
		ask.ID = "2"
		_, err = b.Acquire(context.Background(), ask)
		var refused *permit.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})

	// Symptom: every request of a service is refused with "no-target" for five seconds, by all
	// instances, while its targets are well. Sequence: the store is away; the keeper of the
	// service is killed and starts again, and cannot read the registry. Cause: its answer, made
	// of nothing, went before what the others knew.
	It("does not believe a keeper that knows less than it does", func() {
		list(func(*view.Target) {})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ignorant := &Instance{board: view.NewBoard(clock.System{})}
		ignorant.broker = newBroker(view.Instance{ID: "i2.2"}, clock.System{}, ignorant.board, nil, nil, func(string, ...any) {})
		server, err := peers.NewServer(listener, peers.Security{}, (*peerBackend)(ignorant))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		go server.Serve()
		keeper := view.Instance{ID: "i2.1", Address: listener.Addr().String(), Weight: 1000}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, []view.Instance{keeper})
		ask := permit.Ask{ID: "1", Service: "keyed", Rule: "r", AimLeft: time.Second, Left: time.Second}
		p, err := b.Acquire(context.Background(), ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("k1"))

		// One that knows as much is believed.
		ignorant.board.SetTargets(board.TargetsReadVersion(), nil, clock.System{}.Now())
		ask.ID = "2"
		_, err = b.Acquire(context.Background(), ask)
		Expect(err).To(MatchError(ContainSubstring(permit.ReasonNoTarget)))
	})

	It("finds the same keeper for a group from any list of the same instances", func() {
		many := []view.Instance{{ID: "a", DataCentre: "dc1", Weight: 0.2}, {ID: "b", DataCentre: "dc0", Weight: 0.2}, {ID: "c", DataCentre: "dc0", Weight: 0.8}}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, many)
		id := permit.PoolID{Service: "plain", Group: "dc0/1"}
		first := b.keeper(id, "dc0")
		Expect(first.DataCentre).To(Equal("dc0"))
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 3}, []view.Instance{many[2], many[0], many[1]})
		Expect(b.keeper(id, "dc0")).To(Equal(first))
	})
})
