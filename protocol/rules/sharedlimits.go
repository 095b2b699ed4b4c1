package rules

import (
	"cmp"
	"slices"
)

// SharedLimits returns the rules whose limit applies to all instances together, by name. Rules that
// refuse all requests are left out.
func (s *Set) SharedLimits() []*Rule {
	s.sharedOnce.Do(func() {
		for r := range s.All() {
			if r.Then.Refuse == nil && r.Then.Limit != nil && r.Then.Limit.Scope == ScopeAll {
				s.shared = append(s.shared, r)
			}
		}
		slices.SortFunc(s.shared, func(a, b *Rule) int { return cmp.Compare(a.Name, b.Name) })
	})
	return s.shared
}
