// Package orders sends grants, renewals and releases of keys to targets.
//
// An order is sent to an address, but is meant for one particular start of a process. A target that
// has been restarted at the same address, or another target that now has the address, must not be
// given the keys of the previous one under an old fence. Each order therefore names its target, and
// any other target refuses it. The name does not protect against a restart under the same name. A
// renewal is therefore only sent over a connection that was open before the keys were last granted
// or renewed: such a connection ended together with the previous process. If there is none left,
// the renewal is not sent.
package orders

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/targetdial"
)

const (
	// dialTimeout limits connecting to a target.
	dialTimeout = 400 * time.Millisecond
	// grantTimeout limits grants and renewals. A target responds within one network delay, or two
	// plus the time to resend a lost packet; an order that takes longer counts as failed.
	grantTimeout = 450 * time.Millisecond
	// grantTokenTimeout limits the wait for earlier grants to the same target: one that gets no
	// response, and making a new connection.
	grantTokenTimeout = grantTimeout + dialTimeout
	// releaseTimeout limits releases, to which targets respond once the running requests have
	// ended.
	releaseTimeout = 6 * time.Second
	// maxIdleConnections is the number of idle connections kept for each target: one for each
	// concurrent grant, and one for a release.
	maxIdleConnections = maxConcurrentGrants + 1
	// maxConcurrentGrants is the number of grants and renewals sent to a target at the same time;
	// the others wait. A target may own dozens of ranges, each renewed every second. If each
	// renewal used its own connection, renewals would make most of the new connections to targets,
	// and use up those that a target accepts. With a lower number, a target that responds to only
	// half of its orders would not get all of them within a hold.
	maxConcurrentGrants = 4
	// readBufferBytes is enough for the response to an order, in bytes.
	readBufferBytes = 4 << 10
	// idleTimeout is how long an unused connection is kept; targets close theirs after 10 s.
	idleTimeout = 5 * time.Second
)

// Encoder translates orders into the requests that targets understand, and reads the handover
// reference from their responses.
type Encoder interface {
	Grant(from, to uint16, fence uint64, hold time.Duration, handover string) (path string, body []byte, err error)
	Release(from, to uint16, fence uint64) (path string, body []byte, err error)
	Handover(h http.Header) string
}

// Client sends orders to targets. It is safe for concurrent use.
type Client struct {
	dialer  *targetdial.Dialer
	encoder Encoder
	names   wire.Names
	clock   clock.Clock
	// isLeader reports whether this instance still leads. It is called right before an order is
	// sent, since the process may have been paused after the decision.
	isLeader func() bool

	mu      sync.Mutex
	targets map[string]*connections
	// grantTokens holds, for each target, a token for each grant that is being sent to it.
	grantTokens map[string]chan struct{}
}

// connections holds the connections to one target.
type connections struct {
	idle []*conn
	busy []*conn
	// changed is closed and replaced when a busy connection becomes idle or is closed.
	changed chan struct{}
	// replacing says that a direct connection is being made beside one through another instance.
	replacing bool
}

// conn is a connection to a target.
type conn struct {
	targetdial.Conn
	reader    *wire.ResponseReader
	idleSince time.Time
	// used says that the connection has carried an order; lastHandover is the handover reference of the
	// last response.
	used         bool
	lastHandover string
	// openedAt is a time at which the connection was already open.
	openedAt clock.Instant
}

// NewClient returns a client without connections; the dialer makes them. isLeader reports whether this instance leads.
func NewClient(dialer *targetdial.Dialer, encoder Encoder, names wire.Names, c clock.Clock, isLeader func() bool) *Client {
	return &Client{dialer: dialer, encoder: encoder, names: names, clock: c, isLeader: isLeader, targets: map[string]*connections{}, grantTokens: map[string]chan struct{}{}}
}

// Do sends an order. It returns what is known about its effect, the handover reference of the
// target's response, and when the order was sent; clock.Never if it was not sent.
func (c *Client) Do(ctx context.Context, o assign.Order) (outcome assign.Outcome, handover string, sentAt clock.Instant) {
	if o.Kind != assign.Release {
		release, err := c.acquireGrantToken(ctx, o.Target)
		if err != nil {
			return assign.OutcomeNotSent, "", clock.Never
		}
		defer release()
	}
	cn, err := c.connect(ctx, o)
	if errors.Is(err, errNoConnectionSince) {
		return assign.OutcomeUnverified, "", clock.Never
	}
	if err != nil || !c.isLeader() {
		if cn != nil {
			c.put(o.Target, cn)
		}
		return assign.OutcomeNotSent, "", clock.Never
	}
	sentAt = c.clock.Now()
	resp, err := c.exchange(cn, o)
	if err != nil {
		// Parts of an order that are delayed by a network partition are then dropped and do not arrive
		// when the partition ends.
		wire.CloseWithReset(cn.Conn.Conn)
		c.removeClosed(o.Target, cn)
		return assign.OutcomeUnknown, "", sentAt
	}
	c.replaceTunnel(ctx, o, cn)
	if resp.Close {
		cn.Close()
		c.removeClosed(o.Target, cn)
	} else {
		c.put(o.Target, cn)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return assign.OutcomeDone, c.encoder.Handover(resp.Header), sentAt
	case http.StatusConflict:
		return assign.OutcomeHigherFence, "", sentAt
	case http.StatusMisdirectedRequest:
		return assign.OutcomeOtherTarget, "", sentAt
	}
	return assign.OutcomeUnknown, "", sentAt
}

