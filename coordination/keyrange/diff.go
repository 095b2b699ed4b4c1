package keyrange

import (
	"cmp"
	"fmt"
	"slices"
)

// Diff returns the ranges of m that an older map doesn't contain unchanged. Patch makes m from the
// older map and these ranges.
func (m *Map) Diff(older *Map) []Range {
	known := make(map[Range]bool, len(older.Ranges))
	for _, r := range older.Ranges {
		known[r] = true
	}
	var changed []Range
	for _, r := range m.Ranges {
		if !known[r] {
			changed = append(changed, r)
		}
	}
	return changed
}

// Patch returns the map of the given version that differs from m in the changed ranges. Where a
// range of m was split, all its parts must be among the changed ranges. It returns ErrInvalid if
// the result doesn't cover the key space without gaps.
func (m *Map) Patch(version uint64, changed []Range) (*Map, error) {
	next := &Map{Version: version, Ranges: slices.Clone(changed)}
	for _, r := range m.Ranges {
		if !slices.ContainsFunc(changed, func(c Range) bool { return c.From <= r.To && r.From <= c.To }) {
			next.Ranges = append(next.Ranges, r)
		}
	}
	slices.SortFunc(next.Ranges, func(a, b Range) int { return cmp.Compare(a.From, b.From) })
	from := 0
	for _, r := range next.Ranges {
		if int(r.From) != from || r.To < r.From {
			return nil, fmt.Errorf("%w: patch to version %d: gap or overlap at key %d", ErrInvalid, version, from)
		}
		from = int(r.To) + 1
	}
	if from != MaxKey+1 {
		return nil, fmt.Errorf("%w: patch to version %d: ranges end before key %d instead of at the last key", ErrInvalid, version, from)
	}
	return next, nil
}
