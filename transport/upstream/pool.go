package upstream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/targetdial"
)

const (
	// exitCheckTimeout limits the check whether a target has exited. A caller whose request broke
	// off waits for it, and a retry may still serve that caller.
	exitCheckTimeout = 100 * time.Millisecond
	// exitCheckAttempts is the number of connections that the check tries to make,
	// exitCheckInterval the time between them.
	exitCheckAttempts = 3
	exitCheckInterval = 20 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target reports no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that the target reports, so that no request is sent
	// while the target closes the connection.
	idleMargin = time.Second
	// After a request was lost on a connection that had been idle, connections that were idle for
	// more than maxIdleWhileAvoiding are not used for avoidIdlePeriod, except for idempotent
	// requests.
	avoidIdlePeriod      = 15 * time.Second
	maxIdleWhileAvoiding = 500 * time.Millisecond
	// readBufferBytes is enough for the head of a response, in bytes.
	readBufferBytes = 4 << 10
)

var (
	connectionsMade  = metrics.GetOrCreateCounter("lycheehall_target_connections_made_total")
	connectionsStale = metrics.GetOrCreateCounter("lycheehall_target_connections_stale_total")
)

// conn is a connection to a target.
type conn struct {
	targetdial.Conn
	reader *wire.ResponseReader
	// reused says that the connection has carried a request before.
	reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
}

// Attempts holds the connections that carried the attempts of a request. Responses are told apart by the
// ID of their request, which is the same for all its attempts. A target may send a response once more
// later, so no connection carries two attempts of a request. A nil *Attempts holds none.
type Attempts struct{ conns []*conn }

func (a *Attempts) used(c *conn) bool { return a != nil && slices.Contains(a.conns, c) }

func (a *Attempts) add(c *conn) {
	if a != nil {
		a.conns = append(a.conns, c)
	}
}

// Pool caches connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer *targetdial.Dialer

	mu      sync.Mutex
	targets map[string]*connections
	// repeatable are the direct connections that carry idempotent requests.
	repeatable map[*conn]bool
}

type connections struct {
	idle []*conn
	open int
	// lastLostOnIdleAt is when a request was last lost on a connection that had been idle.
	lastLostOnIdleAt time.Time
}

// NewPool returns an empty pool whose connections the dialer makes.
func NewPool(dialer *targetdial.Dialer) *Pool {
	p := &Pool{dialer: dialer, targets: map[string]*connections{}, repeatable: map[*conn]bool{}}
	dialer.OnPartition(p.abortRepeatable)
	return p
}

// abortRepeatable ends the exchanges of idempotent requests on direct connections, on which nothing
// arrives any more, so that the requests can be sent through other instances.
func (p *Pool) abortRepeatable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.repeatable {
		// An error means that the connection is closed already.
		_ = c.SetDeadline(time.Unix(1, 0))
	}
}

// beginExchange records that a connection carries a request.
func (p *Pool) beginExchange(c *conn, idempotent bool) {
	if c.Peer != "" || !idempotent {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeatable[c] = true
}

func (p *Pool) endExchange(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.repeatable, c)
}

func (p *Pool) target(id string) *connections {
	c := p.targets[id]
	if c == nil {
		c = &connections{}
		p.targets[id] = c
	}
	return c
}

// take returns an idle connection that has carried none of the request's attempts, or nil if there is
// none. A request that is notIdempotent must not be sent on a connection that the target may have
// dropped without notice.
func (p *Pool) take(id string, notIdempotent bool, attempts *Attempts) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(id)
	avoidIdle := notIdempotent && time.Since(t.lastLostOnIdleAt) < avoidIdlePeriod
	for n := len(t.idle) - 1; n >= 0; n-- {
		c := t.idle[n]
		if attempts.used(c) {
			continue
		}
		t.idle = slices.Delete(t.idle, n, n+1)
		age := time.Since(c.idleSince)
		if age < c.idleTimeout && !(avoidIdle && age > maxIdleWhileAvoiding) && c.reader.Buffered() == 0 && p.dialer.Usable(id, c.Conn) && wire.Reusable(c.Conn.Conn) {
			return c
		}
		connectionsStale.Inc()
		t.open--
		c.Close()
	}
	return nil
}