// errNoGrantToken means that too many earlier grants were being sent to the target until the wait
// ended.
var errNoGrantToken = errors.New("orders: too many grants are being sent to the target")

// acquireGrantToken waits until a grant may be sent to the target. The returned function must be
// called when the grant is over.
func (c *Client) acquireGrantToken(ctx context.Context, target string) (release func(), err error) {
	c.mu.Lock()
	tokens := c.grantTokens[target]
	if tokens == nil {
		tokens = make(chan struct{}, maxConcurrentGrants)
		c.grantTokens[target] = tokens
	}
	c.mu.Unlock()
	timer := time.NewTimer(grantTokenTimeout)
	defer timer.Stop()
	select {
	case tokens <- struct{}{}:
		return func() { <-tokens }, nil
	case <-timer.C:
		return nil, errNoGrantToken
	case <-ctx.Done():
		return nil, fmt.Errorf("orders: wait to send a grant: %w", ctx.Err())
	}
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
		return nil, fmt.Errorf("orders: build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(c.names.Target, view.TargetName(o.Target))
	resp, err := cn.roundTrip(req, timeout)
	if err != nil {
		return nil, err
	}
	handover := c.encoder.Handover(resp.Header)
	late := cn.used && o.Kind == assign.Release && (handover == "" || handover == cn.lastHandover)
	cn.used, cn.lastHandover = true, handover
	if late {
		return nil, errLateResponse
	}
	return resp, nil
}

// errLateResponse means that the response to a release is one to an earlier order. Responses to orders
// have no ID, and a target may send one once more when it has received the next order. Keys whose release
// has not ended must not be granted to another target. The response to a release has a handover reference
// of its own. Copies of others do no harm: a target that does not hold a key refuses its requests.
var errLateResponse = errors.New("orders: received a late response to an earlier order")

// roundTrip sends a request and reads the complete response.
func (cn *conn) roundTrip(req *http.Request, timeout time.Duration) (*http.Response, error) {
	if err := cn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, fmt.Errorf("orders: set deadline: %w", err)
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, fmt.Errorf("orders: encode request: %w", err)
	}
	if _, err := cn.Write(text.Bytes()); err != nil {
		return nil, fmt.Errorf("orders: write request: %w", err)
	}
	resp, err := cn.reader.ReadResponse(req)
	if err != nil {
		return nil, fmt.Errorf("orders: read response: %w", err)
	}
	defer resp.Body.Close()
	const maxResponseBytes = 64 << 10
	if _, err := io.CopyN(io.Discard, resp.Body, maxResponseBytes); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("orders: response body is too long or incomplete: %w", err)
	}
	return resp, nil
}

// errNoConnectionSince means that no connection to the target has been open for as long as the order
// requires.
var errNoConnectionSince = errors.New("orders: no connection to the target has been open since the last grant")

// maxConnectionWait limits the wait for a connection that is old enough but in use. The renewals of
// a target share few connections and are sent at the same time when all holds are extended. Without
// the wait some would fail, and their keys would not be served while the store is unavailable. The
// wait must be limited, since a release may use a connection for seconds.
const maxConnectionWait = 400 * time.Millisecond

// connect returns a connection to the order's target that is old enough for the order, and marks it
// as busy.
func (c *Client) connect(ctx context.Context, o assign.Order) (*conn, error) {
	timer := time.NewTimer(maxConnectionWait)
	defer timer.Stop()
	for {
		cn, changed := c.take(o)
		if cn != nil {
			return cn, nil
		}
		if o.ConnectionOpenSince == clock.Never {
			return c.dial(ctx, o)
		}
		if changed == nil {
			return nil, errNoConnectionSince
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, errNoConnectionSince
		case <-ctx.Done():
			return nil, fmt.Errorf("orders: wait for a connection: %w", ctx.Err())
		}
	}
}

