package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// The slowness of a target is the time that it takes relative to an average target. It is stated by
// the target itself, or otherwise measured by how long its requests take. A stated value describes
// a single moment: targets share machines with other processes, which disturb them for some tenths
// of a second at a time. So the last stated value counts for as long as such a disturbance lasts,
// and the running mean counts from then on.

const (
	// slownessHalfLife is the time after which half of what is known about a target's speed is
	// forgotten, so that a target that has recovered is tried again.
	slownessHalfLife = 4 * time.Second
	// untriedSlowness is the assumed slowness of a target that has not been used yet. It is lower
	// than that of most targets, so that a new target is used soon, though with one request at
	// first.
	untriedSlowness = 0.5
	// statedValidity is the time in which the weight of a stated slowness decreases to zero.
	statedValidity = 400 * time.Millisecond
)

// slownessEstimate is what is known about the slowness of a target.
type slownessEstimate struct {
	// meanSlowness is the running mean, relative to an average target, as of measuredAt.
	meanSlowness float64
	measuredAt   clock.Instant
	// stated is the slowness that the target stated last, at statedAt, which is clock.Never if
	// it states none.
	stated   float64
	statedAt clock.Instant
}

func newSlownessEstimate() slownessEstimate {
	return slownessEstimate{meanSlowness: 1, measuredAt: clock.Never, statedAt: clock.Never}
}

// recordStated records a slowness that the target has stated.
func (e *slownessEstimate) recordStated(slowness float64, now clock.Instant) {
	e.record(slowness, now)
	e.stated, e.statedAt = slowness, now
}

// record adds a slowness to the running mean. It was stated by the target, or measured as the
// duration of a request relative to the mean.
func (e *slownessEstimate) record(slowness float64, now clock.Instant) {
	if e.measuredAt == clock.Never {
		e.meanSlowness = (1 + slowness) / 2
	} else {
		e.meanSlowness = e.usualSlowness(now)*(1-smoothing) + slowness*smoothing
	}
	e.measuredAt = now
}

// usualSlowness returns the running mean, which approaches 1 while the target is not used.
func (e *slownessEstimate) usualSlowness(now clock.Instant) float64 {
	if e.measuredAt == clock.Never {
		return 1
	}
	age := float64(now.Sub(e.measuredAt)) / float64(slownessHalfLife)
	return 1 + (e.meanSlowness-1)/(1+age)
}

// currentSlowness returns the best estimate of the target's slowness now.
func (e *slownessEstimate) currentSlowness(now clock.Instant) float64 {
	usual := e.usualSlowness(now)
	if e.statedAt == clock.Never {
		return usual
	}
	weight := 1 - float64(now.Sub(e.statedAt))/float64(statedValidity)
	return usual + max(0, weight)*(e.stated-usual)
}
