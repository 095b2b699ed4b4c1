package peers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/wire"
)

// A tunnel is a connection of one instance to a target that another instance makes and whose bytes it
// forwards. The client sends a header in place of its first call, and the server answers with one byte,
// a TunnelStatus, once it has tried to connect. Then both directions are forwarded until either side
// ends. A tunnel leads to one connection of the target: it ends together with that, and what was held
// up in it is dropped.

// TunnelStatus says whether an instance has connected to a target for another one.
type TunnelStatus byte

// The statuses of a tunnel.
const (
	// TunnelConnected: the connection was made.
	TunnelConnected TunnelStatus = iota + 1
	// TargetRefused: nothing listens at the target's address.
	TargetRefused
	// TargetUnreachable: the target could not be reached, or closed the connection at once.
	TargetUnreachable
	// TargetUnknown: the instance does not know the target, or does not reach this one directly.
	TargetUnknown
	// TunnelUnavailable: the instance does not reach targets itself, has too many tunnels, or is shutting
	// down.
	TunnelUnavailable
)

// TunnelRefusedError means that a peer answered and did not connect to the target.
type TunnelRefusedError struct{ Status TunnelStatus }

func (e *TunnelRefusedError) Error() string {
	text := map[TunnelStatus]string{
		TargetRefused: "the target refused the connection", TargetUnreachable: "the target was unreachable",
		TargetUnknown: "the target was not known or not reached directly", TunnelUnavailable: "no tunnel available",
	}[e.Status]
	return "peers: tunnel: " + text
}

const (
	// maxTunnels is the largest number of tunnels that an instance keeps for others. Each uses two
	// descriptors and twice tunnelBufferBytes of memory.
	maxTunnels = 384
	// tunnelBufferBytes is the size of the buffer of each direction.
	tunnelBufferBytes = 8 << 10
	// maxTargetID is the size limit of a target's ID in a header, in bytes.
	maxTargetID = 1 << 10
)

// tunnelMagic begins the header. No gob stream, and so no net/rpc connection, begins with its first
// byte: instances of versions without tunnels, or without the version of the header, close the
// connection at once.
var tunnelMagic = [3]byte{0xf0, 'l', 'h'}

// The versions of a tunnel.
const (
	// unframedVersion forwards the bytes of the target as they are.
	unframedVersion = 1
	// framedVersion forwards the bytes of the target in frames.
	framedVersion = 2
)

// tunnelHeader is the fixed part of a header. The target's ID follows.
type tunnelHeader struct {
	Magic   [3]byte
	Version uint8
	// MaxDelay is TunnelOptions.MaxDelay in milliseconds.
	MaxDelay uint16
	IDLength uint16
}

// TunnelOptions describe the connection to a target that a peer is to make.
type TunnelOptions struct {
	// Target is the target's ID.
	Target string
	// MaxDelay is the longest time for which the peer may hold bytes for the target, because the target
	// does not acknowledge them or because the peer was paused. The tunnel ends if it is exceeded, and
	// the bytes are dropped. 0 means no limit.
	MaxDelay time.Duration
}

// DialTunnel makes a peer connect to a target, and returns the connection through the peer. The error
// is a *TunnelRefusedError if the peer answered.
func (c *Client) DialTunnel(ctx context.Context, address string, o TunnelOptions) (net.Conn, error) {
	conn, err := c.dialTunnel(ctx, address, o, framedVersion)
	if errors.Is(err, errClosedUnanswered) {
		// During a replacement the peer may be of a version without frames.
		conn, err = c.dialTunnel(ctx, address, o, unframedVersion)
	}
	return conn, err
}

// errClosedUnanswered means that the peer closed the connection in place of an answer.
var errClosedUnanswered = errors.New("peers: tunnel: closed without an answer")

