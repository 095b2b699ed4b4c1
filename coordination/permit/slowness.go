package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// The slowness of a target is the time that work takes there, divided by the time that it takes at
// an average target. The target reports it, or otherwise it is measured by how long its requests
// take. A reported value compares with the target's usual time, and is used as if the target were
// usually average. It describes a single moment: targets share machines with other processes, which
// disturb them for some tenths of a second at a time. So the weight of the last reported value
// decreases to zero in the time that such a disturbance lasts, and the running mean has the rest of
// the weight.

const (
	// slownessHalfLife is the time without use after which half of a target's difference from
	// average slowness is forgotten, so that a target that has recovered is tried again.
	slownessHalfLife = 4 * time.Second
	// untriedSlowness is the assumed slowness of a target that has not been used yet. It is lower
	// than that of most targets, so that a new target is used soon, though with one request at
	// first.
	untriedSlowness = 0.5
	// reportedSlownessValidity is the time in which the weight of a reported slowness decreases to
	// zero.
	reportedSlownessValidity = 400 * time.Millisecond
)

// slownessEstimate is what is known about the slowness of a target.
type slownessEstimate struct {
	// meanSlowness is the running mean, relative to an average target, as of measuredAt.
	meanSlowness float64
	measuredAt   clock.Instant
	// reported is the slowness that the target reported last, at reportedAt, which is clock.Never
	// if it reports none.
	reported   float64
	reportedAt clock.Instant
}

func newSlownessEstimate() slownessEstimate {
	return slownessEstimate{meanSlowness: 1, measuredAt: clock.Never, reportedAt: clock.Never}
}

// recordReported records a slowness that the target has reported.
func (e *slownessEstimate) recordReported(slowness float64, now clock.Instant) {
	e.record(slowness, now)
	e.reported, e.reportedAt = slowness, now
}

// record adds a slowness to the running mean. It was reported by the target, or measured as the
// ratio of a request's duration to the mean of its rule at an average target.
func (e *slownessEstimate) record(slowness float64, now clock.Instant) {
	if e.measuredAt == clock.Never {
		e.meanSlowness = (1 + slowness) / 2
	} else {
		e.meanSlowness = e.decayedMean(now)*(1-smoothing) + slowness*smoothing
	}
	e.measuredAt = now
}

// decayedMean returns the running mean as of now; it approaches 1 while the target is not used.
func (e *slownessEstimate) decayedMean(now clock.Instant) float64 {
	if e.measuredAt == clock.Never {
		return 1
	}
	age := float64(now.Sub(e.measuredAt)) / float64(slownessHalfLife)
	return 1 + (e.meanSlowness-1)/(1+age)
}

// currentSlowness returns the best estimate of the target's slowness now.
func (e *slownessEstimate) currentSlowness(now clock.Instant) float64 {
	mean := e.decayedMean(now)
	if e.reportedAt == clock.Never {
		return mean
	}
	weight := 1 - float64(now.Sub(e.reportedAt))/float64(reportedSlownessValidity)
	return mean + max(0, weight)*(e.reported-mean)
}
