package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/transport/membudget"
)

// Handler serves the requests.
type Handler interface {
	http.Handler
	// Idempotent says whether the request may be served at the same time as others of its connection.
	// It may be called while ServeHTTP serves the request, so that ServeHTTP must not change it.
	Idempotent(r *http.Request) bool
}

var (
	pipelinedRequests = metrics.GetOrCreateCounter("lycheehall_pipeline_requests_total")
	pipelinedInFlight = metrics.GetOrCreateCounter("lycheehall_pipeline_requests_in_flight")
	serialConnections = metrics.GetOrCreateCounter("lycheehall_pipeline_connections_serial_total")
)

// Pipeline is an http.Handler that serves pipelined requests concurrently. It must be the server's
// outermost handler.
type Pipeline struct {
	handler Handler
	depth   int
	// maxHead is the longest head, in bytes, of a request that is started ahead of its turn; the server
	// decides about longer ones.
	maxHead int
	// stall is how long a caller may take nothing of a response that the handler did not write itself.
	stall    time.Duration
	stopping atomic.Bool
}

// New returns a handler that serves up to depth requests of a connection at a time.
func New(handler Handler, depth int) *Pipeline {
	return &Pipeline{handler: handler, depth: depth, maxHead: http.DefaultMaxHeaderBytes, stall: membudget.StallTimeout}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// Configure makes the server use the pipeline. The server must serve a listener of Listen.
func (p *Pipeline) Configure(server *http.Server) {
	server.Handler = p
	if server.MaxHeaderBytes > 0 {
		p.maxHead = server.MaxHeaderBytes
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.RegisterOnShutdown(func() { p.stopping.Store(true) })
}

// Listen wraps the connections of a listener.
func (p *Pipeline) Listen(l net.Listener) net.Listener { return listener{l, p} }

type listener struct {
	net.Listener
	p *Pipeline
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(raw, l.p), nil
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, wrapped := r.Context().Value(connKey{}).(*conn)
	switch {
	case !wrapped:
		p.handler.ServeHTTP(w, r)
	case c.state != complete || !pipelinable(r):
		c.serveAlone(w, r)
	default:
		c.serve(w, r)
	}
}
