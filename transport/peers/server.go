package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/wire"
)

// Backend answers the calls of other instances.
type Backend interface {
	Sync(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply
	Acquire(ctx context.Context, args *peerapi.AcquireArgs) *peerapi.AcquireReply
	Release(args *peerapi.ReleaseArgs)
	Describe(args *peerapi.DescribeArgs) *peerapi.Description
	// DialTarget connects to a target for another instance. The connection is nil unless the status is
	// TunnelConnected.
	DialTarget(ctx context.Context, target string) (net.Conn, TunnelStatus)
}

// service is the receiver that is registered with net/rpc. Its methods are the calls that instances
// make to one another.
type service struct {
	ctx     context.Context
	backend Backend
}

func (s *service) Sync(args *peerapi.SyncArgs, reply *peerapi.SyncReply) error {
	*reply = *s.backend.Sync(s.ctx, args)
	return nil
}

// Acquire replies once a permit has been granted or refused.
func (s *service) Acquire(args *peerapi.AcquireArgs, reply *peerapi.AcquireReply) error {
	*reply = *s.backend.Acquire(s.ctx, args)
	return nil
}

func (s *service) Release(args *peerapi.ReleaseArgs, _ *peerapi.Empty) error {
	s.backend.Release(args)
	return nil
}

func (s *service) Describe(args *peerapi.DescribeArgs, reply *peerapi.Description) error {
	*reply = *s.backend.Describe(args)
	return nil
}

// Ping returns an empty reply, which shows that the process is running.
func (s *service) Ping(_ *peerapi.Empty, _ *peerapi.Empty) error { return nil }

// Server answers the calls of other instances on a listener.
type Server struct {
	listener net.Listener
	security Security
	backend  Backend
	ctx      context.Context
	cancel   context.CancelFunc
	rpc      *rpc.Server
	tunnels  tunnels

	mu sync.Mutex
	// conns holds the open connections, and whether each is a tunnel.
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server for a backend.
func NewServer(l net.Listener, security Security, backend Backend) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, security: security, backend: backend, ctx: ctx, cancel: cancel, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(ServiceName, &service{ctx, backend}); err != nil {
		cancel()
		return nil, fmt.Errorf("peers: register: %w", err)
	}
	return s, nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peers: accept: %w", err)
		}
		if !s.track(conn) {
			conn.Close()
			return nil
		}
		setAckTimeout(conn, ackTimeout)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	secured, err := secure(conn, s.security.secureServer)
	if err != nil {
		// The client failed to authenticate or has disconnected, so the error cannot be reported to it.
		return
	}
	reader := bufio.NewReader(secured)
	if isTunnel(reader) {
		s.serveTunnel(conn, secured, reader)
		return
	}
	s.rpc.ServeConn(bufferedConn{reader, secured})
}

// bufferedConn is a connection of which the first bytes have been read into a buffer.
type bufferedConn struct {
	reader *bufio.Reader
	net.Conn
}

func (c bufferedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// track records an open connection for Close. It returns false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = false
	return true
}

// markTunnel records that a connection is a tunnel.
func (s *Server) markTunnel(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops the server and closes its connections. Tunnels are reset: a response that is cut off must
// not look complete to a client that does not read frames.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for conn, tunnel := range s.conns {
		if tunnel {
			wire.CloseWithReset(conn)
			continue
		}
		conn.Close()
	}
}
