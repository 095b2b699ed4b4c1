package membudget

import (
	"math"
	"time"
)

const (
	// headroomFactor and maxHeadroomShare determine the free space that a request leaves when it is
	// admitted: headroomFactor times its own size, at most this share of the limit. Near the limit,
	// large requests are refused while there is still room for small ones, also after responses that
	// turned out larger than expected: in the seeded load, a factor of 3 refused up to a third of the
	// small requests, 16 none.
	headroomFactor   = 16
	maxHeadroomShare = 0.25
	// minRetryAfter keeps callers from returning before anything can have changed.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the Retry-After while nothing is released. By then, a caller that takes
	// nothing has been cut off.
	maxRetryAfter = 10 * time.Second
)

// Load is the state by which a request is admitted or refused. Sizes are in bytes.
type Load struct {
	// Held is reserved of Limit, ConnectionHeld of it for the connection of the request.
	Limit, Held                     int64
	ConnectionLimit, ConnectionHeld int64
	// ReleaseRate is how much is released a second.
	ReleaseRate float64
	// Promised is the size of the refused requests whose Retry-After has not passed, Due that of
	// those whose Retry-After has just passed.
	Promised, Due int64
}

// Ask is the size of a request, in bytes.
type Ask struct {
	// Known is held for certain: the request body.
	Known int64
	// Expected is the estimate of what is held in addition: the response.
	Expected int64
	// Returning says that the caller was refused before and comes back.
	Returning bool
}

// size returns the bytes to reserve. The estimate alone never exceeds the limit.
func (a Ask) size(limit int64) int64 { return min(a.Known+a.Expected, max(a.Known, limit)) }

// Decision is the result for a request.
type Decision struct {
	Admitted bool
	// TooLarge says that the request itself exceeds the whole budget, so that a retry cannot help.
	TooLarge bool
	// RetryAfter is when there is expected to be room; set if the request is refused and not too
	// large.
	RetryAfter time.Duration
}

// Decide admits a request if it leaves the headroom for smaller ones, and if its connection stays
// within its share. A connection's only request is within the share whatever its size. While callers
// are due to come back, a new request leaves them as much room in addition: otherwise it would take
// the memory that they were told of.
func Decide(l Load, a Ask) Decision {
	if a.Known > l.Limit {
		return Decision{TooLarge: true}
	}
	size := a.size(l.Limit)
	room := headroom(size, l.Limit)
	needed := size + room
	if !a.Returning {
		needed += min(l.Due, room)
	}
	missing := l.Held + min(needed, l.Limit) - l.Limit
	wait := 0.0
	if missing > 0 {
		wait = float64(missing+l.Promised) / l.ReleaseRate
	}
	if missing := l.ConnectionHeld + size - l.ConnectionLimit; missing > 0 && l.ConnectionHeld > 0 {
		// The connection is taken to release its part of all that is released.
		rate := l.ReleaseRate * float64(l.ConnectionHeld) / float64(max(l.Held, l.ConnectionHeld))
		wait = max(wait, float64(min(missing, l.ConnectionHeld))/rate)
	}
	if wait == 0 {
		return Decision{Admitted: true}
	}
	if math.IsNaN(wait) || wait > maxRetryAfter.Seconds() {
		return Decision{RetryAfter: maxRetryAfter}
	}
	return Decision{RetryAfter: max(minRetryAfter, time.Duration(wait*float64(time.Second)))}
}

func headroom(size, limit int64) int64 {
	return int64(min(headroomFactor*float64(size), maxHeadroomShare*float64(limit)))
}
