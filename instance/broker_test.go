package instance

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/transport/peers"
)

// fullKeeper is an instance that refuses every ask with ReasonFull, and counts the asks.
type fullKeeper struct {
	peerBackend
	asks atomic.Int64
}

func (k *fullKeeper) Acquire(context.Context, *peerapi.AcquireArgs) *peerapi.AcquireReply {
	k.asks.Add(1)
	return &peerapi.AcquireReply{Reason: permit.ReasonFull, RetryAfter: 60 * time.Millisecond}
}

var _ = Describe("a permit broker", func() {
	var (
		board *view.Board
		b     *permitBroker
		// limits are the targets that have reported a limit.
		limits map[string]bool
	)

	BeforeEach(func() {
		self := view.Instance{ID: "i1.1", Address: "127.0.0.1:1", DataCentre: "dc0", Weight: 1}
		board = view.NewBoard(clock.System{})
		limits = map[string]bool{}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, []view.Instance{self})
		b = newPermitBroker(self, clock.System{}, board, peers.NewClient(peers.Security{}), func(id string) bool { return limits[id] }, func(string, ...any) {})
	})

	listTarget := func(change func(*view.Target)) {
		t := view.Target{ID: "k1", Service: "keyed", Address: "a", DataCentre: "dc0", Slots: 2}
		change(&t)
		board.SetTargets(board.TargetsReadVersion()+1, map[string]view.Target{"k1": t}, clock.System{}.Now())
	}

	// Guards against a request to a target that reported 2.9 s earlier that it is leaving. The instance
	// with the request lacks CPU time and has an old registry; the keeper has a newer one and must not
	// grant a permit.
	It("grants no permit for a target that has been draining for longer than DrainGrace", func() {
		ask := permit.Ask{ID: "1", Service: "keyed", Target: "k1", Rule: "r", AimLeft: time.Second, Left: time.Second}
		listTarget(func(t *view.Target) { t.Draining = true })
		_, err := b.Acquire(context.Background(), ask)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(view.DrainGrace + 50*time.Millisecond)
		ask.ID = "2"
		_, err = b.Acquire(context.Background(), ask)
		Expect(err).To(MatchError(ContainSubstring(permit.ReasonNoTarget)))
	})

	// Guards against instances that each send their share of the slots: together they exceed the limit.
	It("sends nothing to a target with a limit while its keeper does not answer", func() {
		listTarget(func(*view.Target) {})
		unresponsive := view.Instance{ID: "i2.1", Address: "127.0.0.1:1", Weight: 1000}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, []view.Instance{unresponsive})
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

	// Guards against all instances refusing every request of a service with "no-target" for five
	// seconds while its targets work. While the store is unavailable, the keeper of the service's pool
	// is restarted and cannot read the registry, so it refuses every request.
	It("does not accept a refusal by a keeper with an older version of the registry", func() {
		listTarget(func(*view.Target) {})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		startedLater := &Instance{board: view.NewBoard(clock.System{})}
		startedLater.broker = newPermitBroker(view.Instance{ID: "i2.2"}, clock.System{}, startedLater.board, nil, nil, func(string, ...any) {})
		server, err := peers.NewServer(listener, peers.Security{}, (*peerBackend)(startedLater))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		go server.Serve()
		keeper := view.Instance{ID: "i2.1", Address: listener.Addr().String(), Weight: 1000}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, []view.Instance{keeper})
		ask := permit.Ask{ID: "1", Service: "keyed", Rule: "r", AimLeft: time.Second, Left: time.Second}
		p, err := b.Acquire(context.Background(), ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Target).To(Equal("k1"))

		// The refusal of a keeper with the same version of the registry is accepted.
		startedLater.board.SetTargets(board.TargetsReadVersion(), nil, clock.System{}.Now())
		ask.ID = "2"
		_, err = b.Acquire(context.Background(), ask)
		Expect(err).To(MatchError(ContainSubstring(permit.ReasonNoTarget)))
	})

	// Guards against a message to the keeper for each of many requests that it can only refuse, as for a
	// key with more requests than its owner can serve.
	It("refuses contended asks without a message for a short time after the keeper has refused one", func() {
		listTarget(func(*view.Target) {})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		keeper := &fullKeeper{}
		server, err := peers.NewServer(listener, peers.Security{}, keeper)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		go server.Serve()
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, []view.Instance{{ID: "i2.1", Address: listener.Addr().String(), Weight: 1000}})
		acquire := func(contended bool) {
			ask := permit.Ask{ID: "1", Service: "keyed", Target: "k1", Rule: "r", Contended: contended, Aim: time.Second, AimLeft: time.Second, Left: 4 * time.Second}
			_, err := b.Acquire(context.Background(), ask)
			Expect(err).To(MatchError(&permit.RefusedError{Reason: permit.ReasonFull, RetryAfter: 60 * time.Millisecond}))
		}
		acquire(true)
		acquire(true)
		Expect(keeper.asks.Load()).To(BeEquivalentTo(1))
		acquire(false)
		Expect(keeper.asks.Load()).To(BeEquivalentTo(2))
		time.Sleep(70 * time.Millisecond)
		acquire(true)
		Expect(keeper.asks.Load()).To(BeEquivalentTo(3))
	})

	It("finds the same keeper for a group whatever the order of the instances", func() {
		instances := []view.Instance{{ID: "a", DataCentre: "dc1", Weight: 0.2}, {ID: "b", DataCentre: "dc0", Weight: 0.2}, {ID: "c", DataCentre: "dc0", Weight: 0.8}}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 2}, instances)
		id := permit.PoolID{Service: "plain", Group: "dc0/1"}
		first := b.keeperOf(id, "dc0")
		Expect(first.DataCentre).To(Equal("dc0"))
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 3}, []view.Instance{instances[2], instances[0], instances[1]})
		Expect(b.keeperOf(id, "dc0")).To(Equal(first))
	})
})
