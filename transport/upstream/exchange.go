package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/membudget"
	"lycheehall.example/lycheehall/transport/targetdial"
)

// Errors of an attempt.
var (
	// ErrNotSent means that no byte of the request was accepted by a connection.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrNotExecuted means that the target reported that it did not execute the request.
	ErrNotExecuted = errors.New("upstream: not executed by the target")
	// ErrOutcomeUnknown means that the request may have been executed and there is no complete
	// response.
	ErrOutcomeUnknown = errors.New("upstream: no complete response, outcome unknown")
	// ErrTargetExited is returned in addition to ErrOutcomeUnknown if the target's process has
	// exited: its address refuses connections.
	ErrTargetExited = errors.New("upstream: the target's process has exited")
	// ErrPathLost is returned in addition to ErrOutcomeUnknown if this instance is partitioned from all
	// targets: the failure says nothing about the target.
	ErrPathLost = errors.New("upstream: the path to the target was lost")
)

// ReportedStatus is what a target reports about itself in the headers of a response.
type ReportedStatus struct {
	// FromTarget says that the target itself responded. A field that is zero was then not reported.
	FromTarget bool
	// Leaving says that the target is leaving.
	Leaving bool
	// Pause is how long this instance should send nothing to the target; 0 if not reported.
	Pause time.Duration
	// Slowness is how many times as long as usual work takes at the target now; 0 if not reported.
	// It is used as the slowness relative to an average target.
	Slowness float64
	// Limit is how many requests a second the target accepts from all instances together; 0 means
	// no limit.
	Limit float64
}

// NotExecutedError is a response in which the target reports that it did not execute the request.
type NotExecutedError struct {
	Status       int
	TargetStatus ReportedStatus
	// Replaced says that another target has responded: the address is not the target's any more.
	Replaced bool
}

func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("%v: status %d", ErrNotExecuted, e.Status)
}

// Unwrap returns ErrNotExecuted.
func (e *NotExecutedError) Unwrap() error { return ErrNotExecuted }

// Request is a request to a target.
type Request struct {
	ID     string
	Method string
	// URI is the request URI, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent says that the request may be executed twice.
	Idempotent bool
	// OnBuffer, if not nil, is called with the size of the buffer for the response, in bytes, each
	// time one is allocated.
	OnBuffer func(size int64)
	// Attempts is shared by the attempts of a caller's request. It is nil if there is only one.
	Attempts *Attempts
}

// Response is a target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close says that the target closes the connection, as leaving targets do.
	Close        bool
	TargetStatus ReportedStatus
}

// Target identifies a target and its address.
type Target struct {
	// ID is the key under which connections are pooled. It differs for each start of a process, so
	// that a restarted target begins without connections.
	ID string
	// Name is the target's own name; a target refuses requests for another name.
	Name    string
	Address string
	// MaxConnections is the largest number of connections of this instance to the target; 0 means
	// no limit.
	MaxConnections int
}

const (
	// maxNotExecutedBytes is the size of the largest body that is read of a response whose body is not
	// forwarded.
	maxNotExecutedBytes = 64 << 10
	// maxLateResponses limits how many responses are read in search of the one to this request, and
	// maxLateBytes the sum of their bodies.
	maxLateResponses = 8
	maxLateBytes     = 8 << 20
	// maxSyncWriteBytes is how much of a request is written before the response is awaited. It fits
	// into the socket buffers, so that the write does not block if the target does not read.
	maxSyncWriteBytes = 2 << 10
	// maxPause limits the value of a Retry-After header, which could overflow a duration.
	maxPause = 24 * time.Hour
)

// Client sends requests to targets.
type Client struct {
	pool   *Pool
	names  wire.Names
	clock  clock.Clock
	memory responseMemory
}

// NewClient returns a client that uses the connections of the pool.
func NewClient(pool *Pool, names wire.Names) *Client {
	return &Client{pool: pool, names: names, clock: clock.System{}}
}

// Do makes one attempt. The time until the deadline of ctx is sent to the target.
func (c *Client) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	conn := c.pool.take(t.ID, !r.Idempotent, r.Attempts)
	if conn == nil {
		var err error
		if conn, err = c.pool.dial(ctx, t.ID, t.Address, t.MaxConnections); err != nil {
			return nil, err
		}
	}
	// When ctx ends, so does all reading and writing. Closing the connection makes the target stop
	// working on the request.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{client: c, conn: conn, target: t, request: r}
	r.Attempts.add(conn)
	c.pool.beginExchange(conn, r.Idempotent)
	stopCheck := c.checkPathLater(conn, t)
	resp, err := x.run(ctx)
	stopCheck()
	c.pool.endExchange(conn)
	if !stop() || err != nil && !errors.Is(err, ErrNotExecuted) {
		c.pool.discardWithReset(t.ID, conn)
		if err == nil {
			return resp, nil
		}
		switch {
		case conn.Peer == "" && c.pool.dialer.Partitioned():
			err = fmt.Errorf("%w: %w", ErrPathLost, err)
		case x.connectionLost && ctx.Err() == nil && c.pool.hasExited(ctx, t):
			err = fmt.Errorf("%w: %w", ErrTargetExited, err)
		}
		return nil, err
	}
	if !x.reusable {
		c.pool.discard(t.ID, conn)
		return resp, err
	}
	c.pool.put(t.ID, conn, x.keepAlive)
	return resp, err
}

