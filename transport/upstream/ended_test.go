package upstream

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a try that breaks off", func() {
	// The target's process ends as it runs the request: its listener closes with its connections.
	It("tells that the target has ended when nobody listens there any more", func() {
		var t *target
		t = startTarget(func(conn net.Conn, _ *http.Request, _ int) {
			t.listener.Close()
			reset(conn)
		})
		_, err := newClient().Do(within(time.Second), t.Target, get("1"))
		Expect(err).To(MatchError(ErrBroken))
		Expect(err).To(MatchError(ErrEnded))
	})

	DescribeTable("does not tell so of a target that lives", func(answer script) {
		t := startTarget(answer)
		_, err := newClient().Do(within(time.Second), t.Target, get("1"))
		Expect(err).To(MatchError(ErrBroken))
		Expect(err).NotTo(MatchError(ErrEnded))
	},
		Entry("and resets the connection", script(func(conn net.Conn, _ *http.Request, _ int) { reset(conn) })),
		Entry("and closes it in the middle of an answer", script(func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha"))
			conn.Close()
		})),
		Entry("and sends what is no answer", script(func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = conn.Write([]byte("nonsense\r\n\r\n"))
		})),
	)

	It("does not tell so when the time of the request ran out", func() {
		var t *target
		t = startTarget(func(net.Conn, *http.Request, int) {
			t.listener.Close()
			time.Sleep(300 * time.Millisecond)
		})
		_, err := newClient().Do(within(100*time.Millisecond), t.Target, get("1"))
		Expect(err).NotTo(MatchError(ErrEnded))
	})
})
