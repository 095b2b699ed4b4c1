package rpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/message"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "RPC")
}

// Echo answers what it is asked.
type Echo struct{}

// Say answers its argument.
func (Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

func startServer(secret string) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := NewServer(l, secret, nil)
	Expect(s.Register("Echo", Echo{})).To(Succeed())
	go s.Serve()
	DeferCleanup(s.Close)
	return l.Addr().String()
}

func say(secret, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	pool := NewPool(secret, nil)
	defer pool.Close()
	var reply string
	err := pool.Call(ctx, address, "Echo.Say", "hello", &reply)
	return reply, err
}

var _ = Describe("a call", func() {
	It("is answered between processes that share the secret", func() {
		Expect(say("secret", startServer("secret"))).To(Equal("hello"))
	})

	// Symptom: whoever reaches the port can grant keys. Cause: listeners that obey everybody.
	It("is refused without the secret", func() {
		_, err := say("wrong", startServer("secret"))
		Expect(err).To(MatchError(ErrUnreachable))
	})

	// Symptom: an instance that is sent garbage crashes. Cause: a stray client.
	It("is still answered after a client has sent garbage", func() {
		address := startServer("secret")
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 1000))
		conn.Close()
		Expect(say("secret", address)).To(Equal("hello"))
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
		err = NewPool("secret", nil).Call(ctx, l.Addr().String(), "Echo.Say", "x", new(string))
		Expect(err).To(MatchError(ErrUnreachable))
	})
})

// FuzzHeartbeat feeds the codec of the messages between instances whatever bytes: it
// returns an error or a message, and does not panic.
func FuzzHeartbeat(f *testing.F) {
	var seed bytes.Buffer
	if err := gob.NewEncoder(&seed).Encode(message.HeartbeatRequest{From: message.Peer{ID: "e1"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(seed.Bytes())
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message.HeartbeatRequest
		_ = gob.NewDecoder(bytes.NewReader(data)).Decode(&m)
	})
}
