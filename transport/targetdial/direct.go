package targetdial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// ErrNotConnected means that no connection to the target could be made.
var ErrNotConnected = errors.New("targetdial: not connected")

// failureLogInterval is the shortest time between two log lines about failed connections to the same
// target.
const failureLogInterval = time.Second

// DialFunc connects to an address, like net.Dialer's DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Log writes one log line: the event's name, then alternating field names and values.
type Log func(event string, fields ...any)

// Target identifies a target and its address.
type Target struct {
	ID      string
	Address string
}

// Dialer connects to targets. It is safe for concurrent use.
type Dialer struct {
	dial DialFunc
	log  Log

	mu sync.Mutex
	// loggedAt is when a failed connection to a target was last logged.
	loggedAt map[string]time.Time
}

// New returns a Dialer that connects with the given function; net.Dialer's if it is nil.
func New(dial DialFunc, log Log) *Dialer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Dialer{dial: dial, log: log, loggedAt: map[string]time.Time{}}
}

// Dial connects to a target within the timeout.
func (d *Dialer) Dial(ctx context.Context, t Target, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	conn, err := d.dial(ctx, "tcp", t.Address)
	if err != nil {
		d.recordFailure(t, err, time.Since(start))
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	return conn, nil
}

// recordFailure counts and logs a failed connection attempt.
func (d *Dialer) recordFailure(t Target, err error, took time.Duration) {
	reason := failureReason(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_target_connect_failures_total{reason=%q}`, reason)).Inc()
	if d.mayLog(t.ID) {
		d.log("target-not-connected", "target", t.ID, "reason", reason, "took_ms", took.Milliseconds(), "error", err.Error())
	}
}

// mayLog reports whether a failed connection to the target may be logged now.
func (d *Dialer) mayLog(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.loggedAt[target]) < failureLogInterval {
		return false
	}
	d.loggedAt[target] = now
	return true
}

// Prune removes the state of targets that are not listed.
func (d *Dialer) Prune(listed func(target string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.loggedAt {
		if !listed(id) {
			delete(d.loggedAt, id)
		}
	}
}

// failureReason returns the reason of a failed connection attempt: "refused", "reset", "timeout",
// "canceled" or "other".
func failureReason(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return "timeout"
	}
	return "other"
}