func (c *Client) dial(ctx context.Context, o assign.Order) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dialer.Dial(ctx, dialTarget(o))
	if err != nil {
		return nil, fmt.Errorf("orders: connect to target: %w", err)
	}
	cn := &conn{Conn: raw, reader: wire.NewResponseReader(raw, readBufferBytes), openedAt: c.clock.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.target(o.Target)
	t.busy = append(t.busy, cn)
	return cn, nil
}

// dialTarget returns the target of an order as the dialer needs it. An order that counts as failed must
// not be delivered later by another instance.
func dialTarget(o assign.Order) targetdial.Target {
	return targetdial.Target{ID: o.Target, Address: o.Address, MaxDelay: grantTimeout}
}

// usable reports whether a connection should be used. One through another instance is used on after the
// direct path works again, because renewals require a connection that was open before.
func (c *Client) usable(target string, cn *conn) bool {
	if cn.Peer == "" {
		return c.dialer.Usable(target, cn.Conn)
	}
	return c.dialer.PeerListed(cn.Conn)
}

// replaceTunnel opens a direct connection beside one through another instance when the direct path works
// again. It is used once it is old enough for renewals.
func (c *Client) replaceTunnel(ctx context.Context, o assign.Order, cn *conn) {
	if cn.Peer == "" || c.dialer.ThroughPeer(o.Target) || !c.beginReplacing(o.Target) {
		return
	}
	go func() {
		direct, err := c.dial(ctx, o)
		c.mu.Lock()
		c.target(o.Target).replacing = false
		c.mu.Unlock()
		if err == nil {
			c.put(o.Target, direct)
		}
	}()
}

// beginReplacing reports whether the target has no direct connection yet, and none is being made.
func (c *Client) beginReplacing(target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.target(target)
	isDirect := func(cn *conn) bool { return cn.Peer == "" }
	if t.replacing || slices.ContainsFunc(t.idle, isDirect) || slices.ContainsFunc(t.busy, isDirect) {
		return false
	}
	t.replacing = true
	return true
}

// target returns the connections to a target. The caller must hold the lock.
func (c *Client) target(id string) *connections {
	t := c.targets[id]
	if t == nil {
		t = &connections{changed: make(chan struct{})}
		c.targets[id] = t
	}
	return t
}

// take returns an idle connection that seems to be open and is old enough for the order. It takes
// the one that was opened last, to leave older ones for orders that require them. If there is none,
// but a busy one is old enough, it returns a channel that is closed when the busy connections
// change.
func (c *Client) take(o assign.Order) (*conn, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.target(o.Target)
	var usable []*conn
	for _, cn := range t.idle {
		if time.Since(cn.idleSince) < idleTimeout && cn.reader.Buffered() == 0 && c.usable(o.Target, cn) && wire.Reusable(cn.Conn.Conn) {
			usable = append(usable, cn)
			continue
		}
		cn.Close()
	}
	t.idle = usable
	best := -1
	for i, cn := range t.idle {
		if cn.openSince(o) && (best < 0 || cn.openedAt > t.idle[best].openedAt) {
			best = i
		}
	}
	if best >= 0 {
		cn := t.idle[best]
		t.idle = slices.Delete(t.idle, best, best+1)
		t.busy = append(t.busy, cn)
		return cn, nil
	}
	if slices.ContainsFunc(t.busy, func(cn *conn) bool { return cn.openSince(o) }) {
		return nil, t.changed
	}
	return nil, nil
}

// openSince reports whether the connection has been open since the time that the order requires.
func (cn *conn) openSince(o assign.Order) bool {
	return o.ConnectionOpenSince == clock.Never || cn.openedAt <= o.ConnectionOpenSince
}

// removeClosed removes a connection that has been closed.
func (c *Client) removeClosed(target string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target(target).removeBusy(cn)
}

// removeBusy removes a connection from the busy ones. The caller must hold the client's lock.
func (t *connections) removeBusy(cn *conn) {
	t.busy = slices.DeleteFunc(t.busy, func(other *conn) bool { return other == cn })
	close(t.changed)
	t.changed = make(chan struct{})
}

// put returns a busy connection to the idle ones, or closes it if there are enough of them.
func (c *Client) put(target string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.idleSince = time.Now()
	t := c.target(target)
	t.removeBusy(cn)
	if len(t.idle) >= maxIdleConnections {
		cn.Close()
		return
	}
	t.idle = append(t.idle, cn)
}

// CloseIdleExcept closes the idle connections to all targets that are not listed.
func (c *Client) CloseIdleExcept(listed func(target string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, t := range c.targets {
		if listed(target) {
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
	for target := range c.grantTokens {
		if !listed(target) {
			// Grants that still wait keep a reference to the deleted channel.
			delete(c.grantTokens, target)
		}
	}
}
