package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// A target that has just started, or has not been used for long, is slow, and fails at a request
// rate that it serves easily later. Its keeper spaces requests to it by the interval of its cold
// rate. The first request is sent after a whole interval, so that the old and the new
// keeper together stay within the cold rate when the keeper changes.

// coldInterval returns the minimum time between two requests to a cold target.
func (t Target) coldInterval() time.Duration {
	return time.Duration(float64(time.Second) / t.ColdRate)
}

// updateCold starts spacing requests when the target has become cold.
func (t *poolTarget) updateCold(now clock.Instant) {
	cold := t.IsCold(now)
	if cold && !t.coldSpaced {
		t.nextColdSend = now.Add(t.coldInterval())
	}
	t.coldSpaced = cold
}

// untilNextSend returns the time until the target may get the next request.
func (t *poolTarget) untilNextSend(now clock.Instant) time.Duration {
	wait := t.untilAllowed(now)
	if t.IsCold(now) {
		wait = max(wait, t.nextColdSend.Sub(now))
	}
	return wait
}

// mustWait reports whether the target's rate does not allow the next request yet.
func (t *poolTarget) mustWait(now clock.Instant) bool { return t.untilNextSend(now) > 0 }

// recordSend counts a request to the target against its limit and its cold rate.
func (t *poolTarget) recordSend(now clock.Instant) {
	t.consume(now)
	if t.IsCold(now) {
		t.nextColdSend = now.Add(t.coldInterval())
	}
}

// equivalentSlots returns the number of slots of an average target that do the same work as the
// slots of this one: slots times speed.
func (t *poolTarget) equivalentSlots(now clock.Instant) float64 {
	return float64(t.Slots) / t.currentSlowness(now)
}

// rateLimitedSlots returns the number of slots of an average target with the same throughput as
// this target, for requests that are expected to take the given time.
func (t *poolTarget) rateLimitedSlots(expected time.Duration, now clock.Instant) float64 {
	slots := t.equivalentSlots(now)
	if t.IsCold(now) {
		slots = min(slots, t.ColdRate*expected.Seconds())
	}
	if perSecond, limited := t.perSecond(); limited {
		slots = min(slots, perSecond*expected.Seconds())
	}
	return slots
}