// silenceBeforeCheck is how long a target may take to respond before the path to it is checked, if no
// other target responds either.
const silenceBeforeCheck = 300 * time.Millisecond

// checkPathLater checks the direct path to a target in a while, unless the returned function is called.
func (c *Client) checkPathLater(conn *conn, t Target) (stop func() bool) {
	if conn.Peer != "" {
		return func() bool { return true }
	}
	start := c.clock.Now()
	return time.AfterFunc(silenceBeforeCheck, func() {
		c.pool.dialer.Check(targetdial.Target{ID: t.ID, Address: t.Address}, start)
	}).Stop
}

// exchange is one request and its response on a connection.
type exchange struct {
	client  *Client
	conn    *conn
	target  Target
	request *Request
	// reusable says that the connection can carry another request.
	reusable  bool
	keepAlive string
	// connectionLost says that the connection ended after the request was sent and before its
	// response was complete.
	connectionLost bool
	writeDone      chan error
}

func (x *exchange) run(ctx context.Context) (*Response, error) {
	req, head := x.encode(ctx)
	if sent, err := x.write(head, x.request.Body); err != nil {
		if x.conn.reused {
			x.client.pool.recordLostOnIdle(x.target.ID)
		}
		if sent == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, x.wrapOutcomeUnknown(err)
	}
	resp, err := x.readHead(req)
	if err != nil {
		if x.conn.reused && ctx.Err() == nil {
			x.client.pool.recordLostOnIdle(x.target.ID)
		}
		return nil, x.wrapOutcomeUnknown(err)
	}
	x.client.pool.dialer.RecordHeard(x.conn.Conn)
	names := x.client.names
	if resp.Header.Get(names.NotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return nil, x.notExecuted(resp)
	}
	if resp.Header.Get(names.Signature) == "" || resp.Header.Get(names.RequestID) != x.request.ID {
		return nil, fmt.Errorf("%w: response with status %d is not signed by the target", ErrOutcomeUnknown, resp.StatusCode)
	}
	body, err := x.readBody(resp)
	if errors.Is(err, membudget.ErrTooLarge) || errors.Is(err, errNoMemory) {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err != nil {
		return nil, x.wrapOutcomeUnknown(err)
	}
	x.checkReusable(resp)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close, TargetStatus: x.targetStatus(resp)}, nil
}

// notExecuted returns the error for a response in which the target reports that it did not execute the
// request. Its body is only read if it is short, so that the connection can be reused.
func (x *exchange) notExecuted(resp *http.Response) error {
	if resp.ContentLength >= 0 && resp.ContentLength <= maxNotExecutedBytes {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return x.wrapOutcomeUnknown(err)
		}
		x.checkReusable(resp)
	}
	who := resp.Header.Get(x.client.names.RespondingTarget)
	replaced := resp.StatusCode == http.StatusMisdirectedRequest && who != "" && who != x.target.Name
	return &NotExecutedError{Status: resp.StatusCode, TargetStatus: x.targetStatus(resp), Replaced: replaced}
}

// wrapOutcomeUnknown wraps err in ErrOutcomeUnknown, and records whether the connection was lost.
func (x *exchange) wrapOutcomeUnknown(err error) error {
	var failed *net.OpError
	x.connectionLost = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed)
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func (x *exchange) readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		// The Content-Length of a response to HEAD is not that of a body.
		return nil, nil
	}
	var buffer responseBuffer
	defer buffer.release(&x.client.memory)
	return membudget.ReadBody(resp.Body, resp.ContentLength, x.client.memory.maxBody(), func(size int64) error {
		if err := buffer.grow(&x.client.memory, size); err != nil {
			return err
		}
		if x.request.OnBuffer != nil {
			x.request.OnBuffer(size)
		}
		return nil
	})
}

