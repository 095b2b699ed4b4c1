package targetdial

import (
	"errors"
	"net"
	"os"
	"time"
)

// acceptCheckTime is how long a new connection is watched before it is used, in addition to the time
// it took to connect. A target that has reached its number of connections, or whose queue is long, may
// accept a connection and reset it at once. A request already written on it would have an unknown
// outcome; one not yet written can go to another target. This happens after all instances have lost
// power: targets still count the connections of the previous processes.
const acceptCheckTime = 2 * time.Millisecond

// checkAccepted watches a new connection for a while. It closes the connection and returns an error
// if the target closes it or sends anything.
func checkAccepted(conn net.Conn, wait time.Duration) error {
	err := conn.SetReadDeadline(time.Now().Add(wait))
	if err == nil {
		var b [1]byte
		if _, err = conn.Read(b[:]); err == nil {
			err = errors.New("target sent data before any request")
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		conn.Close()
	}
	return err
}
