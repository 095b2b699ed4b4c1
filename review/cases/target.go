package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

// Headers of the platform.
const (
	headerRequestID   = "X-Lycheehall-Request-Id"
	headerTimeout     = "X-Lycheehall-Timeout-Ms"
	headerSignature   = "X-Lycheehall-Response-Signature"
	headerNotExecuted = "X-Lycheehall-Not-Executed"
	headerKey         = "X-Lycheehall-Shard-Key"
)

// faults are the faults of a target. The zero value has none.
type faults struct {
	// shed is the share of its requests that the target rejects as if it were full.
	shed float64
	// lateExtra is the share of its responses to requests that it sends once more, at the point where
	// the next response of the connection is expected.
	lateExtra float64
	// unframed is the share of its responses that have no length.
	unframed float64
}

// targetRun is one run of a request at a target.
type targetRun struct {
	begun, ended time.Time
	// droppedAtWork says that the connection was closed while the target was at work.
	droppedAtWork bool
}

// target serves the stand-in's target over connections of its own, so that it can send responses that
// an HTTP server would not.
type target struct {
	*standin.Target
	record   *record
	listener net.Listener

	// stream, if set, makes the target respond with large bodies.
	stream *stream

	mu     sync.Mutex
	faults faults
	// cutFrom is the source address from which the target resets connections; empty if none.
	cutFrom string
	random  *rand.Rand
	runs    map[string][]*targetRun
	conns   map[net.Conn]bool
}

func newTarget(r *record, id string, s service, slots int, work time.Duration, seed int64) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	t := &target{
		Target: standin.NewTarget(id, s.name, s.keyed), record: r, listener: l,
		random: rand.New(rand.NewSource(seed)), runs: map[string][]*targetRun{}, conns: map[net.Conn]bool{},
	}
	t.Slots, t.Work = slots, work
	t.StartedAt = time.Now().UnixMilli()
	t.Record = t.noteRun
	go t.serve()
	return t, nil
}

func (t *target) close() {
	t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.Close()
	}
}

func (t *target) setFaults(f faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// chance reports true with the probability that choose returns.
func (t *target) chance(choose func(faults) float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := choose(t.faults)
	return p > 0 && t.random.Float64() < p
}

// cut makes the target reset connections from a source address, and those that are open; an empty
// address ends that.
func (t *target) cut(source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutFrom = source
	for c := range t.conns {
		if source != "" && sourceOf(c) == source {
			reset(c)
		}
	}
}

// isCut reports whether connections from a source address are reset.
func (t *target) isCut(source string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutFrom != "" && t.cutFrom == source
}

func sourceOf(c net.Conn) string {
	source, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return source
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without it, the connection is closed all the same.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// noteRun is called when the target begins to work on a request.
func (t *target) noteRun(r standin.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.Request] = append(t.runs[r.Request], &targetRun{begun: time.Unix(0, r.StartedAt)})
	t.record.note("run %s at %s key %d fence %d", r.Request, t.ID, r.Key, r.Fence)
}

// noteEnd notes the end of the last run of a request.
func (t *target) noteEnd(id string, dropped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.runs[id]
	if len(list) == 0 {
		return
	}
	r := list[len(list)-1]
	r.ended, r.droppedAtWork = time.Now(), dropped
	if dropped {
		t.record.note("run %s at %s was at work when its connection was closed", id, t.ID)
	}
}

func (t *target) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		if t.isCut(sourceOf(c)) {
			reset(c)
			continue
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				t.mu.Lock()
				delete(t.conns, c)
				t.mu.Unlock()
			}()
			t.serveConn(c)
		}()
	}
}

// serveConn serves one request after the other until the connection ends.
func (t *target) serveConn(c net.Conn) {
	reader := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		if extra != nil {
			if _, err := c.Write(extra); err != nil {
				return
			}
			t.record.note("%s sends a response once more, where the one to %s is expected", t.ID, req.Header.Get(headerRequestID))
			extra = nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			// The peer sends nothing before the response, so this ends with the connection or with the
			// next request.
			if _, err := reader.Peek(1); err != nil {
				cancel()
			}
		}()
		response := t.respond(req.WithContext(ctx))
		dropped := ctx.Err() != nil
		if id := req.Header.Get(headerRequestID); id != "" && response.Header.Get(headerSignature) != "" || dropped {
			t.noteEnd(id, dropped)
		}
		if dropped {
			cancel()
			return
		}
		if t.stream != nil && response.Header.Get(headerSignature) != "" {
			unframed := t.chance(func(f faults) float64 { return f.unframed })
			if !t.stream.send(t, c, req.Header.Get(headerRequestID), response, unframed) {
				cancel()
				return
			}
			<-watched
			if ctx.Err() != nil {
				return
			}
			cancel()
			continue
		}
		text := encodeResponse(response)
		if _, err := c.Write(text); err != nil {
			cancel()
			return
		}
		isOrder := strings.HasPrefix(req.URL.Path, "/api/")
		if !isOrder && t.chance(func(f faults) float64 { return f.lateExtra }) {
			extra = text
		}
		<-watched
		if ctx.Err() != nil {
			return
		}
		cancel()
	}
}

// response is a response that has not been sent.
type response struct {
	status  int
	headers http.Header
	body    bytes.Buffer
}

func (r *response) Header() http.Header         { return r.headers }
func (r *response) Write(b []byte) (int, error) { return r.body.Write(b) }
func (r *response) WriteHeader(status int)      { r.status = status }

// respond lets the stand-in's target handle a request.
func (t *target) respond(req *http.Request) *http.Response {
	r := &response{status: http.StatusOK, headers: http.Header{}}
	id := req.Header.Get(headerRequestID)
	switch {
	case id != "" && t.chance(func(f faults) float64 { return f.shed }):
		r.headers.Set(headerNotExecuted, "1")
		r.status = http.StatusServiceUnavailable
		t.record.note("%s rejects %s", t.ID, id)
	default:
		t.Handler().ServeHTTP(r, req)
	}
	if id != "" {
		r.headers.Set(headerRequestID, id)
	}
	return &http.Response{StatusCode: r.status, Header: r.headers, Body: io.NopCloser(&r.body), ContentLength: int64(r.body.Len())}
}

// encodeResponse returns a response as it is sent.
func encodeResponse(r *http.Response) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.StatusCode, http.StatusText(r.StatusCode))
	r.Header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	_, _ = io.Copy(&b, r.Body)
	return b.Bytes()
}
