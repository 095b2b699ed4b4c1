// Package clock provides the monotonic time by which leases, sessions and grants are measured.
//
// An Instant is comparable only with other Instants of the same process, and is never sent to another
// process. Messages contain durations instead. Each side measures a duration on its own clock, and starts
// it at the point that is safe for its role: sending or receiving the message.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on one process's clock: the time since an arbitrary origin.
type Instant time.Duration

// Never is an Instant before all others, for events that have not occurred.
const Never Instant = -1 << 62

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Later returns the later of i and j.
func (i Instant) Later(j Instant) Instant {
	if j > i {
		return j
	}
	return i
}

// Clock provides the current time. Tests replace it by a clock that they control.
type Clock interface {
	Now() Instant
}

// System is the clock of the operating system.
//
// It reads CLOCK_BOOTTIME rather than CLOCK_MONOTONIC. The latter stops while a machine is suspended, so
// that an instance would, after a suspension, continue to use a lease that has long expired and been
// acquired by another instance.
type System struct{}

// Now returns the time since the machine was booted, including suspensions.
func (System) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}
