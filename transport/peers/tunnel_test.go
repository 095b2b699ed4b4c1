package peers

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/wire"
)

// tunnelTo opens a tunnel to an address through a server that shares the secret.
func tunnelTo(server, address string) (net.Conn, error) {
	c := NewClient(Security{Secret: "secret"})
	DeferCleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.DialTunnel(ctx, server, TunnelOptions{Target: address})
}

var _ = Describe("a tunnel", func() {
	var server string
	BeforeEach(func() { server = startServer(Security{Secret: "secret"}) })

	roundTrip := func(conn net.Conn) string {
		GinkgoHelper()
		req, err := http.NewRequest("GET", "http://target/x", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(req.Write(conn)).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(body)
	}

	It("carries requests and responses of any size, one after the other", func() {
		body := make([]byte, 3*tunnelBufferBytes)
		for i := range body {
			body[i] = byte('a' + i%26)
		}
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
		defer target.Close()
		conn, err := tunnelTo(server, target.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		for range 3 {
			Expect(roundTrip(conn)).To(Equal(string(body)))
		}
	})

	It("reports a target that refuses the connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		l.Close()
		_, err = tunnelTo(server, address)
		var refused *TunnelRefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Status).To(Equal(TargetRefused))
	})

	// Guards against work that goes on at a target after the caller has left, because the instance in
	// between keeps its connection open.
	It("ends at the target when the client's side ends", func() {
		ended := make(chan struct{})
		target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(ended)
		}))
		defer target.Close()
		conn, err := tunnelTo(server, target.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: t\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		conn.Close()
		Eventually(ended, "500ms").Should(BeClosed())
	})

	// Guards against a response that was cut off at the target and looks complete to the client.
	It("passes on a reset by the target as an error", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(100 * time.Millisecond)
			wire.CloseWithReset(conn)
		}()
		conn, err := tunnelTo(server, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.ReadAll(conn)
		Expect(err).To(HaveOccurred())
	})

	It("delivers a response that ends with its connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "all of it")
			conn.Close()
		}()
		conn, err := tunnelTo(server, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		text, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("all of it"))
	})

	It("is not opened for a client without the secret", func() {
		c := NewClient(Security{Secret: "another"})
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := c.DialTunnel(ctx, server, TunnelOptions{Target: "127.0.0.1:1"})
		Expect(err).To(HaveOccurred())
	})

	// Guards against waiting for an instance of a version without tunnels until the request's time is up.
	It("fails at once at a server that only knows calls", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go rpc.NewServer().ServeConn(conn)
			}
		}()
		c := NewClient(Security{})
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		start := time.Now()
		_, err = c.DialTunnel(ctx, l.Addr().String(), TunnelOptions{Target: "127.0.0.1:1"})
		Expect(err).To(MatchError(ErrNoReply))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	It("is refused by a server that drains, which waits for open ones", func() {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		defer target.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s, err := NewServer(l, Security{Secret: "secret"}, fakeBackend{})
		Expect(err).NotTo(HaveOccurred())
		go s.Serve()
		defer s.Close()
		conn, err := tunnelTo(l.Addr().String(), target.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		drained := make(chan struct{})
		go func() { s.DrainTunnels(context.Background()); close(drained) }()
		Eventually(func() error { _, err := tunnelTo(l.Addr().String(), target.Listener.Addr().String()); return err }, "1s").Should(HaveOccurred())
		Expect(roundTrip(conn)).To(Equal("ok"))
		Consistently(drained, "100ms").ShouldNot(BeClosed())
		conn.Close()
		Eventually(drained, "1s").Should(BeClosed())
	})

	It("works over TLS", func() {
		cert := httptest.NewUnstartedServer(nil)
		cert.StartTLS()
		defer cert.Close()
		security := Security{TLS: &tls.Config{Certificates: cert.TLS.Certificates, RootCAs: cert.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, MinVersion: tls.VersionTLS13}}
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		defer target.Close()
		c := NewClient(security)
		defer c.Close()
		conn, err := c.DialTunnel(context.Background(), startServer(security), TunnelOptions{Target: target.Listener.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(roundTrip(conn)).To(Equal("ok"))
	})

	// Guards against orders that reach a target after their sender has given them up, because the instance
	// in between was paused.
	It("detects that the process was paused", func() {
		var paused atomic.Bool
		c := &settableClock{}
		w := &pauseWatch{longest: 100 * time.Millisecond, clock: c, ticker: time.NewTicker(time.Hour), done: make(chan struct{})}
		defer w.stop()
		Expect(w.detected()).To(BeFalse())
		c.now.Store(int64(200 * time.Millisecond))
		Expect(w.detected()).To(BeTrue())
		real := watchPauses(time.Second, func() { paused.Store(true) })
		defer real.stop()
		Consistently(paused.Load, "400ms").Should(BeFalse())
	})
})

type settableClock struct{ now atomic.Int64 }

func (c *settableClock) Now() clock.Instant { return clock.Instant(c.now.Load()) }
