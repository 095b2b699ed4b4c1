package peers

import (
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/protocol/wire"
)

// startEarlyTarget starts a target that sends a response when the first bytes of a request have arrived,
// lets the rest of the request fill the sockets, and then ends the connection.
func startEarlyTarget(response string, end func(*net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, response)
				time.Sleep(20 * time.Millisecond)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a long request through a tunnel while it reads the response.
func upload(server, target string, pause time.Duration) (response []byte, err error) {
	conn := dialThrough(server, target)
	Expect(conn.(*tunnelConn).raw.(*net.TCPConn).SetReadBuffer(64 << 10)).To(Succeed())
	go func() { _, _ = io.WriteString(conn, strings.Repeat("x", 16<<20)) }()
	time.Sleep(pause)
	return io.ReadAll(conn)
}

var _ = Describe("a response through a tunnel while the request is being written", func() {
	var server string
	BeforeEach(func() { server = startServer(Security{}) })

	// Guards against a part of a response that is passed on as a whole one: the instance in between learns
	// of the reset when it forwards the request, and then reads an ordinary end.
	It("is not complete when the target resets the connection", func() {
		target := startEarlyTarget("part", func(conn *net.TCPConn) { wire.CloseWithReset(conn) })
		for range 20 {
			_, err := upload(server, target, 0)
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against a whole response that is dropped with the rest of the request. The client reads late
	// and little, so that most of the response is still at the instance in between.
	DescribeTable("is complete when the target ends it", func(end func(*net.TCPConn)) {
		response := strings.Repeat("y", 256<<10)
		target := startEarlyTarget(response, end)
		for range 5 {
			received, err := upload(server, target, 100*time.Millisecond)
			Expect(err).NotTo(HaveOccurred())
			Expect(received).To(HaveLen(len(response)))
		}
	},
		Entry("and reads no further", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(300 * time.Millisecond)
		}),
		Entry("and reads the rest of the request", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}),
	)
})
