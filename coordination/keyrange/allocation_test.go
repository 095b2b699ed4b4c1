package keyrange

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// deployment is a model of targets with slots, and of requests with a mean work and an aim in seconds.
type deployment struct {
	slots  int
	speeds []float64
	kinds  [2]requestKind
	// disturbed is the share of requests that take three times as long.
	disturbed float64
}

type requestKind struct{ share, work, aim float64 }

var modelled = map[string]deployment{
	"3 slots":            {3, []float64{0.5, 1, 1, 1.5}, [2]requestKind{{0.767, 0.2, 0.8}, {0.233, 0.26, 1}}, 0},
	"3 slots, disturbed": {3, []float64{0.5, 1, 1, 1.5}, [2]requestKind{{0.767, 0.2, 0.8}, {0.233, 0.26, 1}}, 0.2},
	"2 slots":            {2, []float64{0.68, 0.68, 1.65}, [2]requestKind{{0.724, 0.13, 0.6}, {0.276, 0.17, 0.8}}, 0},
}

// lateShare is the share of requests that are answered after their aim at a target of the given speed
// and utilisation, with lognormal work, in the order of arrival.
func (d deployment) lateShare(speed, utilisation, sigma float64) float64 {
	const requests = 20000
	random := rand.New(rand.NewPCG(7, 7))
	work := (d.kinds[0].share*d.kinds[0].work + d.kinds[1].share*d.kinds[1].work) * (1 + 2*d.disturbed)
	freeAt := make([]float64, d.slots)
	now, late := 0.0, 0
	for range requests {
		now += random.ExpFloat64() / (utilisation * float64(d.slots) * speed / work)
		kind := d.kinds[0]
		if random.Float64() >= kind.share {
			kind = d.kinds[1]
		}
		took := kind.work / speed * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
		if random.Float64() < d.disturbed {
			took *= 3
		}
		first := slices.Index(freeAt, slices.Min(freeAt))
		freeAt[first] = max(now, freeAt[first]) + took
		if freeAt[first] > now+kind.aim {
			late++
		}
	}
	return float64(late) / requests
}

var _ = Describe("the allocation of work to targets of uneven speed", func() {
	It("makes fewer requests late than equal utilisation (guards against slow targets with few slots that are late while fast ones have room)", func() {
		for name, d := range modelled {
			total := 0.0
			capacities := make([]float64, len(d.speeds))
			for i, s := range d.speeds {
				capacities[i] = s * float64(d.slots)
				total += capacities[i]
			}
			for _, sigma := range []float64{0.3, 0.5, 0.8} {
				for _, u := range []float64{0.25, 0.35, 0.45, 0.55, 0.65, 0.75, 0.85, 0.95} {
					equal, allocated := 0.0, 0.0
					for i, share := range Allocation(capacities, d.speeds, u) {
						equal += capacities[i] / total * d.lateShare(d.speeds[i], u, sigma)
						allocated += share / total * d.lateShare(d.speeds[i], u*share/capacities[i], sigma)
					}
					at := fmt.Sprintf("%s, sigma %.1f, utilisation %.2f", name, sigma, u)
					if u < 0.5 && equal > 0.002 {
						Expect(allocated).To(BeNumerically("<", 0.85*equal), at)
					}
					Expect(allocated).To(BeNumerically("<", max(1.06*equal, 0.002)), at)
				}
			}
		}
	})

	It("is even at full utilisation, and leaves every target some work (guards against targets that are never measured and become cold)", func() {
		capacities, speeds := []float64{0.2, 2, 6}, []float64{0.1, 1, 3}
		for _, u := range []float64{0, 0.3, 0.6, 0.9} {
			out := Allocation(capacities, speeds, u)
			Expect(out[0] + out[1] + out[2]).To(BeNumerically("~", 8.2, 0.001))
			Expect(out[0]).To(BeNumerically(">=", 0.2/3-0.001))
			Expect(Allocation([]float64{2, 3}, []float64{1, 1}, u)).To(HaveExactElements(BeNumerically("~", 2, 0.001), BeNumerically("~", 3, 0.001)))
		}
		Expect(Allocation(capacities, speeds, 1.3)).To(HaveExactElements(BeNumerically("~", 0.2, 0.001), BeNumerically("~", 2, 0.001), BeNumerically("~", 6, 0.001)))
	})
})
