package upstream

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an attempt that breaks off", func() {
	// The process exits while it runs the request: its listener closes together with its
	// connections.
	It("reports that the target has exited when nothing listens at its address any more", func() {
		var t *target
		t = startTarget(func(conn net.Conn, _ *http.Request, _ int) {
			t.listener.Close()
			closeWithReset(conn)
		})
		_, err := newClient().Do(within(time.Second), t.Target, get("1"))
		Expect(err).To(MatchError(ErrOutcomeUnknown))
		Expect(err).To(MatchError(ErrTargetExited))
	})

	// Guards against an exit that is not noticed on a busy machine.
	It("reports an exit if the address first resets and then refuses connections", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for n := 0; ; n++ {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if n == 0 {
					_, _ = conn.Read(make([]byte, 1))
					time.AfterFunc(exitCheckInterval/2, func() { l.Close() })
				}
				closeWithReset(conn)
			}
		}()
		_, err = newClient().Do(within(time.Second), Target{ID: "t1", Name: "t1", Address: l.Addr().String()}, get("1"))
		Expect(err).To(MatchError(ErrTargetExited))
	})

	DescribeTable("does not report it for a target that is running", func(respond script) {
		t := startTarget(respond)
		_, err := newClient().Do(within(time.Second), t.Target, get("1"))
		Expect(err).To(MatchError(ErrOutcomeUnknown))
		Expect(err).NotTo(MatchError(ErrTargetExited))
	},
		Entry("and resets the connection", script(func(conn net.Conn, _ *http.Request, _ int) { closeWithReset(conn) })),
		Entry("and closes it in the middle of a response", script(func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha"))
			conn.Close()
		})),
		Entry("and sends something other than a response", script(func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = conn.Write([]byte("nonsense\r\n\r\n"))
		})),
	)

	It("does not report it when the request timed out", func() {
		var t *target
		t = startTarget(func(net.Conn, *http.Request, int) {
			t.listener.Close()
			time.Sleep(300 * time.Millisecond)
		})
		_, err := newClient().Do(within(100*time.Millisecond), t.Target, get("1"))
		Expect(err).NotTo(MatchError(ErrTargetExited))
	})
})
