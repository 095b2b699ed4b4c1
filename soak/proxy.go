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
	// conns are the open connections, with the address that the caller's side comes from.
	conns map[net.Conn]string
	// cut has the addresses of callers whose new connections are reset, with the fault of their open ones.
	cut map[string]ProxyFault
}

// NewProxy starts a proxy without a fault on a free port of the loopback interface.
func NewProxy() (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: listen: %w", err)
	}
	p := &Proxy{listener: l, fault: NoFault, changed: make(chan struct{}), conns: map[net.Conn]string{}, cut: map[string]ProxyFault{}}
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

// CutSource resets new connections from an IP address, and sets the fault of its open ones.
func (p *Proxy) CutSource(source string, open ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[source] = open
	close(p.changed)
	p.changed = make(chan struct{})
	for c, from := range p.conns {
		if open == Reset && from == source {
			closeWithReset(c)
			delete(p.conns, c)
		}
	}
}

// HealSource ends the effect of CutSource.
func (p *Proxy) HealSource(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cut, source)
	close(p.changed)
	p.changed = make(chan struct{})
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

// state returns the fault of open connections from an address, and a channel that is closed when faults
// change.
func (p *Proxy) state(source string) (ProxyFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open, cut := p.cut[source]; cut && open != NoFault {
		return open, p.changed
	}
	return p.fault, p.changed
}

// accepts returns the target address, and whether a new connection from an address is accepted.
func (p *Proxy) accepts(source string) (target string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, cut := p.cut[source]
	return p.target, !cut && p.fault != Reset
}

// sourceOf returns the IP address of the caller's side of a connection.
func sourceOf(caller net.Conn) string {
	if tcp, ok := caller.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}

// forward connects to the target and forwards both directions until they end.
func (p *Proxy) forward(caller net.Conn) {
	source := sourceOf(caller)
	target, ok := p.accepts(source)
	if !ok {
		closeWithReset(caller)
		return
	}
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		closeWithReset(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[server] = source, source
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardDirection(source, server, caller, false) })
	directions.Go(func() { p.forwardDirection(source, caller, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forwardDirection forwards one direction until it ends, and then closes or resets the other side in
// the same way. fromServer says which direction it is.
func (p *Proxy) forwardDirection(source string, to, from net.Conn, fromServer bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.awaitForwarding(source, fromServer)
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
func (p *Proxy) awaitForwarding(source string, fromServer bool) {
	for {
		fault, changed := p.state(source)
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
