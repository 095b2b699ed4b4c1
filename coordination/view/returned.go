package view

import "time"

// RestoreGrace is how long after the store came back from a copy what was known before holds on, where the
// store lacks it: whoever wrote it writes it again.
const RestoreGrace = 10 * time.Second

// keepDraining has targets of a list go on to drain that did before: none takes that back.
func keepDraining(list, before map[string]Target) {
	for id, t := range list {
		if former := before[id]; former.Draining && !t.Draining {
			t.Draining, t.DrainingAt = true, former.DrainingAt
			list[id] = t
		}
	}
}
