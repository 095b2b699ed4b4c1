package permit

import (
	"cmp"
	"slices"

	"lycheehall.example/lycheehall/coordination/view"
)

const (
	// maxAllKeepers is the number of instances up to which all of them are keepers. Each instance
	// then has connections to few others, and the loss of one affects few requests.
	maxAllKeepers = 32
	// keeperShare is the fraction of a data centre's processor capacity that its keepers have. They
	// handle two messages for each request of all instances.
	keeperShare = 0.2
	// minKeepers is the minimum number of keepers in a data centre, so that two remain if one
	// shuts down or crashes.
	minKeepers = 3
	// keeperDuty is the name of the keepers' duty, which is work that an instance does for others.
	// It enters the ranking of instances.
	keeperDuty = "keeper"
)

// Keepers returns the instances that are keepers of pools. If there are many instances, these are
// the ones with the largest weights in each data centre, as many as together have a fifth of its
// processor capacity.
//
// If all instances were keepers then too, each would have a connection to and from every other one,
// and its memory use would grow with the number of instances. All instances that know the same list
// compute the same keepers.
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

// largest returns the instances with the largest weights in a data centre that together have
// keeperShare of its processor capacity, and at least minKeepers.
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
