package targetdial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/reach"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/transport/peers"
)

var (
	// ErrNotConnected means that no connection to the target could be made.
	ErrNotConnected = errors.New("targetdial: not connected")
	// ErrUnconfirmed is returned in addition to ErrNotConnected if only this instance has tried: its own
	// links may be broken, and the target may work.
	ErrUnconfirmed = errors.New("targetdial: no other instance could confirm it")
	// ErrPartitioned is returned in addition if this instance is partitioned from all targets, and no
	// other instance connects for it.
	ErrPartitioned = errors.New("targetdial: partitioned from all targets")
)

const (
	// stagger is how long a connection attempt may take before the next way is tried beside it.
	stagger = 100 * time.Millisecond
	// directTimeout limits direct attempts. Targets are a few milliseconds away. If the target's accept
	// queue is full, TCP retries only after a second, too late for most requests.
	directTimeout = 350 * time.Millisecond
	// peerTimeout limits an attempt through another instance, which includes that instance's own.
	peerTimeout = directTimeout + 100*time.Millisecond
	// verdicts is the number of other instances that have to fail before a target counts as unreachable.
	// The first one asked may be partitioned itself and not know it yet.
	verdicts = 2
)

// DialFunc connects to an address, like net.Dialer's DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Log writes one log line: the event's name, then alternating field names and values.
type Log func(event string, fields ...any)

// Tunnels connects to targets through other instances.
type Tunnels interface {
	DialTunnel(ctx context.Context, address string, o peers.TunnelOptions) (net.Conn, error)
}

// Config configures a Dialer.
type Config struct {
	Self  view.Instance
	Clock clock.Clock
	// Dial connects directly. If it is nil, net.Dialer does.
	Dial DialFunc
	// Tunnels connects through other instances. If it is nil, connections are only made directly.
	Tunnels Tunnels
	// AcceptCheckTime is how long a new connection is watched; 0 means the default.
	AcceptCheckTime time.Duration
	// Board has the instances and targets.
	Board *view.Board
	Log   Log
}

// Target identifies a target and its address.
type Target struct {
	ID      string
	Address string
	// MaxDelay limits how long another instance may hold bytes for the target; 0 means no limit.
	MaxDelay time.Duration
}

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	// Peer is the ID of the instance through which the connection goes; empty if it is direct.
	Peer string
}

// Dialer connects to targets. It is safe for concurrent use.
type Dialer struct {
	config  Config
	tracker *reach.Tracker
	closed  atomic.Bool

	mu sync.Mutex
	// loggedAt is when a failed connection to a target was last logged.
	loggedAt map[string]time.Time
	// onPartition are called when a partition begins.
	onPartition []func()
}

// New returns a Dialer.
func New(config Config) *Dialer {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	if config.AcceptCheckTime == 0 {
		config.AcceptCheckTime = acceptCheckTime
	}
	return &Dialer{config: config, tracker: reach.NewTracker(config.Clock), loggedAt: map[string]time.Time{}}
}

// OnPartition registers a function that is called when a partition from all targets begins.
func (d *Dialer) OnPartition(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onPartition = append(d.onPartition, fn)
}

// Dial connects to a target.
func (d *Dialer) Dial(ctx context.Context, t Target) (Conn, error) {
	route := d.tracker.Route(t.ID)
	if route.Probe {
		go d.probe(t)
	}
	r := &race{d: d, target: t, direct: !route.ThroughPeer, askPeers: !route.Known}
	return r.run(ctx)
}

// Usable reports whether a connection should be used for new requests: not if its way is broken, if the
// direct path works again, or if the instance that it goes through is shutting down.
func (d *Dialer) Usable(target string, c Conn) bool {
	if c.Peer == "" {
		return d.tracker.DirectUsable(target)
	}
	return d.PeerListed(c) && d.tracker.ThroughPeer(target)
}

// PeerListed reports whether the instance that a connection goes through takes part; also true for a
// direct connection.
func (d *Dialer) PeerListed(c Conn) bool {
	if c.Peer == "" {
		return true
	}
	for _, i := range d.config.Board.Snapshot().Instances {
		if i.ID == c.Peer {
			return true
		}
	}
	return false
}

// ThroughPeer reports whether connections to the target are made by other instances.
func (d *Dialer) ThroughPeer(target string) bool { return d.tracker.ThroughPeer(target) }

