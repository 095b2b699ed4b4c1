package view

import "time"

// RestoreGrace is how long after the store was restored from a copy the data known before stays in
// force where the store lacks it. Whoever wrote that data writes it again in this time.
const RestoreGrace = 10 * time.Second

// keepDraining marks the targets of the list as draining that were draining before: a target never
// stops draining, so an entry that says otherwise is out of date.
func keepDraining(list, before map[string]Target) {
	for id, t := range list {
		if former := before[id]; former.Draining && !t.Draining {
			t.Draining, t.DrainingAt = true, former.DrainingAt
			list[id] = t
		}
	}
}
