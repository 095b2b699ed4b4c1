package orders

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/targetdial"
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Orders")
}

var testDialer = targetdial.New(targetdial.Config{Clock: clock.System{}, Board: view.NewBoard(clock.System{}), Log: func(string, ...any) {}})

// testEncoder encodes orders as their bare numbers.
type testEncoder struct{}

func (testEncoder) Grant(from, to uint16, fence uint64, _ time.Duration, _ string) (string, []byte, error) {
	return "/grant", fmt.Append(nil, from, to, fence), nil
}

func (testEncoder) Release(from, to uint16, fence uint64) (string, []byte, error) {
	return "/release", fmt.Append(nil, from, to, fence), nil
}

func (testEncoder) Handover(h http.Header) string { return h.Get("Handover") }

// countingTarget starts a target that answers orders, and counts the connections made to it.
func countingTarget(respond http.HandlerFunc) (address string, connections *atomic.Int64) {
	GinkgoHelper()
	connections = &atomic.Int64{}
	s := httptest.NewUnstartedServer(respond)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	DeferCleanup(s.Close)
	return s.Listener.Addr().String(), connections
}

var _ = Describe("orders to a target", func() {
	always := func() bool { return true }
	names := wire.Names{Target: "Target"}
	renewal := func(address string, n int) assign.Order {
		return assign.Order{Kind: assign.Renew, Target: "t1", Address: address, From: uint16(n), To: uint16(n), Fence: 1, Hold: time.Second, ConnectionOpenSince: clock.Never}
	}

	// Guards against a connection for each renewal. A target may own 20 ranges, each renewed every
	// second; targets reset connections beyond their maximum, and renewals were among those.
	It("share a few connections", func() {
		address, connections := countingTarget(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		c := NewClient(testDialer, testEncoder{}, names, clock.System{}, always)
		for range 5 {
			var round sync.WaitGroup
			for n := range 20 {
				round.Go(func() {
					defer GinkgoRecover()
					outcome, _, _ := c.Do(context.Background(), renewal(address, n))
					Expect(outcome).To(Equal(assign.OutcomeDone))
				})
			}
			round.Wait()
		}
		Expect(connections.Load()).To(BeNumerically("<=", maxConcurrentGrants))
	})

	// Guards against two targets that own the same keys. A process may be paused between deciding
	// on an order and sending it, while another instance becomes the leader.
	It("are not sent by an instance that is no longer the leader", func() {
		requests := atomic.Int64{}
		address, _ := countingTarget(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
		c := NewClient(testDialer, testEncoder{}, names, clock.System{}, func() bool { return false })
		outcome, _, _ := c.Do(context.Background(), renewal(address, 1))
		Expect(outcome).To(Equal(assign.OutcomeNotSent))
		Expect(requests.Load()).To(BeZero())
	})

	// Guards against a target that gets keys under a fence that its previous process had. A target
	// crashes and restarts at the same address under the same name; without this check the next
	// renewal would go over a new connection, and the name does not tell the two processes apart.
	It("do not renew over a connection that was opened after the grant", func() {
		var s *httptest.Server
		requests := atomic.Int64{}
		respond := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
		s = httptest.NewServer(respond)
		DeferCleanup(func() { s.Close() })
		address := s.Listener.Addr().String()
		c := NewClient(testDialer, testEncoder{}, names, clock.System{}, always)
		do := func(since clock.Instant) assign.Outcome {
			o := renewal(address, 1)
			o.ConnectionOpenSince = since
			outcome, _, _ := c.Do(context.Background(), o)
			return outcome
		}
		_, _, lastGrant := c.Do(context.Background(), renewal(address, 1))
		Expect(do(lastGrant)).To(Equal(assign.OutcomeDone))
		s.CloseClientConnections()
		Expect(do(lastGrant)).To(Equal(assign.OutcomeUnverified))
		Expect(requests.Load()).To(Equal(int64(2)))
		Expect(do(clock.Never)).To(Equal(assign.OutcomeDone))
		Expect(do(lastGrant)).To(Equal(assign.OutcomeUnverified))
		Expect(do(clock.System{}.Now())).To(Equal(assign.OutcomeDone))
	})

	// Guards against keys that are not served while the store is unavailable. When all holds are
	// extended at the same time, a target may have several ranges and only one connection that is
	// old enough: the first renewal takes it, and the others have to wait for it.
	It("wait for a connection that is old enough but busy", func() {
		address, connections := countingTarget(func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) })
		c := NewClient(testDialer, testEncoder{}, names, clock.System{}, always)
		c.Do(context.Background(), renewal(address, 0))
		lastGrant := clock.System{}.Now()
		var round sync.WaitGroup
		for n := range 12 {
			round.Go(func() {
				defer GinkgoRecover()
				o := renewal(address, n)
				o.ConnectionOpenSince = lastGrant
				outcome, _, _ := c.Do(context.Background(), o)
				Expect(outcome).To(Equal(assign.OutcomeDone))
			})
		}
		round.Wait()
		Expect(connections.Load()).To(Equal(int64(1)))
	})

	It("carry the name that the target itself uses", func() {
		name := ""
		address, _ := countingTarget(func(_ http.ResponseWriter, r *http.Request) { name = r.Header.Get("Target") })
		o := renewal(address, 1)
		o.Target = view.TargetID("t@1", 4711)
		NewClient(testDialer, testEncoder{}, names, clock.System{}, always).Do(context.Background(), o)
		Expect(name).To(Equal("t@1"))
	})

	It("return the outcome that the target reported", func() {
		status := http.StatusOK
		address, _ := countingTarget(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Handover", "h")
			w.WriteHeader(status)
		})
		c := NewClient(testDialer, testEncoder{}, names, clock.System{}, always)
		for code, want := range map[int]assign.Outcome{
			http.StatusOK: assign.OutcomeDone, http.StatusConflict: assign.OutcomeHigherFence,
			http.StatusMisdirectedRequest: assign.OutcomeOtherTarget, http.StatusInternalServerError: assign.OutcomeUnknown,
		} {
			status = code
			outcome, _, _ := c.Do(context.Background(), renewal(address, 1))
			Expect(outcome).To(Equal(want))
		}
	})
})
