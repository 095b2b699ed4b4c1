package pipeline

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxReadAhead bounds the bytes of a connection that are received before the server asks for them.
	// Beyond it the end of the connection is not noticed until requests have been answered.
	maxReadAhead = 64 << 10
	// readSize is the size of a read ahead. A typical pipelined head has 200 to 400 bytes.
	readSize = 2 << 10
	// lingerTime is how long a connection that the server closes after a response is still read, as in
	// net/http after some errors.
	lingerTime = 500 * time.Millisecond
)

// errConnectionFailed is the error of responses after a write error or a panic of another handler.
var errConnectionFailed = errors.New("pipeline: connection has failed")

// messageState is the position in the stream of the bytes passed to the server.
type messageState uint8

const (
	inHead messageState = iota
	inBody
	// complete: all bytes of a request have been passed, and none behind it.
	complete
	// unknownFraming: the end of a request could not be determined. All bytes are passed from here on.
	unknownFraming
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	p *Pipeline

	// The following fields belong to the server's reads, which are never concurrent. ServeHTTP reads
	// state while at most the background read runs, which does not change it.

	state messageState
	// partialHead is the part of a head passed so far, if the head did not arrive in one read.
	partialHead []byte
	bodyLeft    int64
	scratch     []byte

	mu sync.Mutex
	// changed is signalled when readAhead may continue or must end.
	changed *sync.Cond
	// buf holds the bytes received and not passed to the server. The first scanned bytes contain no end
	// of a head.
	buf     []byte
	scanned int
	// readErr is the end of the connection: no request in buf is served after it.
	readErr error
	// pipelined says that bytes behind a request have arrived on this connection.
	pipelined bool
	// linger says that more requests may be under way while the server closes the connection after a
	// response. It is set from the end of a response until the server reads again. lingering says that
	// Close has closed the sending direction and will close the other one.
	linger, lingering bool
	// interrupted says that the server has ended its background read by a deadline in the past. It is
	// changed while mu is held.
	interrupted atomic.Bool

	// lookahead says that further requests may be started. It is set while the handler of the first
	// request of a run is running and the run's last response has not begun.
	lookahead bool
	// firstChecked says that the rules allow requests behind the first one.
	firstChecked bool
	// barrier says that the request at the start of buf must wait for the server.
	barrier bool
	// closing says that a response asked for the end of the connection; the last one will say so.
	closing bool
	// queue holds the requests that have been started and not answered, in order.
	queue []*exchange
	first exchange
	// The following fields are set when the first request behind another one is started.
	ctx    context.Context
	cancel context.CancelFunc
	failed chan struct{}
	// failure is a panic of a handler, or errConnectionFailed.
	failure any
	running sync.WaitGroup
}

