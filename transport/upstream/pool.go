package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/protocol/wire"
)

const (
	// dialTimeout bounds the making of a connection to a target, which is a few
	// milliseconds away. Its queue of new connections may be full; the next try then comes
	// a second later, which is too late for most requests.
	dialTimeout = 350 * time.Millisecond
	// refusedWithin bounds the connection that shows whether a target has ended. Who waits for it is
	// a caller whose request broke off, and whom a repeat may still serve.
	refusedWithin = 100 * time.Millisecond
	// refusedLooks bounds the connections that are made for that, refusedPause is the time between two.
	refusedLooks = 3
	refusedPause = 20 * time.Millisecond
	// settleTime is how long a new connection is watched before a request is sent on it, beside
	// the time that its making took. A target that has as many connections as it accepts, or
	// whose queue is long, accepts one more and resets it at once. A request that was written
	// meanwhile has an unknown outcome; one that was not can be sent to another target. After all
	// instances have lost power targets still count the connections of the former processes.
	settleTime = 2 * time.Millisecond
	// idleDefault is how long an unused connection is kept when the target does not say.
	idleDefault = 4 * time.Second
	// idleSlack is taken off what the target says, so that a request does not meet the
	// target's closing.
	idleSlack = time.Second
	// wary is how long connections that were idle for longer than freshFor are not used
	// for requests that must not run twice, after one was found dead with a request on it.
	wary     = 15 * time.Second
	freshFor = 500 * time.Millisecond
	// readBuffer holds the head of an answer.
	readBuffer = 4 << 10
)

var (
	connectionsMade  = metrics.GetOrCreateCounter("lycheehall_target_connections_made_total")
	connectionsStale = metrics.GetOrCreateCounter("lycheehall_target_connections_stale_total")
)

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// reused says that it has carried a request before.
	reused  bool
	idleAt  time.Time
	idleFor time.Duration
}

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	// settle is settleTime but in tests.
	settle time.Duration

	mu      sync.Mutex
	targets map[string]*connections
}

type connections struct {
	idle []*Conn
	open int
	// deadAt is when a request met a kept connection that was dead.
	deadAt time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{settle: settleTime, targets: map[string]*connections{}} }

func (p *Pool) target(id string) *connections {
	c := p.targets[id]
	if c == nil {
		c = &connections{}
		p.targets[id] = c
	}
	return c
}

// take returns a kept connection, or nil. Risky says that the request must not be lost to a
// connection that the target has forgotten.
func (p *Pool) take(id string, risky bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(id)
	careful := risky && time.Since(t.deadAt) < wary
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		age := time.Since(c.idleAt)
		if age < c.idleFor && !(careful && age > freshFor) && c.reader.Buffered() == 0 && wire.Reusable(c.Conn) {
			return c
		}
		connectionsStale.Inc()
		t.open--
		c.Close()
	}
	return nil
}

// dial makes a connection. Limit bounds the connections of this instance to the target.
func (p *Pool) dial(ctx context.Context, id, address string, limit int) (*Conn, error) {
	p.mu.Lock()
	t := p.target(id)
	if limit > 0 && t.open >= limit {
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %d connections to %s are open", ErrNotSent, limit, id)
	}
	t.open++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	begun := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		err = settled(raw, time.Since(begun)+p.settle)
	}
	if err != nil {
		p.closed(id)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	connectionsMade.Inc()
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), idleFor: idleDefault}, nil
}

// refuses reports whether nobody listens at a target's address any more. A connection that can be
// made is kept for the next request.
//
// A connection that breaks with a request on it may have been reset on the way, or by a target that
// is full. Only a target that has ended refuses the next one as well. While its process is being taken down
// its address may still accept connections and reset them, so it is looked at again.
func (p *Pool) refuses(ctx context.Context, t Target) bool {
	ctx, cancel := context.WithTimeout(ctx, refusedWithin)
	defer cancel()
	for look := 1; ; look++ {
		conn, err := p.dial(ctx, t.ID, t.Address, t.MaxConnections)
		switch {
		case err == nil:
			p.keep(t.ID, conn, "")
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case look == refusedLooks:
			return false
		}
		select {
		case <-time.After(refusedPause):
		case <-ctx.Done():
			return false
		}
	}
}

// settled watches a new connection for a while, and closes it if it does not stay open and
// silent.
func settled(conn net.Conn, wait time.Duration) error {
	err := conn.SetReadDeadline(time.Now().Add(wait))
	if err == nil {
		var b [1]byte
		if _, err = conn.Read(b[:]); err == nil {
			err = errors.New("bytes before any request")
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		conn.Close()
	}
	return err
}

func (p *Pool) closed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(id)
	t.open--
	if t.open <= 0 && len(t.idle) == 0 && time.Since(t.deadAt) > wary {
		delete(p.targets, id)
	}
}

// discard closes a connection that cannot be used any more.
func (p *Pool) discard(id string, c *Conn) {
	c.Close()
	p.closed(id)
}

// met notes that a request found a kept connection dead.
func (p *Pool) met(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(id).deadAt = time.Now()
}

// keep puts a connection back. keepAlive is what the target said about how long it keeps it.
func (p *Pool) keep(id string, c *Conn, keepAlive string) {
	if d, ok := keptFor(keepAlive); ok {
		c.idleFor = d
	}
	if c.idleFor <= 0 {
		p.discard(id, c)
		return
	}
	c.reused = true
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(id)
	t.idle = append(t.idle, c)
}

// keptFor reads the timeout of a Keep-Alive header.
func keptFor(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0, false
		}
		return time.Duration(seconds)*time.Second - idleSlack, true
	}
	return 0, false
}

// CloseExpired closes connections that were idle for too long, and those to targets that are gone.
func (p *Pool) CloseExpired(keep func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for id, t := range p.targets {
		kept := t.idle[:0]
		for _, c := range t.idle {
			if keep(id) && now.Sub(c.idleAt) < c.idleFor {
				kept = append(kept, c)
				continue
			}
			c.Close()
			t.open--
		}
		clear(t.idle[len(kept):])
		t.idle = kept
		if t.open <= 0 && now.Sub(t.deadAt) > wary {
			delete(p.targets, id)
		}
	}
}
