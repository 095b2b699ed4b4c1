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

// echo answers calls without an instance behind it.
type echo struct{}

func (echo) Sync(_ context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	return &peerapi.SyncReply{Leading: true, RulesVersion: args.RulesVersion}
}

func (echo) Acquire(ctx context.Context, _ *peerapi.AcquireArgs) *peerapi.AcquireReply {
	<-ctx.Done()
	return &peerapi.AcquireReply{}
}

func (echo) Release(*peerapi.ReleaseArgs) {}

func (echo) Describe(*peerapi.DescribeArgs) *peerapi.Description { return &peerapi.Description{} }

func startServer(security Security) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s, err := NewServer(l, security, echo{})
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
	It("is answered between instances that share the secret", func() {
		Expect(ping(Security{Secret: "secret"}, startServer(Security{Secret: "secret"}))).To(Succeed())
	})

	It("carries a report and its answer", func() {
		c := NewClient(Security{})
		defer c.Close()
		reply, err := c.Sync(context.Background(), startServer(Security{}), &peerapi.SyncArgs{RulesVersion: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.RulesVersion).To(Equal(uint64(7)))
	})

	// Symptom: whoever reaches the port can hand out permits. Cause: listeners that obey
	// everybody.
	It("is refused without the secret", func() {
		Expect(ping(Security{Secret: "wrong"}, startServer(Security{Secret: "secret"}))).To(MatchError(ErrNoAnswer))
	})

	// Symptom: an instance that is sent garbage crashes. Cause: a stray client.
	It("is still answered after a client has sent garbage", func() {
		address := startServer(Security{Secret: "secret"})
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 1000))
		conn.Close()
		Expect(ping(Security{Secret: "secret"}, address)).To(Succeed())
	})

	// Symptom: calls wait for ever on a connection that was cut silently.
	// Sequence: the other end takes the connection and never answers.
	// Cause: TCP tells nobody about a cut.
	It("ends with its context when the other end is silent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		c := NewClient(Security{})
		defer c.Close()
		Expect(c.Ping(ctx, l.Addr().String())).To(MatchError(ErrNoAnswer))
	})

	// Symptom: answers of targets reach their callers 0.3 s late, after their rule's time.
	// Sequence: the keeper of a permit has lost power; a request that asks it waits for a connection;
	// another one, which a target has answered, gives its permit back.
	// Cause: giving it back waited for the same connection.
	It("that gives a permit back does not wait for a connection that is being made", func() {
		c := NewClient(Security{})
		making, made := make(chan struct{}), make(chan struct{})
		c.dial = func(string) (net.Conn, error) {
			close(making)
			<-made
			return nil, errors.New("no answer")
		}
		defer close(made)
		go func() { _ = c.Ping(context.Background(), "gone") }()
		<-making
		begun := time.Now()
		c.Release("gone", &peerapi.ReleaseArgs{})
		Expect(time.Since(begun)).To(BeNumerically("<", 50*time.Millisecond))
	})

	// Symptom: an instance follows nobody for seconds after its leading instance has lost power.
	// Cause: a call did not end with its time limit while its connection was being made.
	It("ends with its context while a connection is being made", func() {
		c := NewClient(Security{})
		made := make(chan struct{})
		c.dial = func(string) (net.Conn, error) {
			<-made
			return nil, errors.New("no answer")
		}
		defer close(made)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		begun := time.Now()
		Expect(c.Ping(ctx, "gone")).To(MatchError(ErrNoAnswer))
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
	})

	// Symptom: all that an instance sends to a frozen one hangs, also what waits for no answer.
	// Sequence: the frozen one reads nothing; the connection takes no more bytes.
	// Cause: sending waits for the connection to take them.
	It("that gives a permit back does not wait for a peer that reads nothing", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c := NewClient(Security{})
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go func() { _ = c.Ping(ctx, l.Addr().String()) }()
		Eventually(func() bool { return c.peer(l.Addr().String()).open() != nil }, "1s", "1ms").Should(BeTrue())
		large := &peerapi.ReleaseArgs{Report: permit.Report{ID: strings.Repeat("x", 64<<20)}}
		begun := time.Now()
		c.Release(l.Addr().String(), large)
		Expect(time.Since(begun)).To(BeNumerically("<", 50*time.Millisecond))
	})

	// Symptom: one frozen peer makes every later call to it hang as well.
	// Sequence: a call runs into its time limit; the next one is made.
	// Cause: calls share a connection, and nothing on it tells that the peer is frozen.
	It("drops a connection on which a call ran into its time limit", func() {
		address := startServer(Security{})
		c := NewClient(Security{})
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := c.Acquire(ctx, address, &peerapi.AcquireArgs{})
		Expect(err).To(MatchError(ErrNoAnswer))
		Expect(c.peer(address).open()).To(BeNil())
	})
})

// FuzzSync feeds the codec of the messages between instances whatever bytes: it returns an
// error or a message, and does not panic.
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
