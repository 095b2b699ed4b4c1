// Package orders carries grants and releases of keys to targets.
//
// An order goes to an address, but concerns one start of one process: a target that has been
// started again at the same address, or another that got the address, must not be given the
// keys of the former one under an old fence. So each order names the target that it is for;
// any other one refuses it. A target that was started again under its name does not: a renewal
// goes only over a connection that was open before the keys were last granted or renewed, which
// the former process has ended with itself. Where there is none left the renewal is not sent.
package orders

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/wire"
)

const (
	// dialTimeout bounds the making of a connection to a target.
	dialTimeout = 400 * time.Millisecond
	// grantTimeout bounds grants. A target answers within a network delay, or two and the time
	// of a lost packet; one that does not within this is taken to have failed once.
	grantTimeout = 450 * time.Millisecond
	// turnTimeout bounds the wait for earlier grants to the same target: one that hangs, and
	// the making of a new connection.
	turnTimeout = grantTimeout + dialTimeout
	// releaseTimeout bounds releases, which are answered when the running work has ended.
	releaseTimeout = 6 * time.Second
	// maxIdle is the number of connections kept for each target: as many as carry grants at a
	// time, and one for a release beside them.
	maxIdle = grantsAtOnce + 1
	// grantsAtOnce is how many grants and renewals are under way to a target at a time; the
	// others wait for their connections. A target may own dozens of ranges, each renewed
	// every second: with a connection for each, renewals made most of all new connections to
	// targets, which hold a slot for a moment. With fewer, a target that leaves half of its
	// orders unanswered would not get them all within a hold.
	grantsAtOnce = 4
	// idleFor is how long an unused connection is kept; targets close theirs after 10 s.
	idleFor = 5 * time.Second
)

// Encoder writes orders in the form that targets read.
type Encoder interface {
	Grant(from, to uint16, fence uint64, hold time.Duration, handover string) (path string, body []byte, err error)
	Release(from, to uint16, fence uint64) (path string, body []byte, err error)
	Handover(h http.Header) string
}

// Client sends orders. It is safe for concurrent use.
type Client struct {
	encoder Encoder
	names   wire.Names
	clock   clock.Clock
	// may is asked right before an order is sent; it reports whether this instance still
	// leads. A process that was stopped between the decision and the sending must not send.
	may func() bool

	mu      sync.Mutex
	targets map[string]*connections
	// turns holds a token for each grant under way to a target.
	turns map[string]chan struct{}
}

// connections are those to one target.
type connections struct {
	idle []*conn
	busy []*conn
	// changed is closed when a busy one has become idle or was closed.
	changed chan struct{}
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
	// openAt is when the connection was open at the latest.
	openAt clock.Instant
}

// NewClient returns a client without connections.
func NewClient(encoder Encoder, names wire.Names, c clock.Clock, may func() bool) *Client {
	return &Client{encoder: encoder, names: names, clock: c, may: may, targets: map[string]*connections{}, turns: map[string]chan struct{}{}}
}

// Do carries out an order and says what is known of its effect, and when it was sent.
func (c *Client) Do(ctx context.Context, o assign.Order) (outcome assign.Outcome, handover string, sentAt clock.Instant) {
	if o.Kind != assign.Release {
		done, err := c.turn(ctx, o.Target)
		if err != nil {
			return assign.NotSent, "", clock.Never
		}
		defer done()
	}
	cn, err := c.connect(ctx, o)
	if errors.Is(err, errOnlyNew) {
		return assign.Unverified, "", clock.Never
	}
	if err != nil || !c.may() {
		if cn != nil {
			c.keep(o.Target, cn)
		}
		return assign.NotSent, "", clock.Never
	}
	sentAt = c.clock.Now()
	resp, err := c.exchange(cn, o)
	if err != nil {
		abort(cn)
		c.forget(o.Target, cn)
		return assign.Unknown, "", sentAt
	}
	if resp.Close {
		cn.Close()
		c.forget(o.Target, cn)
	} else {
		c.keep(o.Target, cn)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return assign.Done, c.encoder.Handover(resp.Header), sentAt
	case http.StatusConflict:
		return assign.HigherFence, "", sentAt
	case http.StatusMisdirectedRequest:
		return assign.OtherTarget, "", sentAt
	}
	return assign.Unknown, "", sentAt
}

// errBusy says that earlier orders to the target took too long.
var errBusy = errors.New("orders: earlier orders are still under way")

// turn waits until a grant may be sent to a target. The returned function must be called
// when the grant is over.
func (c *Client) turn(ctx context.Context, target string) (done func(), err error) {
	c.mu.Lock()
	turns := c.turns[target]
	if turns == nil {
		turns = make(chan struct{}, grantsAtOnce)
		c.turns[target] = turns
	}
	c.mu.Unlock()
	timer := time.NewTimer(turnTimeout)
	defer timer.Stop()
	select {
	case turns <- struct{}{}:
		return func() { <-turns }, nil
	case <-timer.C:
		return nil, errBusy
	case <-ctx.Done():
		return nil, fmt.Errorf("orders: %w", ctx.Err())
	}
}

