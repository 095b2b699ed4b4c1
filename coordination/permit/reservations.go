package permit

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// reservationGrace is how long after the time that a caller was told its capacity stays
	// reserved. It covers the transmission of the refusal and of the new request.
	reservationGrace = 150 * time.Millisecond
	// maxReservations bounds the reservations of a pool.
	maxReservations = 256
	// callerWaitShare is the share of its remaining time that a caller waits for a Retry-After. A
	// caller that is told a later time does not come back at that time.
	callerWaitShare = 1.0 / 3
)

// reservation is the work of a caller that was refused and told when to return. It counts as waiting
// work from that time on, so that no more callers are told the same time than can be served then.
type reservation struct {
	rule        string
	rank        rank
	work        time.Duration
	from, until clock.Instant
}

// reserve records that the caller of a refused request was told to return after the given time. It
// reports whether it has: there are at most maxReservations.
func (c *contention) reserve(w *waiter, r rank, retryAfter time.Duration, now clock.Instant) bool {
	c.expireReservations(now)
	if len(c.reservations) >= maxReservations {
		return false
	}
	from := now.Add(retryAfter)
	added := reservation{rule: w.ask.Rule, rank: r, work: w.expected, from: from, until: from.Add(reservationGrace)}
	at, _ := slices.BinarySearchFunc(c.reservations, from, func(r reservation, t clock.Instant) int { return cmp.Compare(r.from, t) })
	c.reservations = slices.Insert(c.reservations, at, added)
	return true
}

// expireReservations removes the reservations of callers that have not returned.
func (c *contention) expireReservations(now clock.Instant) {
	c.reservations = slices.DeleteFunc(c.reservations, func(r reservation) bool { return now >= r.until })
}

// takeReservation removes the reservation of a returning caller and reports whether there was one.
// The asks of a caller have no common ID, so the reservation is that of the rule whose first arrival
// is the closest, among those that are due.
func (c *contention) takeReservation(w *waiter, now clock.Instant) bool {
	c.expireReservations(now)
	if !w.ask.Returning {
		return false
	}
	best, bestDistance := -1, time.Duration(0)
	for i, r := range c.reservations {
		if r.rule != w.ask.Rule || now < r.from.Add(-reservationGrace) {
			continue
		}
		if distance := r.rank.first.Sub(w.firstArrival()).Abs(); best < 0 || distance < bestDistance {
			best, bestDistance = i, distance
		}
	}
	if best < 0 {
		return false
	}
	c.reservations = slices.Delete(c.reservations, best, best+1)
	countContended(w.ask.Rule, "reservation-used")
	return true
}

// waitBehindReservations extends a wait by the reserved work of preceding ranks that is due within
// it.
func (c *contention) waitBehindReservations(r rank, wait time.Duration, slots float64, now clock.Instant) time.Duration {
	for _, reserved := range c.reservations {
		if reserved.from > now.Add(wait) {
			break
		}
		if reserved.until > now && !r.before(reserved.rank) {
			wait += workDuration(reserved.work, slots)
		}
	}
	return wait
}