func (c *Client) dialTunnel(ctx context.Context, address string, o TunnelOptions, version uint8) (net.Conn, error) {
	conn, err := c.dial(address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	setAckTimeout(conn, ackTimeout)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	tunnel, err := c.openTunnel(conn, o, version)
	if !stop() {
		err = fmt.Errorf("%w: %w", ErrNoReply, ctx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return tunnel, nil
}

// openTunnel sends the header on a new connection and reads the answer.
func (c *Client) openTunnel(conn net.Conn, o TunnelOptions, version uint8) (net.Conn, error) {
	secured, err := c.security.secureClient(conn)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	var header bytes.Buffer
	// Writing to a bytes.Buffer does not fail.
	_ = binary.Write(&header, binary.BigEndian, tunnelHeader{tunnelMagic, version, uint16(o.MaxDelay.Milliseconds()), uint16(len(o.Target))})
	header.WriteString(o.Target)
	if _, err := secured.Write(header.Bytes()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	var status [1]byte
	switch _, err := io.ReadFull(secured, status[:]); {
	case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET):
		return nil, fmt.Errorf("%w: %w", ErrNoReply, errClosedUnanswered)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	if TunnelStatus(status[0]) != TunnelConnected {
		return nil, &TunnelRefusedError{TunnelStatus(status[0])}
	}
	return newTunnelConn(secured, conn, version == framedVersion), nil
}

// isTunnel reports whether a connection begins with the header of a tunnel.
func isTunnel(r *bufio.Reader) bool {
	first, err := r.Peek(len(tunnelMagic) + 1)
	if err != nil || !bytes.HasPrefix(first, tunnelMagic[:]) {
		return false
	}
	version := first[len(tunnelMagic)]
	return version == unframedVersion || version == framedVersion
}

func readTunnelHeader(r io.Reader) (o TunnelOptions, version uint8, err error) {
	var header tunnelHeader
	if err := binary.Read(r, binary.BigEndian, &header); err != nil {
		return o, 0, fmt.Errorf("peers: tunnel: read header: %w", err)
	}
	if header.IDLength > maxTargetID {
		return o, 0, fmt.Errorf("peers: tunnel: the target's ID has %d bytes", header.IDLength)
	}
	id := make([]byte, header.IDLength)
	if _, err := io.ReadFull(r, id); err != nil {
		return o, 0, fmt.Errorf("peers: tunnel: read header: %w", err)
	}
	return TunnelOptions{Target: string(id), MaxDelay: time.Duration(header.MaxDelay) * time.Millisecond}, header.Version, nil
}

// serveTunnel connects to the target that the header names, and forwards until either side ends.
func (s *Server) serveTunnel(conn net.Conn, secured net.Conn, reader *bufio.Reader) {
	defer conn.Close()
	o, version, err := readTunnelHeader(reader)
	if err != nil || reader.Buffered() > 0 {
		// The client sends nothing before the answer.
		return
	}
	s.markTunnel(conn)
	if !s.tunnels.begin() {
		// A write error means that the client has gone.
		_, _ = secured.Write([]byte{byte(TunnelUnavailable)})
		return
	}
	defer s.tunnels.end()
	target, status := s.backend.DialTarget(s.ctx, o.Target)
	if status != TunnelConnected {
		_, _ = secured.Write([]byte{byte(status)})
		return
	}
	defer wire.CloseWithReset(target)
	setKeepAlive(conn)
	wasPaused := func() bool { return false }
	if o.MaxDelay > 0 {
		setAckTimeout(target, o.MaxDelay)
		pauses := watchPauses(o.MaxDelay, func() { wire.CloseWithReset(target) })
		defer pauses.stop()
		wasPaused = pauses.detected
	}
	if _, err := secured.Write([]byte{byte(TunnelConnected)}); err != nil {
		return
	}
	forwardTunnel(tunnelClient{secured, conn, version}, wire.NewDuplex(target), wasPaused)
}

// tunnelClient is the server's end of a connection to a client.
type tunnelClient struct {
	net.Conn
	// raw is the connection below encryption.
	raw     net.Conn
	version uint8
}

// lingerTimeout is how long a tunnel stays open after the end of the response, so that its client can
// receive the response: closing a connection drops what has not been sent if the client has sent more
// than was read.
const lingerTimeout = time.Second

// forwardTunnel forwards both directions until either side ends. What the client has sent is dropped
// when the client's side ends; a response that has arrived from the target is still delivered.
func forwardTunnel(client tunnelClient, target net.Conn, wasPaused func() bool) {
	var directions sync.WaitGroup
	directions.Go(func() {
		if err := forward(target, client, wasPaused); errors.Is(err, errWrite) {
			// The target has ended its connection. The other direction forwards what it has sent.
			_, _ = io.Copy(io.Discard, client)
		}
		// The target stops working on a request whose connection ends.
		wire.CloseWithReset(target)
	})
	directions.Go(func() {
		if err := forwardToClient(client, target, wasPaused); err != nil {
			// A response that is cut off must not look complete.
			wire.CloseWithReset(client.raw)
			return
		}
		if client.version == unframedVersion {
			// Only the end of the connection marks the end of the response.
			client.Close()
			return
		}
		// An error means that the client has gone.
		_ = client.SetReadDeadline(time.Now().Add(lingerTimeout))
	})
	directions.Wait()
}

// forwardToClient forwards what the target sends, and its end.
func forwardToClient(client tunnelClient, target net.Conn, wasPaused func() bool) error {
	if client.version == unframedVersion {
		return forward(client, target, wasPaused)
	}
	frames := newFrameWriter(client)
	if err := forward(frames, target, wasPaused); err != nil {
		return err
	}
	return frames.end()
}

// errWrite means that the connection that is forwarded to does not take more.
var errWrite = errors.New("peers: tunnel: write")

// errTunnelDelayed means that the process was paused, and holds bytes that are too old.
var errTunnelDelayed = errors.New("peers: tunnel: held up for too long")

// forward copies from one connection to another until the end of the stream.
func forward(to io.Writer, from io.Reader, wasPaused func() bool) error {
	buf := make([]byte, tunnelBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if wasPaused() {
				return errTunnelDelayed
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errWrite, werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peers: tunnel: %w", err)
		}
	}
}

// pauseWatch detects that the process did not run for a time, such as while its machine was suspended.
type pauseWatch struct {
	longest time.Duration
	clock   clock.Clock
	// ranAt is when the process is known to have run last.
	ranAt  atomic.Int64
	ticker *time.Ticker
	done   chan struct{}
}

// watchPauses calls onPause once if the process has not run for longer than the given time.
func watchPauses(longest time.Duration, onPause func()) *pauseWatch {
	w := &pauseWatch{longest: longest, clock: clock.System{}, ticker: time.NewTicker(longest / 4), done: make(chan struct{})}
	w.ranAt.Store(int64(w.clock.Now()))
	go func() {
		for {
			select {
			case <-w.done:
				return
			case <-w.ticker.C:
			}
			if w.detected() {
				onPause()
				return
			}
			w.ranAt.Store(int64(w.clock.Now()))
		}
	}()
	return w
}

// detected reports whether the process has not run for longer than the watched time.
func (w *pauseWatch) detected() bool {
	return w.clock.Now().Sub(clock.Instant(w.ranAt.Load())) > w.longest
}

func (w *pauseWatch) stop() {
	w.ticker.Stop()
	close(w.done)
}

// setKeepAlive makes a connection fail when its peer has become unreachable.
func setKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount})
	}
}

// tunnels counts the tunnels of a server.
type tunnels struct {
	mu       sync.Mutex
	open     int
	draining bool
	// none is closed when no tunnel is open; nil until somebody waits.
	none chan struct{}
}

// begin counts a new tunnel. It returns false if there are too many, or no new ones are accepted.
func (t *tunnels) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining || t.open >= maxTunnels {
		return false
	}
	t.open++
	return true
}

func (t *tunnels) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	if t.open == 0 && t.none != nil {
		close(t.none)
		t.none = nil
	}
}

// refuse refuses new tunnels.
func (t *tunnels) refuse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// drain refuses new tunnels and returns a channel that is closed when none is open.
func (t *tunnels) drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	done := make(chan struct{})
	if t.open == 0 {
		close(done)
		return done
	}
	if t.none == nil {
		t.none = done
	}
	return t.none
}

// RefuseTunnels refuses new tunnels.
func (s *Server) RefuseTunnels() { s.tunnels.refuse() }

// DrainTunnels refuses new tunnels, and waits until the open ones have ended or ctx ends.
func (s *Server) DrainTunnels(ctx context.Context) {
	select {
	case <-s.tunnels.drain():
	case <-ctx.Done():
	}
}
