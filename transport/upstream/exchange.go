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

	"lycheehall.example/lycheehall/protocol/wire"
)

// The errors of a try.
var (
	// ErrNotSent says that no byte of the request was taken by a connection.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrNotExecuted says that the target has said that the request did not run.
	ErrNotExecuted = errors.New("upstream: not run")
	// ErrOutcomeUnknown says that the request may have run and that there is no whole answer.
	ErrOutcomeUnknown = errors.New("upstream: broken off")
	// ErrTargetExited comes with ErrBroken where the target's process has ended meanwhile: its address
	// refuses connections.
	ErrTargetExited = errors.New("upstream: the target has ended")
)

// TargetStatus is what a target says of itself beside an answer.
type TargetStatus struct {
	// Known says that the target itself answered: what the word does not say, the target does not say.
	Known bool
	// Leaving says that the target is about to leave.
	Leaving bool
	// Pause is how long the target wants nothing more from this instance; 0: it does not say.
	Pause time.Duration
	// Slowness is how many times as long as usual work takes at the target now; 0: it does not say.
	Slowness float64
	// Limit is how many requests a second the target takes from all instances together; 0: it names none.
	Limit float64
}

// NotExecutedError is a target's word that it did not run a request.
type NotExecutedError struct {
	Status       int
	TargetStatus TargetStatus
}

func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("%v: status %d", ErrNotExecuted, e.Status)
}

// Unwrap returns ErrNotRun.
func (e *NotExecutedError) Unwrap() error { return ErrNotExecuted }

// Request is what is sent to a target.
type Request struct {
	ID     string
	Method string
	// URI is the request line's target, unchanged from the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent says that the request may run twice.
	Idempotent bool
}

// Response is a target's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close says that the target closes the connection, as one that leaves does.
	Close        bool
	TargetStatus TargetStatus
}

// Target is where a request goes.
type Target struct {
	// ID is what connections are kept under: a process that was started again has none.
	ID string
	// Name is what the target goes by; it refuses requests for another.
	Name    string
	Address string
	// MaxConnections bounds this instance's connections to the target; 0: no bound.
	MaxConnections int
}

const (
	// maxAnswer bounds the answers that are kept in memory, in bytes.
	maxAnswer = 64 << 20
	// maxLate is how many answers to earlier requests are skipped.
	maxLate = 8
	// inlineBody is the largest body that is written before the answer is awaited. It fits
	// the windows of a connection, so that writing it cannot block on a target that does
	// not read.
	inlineBody = 2 << 10
	// longestPause bounds what is taken from a Retry-After header, which could overflow a duration.
	longestPause = 24 * time.Hour
)

// Client sends requests to targets.
type Client struct {
	pool  *Pool
	names wire.Names
}

// NewClient returns a client that uses the pool.
func NewClient(pool *Pool, names wire.Names) *Client { return &Client{pool: pool, names: names} }

// Do makes one try. The deadline of ctx is told to the target.
func (c *Client) Do(ctx context.Context, t Target, r *Request) (*Response, error) {
	conn := c.pool.take(t.ID, !r.Idempotent)
	if conn == nil {
		var err error
		if conn, err = c.pool.dial(ctx, t.ID, t.Address, t.MaxConnections); err != nil {
			return nil, err
		}
	}
	// The end of ctx ends reading and writing at once: a target stops work on a request
	// whose connection is closed.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{client: c, conn: conn, target: t, request: r}
	answer, err := x.run(ctx)
	if !stop() || err != nil && !errors.Is(err, ErrNotExecuted) {
		c.pool.discard(t.ID, conn)
		if err == nil {
			return answer, nil
		}
		if x.cut && ctx.Err() == nil && c.pool.refuses(ctx, t) {
			err = fmt.Errorf("%w: %w", ErrTargetExited, err)
		}
		return nil, err
	}
	if !x.clean {
		c.pool.discard(t.ID, conn)
		return answer, err
	}
	c.pool.keep(t.ID, conn, x.keepAlive)
	return answer, err
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client  *Client
	conn    *Conn
	target  Target
	request *Request
	// clean says that the connection can carry another request.
	clean     bool
	keepAlive string
	// cut says that the connection ended after the request was sent on it, before its answer.
	cut     bool
	written chan error
}