// dial makes a connection. limit is the largest number of connections of this instance to the
// target; 0 means no limit. If it is reached, an idle connection is closed, which take has passed over.
func (p *Pool) dial(ctx context.Context, id, address string, limit int) (*conn, error) {
	p.mu.Lock()
	t := p.target(id)
	if limit > 0 && t.open >= limit && len(t.idle) > 0 {
		t.idle[0].Close()
		t.idle = slices.Delete(t.idle, 0, 1)
		t.open--
	}
	if limit > 0 && t.open >= limit {
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: all %d allowed connections to target %s are open", ErrNotSent, limit, id)
	}
	t.open++
	p.mu.Unlock()
	raw, err := p.dialer.Dial(ctx, targetdial.Target{ID: id, Address: address})
	if err != nil {
		p.countClosed(id)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	connectionsMade.Inc()
	return &conn{Conn: raw, reader: wire.NewResponseReader(raw, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// hasExited reports whether the target's process has exited: nothing listens at its address any
// more. If a connection can be made, it is kept for the next request.
//
// A connection that breaks during a request may have been reset by the network, or by a target that
// accepts no more connections. Only if the process has exited is the next connection refused too.
// While a process exits, its address may still accept and reset connections, so the check is
// repeated.
func (p *Pool) hasExited(ctx context.Context, t Target) bool {
	ctx, cancel := context.WithTimeout(ctx, exitCheckTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		conn, err := p.dial(ctx, t.ID, t.Address, t.MaxConnections)
		switch {
		case err == nil:
			p.put(t.ID, conn, "")
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case attempt == exitCheckAttempts:
			return false
		}
		select {
		case <-time.After(exitCheckInterval):
		case <-ctx.Done():
			return false
		}
	}
}

func (p *Pool) countClosed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(id)
	t.open--
	if t.open <= 0 && len(t.idle) == 0 && time.Since(t.lastLostOnIdleAt) > avoidIdlePeriod {
		delete(p.targets, id)
	}
}

// discard closes a connection that cannot be reused.
func (p *Pool) discard(id string, c *conn) {
	c.Close()
	p.countClosed(id)
}

// discardWithReset closes a connection with a reset: bytes of the request that have not arrived are
// dropped, and do not reach the target when a partition ends.
func (p *Pool) discardWithReset(id string, c *conn) {
	wire.CloseWithReset(c.Conn.Conn)
	p.countClosed(id)
}

// recordLostOnIdle records that a request was lost on a connection that had been idle.
func (p *Pool) recordLostOnIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(id).lastLostOnIdleAt = time.Now()
}

// put returns a connection to the pool. keepAlive is the target's Keep-Alive header.
func (p *Pool) put(id string, c *conn, keepAlive string) {
	if d, ok := parseKeepAlive(keepAlive); ok {
		c.idleTimeout = d
	}
	if c.idleTimeout <= 0 || !p.dialer.Usable(id, c.Conn) {
		p.discard(id, c)
		return
	}
	c.reused = true
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(id)
	t.idle = append(t.idle, c)
}

// parseKeepAlive returns how long a connection may stay idle according to a Keep-Alive header, and
// whether the header has a timeout.
func parseKeepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0, false
		}
		return time.Duration(seconds)*time.Second - idleMargin, true
	}
	return 0, false
}

// CloseExpired closes connections that have been idle for too long, and idle connections to targets
// that are no longer listed.
func (p *Pool) CloseExpired(listed func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for id, t := range p.targets {
		kept := t.idle[:0]
		for _, c := range t.idle {
			if listed(id) && now.Sub(c.idleSince) < c.idleTimeout && p.dialer.Usable(id, c.Conn) {
				kept = append(kept, c)
				continue
			}
			c.Close()
			t.open--
		}
		clear(t.idle[len(kept):])
		t.idle = kept
		if t.open <= 0 && now.Sub(t.lastLostOnIdleAt) > avoidIdlePeriod {
			delete(p.targets, id)
		}
	}
}
