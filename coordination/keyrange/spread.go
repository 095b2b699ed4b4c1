package keyrange

import (
	"cmp"
	"slices"
)

// leastPiece is the least work, as a part of what a target can do, for which a range is cut when
// its keys are given on.
// Each piece is renewed by itself and stands in the map by itself; with every range of a leaving target cut,
// a rolling replacement would end with a map too large for its row.
const leastPiece = 0.4

// Reassign gives the keys of pieces, whose owners are gone or leave, to targets: the heaviest
// first, each to the target that is least full. A piece is cut only if it is too much for one.
func Reassign(m *Map, load *Load, pieces []Range, targets []Capacity) []Move {
	if len(targets) == 0 {
		return nil
	}
	p := newPlanner(m, load, targets, Policy{})
	total := 0.0
	for _, r := range pieces {
		total += p.work(r.From, r.To)
	}
	level := p.level(total)
	heaviest := slices.Clone(pieces)
	slices.SortStableFunc(heaviest, func(a, b Range) int { return cmp.Compare(p.work(b.From, b.To), p.work(a.From, a.To)) })
	var moves []Move
	for _, r := range heaviest {
		moves = p.place(r, level, moves)
	}
	return moves
}

// place gives the keys of one piece to the least full targets, none of which is filled far
// beyond the level.
func (p *planner) place(r Range, level float64, moves []Move) []Move {
	for from := r.From; ; {
		a := p.emptiest()
		least := leastPiece * a.Slots
		if r.Owner == "" {
			// Nothing is known yet of the load of keys that nobody has had.
			least = 0
		}
		to := r.To
		room := max(level*a.Slots-a.work, 0)
		// What is a little over the room is not worth another piece.
		if rest := p.work(from, to); rest > max(least, room*cutAbove) {
			to = p.reaches(from, to, max(room, least/cutAbove))
		}
		a.work += p.work(from, to)
		moves = append(moves, Move{From: from, To: to, Next: a.Target})
		if to == r.To {
			return moves
		}
		from = to + 1
	}
}

// cutAbove is how far beyond a target's room a piece may go before it is cut.
const cutAbove = 1.25

func (p *planner) emptiest() *account {
	return slices.MinFunc(p.order, func(a, b *account) int { return cmp.Compare(a.utilisation(), b.utilisation()) })
}

// level returns the utilisation to which all targets can be filled with the work.
func (p *planner) level(work float64) float64 {
	low, high := 0.0, 0.0
	for _, a := range p.order {
		high = max(high, a.utilisation())
	}
	high += work/p.order[0].Slots + 1
	for range 40 {
		middle := (low + high) / 2
		room := 0.0
		for _, a := range p.order {
			room += max(0, middle*a.Slots-a.work)
		}
		if room < work {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
