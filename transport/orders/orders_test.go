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
)

func TestOrders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Orders")
}

// plain writes orders as their numbers.
type plain struct{}

func (plain) Grant(from, to uint16, fence uint64, _ time.Duration, _ string) (string, []byte, error) {
	return "/grant", fmt.Append(nil, from, to, fence), nil
}

func (plain) Release(from, to uint16, fence uint64) (string, []byte, error) {
	return "/release", fmt.Append(nil, from, to, fence), nil
}

func (plain) Handover(h http.Header) string { return h.Get("Handover") }

// countingTarget answers orders and counts the connections made to it.
func countingTarget(answer http.HandlerFunc) (address string, connections *atomic.Int64) {
	GinkgoHelper()
	connections = &atomic.Int64{}
	s := httptest.NewUnstartedServer(answer)
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
		return assign.Order{Kind: assign.Renew, Target: "t1", Address: address, From: uint16(n), To: uint16(n), Fence: 1, Hold: time.Second, ConnectedSince: clock.Never}
	}

	// Symptom: targets reset connections beyond their number, renewals among them.
	// Sequence: a target owns 20 ranges, each of which is renewed every second.
	// Cause: each renewal had a connection of its own, of which two were kept.
	It("share few connections", func() {
		address, connections := countingTarget(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		c := NewClient(plain{}, names, clock.System{}, always)
		for range 5 {
			var round sync.WaitGroup
			for n := range 20 {
				round.Go(func() {
					defer GinkgoRecover()
					outcome, _, _ := c.Do(context.Background(), renewal(address, n))
					Expect(outcome).To(Equal(assign.Done))
				})
			}
			round.Wait()
		}
		Expect(connections.Load()).To(BeNumerically("<=", grantsAtOnce))
	})

	// Symptom: two targets hold the same keys. Sequence: a process is stopped between the
	// decision and the sending; another one leads meanwhile. Cause: it was not asked again.
	It("are not sent by an instance that does not lead any more", func() {
		requests := atomic.Int64{}
		address, _ := countingTarget(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
		c := NewClient(plain{}, names, clock.System{}, func() bool { return false })
		outcome, _, _ := c.Do(context.Background(), renewal(address, 1))
		Expect(outcome).To(Equal(assign.NotSent))
		Expect(requests.Load()).To(BeZero())
	})

	// Symptom: a target takes keys under a fence under which its former process had them.
	// Sequence: it crashes and starts again at its address under its name; the next renewal
	// goes over a new connection. Cause: the name of the target does not tell its lives apart.
	It("renew nothing over a connection that is younger than what they renew", func() {
		var s *httptest.Server
		requests := atomic.Int64{}
		answer := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
		s = httptest.NewServer(answer)
		DeferCleanup(func() { s.Close() })
		address := s.Listener.Addr().String()
		c := NewClient(plain{}, names, clock.System{}, always)
		do := func(since clock.Instant) assign.Outcome {
			o := renewal(address, 1)
			o.ConnectedSince = since
			outcome, _, _ := c.Do(context.Background(), o)
			return outcome
		}
		_, _, held := c.Do(context.Background(), renewal(address, 1))
		Expect(do(held)).To(Equal(assign.Done))
		s.CloseClientConnections()
		Expect(do(held)).To(Equal(assign.Unverified))
		Expect(requests.Load()).To(Equal(int64(2)))
		Expect(do(clock.Never)).To(Equal(assign.Done))
		Expect(do(held)).To(Equal(assign.Unverified))
		Expect(do(clock.System{}.Now())).To(Equal(assign.Done))
	})

	// Symptom: keys are unserved while the store is away. Sequence: all holds are extended at the
	// same moment; a target has several ranges and one connection that is old enough. Cause: the
	// first renewal took it, and the others were not sent.
	It("wait for a connection that is old enough and in use", func() {
		address, connections := countingTarget(func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) })
		c := NewClient(plain{}, names, clock.System{}, always)
		c.Do(context.Background(), renewal(address, 0))
		held := clock.System{}.Now()
		var round sync.WaitGroup
		for n := range 12 {
			round.Go(func() {
				defer GinkgoRecover()
				o := renewal(address, n)
				o.ConnectedSince = held
				outcome, _, _ := c.Do(context.Background(), o)
				Expect(outcome).To(Equal(assign.Done))
			})
		}
		round.Wait()
		Expect(connections.Load()).To(Equal(int64(1)))
	})

	It("name the target by what it goes by itself", func() {
		name := ""
		address, _ := countingTarget(func(_ http.ResponseWriter, r *http.Request) { name = r.Header.Get("Target") })
		o := renewal(address, 1)
		o.Target = view.TargetID("t@1", 4711)
		NewClient(plain{}, names, clock.System{}, always).Do(context.Background(), o)
		Expect(name).To(Equal("t@1"))
	})

	It("tell what the target said", func() {
		status := http.StatusOK
		address, _ := countingTarget(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Handover", "h")
			w.WriteHeader(status)
		})
		c := NewClient(plain{}, names, clock.System{}, always)
		for code, want := range map[int]assign.Outcome{
			http.StatusOK: assign.Done, http.StatusConflict: assign.HigherFence,
			http.StatusMisdirectedRequest: assign.OtherTarget, http.StatusInternalServerError: assign.Unknown,
		} {
			status = code
			outcome, _, _ := c.Do(context.Background(), renewal(address, 1))
			Expect(outcome).To(Equal(want))
		}
	})
})
