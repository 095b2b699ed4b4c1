package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lycheehall.example/lycheehall/protocol/peerapi"
)

// ServiceName is the net/rpc service name that instances register.
const ServiceName = "Peer"

// ErrNoReply means that the peer did not reply. It may or may not have received the call.
var ErrNoReply = errors.New("peers: no reply")

const (
	// dialTimeout limits how long connecting may take. The data centres of a region are only a few
	// milliseconds apart.
	dialTimeout = 300 * time.Millisecond
	// keepAliveInterval and keepAliveCount make an idle connection fail when its peer has become
	// unreachable.
	keepAliveInterval = 300 * time.Millisecond
	keepAliveCount    = 3
	// ackTimeout is the time after which a connection fails if the peer does not acknowledge sent
	// data.
	ackTimeout = 900 * time.Millisecond
	// redialDelay is the pause after a failed connection attempt, during which calls fail immediately.
	// Otherwise every call to an unreachable peer waits for another connection attempt.
	redialDelay = 200 * time.Millisecond
)

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	security Security
	dial     func(address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one instance. Lock order: connecting, then mu.
type peer struct {
	// connecting is held while a connection is established, which includes waiting for the network. It
	// guards failedAt and lastErr.
	connecting sync.Mutex
	failedAt   time.Time
	lastErr    error

	// mu guards client. It is held only briefly.
	mu     sync.Mutex
	client *rpc.Client
}

// NewClient returns a client without connections.
func NewClient(s Security) *Client {
	return &Client{security: s, dial: dial, peers: map[string]*peer{}}
}

func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return dialer.Dial("tcp", address)
}

// peer returns the peer at an address, and adds it if necessary.
func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	return p
}

// current returns the established connection to the peer, or nil.
func (p *peer) current() *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// connect returns the connection to a peer, and establishes it if necessary.
func (c *Client) connect(p *peer, address string) (*rpc.Client, error) {
	p.connecting.Lock()
	defer p.connecting.Unlock()
	if client := p.current(); client != nil {
		return client, nil
	}
	if time.Since(p.failedAt) < redialDelay {
		return nil, p.lastErr
	}
	conn, err := c.dial(address)
	if err == nil {
		setAckTimeout(conn, ackTimeout)
		conn, err = secure(conn, c.security.secureClient)
	}
	if err != nil {
		p.failedAt = time.Now()
		p.lastErr = fmt.Errorf("%w: %w", ErrNoReply, err)
		return nil, p.lastErr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = rpc.NewClient(conn)
	return p.client, nil
}

// secure calls one of Security's methods, and closes the connection if that fails.
func secure(conn net.Conn, side func(net.Conn) (net.Conn, error)) (net.Conn, error) {
	secured, err := side(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// setAckTimeout makes a connection fail when its peer does not acknowledge sent data for the given
// time. Without it a write to a machine that has lost power blocks for minutes. If the option cannot be
// set, the time limit of each call still applies.
func setAckTimeout(conn net.Conn, timeout time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// drop closes a failed connection, so that the next call establishes a new one.
func (p *peer) drop(client *rpc.Client) {
	if client == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == client {
		p.client = nil
	}
	// Close only fails if the connection is closed already.
	_ = client.Close()
}

// startedCall is a call in progress with its connection, or the error that prevented it.
type startedCall struct {
	client *rpc.Client
	call   *rpc.Call
	err    error
}

// start starts a call in another goroutine, because it may block: establishing a connection takes
// time, and sending to a peer that does not read blocks until its connection is dropped.
func (c *Client) start(p *peer, address, method string, args, reply any) <-chan startedCall {
	started := make(chan startedCall, 1)
	go func() {
		client, err := c.connect(p, address)
		if err != nil {
			started <- startedCall{err: err}
			return
		}
		started <- startedCall{client: client, call: client.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))}
	}()
	return started
}

// call makes a call and waits for its result until ctx ends. If the call exceeds the deadline of ctx,
// the connection is dropped.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	p := c.peer(address)
	var s startedCall
	select {
	case s = <-c.start(p, address, method, args, reply):
	case <-ctx.Done():
		return p.contextError(ctx, p.current())
	}
	if s.err != nil {
		return s.err
	}
	select {
	case call := <-s.call.Done:
		if call.Error == nil {
			return nil
		}
		var serverErr rpc.ServerError
		if !errors.As(call.Error, &serverErr) {
			p.drop(s.client)
		}
		return fmt.Errorf("%w: %w", ErrNoReply, call.Error)
	case <-ctx.Done():
		return p.contextError(ctx, s.client)
	}
}

// contextError returns the error of a call whose context has ended, and drops the connection if the
// deadline was exceeded.
func (p *peer) contextError(ctx context.Context, client *rpc.Client) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		p.drop(client)
	}
	return fmt.Errorf("%w: %w", ErrNoReply, ctx.Err())
}

// Sync sends a report to an instance and returns its reply.
func (c *Client) Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error) {
	var reply peerapi.SyncReply
	err := c.call(ctx, address, "Sync", args, &reply)
	return &reply, err
}

// Acquire requests a permit from the keeper of a pool, the instance that grants its permits.
func (c *Client) Acquire(ctx context.Context, address string, args *peerapi.AcquireArgs) (*peerapi.AcquireReply, error) {
	var reply peerapi.AcquireReply
	err := c.call(ctx, address, "Acquire", args, &reply)
	return &reply, err
}

// Release returns a permit. It waits neither for a reply nor for a connection, and does nothing if
// there is no connection: the keeper reclaims permits that are not returned.
func (c *Client) Release(address string, args *peerapi.ReleaseArgs) {
	client := c.peer(address).current()
	if client == nil {
		return
	}
	go client.Go(ServiceName+".Release", args, &peerapi.Empty{}, make(chan *rpc.Call, 1))
}

// Describe asks an instance for a description of its state.
func (c *Client) Describe(ctx context.Context, address string, args *peerapi.DescribeArgs) (*peerapi.Description, error) {
	var reply peerapi.Description
	err := c.call(ctx, address, "Describe", args, &reply)
	return &reply, err
}

// Ping checks that a peer answers.
func (c *Client) Ping(ctx context.Context, address string) error {
	return c.call(ctx, address, "Ping", &peerapi.Empty{}, &peerapi.Empty{})
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.mu.Lock()
		if p.client != nil {
			_ = p.client.Close()
		}
		p.mu.Unlock()
	}
}
