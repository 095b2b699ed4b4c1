package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// uploadBytes is more than the sockets of a connection hold, so that the request is still being written
// while the target responds.
const uploadBytes = 16 << 20

var _ = Describe("a response without a length while the request is being written", func() {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\n\r\n"
	upload := strings.Repeat("x", uploadBytes)
	// writeBlocks is enough time for the upload to fill the sockets.
	const writeBlocks = 20 * time.Millisecond

	// Guards against a part of a response that is passed on as a whole one: the write of the request takes
	// the error of the reset, and the read reports an end like that of a closed connection.
	It("is not complete when the connection is reset", func() {
		t := startTarget(func(conn net.Conn, _ *http.Request, _ int) {
			fmt.Fprint(conn, head+"part")
			time.Sleep(writeBlocks)
			closeWithReset(conn)
		})
		c := newClient()
		for range 20 {
			resp, err := c.Do(within(5*time.Second), t.Target, post("1", upload))
			Expect(err).To(MatchError(ErrOutcomeUnknown), "%+v", resp)
		}
	})

	// Guards against a whole response that is rejected because the target did not read the request.
	DescribeTable("is complete when the target ends it", func(end func(*net.TCPConn)) {
		t := startTarget(func(conn net.Conn, _ *http.Request, _ int) {
			fmt.Fprint(conn, head+"whole")
			time.Sleep(writeBlocks)
			end(conn.(*net.TCPConn))
		})
		c := newClient()
		for range 20 {
			resp, err := c.Do(within(5*time.Second), t.Target, post("1", upload))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal("whole"))
		}
	},
		Entry("and reads no further", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(writeBlocks)
		}),
		Entry("and reads the rest of the request", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}),
		Entry("and then resets the connection", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			closeWithReset(conn)
		}),
	)
})
