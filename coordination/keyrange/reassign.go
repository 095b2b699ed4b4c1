package keyrange

import (
	"cmp"
	"slices"
)

// A range is split when it is reassigned only if its work is more than minSplitShare of the
// destination's capacity. Each range is stored and renewed by itself: if every range of a leaving
// target were split, the map would be too large for its row at the end of a rolling replacement.
const minSplitShare = 0.4

// Reassign returns moves that give ranges whose owners have exited or are leaving to other targets:
// the range with the most work first, each to the least utilised target. A range is split only if
// its work is too much for one target.
func Reassign(m *Map, load *Load, ranges []Range, targets []Capacity) []Move {
	if len(targets) == 0 {
		return nil
	}
	p := newPlanner(m, load, targets, Policy{})
	total := 0.0
	for _, r := range ranges {
		total += p.work(r.From, r.To)
	}
	level := p.fillLevel(total)
	byWork := slices.Clone(ranges)
	slices.SortStableFunc(byWork, func(a, b Range) int { return cmp.Compare(p.work(b.From, b.To), p.work(a.From, a.To)) })
	var moves []Move
	for _, r := range byWork {
		moves = p.assignRange(r, level, moves)
	}
	return moves
}

// assignRange adds moves that give the keys of one range to the least utilised targets, none of
// which is filled far above the level.
func (p *planner) assignRange(r Range, level float64, moves []Move) []Move {
	for from := r.From; ; {
		dest := p.leastUtilised()
		minWork := minSplitShare * dest.AverageSlots
		if r.Owner == "" {
			// The load of keys that have had no owner is not known yet.
			minWork = 0
		}
		to := r.To
		room := max(level*dest.AverageSlots-dest.work, 0)
		// A little more than the room is not worth another range.
		if rest := p.work(from, to); rest > max(minWork, room*overfillFactor) {
			to = p.firstKeyReaching(from, to, max(room, minWork/overfillFactor))
		}
		dest.work += p.work(from, to)
		moves = append(moves, Move{From: from, To: to, Next: dest.Target})
		if to == r.To {
			return moves
		}
		from = to + 1
	}
}

// overfillFactor is the ratio of a range's work to the room left at its destination above which the
// range is split.
const overfillFactor = 1.25

// leastUtilised returns the least utilised target.
func (p *planner) leastUtilised() *targetLoad {
	return slices.MinFunc(p.targets, func(a, b *targetLoad) int { return cmp.Compare(a.utilisation(), b.utilisation()) })
}

// fillLevel returns the utilisation up to which all targets are filled if the work is added to
// them.
func (p *planner) fillLevel(work float64) float64 {
	low, high := 0.0, 0.0
	for _, a := range p.targets {
		high = max(high, a.utilisation())
	}
	high += work/p.targets[0].AverageSlots + 1
	for range 40 {
		middle := (low + high) / 2
		room := 0.0
		for _, a := range p.targets {
			room += max(0, middle*a.AverageSlots-a.work)
		}
		if room < work {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
