package permit

import (
	"fmt"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/view"
)

// makeInstances returns instances in five data centres. The first ones have a large weight.
func makeInstances(count, large int) []view.Instance {
	var list []view.Instance
	for n := range count {
		weight := 0.16
		if n < large {
			weight = 0.8
		}
		list = append(list, view.Instance{ID: fmt.Sprintf("i%04d.1", n), Address: fmt.Sprint("a", n), DataCentre: fmt.Sprint("dc", n%5), Weight: weight})
	}
	return list
}

var _ = g.Describe("the keepers of pools", func() {
	// If every instance were a keeper, every instance would have connections to all others. Small
	// instances would use 50 MB, and more with each instance that is added, which does not scale to
	// ten times as many instances.
	g.It("are a few instances with large weights if there are many instances, with a fifth of the processor capacity of each data centre", func() {
		Expect(Keepers(makeInstances(295, 15))).To(HaveLen(15))
		uniform := Keepers(makeInstances(295, 0))
		Expect(len(uniform)).To(BeNumerically("~", 295*keeperShare, 5))
		dataCentres := map[string]int{}
		for _, i := range uniform {
			dataCentres[i.DataCentre]++
		}
		Expect(dataCentres).To(HaveLen(5))
	})

	g.It("are all instances if there are few", func() {
		Expect(Keepers(makeInstances(maxAllKeepers, 3))).To(HaveLen(maxAllKeepers))
	})

	// A keeper that changes with each restart would forget which slots are in use.
	g.It("do not change when a small instance restarts", func() {
		before := Keepers(makeInstances(295, 15))
		list := makeInstances(295, 15)
		list[200].ID = "i0200.2"
		Expect(Keepers(list)).To(ConsistOf(before))
		list = makeInstances(295, 0)
		list[200].ID = "i0200.2"
		changed := 0
		for _, i := range Keepers(list) {
			found := false
			for _, j := range Keepers(makeInstances(295, 0)) {
				found = found || i == j
			}
			if !found {
				changed++
			}
		}
		Expect(changed).To(BeNumerically("<=", 1))
	})

	g.It("are at least three in each data centre", func() {
		list := makeInstances(40, 5)
		Expect(len(Keepers(list))).To(BeNumerically(">=", 15))
	})
})
