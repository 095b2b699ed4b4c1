package wire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Duplex is a TCP connection that is read and written at the same time. Its Read returns io.EOF only if
// the peer has ended the stream.
//
// The kernel reports a reset to one system call only. If that is a write, a read after it returns io.EOF,
// as if the peer had ended the stream. Read then returns the error of the write instead. After an
// io.EOF, nothing can be written any more.
//
// No other lock is acquired while writing is held.
type Duplex struct {
	net.Conn
	// writing is held during a write, and guards lost.
	writing sync.Mutex
	// lost is the error of the write that was told that the connection was lost.
	lost error
}

// NewDuplex returns a Duplex that uses the connection.
func NewDuplex(c net.Conn) *Duplex { return &Duplex{Conn: c} }

// Write implements net.Conn.
func (c *Duplex) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && connectionLost(err) {
		c.lost = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Duplex) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write that is in progress may have received the error already. An error here means that the
	// connection is closed.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		return n, c.lost
	}
	return n, err
}

// connectionLost reports whether a write failed because the connection was lost before the peer ended
// its stream. If a reset follows the end of the stream, the kernel reports EPIPE.
func connectionLost(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// NetConn returns the TCP connection.
func (c *Duplex) NetConn() net.Conn { return c.Conn }
