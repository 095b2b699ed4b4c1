package orders

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/peers"
	"lycheehall.example/lycheehall/transport/targetdial"
)

// paths are the ways to a target: direct ones, which may be cut, and tunnels.
type paths struct {
	address string
	cut     atomic.Bool
	tunnels atomic.Int64
}

func (p *paths) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.cut.Load() {
		return nil, syscall.ECONNREFUSED
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// DialTunnel implements targetdial.Tunnels.
func (p *paths) DialTunnel(ctx context.Context, _ string, _ peers.TunnelOptions) (net.Conn, error) {
	p.tunnels.Add(1)
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", p.address)
}

// Guards against keys that nobody serves because the leader is partitioned from their owner, and
// against new grants of all keys when the partition ends.
var _ = It("reach a target through another instance, and go back to the direct path without a new grant", func() {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	DeferCleanup(s.Close)
	p := &paths{address: s.Listener.Addr().String()}
	board := view.NewBoard(clock.System{})
	instances := []view.Instance{{ID: "i1", Address: "i1", Weight: 1}, {ID: "i2", Address: "i2", Weight: 1}}
	board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, instances)
	dialer := targetdial.New(targetdial.Config{Self: instances[0], Clock: clock.System{}, Dial: p.dial, Tunnels: p, Board: board, Log: func(string, ...any) {}})
	c := NewClient(dialer, testEncoder{}, wire.Names{Target: "Target"}, clock.System{}, func() bool { return true })
	order := func(since clock.Instant) (assign.Outcome, clock.Instant) {
		outcome, _, sentAt := c.Do(context.Background(), assign.Order{
			Kind: assign.Renew, Target: "t1", Address: p.address, Fence: 1, Hold: time.Second, ConnectionOpenSince: since,
		})
		return outcome, sentAt
	}
	p.cut.Store(true)
	outcome, granted := order(clock.Never)
	Expect(outcome).To(Equal(assign.OutcomeDone))
	Expect(p.tunnels.Load()).To(Equal(int64(1)))
	p.cut.Store(false)
	// The tracker tests the direct path on the next connection.
	Eventually(func() bool {
		_, _ = order(clock.Never)
		conn, err := dialer.Dial(context.Background(), targetdial.Target{ID: "t1", Address: p.address})
		Expect(err).NotTo(HaveOccurred())
		conn.Close()
		return dialer.ThroughPeer("t1")
	}, "3s", "50ms").Should(BeFalse())
	isDirect := func() bool {
		outcome, granted = order(granted)
		Expect(outcome).To(Equal(assign.OutcomeDone))
		c.mu.Lock()
		defer c.mu.Unlock()
		idle := c.target("t1").idle
		return len(idle) > 0 && idle[len(idle)-1].Peer == ""
	}
	Eventually(isDirect, "2s", "20ms").Should(BeTrue())
	Expect(isDirect()).To(BeTrue())
})