// encode returns the head of the request as it is written to the connection, and the request as
// http.ReadResponse needs it.
func (x *exchange) encode(ctx context.Context) (*http.Request, []byte) {
	r := x.request
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxSyncWriteBytes))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	names := x.client.names
	if deadline, ok := ctx.Deadline(); ok {
		fmt.Fprintf(&b, "%s: %d\r\n", names.Timeout, max(1, time.Until(deadline).Milliseconds()))
	}
	fmt.Fprintf(&b, "%s: %s\r\n", names.Target, x.target.Name)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	// http.ReadResponse uses only the method.
	return &http.Request{Method: r.Method}, b.Bytes()
}

// write sends the request and returns the number of bytes that the connection has accepted. The
// rest of a long request is written while the response is being read: a target may respond before
// it has read the whole request, and not read on until its response has been read.
//
// A short body is appended to the head, so that one write sends both. A long one is not copied.
func (x *exchange) write(head, body []byte) (int, error) {
	appended := max(0, min(maxSyncWriteBytes-len(head), len(body)))
	head, body = append(head, body[:appended]...), body[appended:]
	first := head[:min(len(head), maxSyncWriteBytes)]
	sent, err := x.conn.Write(first)
	if err != nil || len(first) == len(head) && len(body) == 0 {
		return sent, err
	}
	rest := net.Buffers{head[len(first):], body}
	x.writeDone = make(chan error, 1)
	go func() {
		_, err := rest.WriteTo(x.conn.Conn.Conn)
		x.writeDone <- err
	}()
	return sent, nil
}

var (
	// errNoID means that a response without a request's ID came on a connection that has carried other
	// requests: it may be one to any of them.
	errNoID         = errors.New("received a response without the ID of a request")
	errLateTooLarge = errors.New("the responses to other requests exceed the size limit")
)

// readHead reads the head of the response. It skips informational responses and late responses to
// earlier requests.
func (x *exchange) readHead(req *http.Request) (*http.Response, error) {
	late := int64(maxLateBytes)
	for range maxLateResponses {
		resp, err := x.conn.reader.ReadResponse(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		id := resp.Header.Get(x.client.names.RequestID)
		if id == x.request.ID {
			return resp, nil
		}
		if id == "" {
			if x.conn.reused {
				return nil, errNoID
			}
			return resp, nil
		}
		discarded, err := io.Copy(io.Discard, io.LimitReader(resp.Body, late+1))
		if late -= discarded; err == nil && late < 0 {
			err = errLateTooLarge
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// checkReusable decides whether the connection can carry another request.
func (x *exchange) checkReusable(resp *http.Response) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if x.writeDone != nil {
		select {
		case err := <-x.writeDone:
			framed = framed && err == nil
		default:
			// The rest of the request is still being written.
			framed = false
		}
	}
	x.reusable = framed && !resp.Close && x.conn.reader.Buffered() == 0
	x.keepAlive = resp.Header.Get("Keep-Alive")
}

// targetStatus returns the status that the target reported. If another target now has the address,
// the status is not that of this one and is ignored.
func (x *exchange) targetStatus(resp *http.Response) ReportedStatus {
	names := x.client.names
	if who := resp.Header.Get(names.RespondingTarget); who != "" && who != x.target.Name {
		return ReportedStatus{}
	}
	status := ReportedStatus{FromTarget: true, Leaving: resp.Header.Get(names.Leaving) != ""}
	status.Limit = parseLimit(resp.Header.Get(names.Limit))
	status.Slowness = parseSlowness(resp.Header.Get(names.Load))
	if resp.StatusCode == http.StatusServiceUnavailable {
		status.Pause = parseRetryAfter(resp.Header.Get("Retry-After"))
	}
	return status
}

const (
	// loadFields is the number of fields of a load header: requests running, requests waiting,
	// slots, and the time that work takes now in percent of the usual time. Older targets send only
	// the first three.
	loadFields = 4
	// maxSlowness replaces larger values of the slowness.
	maxSlowness = 100
)

// parseSlowness returns the slowness from a load header; 0 if it has none.
func parseSlowness(header string) float64 {
	fields := strings.Split(header, ",")
	if len(fields) != loadFields {
		return 0
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(fields[loadFields-1]), 64)
	if err != nil || math.IsNaN(percent) || percent <= 0 {
		return 0
	}
	return min(percent/100, maxSlowness)
}

const (
	// minLimit, in requests a second, replaces lower limits: a target that gets no request at all
	// could not report another limit.
	minLimit = 0.05
	// maxLimit, in requests a second, replaces higher limits.
	maxLimit = 1e6
)

// parseLimit returns the limit from a limit header, in requests a second; 0 if it has none.
func parseLimit(header string) float64 {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		return 0
	}
	return min(max(perSecond, minLimit), maxLimit)
}

// parseRetryAfter returns the time from a Retry-After header in seconds, which may have a fraction.
// It returns 0 for any other content.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}
