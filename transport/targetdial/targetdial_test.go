package targetdial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/transport/peers"
)

func TestTargetdial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Connections to targets")
}

// links are the direct and indirect paths of a dialer under test.
type links struct {
	direct func(ctx context.Context) (net.Conn, error)
	tunnel func(ctx context.Context, peer string) (net.Conn, error)
	dials  atomic.Int64
	asked  atomic.Int64
}

func (l *links) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	l.dials.Add(1)
	return l.direct(ctx)
}

// DialTunnel implements Tunnels.
func (l *links) DialTunnel(ctx context.Context, address string, _ peers.TunnelOptions) (net.Conn, error) {
	l.asked.Add(1)
	return l.tunnel(ctx, address)
}

// connect returns one end of a connection that stays open.
func connect() (net.Conn, error) {
	client, server := net.Pipe()
	DeferCleanup(server.Close)
	return client, nil
}

func hang(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func refuse(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

func works(context.Context) (net.Conn, error) { return connect() }

func tunnelStatus(s peers.TunnelStatus) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) { return nil, &peers.TunnelRefusedError{Status: s} }
}

func tunnelWorks(context.Context, string) (net.Conn, error) { return connect() }

var _ = Describe("a dialer", func() {
	var l *links
	var d *Dialer
	var partitions atomic.Int64

	BeforeEach(func() {
		l = &links{direct: works, tunnel: tunnelWorks}
		board := view.NewBoard(clock.System{})
		var instances []view.Instance
		for n := range 6 {
			instances = append(instances, view.Instance{ID: fmt.Sprint("i", n), Address: fmt.Sprint("i", n), DataCentre: fmt.Sprint("dc", n%2), Weight: 1})
		}
		board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, instances)
		d = New(Config{Self: instances[0], Clock: clock.System{}, Dial: l.dial, Tunnels: l, Board: board, Log: func(string, ...any) {}})
		partitions.Store(0)
		d.OnPartition(func() { partitions.Add(1) })
	})

	dial := func(target string) (Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return d.Dial(ctx, Target{ID: target, Address: target})
	}

	It("connects directly, and asks nobody, while that works", func() {
		c, err := dial("t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Peer).To(BeEmpty())
		Expect(l.asked.Load()).To(BeZero())
	})

	It("connects through a peer when the direct connection hangs, before it times out", func() {
		l.direct = hang
		start := time.Now()
		c, err := dial("t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Peer).NotTo(BeEmpty())
		Expect(time.Since(start)).To(BeNumerically("<", directTimeout))
	})

	It("recognises a partition from two targets, and then does not try directly", func() {
		l.direct = refuse
		for _, t := range []string{"t1", "t2"} {
			_, err := dial(t)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(d.Partitioned, "1s").Should(BeTrue())
		Expect(partitions.Load()).To(Equal(int64(1)))
		before := l.dials.Load()
		_, err := dial("t3")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.dials.Load()).To(Equal(before))
		Expect(d.Usable("t3", Conn{})).To(BeFalse())
	})

	// Guards against a process that counts as exited because an instance is partitioned from it.
	DescribeTable("does not report a refused connection unless others confirm it",
		func(status peers.TunnelStatus, confirmed bool) {
			l.direct, l.tunnel = refuse, tunnelStatus(status)
			_, err := dial("t1")
			Expect(err).To(MatchError(ErrNotConnected))
			Expect(errors.Is(err, syscall.ECONNREFUSED)).To(Equal(confirmed))
		},
		Entry("refused for others too", peers.TargetRefused, true),
		Entry("unreachable for others", peers.TargetUnreachable, false),
		Entry("others do not reach targets either", peers.TunnelUnavailable, false),
	)

	It("reports a refused connection of a single instance", func() {
		l.direct = refuse
		alone := New(Config{Clock: clock.System{}, Dial: l.dial, Tunnels: l, Board: view.NewBoard(clock.System{}), Log: func(string, ...any) {}})
		_, err := alone.Dial(context.Background(), Target{ID: "t1"})
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})

	// Guards against a target that is ejected for all callers because one instance does not reach it.
	It("marks a failure that nobody could confirm", func() {
		l.direct = hang
		l.tunnel = func(context.Context, string) (net.Conn, error) { return nil, peers.ErrNoReply }
		_, err := dial("t1")
		Expect(err).To(MatchError(ErrUnconfirmed))
		l.tunnel = tunnelStatus(peers.TargetUnreachable)
		Eventually(func() error { _, err := dial("t2"); return err }, "5s").ShouldNot(MatchError(ErrUnconfirmed))
	})

	// Guards against a target that counts as unreachable because the first peer is partitioned, too.
	It("asks a second peer after the first one could not reach the target", func() {
		l.direct = hang
		l.tunnel = func(ctx context.Context, _ string) (net.Conn, error) {
			if l.asked.Load() == 1 {
				return nil, &peers.TunnelRefusedError{Status: peers.TargetUnreachable}
			}
			return connect()
		}
		_, err := dial("t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.asked.Load()).To(Equal(int64(2)))
	})

	// Guards against waiting for a connection that cannot be made: all instances are partitioned.
	It("fails at once during a partition if no peer connects for it", func() {
		l.direct = refuse
		for _, t := range []string{"t1", "t2"} {
			_, err := dial(t)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(d.Partitioned, "1s").Should(BeTrue())
		l.tunnel = tunnelStatus(peers.TunnelUnavailable)
		start := time.Now()
		_, err := dial("t1")
		Expect(err).To(MatchError(ErrPartitioned))
		Expect(time.Since(start)).To(BeNumerically("<", stagger))
	})

	It("goes back to direct connections when they work, and gives up those through peers", func() {
		l.direct = refuse
		for _, t := range []string{"t1", "t2"} {
			_, err := dial(t)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(d.Partitioned, "1s").Should(BeTrue())
		c, err := dial("t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Usable("t1", c)).To(BeTrue())
		for _, t := range []string{"t1", "t2"} {
			d.recordReached(t)
		}
		Expect(d.Partitioned()).To(BeFalse())
		Expect(d.Usable("t1", c)).To(BeFalse())
	})

	// Guards against connections that stay open when their request is given up.
	It("closes a connection that is made after the request was given up", func() {
		closed := make(chan struct{})
		l.direct = func(ctx context.Context) (net.Conn, error) {
			time.Sleep(50 * time.Millisecond)
			client, server := net.Pipe()
			go func() {
				var b [1]byte
				_, _ = server.Read(b[:])
				close(closed)
			}()
			return client, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := d.Dial(ctx, Target{ID: "t1"})
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(closed, "1s").Should(BeClosed())
	})

	// Guards against a peer that is not asked any more because it does not know a new target yet.
	It("asks a peer again after it did not know one target", func() {
		l.direct, l.tunnel = refuse, tunnelStatus(peers.TargetUnknown)
		_, err := dial("t1")
		Expect(err).To(MatchError(ErrUnconfirmed))
		l.tunnel = tunnelWorks
		_, err = dial("t2")
		Expect(err).NotTo(HaveOccurred())
	})

	It("connects for a peer only to listed targets", func() {
		_, status := d.DialForPeer(context.Background(), "unknown")
		Expect(status).To(Equal(peers.TargetUnknown))
	})
})
