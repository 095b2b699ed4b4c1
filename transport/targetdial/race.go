package targetdial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/reach"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/peers"
)

// race is a connection that is tried in several ways: directly, and through other instances. The next
// way is tried when the previous one has failed or takes long, and the first connection is used.
type race struct {
	d      *Dialer
	target Target
	// direct says that the direct path is tried. askPeers says that others may be asked.
	direct, askPeers bool

	peers     []view.Instance
	results   chan result
	running   int
	attemptAt clock.Instant
	// directErr is the error of the direct attempt; directEnded says that it has ended.
	directErr   error
	directEnded bool
	// refused and unreachable count the instances that could not connect to the target.
	refused, unreachable int
	peerReached          bool
	directReached        bool
	// abandoned says that the attempts that are still running have been cancelled.
	abandoned bool
}

// result is the result of one attempt. peer is empty for the direct one.
type result struct {
	conn net.Conn
	peer string
	err  error
}

// run returns the first connection that is made.
func (r *race) run(ctx context.Context) (Conn, error) {
	// The direct attempt is not cancelled when another way is faster, since its outcome shows whether the
	// path works.
	directCtx, stopDirect := context.WithCancel(context.WithoutCancel(ctx))
	peerCtx, stopPeers := context.WithCancel(ctx)
	defer stopPeers()
	r.results = make(chan result, 1+reach.MaxPeers)
	if !r.direct && !r.hasPeers() && !r.d.tracker.Partitioned() {
		r.direct = true
	}
	if r.direct {
		r.attemptAt = r.d.config.Clock.Now()
		r.start(func() result { return r.dialDirect(directCtx) })
	} else {
		r.startPeer(peerCtx)
	}
	timer := time.NewTimer(stagger)
	defer timer.Stop()
	for r.running > 0 {
		select {
		case res := <-r.results:
			r.record(res)
			if res.err == nil {
				stopPeers()
				r.finish(stopDirect)
				return Conn{res.conn, res.peer}, nil
			}
			if r.wantsPeer() {
				r.startPeer(peerCtx)
			}
		case <-timer.C:
			if r.wantsPeer() {
				r.startPeer(peerCtx)
			}
		case <-ctx.Done():
			stopDirect()
			stopPeers()
			r.finish(stopDirect)
			return Conn{}, notConnected(ctx.Err())
		}
		timer.Reset(stagger)
	}
	stopDirect()
	r.recordEvidence()
	return Conn{}, r.failure()
}

// hasPeers reports whether there are instances left that may be asked. The first call chooses them, so
// that direct connections that work do not pay for it.
func (r *race) hasPeers() bool {
	if !r.askPeers || r.d.config.Tunnels == nil {
		return false
	}
	if r.peers == nil {
		s := r.d.config.Board.Snapshot()
		r.peers = r.d.tracker.Peers(r.d.config.Self, s.Targets[r.target.ID], s.Instances)
	}
	return len(r.peers) > 0
}

// wantsPeer reports whether another instance should be asked now.
func (r *race) wantsPeer() bool {
	asked := r.running
	if r.direct && !r.directEnded {
		asked--
	}
	return r.refused+r.unreachable+asked < verdicts && r.hasPeers()
}

func (r *race) start(attempt func() result) {
	r.running++
	go func() { r.results <- attempt() }()
}

// dialDirect makes the direct attempt.
func (r *race) dialDirect(ctx context.Context) result {
	conn, err := r.d.dialDirect(ctx, r.target)
	if err != nil {
		return result{err: err}
	}
	return result{conn: wire.NewDuplex(conn)}
}

func (r *race) startPeer(ctx context.Context) {
	if !r.hasPeers() {
		return
	}
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.start(func() result {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		conn, err := r.d.config.Tunnels.DialTunnel(ctx, peer.Address, peers.TunnelOptions{Target: r.target.ID, MaxDelay: r.target.MaxDelay})
		return result{conn, peer.ID, err}
	})
}

// record records the result of an attempt.
func (r *race) record(res result) {
	r.running--
	if res.peer == "" {
		r.directEnded, r.directErr = true, res.err
		r.directReached = res.err == nil
		return
	}
	var refusal *peers.TunnelRefusedError
	switch {
	case res.err == nil:
		r.peerReached = true
		tunnelsMade.Inc()
	case errors.As(res.err, &refusal) && refusal.Status == peers.TargetRefused:
		r.refused++
	case errors.As(res.err, &refusal) && refusal.Status == peers.TargetUnreachable:
		r.unreachable++
	case errors.As(res.err, &refusal) && refusal.Status == peers.TargetUnknown:
	case !r.abandoned:
		r.d.tracker.RecordUnusable(res.peer)
	}
}

// finish records what all attempts show. It does not wait for those that are still running; their
// connections are closed.
func (r *race) finish(stopDirect func()) {
	r.abandoned = true
	if r.running == 0 {
		stopDirect()
		r.recordEvidence()
		return
	}
	go func() {
		defer stopDirect()
		for r.running > 0 {
			res := <-r.results
			r.record(res)
			if res.err == nil {
				res.conn.Close()
			}
		}
		r.recordEvidence()
	}()
}

// recordEvidence records what the attempts show about the direct path.
func (r *race) recordEvidence() {
	negative := r.refused + r.unreachable
	switch {
	case r.directReached:
		r.d.recordReached(r.target.ID)
	case errors.Is(r.directErr, context.Canceled):
	case r.peerReached && r.directEnded:
		r.d.recordBroken(r.target.ID, r.attemptAt, failureReason(r.directErr) == "timeout")
	case r.peerReached:
	case negative > 0:
		r.d.tracker.RecordUnreachable(r.target.ID)
	case r.directEnded:
		r.d.tracker.RecordFailed()
	}
}

// errOthersFailed means that other instances have tried, too.
var errOthersFailed = errors.New("other instances could not reach the target either")

// failure returns the error after all attempts have failed.
func (r *race) failure() error {
	alone := r.d.config.Tunnels == nil || len(r.d.config.Board.Snapshot().Instances) < 2
	switch {
	case r.directErr != nil && (alone || !r.askPeers):
		return notConnected(r.directErr)
	case !r.askPeers:
		return notConnected(errOthersFailed)
	case r.refused > 0 && r.unreachable == 0 && (!r.direct || r.directErr != nil):
		return notConnected(syscall.ECONNREFUSED)
	case r.refused+r.unreachable > 0:
		return notConnected(errOthersFailed)
	case r.d.tracker.Partitioned():
		return notConnected(ErrPartitioned, ErrUnconfirmed)
	}
	// The direct error is not part of the chain: a refused connection may be the fault of the path.
	return notConnected(ErrUnconfirmed, errors.New(errorText(r.directErr)))
}

func errorText(err error) string {
	if err == nil {
		return "no other instance connects"
	}
	return err.Error()
}
