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

	mu   sync.Mutex
	idle map[string][]*conn
	// turns holds a token for each grant under way to a target.
	turns map[string]chan struct{}
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
	return &Client{encoder: encoder, names: names, clock: c, may: may, idle: map[string][]*conn{}, turns: map[string]chan struct{}{}}
}

// Do carries out an order and says what is known of its effect.
func (c *Client) Do(ctx context.Context, o assign.Order) (assign.Outcome, string) {
	if o.Kind != assign.Release {
		done, err := c.turn(ctx, o.Target)
		if err != nil {
			return assign.NotSent, ""
		}
		defer done()
	}
	cn, err := c.connect(ctx, o)
	if errors.Is(err, errOnlyNew) {
		return assign.Unverified, ""
	}
	if err != nil || !c.may() {
		if cn != nil {
			c.keep(o.Target, cn)
		}
		return assign.NotSent, ""
	}
	resp, err := c.exchange(cn, o)
	if err != nil {
		abort(cn)
		return assign.Unknown, ""
	}
	if resp.Close {
		cn.Close()
	} else {
		c.keep(o.Target, cn)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return assign.Done, c.encoder.Handover(resp.Header)
	case http.StatusConflict:
		return assign.HigherFence, ""
	case http.StatusMisdirectedRequest:
		return assign.OtherTarget, ""
	}
	return assign.Unknown, ""
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
	req.Header.Set(c.names.Target, view.NameOf(o.Target))
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

// connect returns a connection to the order's target.
func (c *Client) connect(ctx context.Context, o assign.Order) (*conn, error) {
	if cn := c.take(o); cn != nil {
		return cn, nil
	}
	if o.Since != clock.Never {
		return nil, errOnlyNew
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), openAt: c.clock.Now()}, nil
}

// take returns an idle connection that seems to be open, and has been for as long as the order
// asks; the one that was opened last, so that the older ones are there for orders that ask more.
func (c *Client) take(o assign.Order) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*conn
	for _, cn := range c.idle[o.Target] {
		if time.Since(cn.usedAt) < idleFor && cn.reader.Buffered() == 0 && wire.Quiet(cn.Conn) {
			kept = append(kept, cn)
			continue
		}
		cn.Close()
	}
	best := -1
	for i, cn := range kept {
		old := o.Since == clock.Never || cn.openAt <= o.Since
		if old && (best < 0 || cn.openAt > kept[best].openAt) {
			best = i
		}
	}
	var found *conn
	if best >= 0 {
		found = kept[best]
		kept = slices.Delete(kept, best, best+1)
	}
	c.idle[o.Target] = kept
	return found
}

func (c *Client) keep(target string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.usedAt = time.Now()
	if len(c.idle[target]) >= maxIdle {
		cn.Close()
		return
	}
	c.idle[target] = append(c.idle[target], cn)
}

// Forget closes the idle connections to targets that are not in the list.
func (c *Client) Forget(keep func(target string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, list := range c.idle {
		if keep(target) {
			continue
		}
		for _, cn := range list {
			cn.Close()
		}
		delete(c.idle, target)
	}
	for target := range c.turns {
		if !keep(target) {
			// Whoever waits has a turn of its own still.
			delete(c.turns, target)
		}
	}
}
