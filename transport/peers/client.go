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

// ServiceName is the name under which an instance serves its peers.
const ServiceName = "Peer"

// ErrNoAnswer says that the peer did not answer; whether it got the call is not known.
var ErrNoAnswer = errors.New("peers: no answer")

const (
	// dialTimeout bounds the making of a connection; data centres of a region are a few
	// milliseconds apart.
	dialTimeout = 300 * time.Millisecond
	// keepAliveEvery and keepAliveCount end a connection that has gone silent.
	keepAliveEvery = 300 * time.Millisecond
	keepAliveCount = 3
	// unackedFor ends a connection whose peer does not acknowledge what was sent.
	unackedFor = 900 * time.Millisecond
	// redialAfter is the pause after a connection could not be made, so that a peer that is
	// gone does not hold up one call after the other.
	redialAfter = 200 * time.Millisecond
)

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	security Security
	// dial makes a connection.
	dial func(address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one instance. Lock order: making, then mu.
type peer struct {
	// making is held while a connection is made, which takes up to dialTimeout. It guards failedAt
	// and lastErr.
	making   sync.Mutex
	failedAt time.Time
	lastErr  error

	// mu guards client, and is held for moments only.
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
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount},
	}
	return dialer.Dial("tcp", address)
}

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

// open returns the connection to a peer, or nil.
func (p *peer) open() *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// connect returns the connection to a peer, and makes it if need be.
func (c *Client) connect(p *peer, address string) (*rpc.Client, error) {
	p.making.Lock()
	defer p.making.Unlock()
	if client := p.open(); client != nil {
		return client, nil
	}
	if time.Since(p.failedAt) < redialAfter {
		return nil, p.lastErr
	}
	conn, err := c.dial(address)
	if err == nil {
		boundUnacked(conn)
		conn, err = secure(conn, c.security.client)
	}
	if err != nil {
		p.failedAt = time.Now()
		p.lastErr = fmt.Errorf("%w: %w", ErrNoAnswer, err)
		return nil, p.lastErr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.client = rpc.NewClient(conn)
	return p.client, nil
}

// secure applies one side of a Security, and closes the connection if that fails.
func secure(conn net.Conn, side func(net.Conn) (net.Conn, error)) (net.Conn, error) {
	secured, err := side(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// boundUnacked makes a connection fail when its peer does not acknowledge what was sent.
// Without it a write to a machine that has lost power hangs for minutes. Where the option
// cannot be set the time limit of each call still holds.
func boundUnacked(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
}

// drop closes a connection that has failed.
func (p *peer) drop(client *rpc.Client) {
	if client == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == client {
		p.client = nil
	}
	// The error says only that it was closed already.
	_ = client.Close()
}

// sent is a call on its way, and the connection that carries it.
type sent struct {
	client *rpc.Client
	call   *rpc.Call
	err    error
}

// send begins a call beside the caller: making a connection takes a while, and a peer that reads
// nothing lets the sending wait until its connection is dropped.
func (c *Client) send(p *peer, address, method string, args, reply any) <-chan sent {
	begun := make(chan sent, 1)
	go func() {
		client, err := c.connect(p, address)
		if err != nil {
			begun <- sent{err: err}
			return
		}
		begun <- sent{client: client, call: client.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))}
	}()
	return begun
}

// call makes one call and waits until ctx ends. A call that ends with its time limit drops
// the connection.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	p := c.peer(address)
	var s sent
	select {
	case s = <-c.send(p, address, method, args, reply):
	case <-ctx.Done():
		return p.ended(ctx, p.open())
	}
	if s.err != nil {
		return s.err
	}
	select {
	case call := <-s.call.Done:
		if call.Error == nil {
			return nil
		}
		var refused rpc.ServerError
		if !errors.As(call.Error, &refused) {
			p.drop(s.client)
		}
		return fmt.Errorf("%w: %w", ErrNoAnswer, call.Error)
	case <-ctx.Done():
		return p.ended(ctx, s.client)
	}
}

// ended returns the error of a call that ended with its context.
func (p *peer) ended(ctx context.Context, client *rpc.Client) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		p.drop(client)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
}

// Sync reports to an instance and learns what is new there.
func (c *Client) Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error) {
	var reply peerapi.SyncReply
	err := c.call(ctx, address, "Sync", args, &reply)
	return &reply, err
}

// Acquire asks a keeper for a permit.
func (c *Client) Acquire(ctx context.Context, address string, args *peerapi.AcquireArgs) (*peerapi.AcquireReply, error) {
	var reply peerapi.AcquireReply
	err := c.call(ctx, address, "Acquire", args, &reply)
	return &reply, err
}

// Release gives a permit back without waiting for the answer, or for a connection: a permit that does
// not come back is taken back by its keeper.
func (c *Client) Release(address string, args *peerapi.ReleaseArgs) {
	client := c.peer(address).open()
	if client == nil {
		return
	}
	go client.Go(ServiceName+".Release", args, &peerapi.Empty{}, make(chan *rpc.Call, 1))
}

// Describe asks an instance what it believes.
func (c *Client) Describe(ctx context.Context, address string, args *peerapi.DescribeArgs) (*peerapi.Description, error) {
	var reply peerapi.Description
	err := c.call(ctx, address, "Describe", args, &reply)
	return &reply, err
}

// Ping asks a peer for a sign of life.
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