// abort closes a connection with a reset. What a cut holds back of an order is then lost
// and does not arrive when the cut heals.
func abort(cn *conn) {
	if tcp, ok := cn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	cn.Close()
}

func (c *Client) exchange(cn *conn, o assign.Order) (*http.Response, error) {
	timeout := grantTimeout
	var path string
	var body []byte
	var err error
	if o.Kind == assign.Release {
		timeout = releaseTimeout
		path, body, err = c.encoder.Release(o.From, o.To, o.Fence)
	} else {
		path, body, err = c.encoder.Grant(o.From, o.To, o.Fence, o.Hold, o.Handover)
	}
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+o.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(c.names.Target, view.TargetName(o.Target))
	return cn.roundTrip(req, timeout)
}

// roundTrip sends a request and reads the whole answer.
func (cn *conn) roundTrip(req *http.Request, timeout time.Duration) (*http.Response, error) {
	if err := cn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	if _, err := cn.Write(text.Bytes()); err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	resp, err := http.ReadResponse(cn.reader, req)
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	defer resp.Body.Close()
	const maxBody = 64 << 10
	if _, err := io.CopyN(io.Discard, resp.Body, maxBody); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("orders: the answer does not end: %w", err)
	}
	return resp, nil
}

// errOnlyNew says that no connection to the target has been open for as long as the order asks.
var errOnlyNew = errors.New("orders: there is no connection from before")

// oldWait bounds the wait for a connection that is old enough and in use. Renewals of one target
// share few connections and come at the same time when all holds are extended; failing there and
// then left keys unserved while the store was away. A release may keep one for seconds.
const oldWait = 400 * time.Millisecond

// connect returns a connection to the order's target.
func (c *Client) connect(ctx context.Context, o assign.Order) (*conn, error) {
	timer := time.NewTimer(oldWait)
	defer timer.Stop()
	for {
		cn, changed := c.take(o)
		if cn != nil {
			return cn, nil
		}
		if o.ConnectedSince == clock.Never {
			return c.dial(ctx, o)
		}
		if changed == nil {
			return nil, errOnlyNew
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, errOnlyNew
		case <-ctx.Done():
			return nil, fmt.Errorf("orders: %w", ctx.Err())
		}
	}
}

func (c *Client) dial(ctx context.Context, o assign.Order) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	cn := &conn{Conn: raw, reader: bufio.NewReader(raw), openAt: c.clock.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.target(o.Target)
	t.busy = append(t.busy, cn)
	return cn, nil
}

// target returns the connections to a target. The caller holds the lock.
func (c *Client) target(id string) *connections {
	t := c.targets[id]
	if t == nil {
		t = &connections{changed: make(chan struct{})}
		c.targets[id] = t
	}
	return t
}

// take returns an idle connection that seems to be open, and has been for as long as the order
// asks; the one that was opened last, so that the older ones are there for orders that ask more.
// If there is none but one in use would do, it returns what is closed when that changes.
func (c *Client) take(o assign.Order) (*conn, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.target(o.Target)
	var kept []*conn
	for _, cn := range t.idle {
		if time.Since(cn.usedAt) < idleFor && cn.reader.Buffered() == 0 && wire.Reusable(cn.Conn) {
			kept = append(kept, cn)
			continue
		}
		cn.Close()
	}
	t.idle = kept
	best := -1
	for i, cn := range t.idle {
		if cn.serves(o) && (best < 0 || cn.openAt > t.idle[best].openAt) {
			best = i
		}
	}
	if best >= 0 {
		found := t.idle[best]
		t.idle = slices.Delete(t.idle, best, best+1)
		t.busy = append(t.busy, found)
		return found, nil
	}
	if slices.ContainsFunc(t.busy, func(cn *conn) bool { return cn.serves(o) }) {
		return nil, t.changed
	}
	return nil, nil
}

// serves reports whether the connection has been open for as long as an order asks.
func (cn *conn) serves(o assign.Order) bool {
	return o.ConnectedSince == clock.Never || cn.openAt <= o.ConnectedSince
}

// forget takes a connection that was closed out of use.
func (c *Client) forget(target string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target(target).free(cn)
}

// free takes a connection out of use. The caller holds the client's lock.
func (t *connections) free(cn *conn) {
	t.busy = slices.DeleteFunc(t.busy, func(other *conn) bool { return other == cn })
	close(t.changed)
	t.changed = make(chan struct{})
}

func (c *Client) keep(target string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.usedAt = time.Now()
	t := c.target(target)
	t.free(cn)
	if len(t.idle) >= maxIdle {
		cn.Close()
		return
	}
	t.idle = append(t.idle, cn)
}

// RetainTargets closes the idle connections to targets that are not in the list.
func (c *Client) RetainTargets(keep func(target string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, t := range c.targets {
		if keep(target) {
			continue
		}
		for _, cn := range t.idle {
			cn.Close()
		}
		t.idle = nil
		if len(t.busy) == 0 {
			delete(c.targets, target)
		}
	}
	for target := range c.turns {
		if !keep(target) {
			// Whoever waits has a turn of its own still.
			delete(c.turns, target)
		}
	}
}
