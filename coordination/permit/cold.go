package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// A target that has just started, or was not used for long, is slow and breaks down at a rate of requests
// that it bears later. Its keeper spaces what goes to it: one request for each interval of its cold rate,
// the first one after a whole interval, so that the keepers before and after a change together stay within
// what the target bears.

// coldInterval is the least time between two requests for a cold target.
func (s Target) coldInterval() time.Duration {
	return time.Duration(float64(time.Second) / s.ColdRate)
}

// noteCold begins to space the requests for a target that is found to be cold.
func (s *slot) noteCold(now clock.Instant) {
	cold := s.Cold(now)
	if cold && !s.spaced {
		s.coldNext = now.Add(s.coldInterval())
	}
	s.spaced = cold
}

// untilTurn returns the time until a target may get the next request.
func (s *slot) untilTurn(now clock.Instant) time.Duration {
	wait := s.untilAllowed(now)
	if s.Cold(now) {
		wait = max(wait, s.coldNext.Sub(now))
	}
	return wait
}

// awaitsTurn reports whether a target may not get the next request yet.
func (s *slot) awaitsTurn(now clock.Instant) bool { return s.untilTurn(now) > 0 }

// took notes that a target got a request.
func (s *slot) took(now clock.Instant) {
	s.spend(now)
	if s.Cold(now) {
		s.coldNext = now.Add(s.coldInterval())
	}
}

// speed returns the number of slots of an average target that are as fast as those of this one.
func (s *slot) speed(now clock.Instant) float64 { return float64(s.Slots) / s.believedSlowness(now) }

// does returns the number of slots of an average target that do the same as this one, for requests that
// are expected to take the given time.
func (s *slot) does(expected time.Duration, now clock.Instant) float64 {
	slots := s.speed(now)
	if s.Cold(now) {
		slots = min(slots, s.ColdRate*expected.Seconds())
	}
	if perSecond, limited := s.perSecond(); limited {
		slots = min(slots, perSecond*expected.Seconds())
	}
	return slots
}
