package wire

import (
	"net"

	"golang.org/x/sys/unix"
)

// Reusable reports whether an idle connection is still open and has no unread data. A connection that
// the peer has closed appears usable until something is sent on it, and the outcome of a request sent
// then is unknown. Unread data on an idle connection does not belong to any request.
//
// A connection with a method Unread may have received data that it has not returned yet.
func Reusable(c net.Conn) bool {
	if buffered, ok := c.(interface{ Unread() bool }); ok && buffered.Unread() {
		return false
	}
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		return Reusable(wrapped.NetConn())
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && reusable
}

// CloseWithReset closes a connection with a reset, so that bytes that have not arrived are dropped. A
// connection that hides the TCP connection is closed in the ordinary way unless it has a method NetConn.
func CloseWithReset(c net.Conn) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		CloseWithReset(wrapped.NetConn())
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without it, the connection is closed all the same.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