func newConn(raw net.Conn, p *Pipeline) *conn {
	c := &conn{Conn: raw, p: p}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read passes to the server the bytes of one request, up to its end. A read of one byte at the end of
// a request is the server's background read, since others use the server's buffer of 4 KiB.
func (c *conn) Read(b []byte) (int, error) {
	if c.state == complete {
		if len(b) == 1 {
			return 0, c.readAhead(b)
		}
		c.state = inHead
	}
	c.mu.Lock()
	c.linger = false
	if c.readErr != nil {
		defer c.mu.Unlock()
		return 0, c.readErr
	}
	if len(c.buf) > 0 {
		defer c.mu.Unlock()
		n := c.advance(b[:copy(b, c.buf)])
		c.take(n)
		return n, nil
	}
	c.mu.Unlock()
	received, err := c.Conn.Read(b)
	if received == 0 {
		return 0, err
	}
	n := c.advance(b[:received])
	if n < received {
		c.mu.Lock()
		c.buf = append(c.buf, b[n:received]...)
		c.pipelined = true
		c.mu.Unlock()
	}
	return n, nil
}

// advance updates the position in the stream by bytes for the server, and returns how many of them
// belong to the current request. The caller passes no more than these to the server.
func (c *conn) advance(b []byte) int {
	n := 0
	if c.state == inHead {
		n = c.advanceHead(b)
	}
	switch c.state {
	case inBody:
		part := min(int64(len(b)-n), c.bodyLeft)
		n += int(part)
		c.bodyLeft -= part
		if c.bodyLeft == 0 {
			c.state = complete
		}
	case unknownFraming:
		n = len(b)
	}
	return n
}

func (c *conn) advanceHead(b []byte) int {
	head, before := b, len(c.partialHead)
	if before > 0 {
		c.partialHead = append(c.partialHead, b...)
		head = c.partialHead
	}
	end := findHeadEnd(head, before)
	if end < 0 {
		if len(head) > maxReadAhead || hasBareLF(head, before) {
			c.setUnknownFraming()
		} else if before == 0 {
			c.partialHead = bytes.Clone(b)
		}
		return len(b)
	}
	length, known := bodyLength(head[:end])
	c.partialHead = nil
	switch {
	case !known:
		c.setUnknownFraming()
	case length == 0:
		c.state = complete
	default:
		c.state, c.bodyLeft = inBody, length
	}
	return end - before
}

// hasBareLF says whether a line of b beyond the first from bytes ends without CR.
func hasBareLF(b []byte, from int) bool {
	for i := from; i < len(b); i++ {
		if b[i] == '\n' && (i == 0 || b[i-1] != '\r') {
			return true
		}
	}
	return false
}

func (c *conn) setUnknownFraming() {
	c.state, c.partialHead = unknownFraming, nil
	serialConnections.Inc()
}

// take removes the first n bytes from buf. c.mu is held.
func (c *conn) take(n int) {
	c.buf, c.scanned = c.buf[n:], 0
	if len(c.buf) == 0 {
		c.buf = nil
	}
	c.changed.Broadcast()
}

// readAhead is the server's background read. It receives bytes into buf until the connection ends or
// the server interrupts it, and starts requests meanwhile. It first reads into b, of one byte, so that
// a connection with nothing to read ahead needs no buffer.
func (c *conn) readAhead(b []byte) error {
	for {
		c.mu.Lock()
		for len(c.buf) >= maxReadAhead && c.readErr == nil && !c.interrupted.Load() {
			c.changed.Wait()
		}
		err, space := c.readErr, maxReadAhead-len(c.buf)
		if err == nil && c.interrupted.Load() {
			err = os.ErrDeadlineExceeded
		}
		c.mu.Unlock()
		if err != nil {
			return err
		}
		n, err := c.Conn.Read(b[:min(space, len(b))])
		c.mu.Lock()
		c.buf = append(c.buf, b[:n]...)
		c.pipelined = c.pipelined || n > 0
		if isTimeout(err) {
			c.mu.Unlock()
			return err
		}
		if err != nil {
			c.readErr = err
		}
		c.startRequests()
		c.mu.Unlock()
		if err != nil {
			return err
		}
		if c.scratch == nil {
			c.scratch = make([]byte, readSize)
		}
		b = c.scratch
	}
}

// isTimeout uses a type assertion, as the server does for the same error. errors.As took 1.5 us of each
// request.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// loadTime tells a deadline by which the server interrupts its background read, time.Unix(1, 0), from
// a time-out, without a call of time.Now for each deadline.
var loadTime = time.Now()

// SetReadDeadline also interrupts a background read that waits for space in the buffer.
func (c *conn) SetReadDeadline(t time.Time) error {
	if interrupt := !t.IsZero() && t.Before(loadTime); interrupt != c.interrupted.Load() {
		c.mu.Lock()
		c.interrupted.Store(interrupt)
		c.changed.Broadcast()
		c.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(t)
}

// Close also ends a background read that waits for space in the buffer. After a response to a caller
// that pipelines it closes only the sending direction at first: closing a connection with unread bytes
// resets it, and the caller would lose the end of the response.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.lingering {
		c.mu.Unlock()
		return nil
	}
	linger := c.linger && c.readErr == nil
	c.lingering = linger
	if c.readErr == nil {
		c.readErr = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	if !linger || c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return c.Conn.Close()
	}
	go func() {
		// The error is the end of the connection or of the time.
		_, _ = io.Copy(io.Discard, c.Conn)
		c.Conn.Close()
	}()
	return nil
}

// CloseWrite lets the server close its direction first after a response to a head that is too large.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// serveAlone serves a request that no other may be served beside.
func (c *conn) serveAlone(w http.ResponseWriter, r *http.Request) {
	c.p.handler.ServeHTTP(w, r)
	c.mu.Lock()
	c.linger = c.pipelined
	c.mu.Unlock()
}

