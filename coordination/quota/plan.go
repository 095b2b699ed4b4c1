package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
)

const (
	// basePart is the part of a rate that is divided evenly among the instances that hold a share, so
	// that one that gets its first request has some.
	basePart = 0.1
	// activeRate is the rate, in requests a second, from which on an instance counts as having
	// requests.
	activeRate = 0.02
	// minRate is the smallest rate, in requests a second, that is given to an instance. With less, an
	// instance would wait several seconds for each request while others have requests too.
	minRate = 0.5
	// minTurn is the shortest turn of an instance when there are more instances with requests than
	// shares. Passing a share on leaves it unused for up to 0.7 s: a report that confirms its end, and
	// the next report of the instance that gets it.
	minTurn = 3 * time.Second
	// requestsPerTurn is the number of requests that a turn has time for.
	requestsPerTurn = 4
)

// participant is an instance among which a limit is divided.
type participant struct {
	id     string
	demand Demand
}

func (p *participant) active() bool {
	return p.demand.Rate >= activeRate || p.demand.Concurrent > 0 || p.demand.Running > 0
}

// turns records when instances have had a share of a limit that suffices only for some of them.
type turns struct {
	// begun is when each instance that has a share now got it; lastHeld is when each instance last had
	// one.
	begun, lastHeld map[string]clock.Instant
}

// maxHolders returns how many instances can have a share at the same time: each needs at least one
// whole request of each kind, and a rate of minRate.
func maxHolders(limit Amount) int {
	count := math.MaxInt32
	if limit.Rate > 0 {
		count = min(limit.Burst, max(1, int(min(limit.Rate/minRate, math.MaxInt32))))
	}
	if limit.Concurrent > 0 {
		count = min(count, limit.Concurrent)
	}
	return count
}

// turnLength returns how long an instance keeps its share while others wait for one.
func turnLength(limit Amount) time.Duration {
	if limit.Rate == 0 {
		return minTurn
	}
	perHolder := limit.Rate / float64(maxHolders(limit))
	return max(minTurn, time.Duration(requestsPerTurn/perHolder*float64(time.Second)))
}

// divide divides a limit among instances according to their demand. wait is the expected time until
// an instance without a share gets one.
func divide(limit Amount, list []participant, t *turns, now clock.Instant) (shares map[string]Amount, wait map[string]time.Duration) {
	holders, waiting := chooseHolders(limit, list, t, now)
	shares = map[string]Amount{}
	rateWeights, concurrentWeights := make([]float64, len(holders)), make([]float64, len(holders))
	total := 0.0
	for i, p := range holders {
		rateWeights[i], concurrentWeights[i] = float64(p.demand.Rate), float64(p.demand.Concurrent)
		total += rateWeights[i]
	}
	count := len(holders)
	bursts := apportion(limit.Burst-count, rateWeights)
	concurrent := apportion(limit.Concurrent-count, concurrentWeights)
	for i, p := range holders {
		var a Amount
		if limit.Rate > 0 {
			part := 1 / float64(count)
			if total > 0 {
				part = basePart*part + (1-basePart)*rateWeights[i]/total
			}
			a.Rate, a.Burst = limit.Rate*part, 1+bursts[i]
		}
		if limit.Concurrent > 0 {
			a.Concurrent = 1 + concurrent[i]
		}
		shares[p.id] = a
	}
	return shares, expectedWaits(limit, holders, waiting, t, now)
}

// chooseHolders returns the instances that get a share, and the others that have requests in the
// order in which they will get one.
func chooseHolders(limit Amount, list []participant, t *turns, now clock.Instant) (holders, waiting []participant) {
	most := maxHolders(limit)
	if len(list) <= most && (idleMayHold(limit, len(list)) || lightlyLoaded(limit, list)) {
		return list, nil
	}
	active := slices.DeleteFunc(slices.Clone(list), func(p participant) bool { return !p.active() })
	if len(active) <= most {
		return active, nil
	}
	// There are more instances with requests than shares, so they take turns. Those whose turn is not
	// over come first, then the others by when they last had a share.
	length := turnLength(limit)
	// clock.Never precedes all other instants. Instances that have not had a share yet come right
	// behind those whose turn is not over.
	rank := func(p participant) clock.Instant {
		if begun, holding := t.begun[p.id]; holding && now.Sub(begun) < length {
			return clock.Never
		}
		if last, held := t.lastHeld[p.id]; held {
			return last
		}
		return clock.Never + 1
	}
	slices.SortFunc(active, func(a, b participant) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(xxhash.Sum64String(a.id), xxhash.Sum64String(b.id)))
	})
	return active[:most], active[most:]
}

// idleMayHold reports whether shares for instances without requests take at most half of the burst
// and a quarter of the concurrent requests.
func idleMayHold(limit Amount, instances int) bool {
	return (limit.Rate == 0 || 2*instances <= limit.Burst) && (limit.Concurrent == 0 || 4*instances <= limit.Concurrent)
}

// lightlyLoaded reports whether the demand is at most half of the limit.
func lightlyLoaded(limit Amount, list []participant) bool {
	rate, concurrent := 0.0, 0.0
	for _, p := range list {
		rate += float64(p.demand.Rate)
		concurrent += float64(p.demand.Concurrent)
	}
	return (limit.Rate == 0 || 2*rate <= limit.Rate) && (limit.Concurrent == 0 || 2*concurrent <= float64(limit.Concurrent))
}

// expectedWaits returns when each waiting instance will probably get a share.
func expectedWaits(limit Amount, holders, waiting []participant, t *turns, now clock.Instant) map[string]time.Duration {
	if len(waiting) == 0 {
		return nil
	}
	length := turnLength(limit)
	next := length
	for _, p := range holders {
		if begun, holding := t.begun[p.id]; holding {
			next = min(next, max(0, length-now.Sub(begun)))
		}
	}
	wait := map[string]time.Duration{}
	for i, p := range waiting {
		wait[p.id] = next + time.Duration(i/len(holders))*length
	}
	return wait
}

// apportion divides a whole number in proportion to weights, or evenly if all are zero, by the
// method of the largest remainder.
func apportion(total int, weights []float64) []int {
	parts := make([]int, len(weights))
	if total <= 0 || len(weights) == 0 {
		return parts
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	remainders := make([]float64, len(weights))
	order := make([]int, len(weights))
	left := total
	for i, w := range weights {
		exact := float64(total) / float64(len(weights))
		if sum > 0 {
			exact = float64(total) * w / sum
		}
		parts[i] = min(int(exact), left)
		remainders[i], order[i] = exact-float64(parts[i]), i
		left -= parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; left > 0; i = (i + 1) % len(order) {
		parts[order[i]]++
		left--
	}
	return parts
}
