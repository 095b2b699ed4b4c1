package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// ErrUnreachable says that a call got no answer. It may have been carried out.
var ErrUnreachable = errors.New("rpc: no answer")

// Server accepts authenticated connections and serves calls on them.
type Server struct {
	secret   string
	rpc      *rpc.Server
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server on the listener, encrypted if cfg is not nil. Register the
// receivers, then call Serve.
func NewServer(listener net.Listener, secret string, cfg *tls.Config) *Server {
	if cfg != nil {
		listener = tls.NewListener(listener, cfg)
	}
	return &Server{secret: secret, rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]struct{}{}}
}

// Register makes the receiver's methods callable under the name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("rpc: register %s: %w", name, err)
	}
	return nil
}

// Serve accepts connections until Close is called.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isClosed() {
				return
			}
			// Out of file descriptors, for instance: others may be freed.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	if handshake(conn, s.secret, serverRole, clientRole) != nil {
		return
	}
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	s.rpc.ServeConn(conn)
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
}

// Pool keeps one connection to each address and makes calls on it.
type Pool struct {
	secret string
	tls    *tls.Config

	mu      sync.Mutex
	clients map[string]*rpc.Client
}

// NewPool returns a pool without connections. They are encrypted if cfg is not nil.
func NewPool(secret string, cfg *tls.Config) *Pool {
	return &Pool{secret: secret, tls: cfg, clients: map[string]*rpc.Client{}}
}

// Call makes a call and waits for its answer until ctx ends. An error that the method
// returned comes back as rpc.ServerError; every other error wraps ErrUnreachable.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return fmt.Errorf("%w from %s: %w", ErrUnreachable, address, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.result(address, client, call.Error)
	case <-ctx.Done():
		// The connection may be cut without anybody having noticed, so that later calls
		// on it would wait as well.
		p.drop(address, client)
		return fmt.Errorf("%w from %s: %w", ErrUnreachable, address, ctx.Err())
	}
}

func (p *Pool) result(address string, client *rpc.Client, err error) error {
	var answered rpc.ServerError
	if err == nil || errors.As(err, &answered) {
		return err
	}
	p.drop(address, client)
	return fmt.Errorf("%w from %s: %w", ErrUnreachable, address, err)
}

// client returns the connection to an address, and makes one if there is none.
func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	fresh, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[address]; other != nil {
		fresh.Close()
		return other, nil
	}
	p.clients[address] = fresh
	return fresh, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*rpc.Client, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.tls != nil {
		conn = p.encrypt(conn, address)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err = handshake(conn, p.secret, clientRole, serverRole)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return rpc.NewClient(conn), nil
}

// encrypt returns the connection with TLS on top; the certificate must be for the address.
func (p *Pool) encrypt(conn net.Conn, address string) net.Conn {
	cfg := p.tls.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(address)
	return tls.Client(conn, cfg)
}

func (p *Pool) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	client.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		client.Close()
		delete(p.clients, address)
	}
}
