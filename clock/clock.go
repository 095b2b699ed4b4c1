// Package clock gives the monotonic time that every lease, session and grant is
// measured with.
//
// An Instant is only comparable with Instants of the same process. No instant is
// ever sent to another process: messages carry durations, and each side counts
// them on its own clock from the end that is safe for it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on one process's clock, as the time since an arbitrary origin.
type Instant time.Duration

// Never is an Instant before every other one.
const Never Instant = -1 << 62

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Later returns the later of i and j.
func (i Instant) Later(j Instant) Instant {
	if j > i {
		return j
	}
	return i
}

// Clock tells the current instant.
type Clock interface {
	Now() Instant
}

// System is the clock of the operating system.
//
// It reads CLOCK_BOOTTIME, not CLOCK_MONOTONIC: the latter stands still while a
// machine is suspended, so that an instance that wakes up would take a lease that
// has long been given to another for its own.
type System struct{}

// Now returns the time since the machine was started, suspensions included.
func (System) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}
