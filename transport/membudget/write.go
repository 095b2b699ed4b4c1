package membudget

import (
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// StallTimeout is how long a caller may take nothing of a response. Callers may read slowly, but
	// one that is gone without having closed its connection would hold memory for minutes.
	StallTimeout = 10 * time.Second
	// pieceBytes is the size of the pieces in which a response is written. With a larger piece, a
	// slow caller would need more than the time limit for one.
	pieceBytes = 16 << 10
	// writeBufferBytes is the socket's send buffer for a caller. The kernel accepts further data
	// only after a third of the buffer has been sent and acknowledged. A larger buffer hides how
	// much a slow caller has taken, and is memory that the budget does not count.
	writeBufferBytes = 32 << 10
)

// WriteInPieces writes the body of a response whose header has been written with its Content-Length,
// and returns the number of bytes written. The caller has the stall time for each piece, and may take
// until notBefore in any case. The error wraps os.ErrDeadlineExceeded if it has taken less. Afterwards
// the connection has no write deadline, unless the write has failed.
//
// If the writer does not support deadlines, the body is written at once.
func WriteInPieces(w http.ResponseWriter, body []byte, stall time.Duration, notBefore time.Time) (int, error) {
	control := http.NewResponseController(w)
	extend := func() error {
		deadline := time.Now().Add(stall)
		if deadline.Before(notBefore) {
			deadline = notBefore
		}
		return control.SetWriteDeadline(deadline)
	}
	if extend() != nil {
		return w.Write(body)
	}
	written := 0
	for written < len(body) {
		n, err := w.Write(body[written:min(written+pieceBytes, len(body))])
		written += n
		if errors.Is(err, http.ErrBodyNotAllowed) {
			break
		}
		if err != nil {
			return written, err
		}
		if err := extend(); err != nil {
			return written, err
		}
	}
	// Otherwise the server would write the rest of its buffer later, without a deadline.
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return written, err
	}
	return written, control.SetWriteDeadline(time.Time{})
}

// ResponseHolder is implemented by response writers that keep a response in memory when the handler
// has returned, and write it later.
type ResponseHolder interface {
	// OnWritten registers a function that is called when the response is no longer in memory,
	// because it has been written or given up.
	OnWritten(release func())
}

// ReleaseWhenWritten ends the reservation of a request whose handler returns: at once, or when the
// writer has written the response if it is a ResponseHolder.
func ReleaseWhenWritten(w http.ResponseWriter, r *Reservation) {
	if holder, ok := w.(ResponseHolder); ok {
		holder.OnWritten(r.Release)
		return
	}
	r.Release()
}

// listener limits the send buffers of accepted connections.
type listener struct {
	net.Listener
	budget *Budget
}

// NewListener returns a listener whose connections have small send buffers while the budget is on.
// The type of the connections stays the same.
func NewListener(l net.Listener, b *Budget) net.Listener { return listener{l, b} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && l.budget.Enabled() {
		// Without the smaller buffer, the connection works as well.
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
	return conn, err
}
