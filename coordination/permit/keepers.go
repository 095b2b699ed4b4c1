package permit

import (
	"cmp"
	"slices"

	"lycheehall.example/lycheehall/coordination/view"
)

const (
	// maxAllKeepers is the number of instances up to which all of them are keepers. Each instance
	// then has few others to talk to, and the loss of one affects few requests.
	maxAllKeepers = 32
	// keeperShare is the fraction of a data centre's processors that its keepers have. The keepers
	// handle two messages for each request of all instances.
	keeperShare = 0.2
	// minKeepers leaves two keepers in a data centre that loses one.
	minKeepers = 3
	// keeperDuty names the duty in the ranking of instances.
	keeperDuty = "keeper"
)

// Keepers returns the instances that are keepers of pools: in a large fleet the largest ones of
// each data centre, as many as have a fifth of its processors.
//
// If all instances of a large fleet were keepers, each would have a connection to and from every
// other one, and its memory use would grow with the number of instances. All instances that know
// the same list compute the same keepers.
func Keepers(list []view.Instance) []view.Instance {
	if len(list) <= maxAllKeepers {
		return list
	}
	byDataCentre := map[string][]view.Instance{}
	for _, i := range list {
		byDataCentre[i.DataCentre] = append(byDataCentre[i.DataCentre], i)
	}
	var keepers []view.Instance
	for _, instances := range byDataCentre {
		keepers = append(keepers, largest(instances)...)
	}
	return keepers
}

// largest returns the largest instances of a data centre that together have keeperShare of its
// processors.
func largest(instances []view.Instance) []view.Instance {
	total := 0.0
	for _, i := range instances {
		total += i.Weight
	}
	slices.SortFunc(instances, func(a, b view.Instance) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(b.Score(keeperDuty), a.Score(keeperDuty)))
	})
	count, sum := 0, 0.0
	for count < len(instances) && (count < minKeepers || sum < keeperShare*total) {
		sum += instances[count].Weight
		count++
	}
	return instances[:count]
}
