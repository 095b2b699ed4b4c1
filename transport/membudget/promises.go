package membudget

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// promiseStep is the resolution of the times that refused callers are told.
	promiseStep = 50 * time.Millisecond
	// dueSteps is for how many steps memory is left for a caller after its Retry-After. The round trip
	// to the caller takes some milliseconds; a caller that has given up must not keep out others for
	// long.
	dueSteps = 5
	// promiseSteps is the number of steps up to maxRetryAfter, and those for which callers are due.
	promiseSteps = int(maxRetryAfter/promiseStep) + dueSteps + 1
)

// promises holds the sizes of refused requests by the time at which their callers may come back. The
// zero value is empty.
type promises struct {
	// sizes is a ring; the index of a time is its step modulo the length.
	sizes [promiseSteps]int64
	step  int64
}

// advance drops the promises whose callers have not come back in time.
func (p *promises) advance(now clock.Instant) {
	next := int64(now) / int64(promiseStep)
	for p.step = max(p.step, next-int64(promiseSteps)); p.step < next; p.step++ {
		*p.at(-dueSteps + 1) = 0
	}
}

// at returns the entry that is a number of steps from the present.
func (p *promises) at(steps int) *int64 {
	return &p.sizes[int((p.step+int64(promiseSteps)+int64(steps))%int64(promiseSteps))]
}

// add records a request that was told to come back.
func (p *promises) add(after time.Duration, size int64) { *p.at(int(after / promiseStep)) += size }

// deduct removes the size of an admitted request from those that are due.
func (p *promises) deduct(size int64) {
	for n := -dueSteps + 1; n <= 0; n++ {
		part := min(size, *p.at(n))
		*p.at(n) -= part
		size -= part
	}
}

// sums returns the size of the requests whose Retry-After has not passed, and of those that are due.
func (p *promises) sums() (promised, due int64) {
	for n := -dueSteps + 1; n <= 0; n++ {
		due += *p.at(n)
	}
	for _, size := range p.sizes {
		promised += size
	}
	return promised - due, due
}
