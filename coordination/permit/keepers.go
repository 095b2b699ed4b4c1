package permit

import (
	"cmp"
	"slices"

	"lycheehall.example/lycheehall/coordination/view"
)

const (
	// allKeep is the number of instances up to which all keep pools: each then has few others to
	// talk to, and the loss of one concerns few requests.
	allKeep = 32
	// keeperShare is the part of a data centre's processors that the instances have which keep its
	// pools: it bears two messages for each request of all.
	keeperShare = 0.2
	// leastKeepers leaves two where one is lost.
	leastKeepers = 3
	// keeperDuty names the duty in the ranking of instances.
	keeperDuty = "keeper"
)

// Keepers returns the instances that keep pools: in a large fleet the largest of each data centre, as
// many as have a fifth of its processors.
//
// Where all of them keep pools, every instance has a connection to every other one, and one from it, whose
// memory grows with the number of instances. Everyone who knows the same instances finds the same keepers.
func Keepers(list []view.Instance) []view.Instance {
	if len(list) <= allKeep {
		return list
	}
	byDataCentre := map[string][]view.Instance{}
	for _, i := range list {
		byDataCentre[i.DataCentre] = append(byDataCentre[i.DataCentre], i)
	}
	var keepers []view.Instance
	for _, here := range byDataCentre {
		keepers = append(keepers, largest(here)...)
	}
	return keepers
}

// largest returns the largest instances of a data centre that have keeperShare of its processors.
func largest(here []view.Instance) []view.Instance {
	total := 0.0
	for _, i := range here {
		total += i.Weight
	}
	slices.SortFunc(here, func(a, b view.Instance) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(b.Score(keeperDuty), a.Score(keeperDuty)))
	})
	count, sum := 0, 0.0
	for count < len(here) && (count < leastKeepers || sum < keeperShare*total) {
		sum += here[count].Weight
		count++
	}
	return here[:count]
}
