package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/transport/targetdial"
	"lycheehall.example/lycheehall/transport/upstream"
)

// uploadBytes is more than the sockets of a connection hold, so that the request is still being written
// while the target responds.
const uploadBytes = 8 << 20

// startRawTarget starts a target that reads the head of each request and sends the response as it is.
func startRawTarget(response string, end func(*net.TCPConn)) (address string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// serveTo starts a server whose requests all go to a target at an address.
func serveTo(address string) (url string) {
	f := newFixture()
	f.board.SetTargets(2, map[string]view.Target{"k1": {ID: "k1", Service: "keyed", Address: address, Slots: 2}}, clock.System{}.Now())
	dialer := targetdial.New(targetdial.Config{Clock: clock.System{}, Board: f.board, Log: func(string, ...any) {}})
	f.h.config.MaxBody = uploadBytes
	f.h.upstream = upstream.NewClient(upstream.NewPool(dialer), names)
	s := httptest.NewServer(f.h)
	DeferCleanup(s.Close)
	return s.URL
}

// Guards against callers that get bytes of a target that are no response, and against callers whose
// connection is closed in place of an answer.
var _ = DescribeTable("a caller whose target sends no valid response gets an answer",
	func(response string, end func(*net.TCPConn)) {
		url := serveTo(startRawTarget(response, end))
		for range 3 {
			req, err := http.NewRequest("POST", url+"/k/a", strings.NewReader(strings.Repeat("x", uploadBytes)))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Id", "1")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(502), fmt.Sprint(resp.Header, string(body)))
			Expect(resp.Header).NotTo(HaveKey("Signed"))
			Expect(resp.Header).NotTo(HaveKey("Retry-After"))
			Expect(resp.Close).To(BeFalse())
		}
	},
	Entry("status 000", "HTTP/1.1 000 OK\r\nId: 1\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nbody", endOrdinarily),
	Entry("status 999", "HTTP/1.1 999 OK\r\nId: 1\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nbody", endOrdinarily),
	Entry("space in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nbody", endOrdinarily),
	Entry("space in front of the colon of the length", "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\nContent-Length : 4\r\n\r\nbody and more", endOrdinarily),
	Entry("control character in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\nX\x01: 1\r\nContent-Length: 4\r\n\r\nbody", endOrdinarily),
	Entry("folded length", "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\nX: 1\r\n Content-Length: 4\r\n\r\nbody and more", endOrdinarily),
	Entry("refusal with a space in a name", "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n", endOrdinarily),
	Entry("a part without a length, then a reset", "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\n\r\npart", func(conn *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	}),
	Entry("no response", "", endOrdinarily),
	Entry("bytes that are no response", "\x16\x03\x01 no response\r\n\r\n", endOrdinarily),
)

// endOrdinarily ends the stream, and then reads what is still sent.
func endOrdinarily(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}