// Partitioned reports whether this instance is partitioned from all targets.
func (d *Dialer) Partitioned() bool { return d.tracker.Partitioned() }

// RecordHeard records that something has arrived from a target on a connection.
func (d *Dialer) RecordHeard(c Conn) {
	if c.Peer == "" {
		d.tracker.RecordHeard()
	}
}

// Check connects to a target that has not responded on a direct connection since the given time, to
// find out whether the path to it works. It does nothing if other targets have responded since.
func (d *Dialer) Check(t Target, since clock.Instant) {
	if d.config.Tunnels == nil || !d.tracker.CheckDue(since) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout+peerTimeout)
	defer cancel()
	if conn, err := d.Dial(ctx, t); err == nil {
		conn.Close()
	}
}

// DialForPeer connects directly to a target for another instance. The ID must be that of a listed
// target.
func (d *Dialer) DialForPeer(ctx context.Context, target string) (net.Conn, peers.TunnelStatus) {
	t, known := d.config.Board.Snapshot().Targets[target]
	switch {
	case d.tracker.Partitioned():
		return nil, peers.TunnelUnavailable
	case !known || d.tracker.ThroughPeer(target):
		return nil, peers.TargetUnknown
	}
	conn, err := d.dialDirect(ctx, Target{ID: t.ID, Address: t.Address})
	switch {
	case err == nil:
		d.recordReached(target)
		return conn, peers.TunnelConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, peers.TargetRefused
	}
	return nil, peers.TargetUnreachable
}

// dialDirect makes a direct connection.
func (d *Dialer) dialDirect(ctx context.Context, t Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	start := time.Now()
	conn, err := d.config.Dial(ctx, "tcp", t.Address)
	if err == nil {
		err = checkAccepted(conn, time.Since(start)+d.config.AcceptCheckTime)
	}
	if err != nil {
		d.logFailure(t, err, time.Since(start))
		return nil, err
	}
	return conn, nil
}

// probe tries a direct path that did not work by a connection without a request.
func (d *Dialer) probe(t Target) {
	conn, err := d.dialDirect(context.Background(), t)
	if err != nil {
		d.tracker.RecordFailed()
		return
	}
	conn.Close()
	d.recordReached(t.ID)
}

func (d *Dialer) recordReached(target string) {
	if d.tracker.RecordReached(target) {
		d.config.Log("partition-ended", "reached", target)
		partitionedGauge.Store(0)
	}
}

// recordBroken records a broken direct path. If that begins a partition, it probes paths until it ends.
func (d *Dialer) recordBroken(target string, attemptAt clock.Instant, silent bool) {
	if !d.tracker.RecordBroken(target, attemptAt, silent) {
		return
	}
	d.config.Log("partitioned", "target", target)
	partitionedGauge.Store(1)
	partitionsTotal.Inc()
	d.mu.Lock()
	notify := d.onPartition
	d.mu.Unlock()
	for _, fn := range notify {
		fn()
	}
	go d.probeDuringPartition()
}

// probePause is the time between two looks whether a probe is due.
const probePause = 50 * time.Millisecond

// probeDuringPartition probes the paths to targets, one after the other, until the partition ends.
func (d *Dialer) probeDuringPartition() {
	for d.tracker.Partitioned() && !d.closed.Load() {
		if d.tracker.ProbeDue() {
			if t, ok := anyTarget(d.config.Board.Snapshot().Targets); ok {
				d.probe(t)
			}
		}
		time.Sleep(probePause)
	}
}

// anyTarget returns a random target.
func anyTarget(targets map[string]view.Target) (Target, bool) {
	for _, t := range targets {
		return Target{ID: t.ID, Address: t.Address}, true
	}
	return Target{}, false
}

// Close ends background work.
func (d *Dialer) Close() { d.closed.Store(true) }

// Prune removes the state of targets that are not listed.
func (d *Dialer) Prune(listed func(target string) bool) {
	d.tracker.Prune(listed)
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.loggedAt {
		if !listed(id) {
			delete(d.loggedAt, id)
		}
	}
}

// notConnected returns the error of attempts that have all failed.
func notConnected(causes ...error) error {
	return fmt.Errorf("%w: %w", ErrNotConnected, errors.Join(causes...))
}