// serve serves the request that the server has read, and those behind it that are started before the
// last response of the run begins.
func (c *conn) serve(w http.ResponseWriter, r *http.Request) {
	x := &c.first
	*x = exchange{c: c, w: w, r: r, length: -1}
	c.mu.Lock()
	c.queue = append(c.queue[:0], x)
	c.lookahead, c.firstChecked, c.barrier = true, false, false
	c.startRequests()
	c.mu.Unlock()
	returned := false
	defer func() {
		if !returned {
			x.endHold()
			c.fail(errConnectionFailed)
			c.endRun()
		}
	}()
	c.p.handler.ServeHTTP(x, r)
	x.finish()
	x.endHold()
	returned = true
	// A panic makes the server end the connection.
	if failure := c.endRun(); failure == errConnectionFailed {
		panic(http.ErrAbortHandler)
	} else if failure != nil {
		panic(failure)
	}
}

// endRun waits for all requests of the run, and returns the failure of the connection, if any.
func (c *conn) endRun() any {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookahead = false
	c.linger = c.pipelined && c.failure == nil
	clear(c.queue)
	c.first = exchange{}
	if c.cancel != nil {
		c.cancel()
		c.ctx, c.cancel, c.failed = nil, nil, nil
	}
	return c.failure
}

// startRequests starts the requests in buf, up to the configured depth or the next barrier. c.mu is
// held.
func (c *conn) startRequests() {
	for c.lookahead && !c.barrier && !c.closing && c.readErr == nil && c.failure == nil &&
		len(c.queue) < c.p.depth && !c.p.stopping.Load() {
		end := findHeadEnd(c.buf, c.scanned)
		if end < 0 {
			c.scanned = len(c.buf)
			return
		}
		// Deciding about the first request only now spares callers that do not pipeline the evaluation
		// of the rules.
		if !c.firstChecked && !c.p.handler.Idempotent(c.first.r) {
			c.lookahead = false
			return
		}
		c.firstChecked = true
		var r *http.Request
		if end <= c.p.maxHead {
			r = parseRequest(c.buf[:end])
		}
		if r == nil || !c.p.handler.Idempotent(r) {
			c.barrier = true
			return
		}
		c.take(end)
		c.start(r)
	}
}

// start serves a request in a goroutine of its own. c.mu is held.
func (c *conn) start(r *http.Request) {
	if c.ctx == nil {
		// The server cancels the context of the first request at the end of the connection.
		c.ctx, c.cancel = context.WithCancel(c.first.r.Context())
		c.failed = make(chan struct{})
	}
	ctx, cancel := context.WithCancel(c.ctx)
	r = r.WithContext(ctx)
	r.RemoteAddr = c.first.r.RemoteAddr
	x := &exchange{c: c, w: c.first.w, r: r, header: http.Header{}, length: -1, turn: make(chan struct{})}
	c.queue = append(c.queue, x)
	pipelinedRequests.Inc()
	pipelinedInFlight.Inc()
	c.running.Go(func() {
		defer pipelinedInFlight.Dec()
		defer cancel()
		defer c.recoverPanic()
		defer x.endHold()
		c.p.handler.ServeHTTP(x, r)
		x.finish()
	})
}

// recoverPanic ends the connection after a panic of a handler, as the server does. The panic is
// repeated in the server's goroutine, which logs it.
func (c *conn) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		v = fmt.Sprintf("%v\n%s", v, debug.Stack())
	}
	c.fail(v)
}

// next ends the turn of the first request in the queue.
func (c *conn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The slice keeps its start, so that a connection allocates it once.
	c.queue = slices.Delete(c.queue, 0, 1)
	if len(c.queue) > 0 {
		close(c.queue[0].turn)
		c.startRequests()
	}
}

// fail ends the connection: nothing more is read or written, and all contexts end.
func (c *conn) fail(reason any) {
	c.mu.Lock()
	if c.failure == nil {
		c.failure = reason
		if c.cancel != nil {
			c.cancel()
			close(c.failed)
		}
	}
	c.mu.Unlock()
	c.Close()
}
