package peers

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peers")
}

// fakeBackend is a backend without an instance. Acquire blocks until the server is closed.
type fakeBackend struct{}

func (fakeBackend) Sync(_ context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	return &peerapi.SyncReply{Leading: true, RulesVersion: args.RulesVersion}
}

func (fakeBackend) Acquire(ctx context.Context, _ *peerapi.AcquireArgs) *peerapi.AcquireReply {
	<-ctx.Done()
	return &peerapi.AcquireReply{}
}

func (fakeBackend) Release(*peerapi.ReleaseArgs) {}

func (fakeBackend) Describe(*peerapi.DescribeArgs) *peerapi.Description {
	return &peerapi.Description{}
}

// DialTarget connects to the address that is given as the target's ID.
func (fakeBackend) DialTarget(ctx context.Context, target string) (net.Conn, TunnelStatus) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return nil, TargetRefused
	}
	return conn, TunnelConnected
}

func startServer(security Security) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s, err := NewServer(l, security, fakeBackend{})
	Expect(err).NotTo(HaveOccurred())
	go s.Serve()
	DeferCleanup(s.Close)
	return l.Addr().String()
}

func ping(security Security, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := NewClient(security)
	defer c.Close()
	return c.Ping(ctx, address)
}

var _ = Describe("a call", func() {
	It("succeeds between instances that share the secret", func() {
		Expect(ping(Security{Secret: "secret"}, startServer(Security{Secret: "secret"}))).To(Succeed())
	})

	It("transfers a report and its reply", func() {
		c := NewClient(Security{})
		defer c.Close()
		reply, err := c.Sync(context.Background(), startServer(Security{}), &peerapi.SyncArgs{RulesVersion: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.RulesVersion).To(Equal(uint64(7)))
	})

	// Guards against a server that accepts calls from any process that can reach its port.
	It("is refused without the secret", func() {
		Expect(ping(Security{Secret: "wrong"}, startServer(Security{Secret: "secret"}))).To(MatchError(ErrNoReply))
	})

	// Guards against a crash when an unrelated client sends data that is not a handshake.
	It("succeeds after a client has sent garbage", func() {
		address := startServer(Security{Secret: "secret"})
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 1000))
		conn.Close()
		Expect(ping(Security{Secret: "secret"}, address)).To(Succeed())
	})

	// Guards against calls that wait for ever because the peer has accepted the connection but
	// never replies. TCP does not report that the path to an idle peer is interrupted.
	It("ends with its context if the peer does not reply", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		c := NewClient(Security{})
		defer c.Close()
		Expect(c.Ping(ctx, l.Addr().String())).To(MatchError(ErrNoReply))
	})

	// Guards against a response that reaches its caller 0.3 s late, after the deadline. The keeper
	// of a pool has lost power, and one request waits for a connection to it. Another request, to
	// which a target has responded, returns its permit and must not wait for the same connection.
	It("does not wait for a connection that is being established when it returns a permit", func() {
		c := NewClient(Security{})
		dialStarted, endDial := make(chan struct{}), make(chan struct{})
		c.dial = func(string) (net.Conn, error) {
			close(dialStarted)
			<-endDial
			return nil, errors.New("unreachable")
		}
		defer close(endDial)
		go func() { _ = c.Ping(context.Background(), "gone") }()
		<-dialStarted
		start := time.Now()
		c.Release("gone", &peerapi.ReleaseArgs{})
		Expect(time.Since(start)).To(BeNumerically("<", 50*time.Millisecond))
	})

	// Guards against a call that exceeds its deadline while its connection is being established. A
	// follower would be without a leader for seconds after the leader has lost power.
	It("ends with its context while a connection is being established", func() {
		c := NewClient(Security{})
		endDial := make(chan struct{})
		c.dial = func(string) (net.Conn, error) {
			<-endDial
			return nil, errors.New("unreachable")
		}
		defer close(endDial)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		start := time.Now()
		Expect(c.Ping(ctx, "gone")).To(MatchError(ErrNoReply))
		Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})

	// Guards against calls to an unresponsive instance that block even though they wait for no
	// reply. The instance does not read, the connection's buffers are full, and sending blocks.
	It("does not wait for a peer that does not read when it returns a permit", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c := NewClient(Security{})
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go func() { _ = c.Ping(ctx, l.Addr().String()) }()
		Eventually(func() bool { return c.peer(l.Addr().String()).current() != nil }, "1s", "1ms").Should(BeTrue())
		large := &peerapi.ReleaseArgs{Report: permit.Report{ID: strings.Repeat("x", 64<<20)}}
		start := time.Now()
		c.Release(l.Addr().String(), large)
		Expect(time.Since(start)).To(BeNumerically("<", 50*time.Millisecond))
	})

	// Guards against an unresponsive peer to which every later call blocks as well. Calls share a
	// connection, and nothing on the connection shows that the peer is unresponsive.
	It("drops the connection when it exceeds its deadline", func() {
		address := startServer(Security{})
		c := NewClient(Security{})
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := c.Acquire(ctx, address, &peerapi.AcquireArgs{})
		Expect(err).To(MatchError(ErrNoReply))
		Expect(c.peer(address).current()).To(BeNil())
	})
})

// FuzzSync checks that decoding any bytes as a message returns a message or an error, and does not
// panic.
func FuzzSync(f *testing.F) {
	var seed bytes.Buffer
	if err := gob.NewEncoder(&seed).Encode(peerapi.SyncArgs{RulesVersion: 3}); err != nil {
		f.Fatal(err)
	}
	f.Add(seed.Bytes())
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerapi.SyncArgs
		_ = gob.NewDecoder(bytes.NewReader(data)).Decode(&m)
	})
}
