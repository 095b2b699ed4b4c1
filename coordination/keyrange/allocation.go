package keyrange

import "math"

const (
	// spareExponent says how the spare capacity of a slot depends on the target's speed s: it is in
	// proportion to s^spareExponent. With 1 all targets are equally utilised, with 0 each slot has the
	// same spare capacity. In a model of targets with 2 and 3 slots, with speeds of 0.5 to 1.65 times
	// the mean and a lognormal work of sigma 0.3 to 0.8, the share of late requests with 0.25 is at
	// most 0.015 above the least that any allocation has, up to a utilisation of 0.75.
	spareExponent = 0.25
	// fullFrom is the utilisation of the whole deployment from which the exponent rises, to 1 at full
	// utilisation. Near that, nearly all requests of the fast targets are late too, and equal
	// utilisation has the least share of late requests.
	fullFrom = 0.75
	// minAllocatedShare is the least utilisation of a target relative to that of the whole. A target
	// without work is not measured, and becomes cold.
	minAllocatedShare = 1.0 / 3
	// minAllocationUtilisation replaces lower utilisations of the whole.
	minAllocationUtilisation = 0.25
	// maxSpeedRatio bounds how much slower than average a target is taken to be, and the search for x.
	// Measured speeds are at most 10, for which an x of 6 already gives every target the least work.
	maxSpeedRatio = 100
)

// Allocation returns the work that each of the targets should have relative to the others, in slots of
// an average target. The parameters are the capacities of the targets, in slots of an average target,
// their speeds, and the utilisation of all targets together, where 1 is full. The sum of the result
// is that of the capacities.
//
// With the same utilisation, a request is late more often at a slow target with few slots than at a
// fast one: both its own duration and its wait are longer. So the slow targets get less than the same
// utilisation while there is spare capacity. The utilisation of a target of speed s is
// 1 - x*s^(e-1), but at least minAllocatedShare of the given one. e is spareExponent, or more above
// fullFrom, and x is such that all targets together have the given utilisation.
func Allocation(averageSlots, speeds []float64, utilisation float64) []float64 {
	u := min(max(utilisation, minAllocationUtilisation), 1)
	exponent := spareExponent + (1-spareExponent)*max(0, (u-fullFrom)/(1-fullFrom))
	spare := make([]float64, len(speeds))
	total := 0.0
	for i, s := range speeds {
		spare[i] = math.Pow(max(s, 1.0/maxSpeedRatio), exponent-1)
		total += averageSlots[i]
	}
	utilisationOf := func(i int, x float64) float64 { return max(minAllocatedShare*u, 1-x*spare[i]) }
	// The work falls as x rises. 50 halvings find x to within 1e-13.
	low, high := 0.0, float64(maxSpeedRatio)
	for range 50 {
		x := (low + high) / 2
		work := 0.0
		for i := range speeds {
			work += utilisationOf(i, x) * averageSlots[i]
		}
		if work > u*total {
			low = x
		} else {
			high = x
		}
	}
	out := make([]float64, len(speeds))
	for i := range out {
		out[i] = averageSlots[i] * utilisationOf(i, high) / u
	}
	return out
}
