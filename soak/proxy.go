package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyFault is what a proxy does to the connections that pass through it.
type ProxyFault string

// The faults of a proxy. Callers are the side that connects to the proxy.
const (
	// NoFault forwards everything.
	NoFault ProxyFault = "sound"
	// Delayed forwards everything after a delay of proxyDelay.
	Delayed ProxyFault = "delayed"
	// Reset resets open connections and each new one at once.
	Reset ProxyFault = "reset"
	// Stalled forwards nothing and closes nothing.
	Stalled ProxyFault = "silent"
	// OneWay forwards what callers send and nothing in the other direction.
	OneWay ProxyFault = "one-way"
)

// proxyDelay is how long a proxy with the fault Delayed waits before it forwards data.
const proxyDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to an address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	fault  ProxyFault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewProxy starts a proxy without a fault on a free port of the loopback interface.
func NewProxy() (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: listen: %w", err)
	}
	p := &Proxy{listener: l, fault: NoFault, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// SetFault changes the fault, also for open connections.
func (p *Proxy) SetFault(f ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == Reset {
		for c := range p.conns {
			closeWithReset(c)
		}
		clear(p.conns)
	}
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetFault(Reset)
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(caller)
	}
}

// state returns the fault, the target address, and a channel that is closed when the fault changes.
func (p *Proxy) state() (ProxyFault, string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.target, p.changed
}

// forward connects to the target and forwards both directions until they end.
func (p *Proxy) forward(caller net.Conn) {
	fault, target, _ := p.state()
	if fault == Reset {
		closeWithReset(caller)
		return
	}
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		closeWithReset(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[server] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardDirection(server, caller, false) })
	directions.Go(func() { p.forwardDirection(caller, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forwardDirection forwards one direction until it ends, and then closes or resets the other side in
// the same way. fromServer says which direction it is.
func (p *Proxy) forwardDirection(to, from net.Conn, fromServer bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.awaitForwarding(fromServer)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				closeWithReset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			closeWithReset(to)
			return
		}
	}
}

// awaitForwarding waits until the fault allows data of a direction to be forwarded.
func (p *Proxy) awaitForwarding(fromServer bool) {
	for {
		fault, _, changed := p.state()
		switch {
		case fault == Delayed:
			time.Sleep(proxyDelay)
			return
		case fault == Stalled, fault == OneWay && fromServer:
			<-changed
		default:
			return
		}
	}
}
