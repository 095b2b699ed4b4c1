package wire

import (
	"net"

	"golang.org/x/sys/unix"
)

// Reusable reports whether an idle connection is still open and has no unread data. A connection that
// the peer has closed appears usable until something is sent on it, and the outcome of a request sent
// then is unknown. Unread data on an idle connection does not belong to any request.
func Reusable(c net.Conn) bool {
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
