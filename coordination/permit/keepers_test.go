package permit

import (
	"fmt"

	g "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/view"
)

// instancesOf makes instances in five data centres, the first ones of which are large.
func instancesOf(count, large int) []view.Instance {
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
	// Symptom: small instances use 50 MB, and more with each instance that joins; a fleet of ten times
	// the size would not fit. Sequence: each request asks the keeper of its target; every instance
	// keeps some. Cause: every instance has connections to all others.
	g.It("are few large ones in a large fleet, and have a fifth of the processors of each data centre", func() {
		Expect(Keepers(instancesOf(295, 15))).To(HaveLen(15))
		uniform := Keepers(instancesOf(295, 0))
		Expect(len(uniform)).To(BeNumerically("~", 295*keeperShare, 5))
		dataCentres := map[string]int{}
		for _, i := range uniform {
			dataCentres[i.DataCentre]++
		}
		Expect(dataCentres).To(HaveLen(5))
	})

	g.It("are all in a small fleet", func() {
		Expect(Keepers(instancesOf(allKeep, 3))).To(HaveLen(allKeep))
	})

	// A keeper that is another one after each restart would forget which slots are in use.
	g.It("are the same when a small instance is started again", func() {
		before := Keepers(instancesOf(295, 15))
		list := instancesOf(295, 15)
		list[200].ID = "i0200.2"
		Expect(Keepers(list)).To(ConsistOf(before))
		list = instancesOf(295, 0)
		list[200].ID = "i0200.2"
		changed := 0
		for _, i := range Keepers(list) {
			found := false
			for _, j := range Keepers(instancesOf(295, 0)) {
				found = found || i == j
			}
			if !found {
				changed++
			}
		}
		Expect(changed).To(BeNumerically("<=", 1))
	})

	g.It("are at least three in each data centre", func() {
		list := instancesOf(40, 5)
		Expect(len(Keepers(list))).To(BeNumerically(">=", 15))
	})
})
