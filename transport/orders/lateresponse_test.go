package orders

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/protocol/wire"
)

// scriptedTarget starts a target that calls respond with each order and its number on the connection.
func scriptedTarget(respond func(conn net.Conn, r *http.Request, n int)) (address string) {
	GinkgoHelper()
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
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					respond(conn, r, n)
				}
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("responses to orders", func() {
	newClient := func() *Client {
		return NewClient(testDialer, testEncoder{}, wire.Names{Target: "Target"}, clock.System{}, func() bool { return true })
	}
	order := func(kind assign.Kind, address string) assign.Order {
		return assign.Order{Kind: kind, Target: "t1", Address: address, From: 1, To: 2, Fence: 1, Hold: time.Second, ConnectionOpenSince: clock.Never}
	}
	const granted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	released := func(n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nHandover: h%d\r\nContent-Length: 0\r\n\r\n", n)
	}

	// Guards against two targets that hold the same key: a target sends the response to an earlier order
	// once more while it works on requests of the keys that it is to release.
	DescribeTable("to earlier orders are not taken for the one to a release",
		func(first assign.Kind, response string) {
			address := scriptedTarget(func(conn net.Conn, _ *http.Request, n int) {
				fmt.Fprint(conn, response)
				if n > 1 {
					time.Sleep(300 * time.Millisecond)
					fmt.Fprint(conn, released(2))
				}
			})
			c := newClient()
			outcome, _, _ := c.Do(context.Background(), order(first, address))
			Expect(outcome).To(Equal(assign.OutcomeDone))
			outcome, _, _ = c.Do(context.Background(), order(assign.Release, address))
			Expect(outcome).To(Equal(assign.OutcomeUnknown))
		},
		Entry("a grant", assign.Grant, granted),
		Entry("a renewal", assign.Renew, granted),
		Entry("a release", assign.Release, released(1)),
	)

	It("to releases on the same connection are told apart", func() {
		var count atomic.Int64
		address := scriptedTarget(func(conn net.Conn, _ *http.Request, _ int) { fmt.Fprint(conn, released(int(count.Add(1)))) })
		c := newClient()
		for n := range 3 {
			outcome, handover, _ := c.Do(context.Background(), order(assign.Release, address))
			Expect(outcome).To(Equal(assign.OutcomeDone))
			Expect(handover).To(Equal(fmt.Sprint("h", n+1)))
		}
	})

	// Guards against a leader that runs out of memory because of a target whose bytes do not end.
	DescribeTable("without end are given up",
		func(prefix string) {
			var closed atomic.Bool
			var sent atomic.Int64
			address := scriptedTarget(func(conn net.Conn, _ *http.Request, _ int) {
				fmt.Fprint(conn, prefix)
				chunk := []byte(strings.Repeat("x", 32<<10))
				for {
					n, err := conn.Write(chunk)
					sent.Add(int64(n))
					if err != nil {
						closed.Store(true)
						return
					}
				}
			})
			outcome, _, _ := newClient().Do(context.Background(), order(assign.Grant, address))
			Expect(outcome).To(Equal(assign.OutcomeUnknown))
			Eventually(closed.Load, "1s").Should(BeTrue())
			Expect(sent.Load()).To(BeNumerically("<", 16<<20))
		},
		Entry("in a status line", ""),
		Entry("in a header", "HTTP/1.1 200 OK\r\nX: "),
		Entry("in a body", "HTTP/1.1 200 OK\r\n\r\n"),
	)
})
