package view

import (
	"maps"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// Evacuations are the data centres that operators have evacuated: their targets get no new work.
type Evacuations struct {
	// Version is the store version at which they were last found to have changed.
	Version uint64
	// Since is when this instance learned of each evacuation in force, by data centre.
	Since map[string]clock.Instant
	// EndedAt is when this instance learned of the end of each former evacuation, by data centre.
	EndedAt map[string]clock.Instant
}

// List returns the evacuated data centres, sorted.
func (e Evacuations) List() []string { return slices.Sorted(maps.Keys(e.Since)) }

// Contains reports whether the data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	_, evacuated := e.Since[dataCentre]
	return evacuated
}

// EvacuatedFor reports whether the data centre has been evacuated for at least the given time.
func (e Evacuations) EvacuatedFor(dataCentre string, now clock.Instant, least time.Duration) bool {
	since, evacuated := e.Since[dataCentre]
	return evacuated && now.Sub(since) >= least
}

// updated returns the evacuations after the listed data centres were read as evacuated at the given
// store version.
func (e Evacuations) updated(storeVersion uint64, list []string, now clock.Instant) Evacuations {
	next := Evacuations{Version: storeVersion, Since: map[string]clock.Instant{}, EndedAt: maps.Clone(e.EndedAt)}
	if next.EndedAt == nil {
		next.EndedAt = map[string]clock.Instant{}
	}
	for _, dataCentre := range list {
		since, known := e.Since[dataCentre]
		if !known {
			since = now
		}
		next.Since[dataCentre] = since
		delete(next.EndedAt, dataCentre)
	}
	for dataCentre := range e.Since {
		if !next.Contains(dataCentre) {
			next.EndedAt[dataCentre] = now
		}
	}
	return next
}

// SetEvacuations adopts the list of the data centres that are evacuated at a store version, unless
// a change at this version or a newer one is known. It reports whether the evacuations have
// changed.
func (b *Board) SetEvacuations(storeVersion uint64, list []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load().Evacuations
	if storeVersion <= old.Version {
		return false
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(list)))
	if slices.Equal(sorted, old.List()) {
		return false
	}
	b.publish(func(s *Snapshot) { s.Evacuations = old.updated(storeVersion, sorted, b.clock.Now()) })
	return true
}

// evacuationGrace is how long the owners of keys in an evacuated data centre still get requests,
// counted from when this instance learned of the evacuation. Their keys are moved in this time.
// Operators count from when the store accepted the evacuation; the update takes up to 1.5 s while
// the leader changes.
const evacuationGrace = 2 * time.Second

// Excluded reports whether no request may be sent to the target any more: it has been leaving for
// longer than DrainGrace and may have exited, or its data centre has been evacuated for at least
// evacuationGrace (2 s).
func (s *Snapshot) Excluded(t Target, now clock.Instant) bool {
	return t.DrainExpired(now) || s.Evacuations.EvacuatedFor(t.DataCentre, now, evacuationGrace)
}

// AcceptsNewWork reports whether the target may get new work: it is not leaving, and its data
// centre is not evacuated.
func (s *Snapshot) AcceptsNewWork(t Target) bool {
	return !t.Draining && !s.Evacuations.Contains(t.DataCentre)
}
