package upstream

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endlessTarget starts a target that answers requests for /x without end, until the connection is closed.
// It first writes a prefix. sent counts the bytes, and closed is set when the connection has been closed.
func endlessTarget(prefix, repeated string) (t *target, sent *atomic.Int64, closed *atomic.Bool) {
	sent, closed = &atomic.Int64{}, &atomic.Bool{}
	t = startTarget(func(conn net.Conn, r *http.Request, n int) {
		if r.Header.Get("Id") != "endless" {
			echo(conn, r, n)
			return
		}
		fmt.Fprint(conn, prefix)
		chunk := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
		for {
			written, err := conn.Write(chunk)
			sent.Add(int64(written))
			if err != nil {
				closed.Store(true)
				return
			}
		}
	})
	return t, sent, closed
}

// heapDuring returns the largest size of the heap while a function runs, beyond that before it.
func heapDuring(run func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	stop, largest := make(chan struct{}), make(chan uint64)
	go func() {
		peak := uint64(0)
		for {
			select {
			case <-stop:
				largest <- peak
				return
			case <-time.After(2 * time.Millisecond):
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapInuse-min(now.HeapInuse, before.HeapInuse))
			}
		}
	}()
	run()
	close(stop)
	return <-largest
}

var _ = Describe("bytes without end from a target", func() {
	const (
		// memoryLimit is what all responses being received may hold, eachLimit what one may.
		memoryLimit = 8 << 20
		eachLimit   = 4 << 20
		// collected is how much larger the heap may be than what is held, because of garbage.
		collected = 6
	)
	const signed = "HTTP/1.1 200 OK\r\nId: endless\r\nSigned: yes\r\n"

	// Guards against an instance that runs out of memory, keeps the connection, or does not serve others,
	// because of a target whose bytes do not end.
	DescribeTable("do not fill the memory, and end the connection",
		func(prefix, repeated string, mostBytes int64, expected error) {
			t, sent, closed := endlessTarget(prefix, repeated)
			other := startTarget(echo)
			other.ID = "t2"
			c := newClient()
			c.LimitResponses(memoryLimit, eachLimit)
			const callers = 12
			errs := make(chan error, callers)
			heap := heapDuring(func() {
				for range callers {
					go func() {
						_, err := c.Do(within(10*time.Second), t.Target, get("endless"))
						errs <- err
					}()
				}
				for n := range 50 {
					resp, err := c.Do(within(time.Second), other.Target, get(fmt.Sprint(n)))
					Expect(err).NotTo(HaveOccurred())
					Expect(string(resp.Body)).To(Equal(fmt.Sprint("for ", n)))
				}
				for range callers {
					var err error
					Eventually(errs, "5s").Should(Receive(&err))
					Expect(err).To(MatchError(expected))
				}
			})
			Eventually(closed.Load, "1s").Should(BeTrue())
			Expect(heap).To(BeNumerically("<", collected*memoryLimit))
			Expect(sent.Load()).To(BeNumerically("<", callers*(mostBytes+socketBytes)))
			Expect(c.memory.held.Load()).To(BeZero())
		},
		Entry("in a status line", "", "x", int64(64<<10), ErrOutcomeUnknown),
		Entry("in a header", "HTTP/1.1 200 OK\r\nX: ", "x", int64(64<<10), ErrOutcomeUnknown),
		Entry("in headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n", int64(64<<10), ErrOutcomeUnknown),
		Entry("in informational responses", "", "HTTP/1.1 103 X\r\n\r\n", int64(64<<10), ErrOutcomeUnknown),
		Entry("in a body without a length", signed+"\r\n", "x", int64(eachLimit), ErrOutcomeUnknown),
		Entry("in a chunked body", signed+"Transfer-Encoding: chunked\r\n\r\n", "8\r\n12345678\r\n", int64(4*eachLimit), ErrOutcomeUnknown),
		Entry("in the length of a chunk", signed+"Transfer-Encoding: chunked\r\n\r\n8;", "x", int64(64<<10), ErrOutcomeUnknown),
		Entry("in trailers", signed+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", int64(64<<10), ErrOutcomeUnknown),
		Entry("in a trailer", signed+"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x", int64(64<<10), ErrOutcomeUnknown),
		Entry("in a folded header", "HTTP/1.1 200 OK\r\nX: y\r\n", " x\r\n", int64(64<<10), ErrOutcomeUnknown),
		Entry("in a body of the largest length", signed+fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(math.MaxInt64)), "x", int64(64<<10), ErrOutcomeUnknown),
		Entry("in a body that is not signed", "HTTP/1.1 200 OK\r\nId: endless\r\n\r\n", "x", int64(64<<10), ErrOutcomeUnknown),
		Entry("in a refusal", "HTTP/1.1 503 X\r\nId: endless\r\nNot-Run: 1\r\n\r\n", "x", int64(64<<10), ErrNotExecuted),
		Entry("in the response to another request", "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\n\r\n", "x", int64(maxLateBytes), ErrOutcomeUnknown),
		Entry("in responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab", int64(64<<10), ErrOutcomeUnknown),
	)

	// Guards against responses that are refused because targets that send without end hold the memory.
	It("do not keep a response of ordinary size from its caller", func() {
		body := strings.Repeat("x", freeBufferBytes)
		t := startTarget(func(conn net.Conn, r *http.Request, _ int) { writeResponse(conn, r.Header.Get("Id"), body) })
		c := newClient()
		c.LimitResponses(memoryLimit, eachLimit)
		c.memory.held.Store(memoryLimit)
		resp, err := c.Do(within(time.Second), t.Target, get("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal(body))
	})

	It("beyond the limit of one response are not passed on", func() {
		t := startTarget(func(conn net.Conn, r *http.Request, _ int) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\n\r\n")
			_, _ = io.WriteString(conn, strings.Repeat("x", eachLimit+1))
			conn.Close()
		})
		c := newClient()
		c.LimitResponses(memoryLimit, eachLimit)
		_, err := c.Do(within(time.Second), t.Target, get("1"))
		Expect(err).To(MatchError(ContainSubstring("exceeds the size limit")))
	})
})

// socketBytes is what the sockets of a connection may hold beside what has been read.
const socketBytes = 8 << 20
