package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ContendedAimRatio is the ratio of the aim of a less urgent kind of request to that of a more urgent
// one of the same service from which on the two compete: the less urgent one then has time to wait
// until the other one has been served.
const ContendedAimRatio = 2

// Contended reports whether kinds of requests compete for the targets of any service: a rule of the
// service is less urgent than another one, and has an aim at least ContendedAimRatio times as long.
func (s *Set) Contended() bool {
	s.contendedOnce.Do(s.findContended)
	return s.contended
}

// findContended sets contended.
func (s *Set) findContended() {
	byService := map[string][]*Rule{}
	for r := range s.All() {
		if r.Then.Route != "" {
			byService[r.Then.Route] = append(byService[r.Then.Route], r)
		}
		for _, b := range r.Then.Backends {
			if b.Weight > 0 {
				byService[b.Service] = append(byService[b.Service], r)
			}
		}
	}
	for _, list := range byService {
		if compete(list) {
			s.contended = true
			return
		}
	}
}

// compete reports whether any rule of the list is less urgent than another one and has an aim at
// least ContendedAimRatio times as long. It sorts the list.
func compete(list []*Rule) bool {
	slices.SortFunc(list, func(a, b *Rule) int { return cmp.Compare(a.Then.Priority, b.Then.Priority) })
	// shortest is the shortest aim of all more urgent rules, shortestHere also includes the rules of
	// the current priority.
	shortest, shortestHere := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for i, r := range list {
		if i > 0 && r.Then.Priority != list[i-1].Then.Priority {
			shortest = shortestHere
		}
		aim := time.Duration(r.Then.Aim)
		if shortest <= aim/ContendedAimRatio {
			return true
		}
		shortestHere = min(shortestHere, aim)
	}
	return false
}
