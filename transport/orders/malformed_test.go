package orders

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/protocol/wire"
)

// sendOrder sends an order to a target that it has no connection to.
func sendOrder(kind assign.Kind, address string) (outcome assign.Outcome, handover string) {
	c := NewClient(testDialer, testEncoder{}, wire.Names{Target: "Target"}, clock.System{}, func() bool { return true })
	outcome, handover, _ = c.Do(context.Background(), assign.Order{
		Kind: kind, Target: "t1", Address: address, Fence: 1, Hold: time.Second, ConnectionOpenSince: clock.Never,
	})
	return outcome, handover
}

// Guards against keys that are granted because of bytes that are no response to the order before.
var _ = DescribeTable("a malformed response to an order says nothing about it",
	func(response string) {
		address := scriptedTarget(func(conn net.Conn, _ *http.Request, _ int) {
			fmt.Fprint(conn, response)
			conn.Close()
		})
		for _, kind := range []assign.Kind{assign.Grant, assign.Release} {
			outcome, handover := sendOrder(kind, address)
			Expect(outcome).To(Equal(assign.OutcomeUnknown))
			Expect(handover).To(BeEmpty())
		}
	},
	Entry("space in a name", "HTTP/1.1 200 OK\r\nHandover: h\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("space in front of a colon", "HTTP/1.1 200 OK\r\nHandover: h\r\nContent-Length : 0\r\n\r\n"),
	Entry("control character in a name", "HTTP/1.1 200 OK\r\nHandover: h\r\nX\x01: 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("space in the name of a trailer", "HTTP/1.1 200 OK\r\nHandover: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n\r\n"),
	Entry("status 000", "HTTP/1.1 000 OK\r\nHandover: h\r\nContent-Length: 0\r\n\r\n"),
	Entry("folded line", "HTTP/1.1 200 OK\r\nHandover: h\r\n Content-Length: 0\r\n\r\n"),
	Entry("chunks and a length", "HTTP/1.1 200 OK\r\nHandover: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n"),
	Entry("another target, space in a name", "HTTP/1.1 421 X\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("higher fence, space in a name", "HTTP/1.1 409 X\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("half a body", "HTTP/1.1 200 OK\r\nHandover: h\r\nContent-Length: 2\r\n\r\n1"),
)

// Guards against an order that counts as done because of a part of a response.
var _ = It("a response to an order that is cut by a reset says nothing about it", func() {
	address := scriptedTarget(func(conn net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nHandover: h\r\n\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	for range 20 {
		outcome, _ := sendOrder(assign.Release, address)
		Expect(outcome).To(Equal(assign.OutcomeUnknown))
	}
})
