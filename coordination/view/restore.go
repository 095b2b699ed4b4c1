package view

import "time"

// RestoreGrace is how long data that the store has lost remains valid after the store was restored
// from a backup. Its writers write it again in this time.
const RestoreGrace = 10 * time.Second

// keepDraining marks the targets of the list as draining that were draining before: a leaving
// target never returns to service, so an entry without the mark is out of date.
func keepDraining(list, before map[string]Target) {
	for id, t := range list {
		if former := before[id]; former.Draining && !t.Draining {
			t.Draining, t.DrainingAt = true, former.DrainingAt
			list[id] = t
		}
	}
}
