package view

import (
	"maps"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// Evacuations are the data centres to whose targets operators want nothing sent.
type Evacuations struct {
	// Version is the version of the store as of which they were last found to have changed.
	Version uint64
	// Since says when this instance learned of each one that is in force.
	Since map[string]clock.Instant
	// Over says when this instance learned that one was taken back.
	Over map[string]clock.Instant
}

// List returns the data centres that are evacuated, sorted.
func (e Evacuations) List() []string { return slices.Sorted(maps.Keys(e.Since)) }

// Contains reports whether a data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	_, evacuated := e.Since[dataCentre]
	return evacuated
}

// ClosedFor reports whether a data centre has been evacuated for at least the given time.
func (e Evacuations) ClosedFor(dataCentre string, now clock.Instant, least time.Duration) bool {
	since, evacuated := e.Since[dataCentre]
	return evacuated && now.Sub(since) >= least
}

// changed returns the evacuations after a reading that found the listed ones in force.
func (e Evacuations) changed(version uint64, list []string, now clock.Instant) Evacuations {
	next := Evacuations{Version: version, Since: map[string]clock.Instant{}, Over: maps.Clone(e.Over)}
	if next.Over == nil {
		next.Over = map[string]clock.Instant{}
	}
	for _, dataCentre := range list {
		since, known := e.Since[dataCentre]
		if !known {
			since = now
		}
		next.Since[dataCentre] = since
		delete(next.Over, dataCentre)
	}
	for dataCentre := range e.Since {
		if !next.Contains(dataCentre) {
			next.Over[dataCentre] = now
		}
	}
	return next
}

// SetEvacuations adopts the data centres that are evacuated as of a version of the store, unless a
// newer reading is known. It reports whether they differ from those known before.
func (b *Board) SetEvacuations(version uint64, list []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load().Evacuations
	if version <= old.Version {
		return false
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(list)))
	if slices.Equal(sorted, old.List()) {
		return false
	}
	b.replace(func(s *Snapshot) { s.Evacuations = old.changed(version, sorted, b.clock.Now()) })
	return true
}

// evacuateAfter is how long after this instance learned of an evacuation the owners of keys still get
// requests: their keys are given to others meanwhile. Operators count from when the store has taken the
// evacuation; the news takes up to 1.5 s while the leading instance changes.
const evacuateAfter = 2 * time.Second

// Excluded reports whether nothing may be sent to a target any more: it has been draining for so long that
// it may have ended, or its data centre is evacuated.
func (s *Snapshot) Excluded(t Target, now clock.Instant) bool {
	return t.DrainExpired(now) || s.Evacuations.ClosedFor(t.DataCentre, now, evacuateAfter)
}

// AcceptsNewWork reports whether a target is to get new work: it is not about to leave, and its data centre is
// not evacuated.
func (s *Snapshot) AcceptsNewWork(t Target) bool {
	return !t.Draining && !s.Evacuations.Contains(t.DataCentre)
}
