package wire

import (
	"net"

	"golang.org/x/sys/unix"
)

// Reusable reports whether an idle connection is still open and has nothing to be read. One
// that its peer has closed looks usable until something is sent on it, and what is sent is
// then lost with an unknown outcome; bytes that nobody asked for belong to no request.
func Reusable(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && quiet
}