func (x *exchange) run(ctx context.Context) (*Response, error) {
	req, text := x.encode(ctx)
	if sent, err := x.write(text); err != nil {
		if x.conn.reused {
			x.client.pool.met(x.target.ID)
		}
		if sent == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, x.broken(err)
	}
	resp, err := x.head(req)
	if err != nil {
		if x.conn.reused && ctx.Err() == nil {
			x.client.pool.met(x.target.ID)
		}
		return nil, x.broken(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, x.broken(err)
	}
	if len(body) > maxAnswer {
		return nil, fmt.Errorf("%w: the answer is too large", ErrOutcomeUnknown)
	}
	x.judgeConnection(resp)
	return x.judge(resp, body)
}

// broken says that there is no whole answer, and notes whether that is since the connection ended.
func (x *exchange) broken(err error) error {
	var failed *net.OpError
	x.cut = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed)
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// encode returns the request as it goes over the wire.
func (x *exchange) encode(ctx context.Context) (*http.Request, []byte) {
	r := x.request
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// The writer is a buffer, which does not fail.
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
	b.Write(r.Body)
	// Only the method matters for reading the answer.
	return &http.Request{Method: r.Method}, b.Bytes()
}

// write sends the request and returns how many bytes the connection has taken. A long one
// is written beside the reading of the answer: a target may answer before it has read all,
// and not read on until its answer has been taken.
func (x *exchange) write(text []byte) (int, error) {
	if len(text) <= inlineBody {
		return x.conn.Write(text)
	}
	sent, err := x.conn.Write(text[:inlineBody])
	if err != nil {
		return sent, err
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(text[inlineBody:])
		x.written <- err
	}()
	return sent, nil
}

// head reads the head of the answer, and skips answers to earlier requests.
func (x *exchange) head(req *http.Request) (*http.Response, error) {
	for range maxLate {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		id := resp.Header.Get(x.client.names.RequestID)
		if id == "" || id == x.request.ID {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers to other requests")
}

// judgeConnection decides whether the connection can be used again.
func (x *exchange) judgeConnection(resp *http.Response) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if x.written != nil {
		select {
		case err := <-x.written:
			framed = framed && err == nil
		default:
			// The rest of the body is still on its way.
			framed = false
		}
	}
	x.clean = framed && !resp.Close && x.conn.reader.Buffered() == 0
	x.keepAlive = resp.Header.Get("Keep-Alive")
}

// judge decides what an answer says.
func (x *exchange) judge(resp *http.Response, body []byte) (*Response, error) {
	names := x.client.names
	if resp.Header.Get(names.NotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return nil, &NotExecutedError{Status: resp.StatusCode, TargetStatus: x.word(resp)}
	}
	if resp.Header.Get(names.Signature) == "" || resp.Header.Get(names.RequestID) != x.request.ID {
		return nil, fmt.Errorf("%w: status %d without the target's signature", ErrOutcomeUnknown, resp.StatusCode)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close, TargetStatus: x.word(resp)}, nil
}

// word returns what the target says of itself. Another one that has come to its address speaks for
// itself only.
func (x *exchange) word(resp *http.Response) TargetStatus {
	names := x.client.names
	if who := resp.Header.Get(names.AnsweredBy); who != "" && who != x.target.Name {
		return TargetStatus{}
	}
	w := TargetStatus{Known: true, Leaving: resp.Header.Get(names.Leaving) != ""}
	w.Limit = limitOf(resp.Header.Get(names.Limit))
	w.Slowness = slownessOf(resp.Header.Get(names.Load))
	if resp.StatusCode == http.StatusServiceUnavailable {
		w.Pause = pauseOf(resp.Header.Get("Retry-After"))
	}
	return w
}

const (
	// loadFields is the number of figures in a load header: requests running, waiting and slots, and how
	// long work takes now, in percent of the usual. Older targets send the first three.
	loadFields = 4
	// mostSlowness bounds what is believed of the last one.
	mostSlowness = 100
)

// slownessOf reads how many times as long as usual work takes from a load header; 0: it does not say.
func slownessOf(header string) float64 {
	fields := strings.Split(header, ",")
	if len(fields) != loadFields {
		return 0
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(fields[loadFields-1]), 64)
	if err != nil || math.IsNaN(percent) || percent <= 0 {
		return 0
	}
	return min(percent/100, mostSlowness)
}

const (
	// leastLimit stands for any lower one, in requests a second: a target that gets no request at all
	// cannot name another limit.
	leastLimit = 0.05
	// mostLimit bounds what is believed, in requests a second.
	mostLimit = 1e6
)

// limitOf reads a limit in requests a second; 0: the header names none.
func limitOf(header string) float64 {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		return 0
	}
	return min(max(perSecond, leastLimit), mostLimit)
}

// pauseOf reads a Retry-After header in seconds, which may have a fraction. Whatever else it holds says
// nothing.
func pauseOf(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, longestPause.Seconds()) * float64(time.Second))
}
