package peers

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/protocol/wire"
)

// peerEnd is what a client sees of another instance: a listener that forwards to it until the process is
// killed, when the kernel closes its connections in the ordinary way.
type peerEnd struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	// closes, if set, decides by the first bytes whether a connection is closed at once.
	closes func(first []byte) bool
}

func startPeerEnd(server string, closes func(first []byte) bool) *peerEnd {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peerEnd{listener: l, closes: closes}
	DeferCleanup(p.kill)
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, client)
			p.mu.Unlock()
			go p.forward(client, server)
		}
	}()
	return p
}

func (p *peerEnd) forward(client net.Conn, server string) {
	defer client.Close()
	backend, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer backend.Close()
	go func() {
		_, _ = io.Copy(client, backend)
		client.Close()
	}()
	if p.closes != nil {
		first := make([]byte, len(tunnelMagic)+1)
		if _, err := io.ReadFull(client, first); err != nil || p.closes(first) {
			return
		}
		if _, err := backend.Write(first); err != nil {
			return
		}
	}
	_, _ = io.Copy(backend, client)
}

func (p *peerEnd) kill() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

// openTarget starts a target that sends a part of a response without a length on each connection, and
// goes on when the returned function is called.
func openTarget() (address string, finish func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	rest := make(chan struct{})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.WriteString(conn, "part")
				<-rest
				_, _ = io.WriteString(conn, " and rest")
			}()
		}
	}()
	finish = sync.OnceFunc(func() { close(rest) })
	DeferCleanup(finish)
	return l.Addr().String(), finish
}

func dialThrough(server, target string) net.Conn {
	GinkgoHelper()
	c := NewClient(Security{})
	DeferCleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := c.DialTunnel(ctx, server, TunnelOptions{Target: target})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

// dialUnframed opens a tunnel as an instance of a version without frames does.
func dialUnframed(server, target string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", server)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(binary.Write(conn, binary.BigEndian, tunnelHeader{tunnelMagic, unframedVersion, 0, uint16(len(target))})).To(Succeed())
	_, err = io.WriteString(conn, target)
	Expect(err).NotTo(HaveOccurred())
	status := make([]byte, 1)
	_, err = io.ReadFull(conn, status)
	Expect(err).NotTo(HaveOccurred())
	Expect(TunnelStatus(status[0])).To(Equal(TunnelConnected))
	return conn
}

func readPart(conn net.Conn) {
	GinkgoHelper()
	part := make([]byte, len("part"))
	_, err := io.ReadFull(conn, part)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(part)).To(Equal("part"))
}

var _ = Describe("the end of a tunnel", func() {
	var server string
	BeforeEach(func() { server = startServer(Security{}) })

	onlyUnframed := func(first []byte) bool { return first[len(tunnelMagic)] != unframedVersion }

	// Guards against a part of a response that is passed on as a whole one, because the process that
	// forwarded it was killed.
	It("is not taken for that of the target when the instance in between is killed", func() {
		target, _ := openTarget()
		peer := startPeerEnd(server, nil)
		conn := dialThrough(peer.listener.Addr().String(), target)
		readPart(conn)
		peer.kill()
		_, err := io.ReadAll(conn)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against the same over TLS, where the end of the TCP connection counts as an ordinary one.
	It("is not taken for that of the target over TLS", func() {
		cert := httptest.NewUnstartedServer(nil)
		cert.StartTLS()
		defer cert.Close()
		security := Security{TLS: &tls.Config{Certificates: cert.TLS.Certificates, RootCAs: cert.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, MinVersion: tls.VersionTLS13}}
		target, _ := openTarget()
		peer := startPeerEnd(startServer(security), nil)
		c := NewClient(security)
		defer c.Close()
		conn, err := c.DialTunnel(context.Background(), peer.listener.Addr().String(), TunnelOptions{Target: target})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		readPart(conn)
		peer.kill()
		_, err = io.ReadAll(conn)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("is that of the target when the target closes its connection", func() {
		target, finish := openTarget()
		conn := dialThrough(server, target)
		readPart(conn)
		finish()
		rest, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal(" and rest"))
		Expect(wire.Reusable(conn)).To(BeFalse())
	})

	It("is noticed on an idle connection", func() {
		target, finish := openTarget()
		conn := dialThrough(server, target)
		readPart(conn)
		Expect(wire.Reusable(conn)).To(BeTrue())
		finish()
		Eventually(func() bool { return wire.Reusable(conn) }, "1s").Should(BeFalse())
	})

	// Guards against a part of a response that looks whole to an instance of a version without frames,
	// because this one stops.
	It("is a reset for clients without frames when the server stops", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s, err := NewServer(l, Security{}, fakeBackend{})
		Expect(err).NotTo(HaveOccurred())
		go s.Serve()
		target, _ := openTarget()
		conn := dialUnframed(l.Addr().String(), target)
		readPart(conn)
		s.Close()
		_, err = io.ReadAll(conn)
		Expect(err).To(HaveOccurred())
	})

	It("is that of the target for clients without frames", func() {
		target, finish := openTarget()
		conn := dialUnframed(server, target)
		readPart(conn)
		finish()
		rest, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal(" and rest"))
	})

	// Guards against a part of a response that looks whole because the instance in between is of a version
	// without frames, and against no connection at all through such instances.
	It("is never taken for that of the target at servers without frames", func() {
		target, finish := openTarget()
		conn := dialThrough(startPeerEnd(server, onlyUnframed).listener.Addr().String(), target)
		readPart(conn)
		finish()
		rest, err := io.ReadAll(conn)
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue())
		Expect(string(rest)).To(Equal(" and rest"))
	})
})
