package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// smallHandler responds as front does to a request for a small response.
type smallHandler struct{}

func (smallHandler) Idempotent(*http.Request) bool { return true }

func (smallHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	header := w.Header()
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", "5")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("hello"))
}

// benchCaller sends each request after the response to the previous one.
type benchCaller struct {
	conn   net.Conn
	reader *bufio.Reader
	// seconds are the times of the blocks of requests; mallocs counts the allocations.
	seconds []float64
	mallocs uint64
}

func (c *benchCaller) call(b *testing.B, request []byte) {
	if _, err := c.conn.Write(request); err != nil {
		b.Fatal(err)
	}
	for line := []byte{0}; len(line) != len("\r\n"); {
		var err error
		if line, err = c.reader.ReadSlice('\n'); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := c.reader.Discard(len("hello")); err != nil {
		b.Fatal(err)
	}
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// BenchmarkSerialCaller compares the standard server with the wrapper for callers that do not
// pipeline: blocks of requests by turns, and the median over the blocks. A second standard server shows
// what differences mean nothing.
func BenchmarkSerialCaller(b *testing.B) {
	const block = 200
	headers := "Host: instance\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Request-Id: 0123456789\r\nX-Timeout-Ms: 4000\r\n"
	for name, request := range map[string]string{
		"get":  "GET /ledger/0123456789 HTTP/1.1\r\n" + headers + "\r\n",
		"post": "POST /ledger/0123456789 HTTP/1.1\r\n" + headers + "Content-Length: 200\r\n\r\n" + strings.Repeat("x", 200),
	} {
		b.Run(name, func(b *testing.B) {
			sides := []string{"standard", "wrapper", "control"}
			callers := map[string]*benchCaller{}
			for _, side := range sides {
				server, address, _ := serve(smallHandler{}, map[string]int{"wrapper": 8}[side])
				defer server.Close()
				server.IdleTimeout = time.Minute
				conn, err := net.Dial("tcp", address)
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				callers[side] = &benchCaller{conn: conn, reader: bufio.NewReader(conn)}
			}
			for i := 0; b.Loop(); i++ {
				for n := range sides {
					c := callers[sides[(i+n)%len(sides)]]
					before, start := mallocs(), time.Now()
					for range block {
						c.call(b, []byte(request))
					}
					c.seconds = append(c.seconds, time.Since(start).Seconds())
					c.mallocs += mallocs() - before
				}
			}
			for _, side := range sides {
				c := callers[side]
				slices.Sort(c.seconds)
				b.ReportMetric(c.seconds[len(c.seconds)/2]/block*1e9, side+"-ns/request")
				b.ReportMetric(float64(c.mallocs)/float64(len(c.seconds)*block), side+"-allocs/request")
			}
		})
	}
}
