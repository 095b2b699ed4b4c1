package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"lycheehall.example/lycheehall/protocol/wire"
)

// dialTimeout bounds the making of a connection to a target.
const dialTimeout = 300 * time.Millisecond

// idleTimeout is how long an unused connection to a target is kept. Targets must keep
// theirs longer: a connection that the target closes just as a request is sent makes the
// outcome of the request unknown.
const idleTimeout = 20 * time.Second

// provingConn counts the writes on a connection, so that it can be proved that nothing
// of a request was sent.
type provingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *provingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Forwarder sends requests to targets.
type Forwarder struct {
	mu         sync.Mutex
	transports map[int]*http.Transport
}

// NewForwarder returns a forwarder without connections.
func NewForwarder() *Forwarder {
	return &Forwarder{transports: map[int]*http.Transport{}}
}

// transport returns the transport that keeps at most so many connections to a target.
func (f *Forwarder) transport(connections int) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.transports[connections]
	if t == nil {
		t = &http.Transport{
			DialContext:         dialProving,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}
		f.transports[connections] = t
	}
	return t
}

// Close closes the connections that are not in use.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.transports {
		t.CloseIdleConnections()
	}
}

func dialProving(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &provingConn{Conn: conn}, nil
}

// sent watches whether anything of one attempt was written to a connection.
type sent struct {
	mu     sync.Mutex
	conn   *provingConn
	before int64
}

func (s *sent) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, _ = info.Conn.(*provingConn)
	if s.conn != nil {
		s.before = s.conn.writes.Load()
	}
}

// nothing reports whether provably nothing was written.
func (s *sent) nothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn == nil || s.conn.writes.Load() == s.before
}

// result is what became of one attempt.
type result struct {
	outcome wire.Outcome
	reason  string
	// response is set when the target answered; its body is still to be read.
	response *http.Response
}

// noReplay keeps the transport from repeating a request by itself when a kept
// connection breaks: it repeats what HTTP calls idempotent, but here the rule says what
// may run twice. One would notice it as a lookup that a target counts twice.
type noReplay struct{ io.Reader }

func (noReplay) Close() error { return nil }

// do makes one attempt and says what became of it.
func (f *Forwarder) do(req *http.Request, connections int) result {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = noReplay{eof{}}
		req.ContentLength = 0
	}
	req.GetBody = nil
	var s sent
	trace := &httptrace.ClientTrace{GotConn: s.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := f.transport(connections).RoundTrip(req)
	if err != nil {
		return failed(req.Context(), &s)
	}
	return judge(req, resp)
}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// Reasons told to callers.
const (
	reasonUnreachable = "target-unreachable"
	reasonNoAnswer    = "no-answer"
	reasonDeadline    = "deadline"
	reasonOwnerLost   = "owner-lost"
	reasonMismatch    = "answer-mismatch"
)

func failed(ctx context.Context, s *sent) result {
	reason := reasonNoAnswer
	var lost ownerLostError
	switch {
	case errors.As(context.Cause(ctx), &lost):
		reason = reasonOwnerLost
	case ctx.Err() != nil:
		reason = reasonDeadline
	}
	if s.nothing() {
		if reason == reasonNoAnswer {
			reason = reasonUnreachable
		}
		return result{outcome: wire.NotRun, reason: reason}
	}
	return result{outcome: wire.Unknown, reason: reason}
}

// judge looks at an answer. One that carries the id of another request is never passed
// on: it belongs to somebody else.
func judge(req *http.Request, resp *http.Response) result {
	id := resp.Header.Get(wire.HeaderRequestID)
	if id != "" && id != req.Header.Get(wire.HeaderRequestID) {
		resp.Body.Close()
		return result{outcome: wire.Unknown, reason: reasonMismatch}
	}
	if reason := resp.Header.Get(wire.HeaderNotRun); reason != "" {
		// The body is read so that the connection can be used again.
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
		resp.Body.Close()
		return result{outcome: wire.NotRun, reason: reason}
	}
	return result{outcome: wire.Answered, response: resp}
}

const maxDiscard = 4 << 10
