package keyrange

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// Load is the work that arrives for each key, in seconds of one slot of an average target
// per second.
type Load [MaxKey + 1]float32

// Capacity is a target that may own keys, with the work it can do: its slots times its
// speed relative to the average.
type Capacity struct {
	Target string
	Slots  float64
}

// Policy says when ranges move for balance.
type Policy struct {
	// Imbalance is the ratio of a target's utilisation to the mean from which on it gives
	// keys away.
	Imbalance float64
	// MinGain is the least difference in utilisation between the giving and the taking
	// target. A move stops the keys for as long as their running requests take, so small
	// differences, which noise makes, are not worth one.
	MinGain float64
	// MaxMoves bounds the moves of one plan.
	MaxMoves int
}

// Move is a planned change of owner.
type Move struct {
	From, To uint16
	Next     string
}

// idleWork is the load in slots that is spread over all keys beside what was measured, so
// that keys without load are shared out as well, and a target without keys counts as empty.
const idleWork = 0.5

// account is what a target owns while a plan is made.
type account struct {
	Capacity
	work   float64
	pieces []Range
	// topKey is the key with the most work, top, of those that stay where they are.
	topKey uint16
	top    float64
	// stuck says that nothing more can be taken from it.
	stuck bool
}

func (a *account) utilisation() float64 { return a.work / a.Slots }

// planner looks at one map and one load.
type planner struct {
	policy   Policy
	accounts map[string]*account
	order    []*account
	// below is the work of all keys below a key, idle work included.
	below [MaxKey + 2]float64
}

// Plan returns moves that even out the load among the targets. Ranges of owners that are
// not among them are left alone. Moves for balance are taken from the fullest target and
// given to the emptiest, cut so that both end up equally full.
func Plan(m *Map, load *Load, targets []Capacity, policy Policy) []Move {
	if len(targets) < 2 {
		return nil
	}
	p := newPlanner(m, load, targets, policy)
	var moves []Move
	if move, ok := p.lone(); ok && policy.MaxMoves > 0 {
		moves = append(moves, move)
	}
	for len(moves) < policy.MaxMoves {
		move, ok := p.next()
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

func newPlanner(m *Map, load *Load, targets []Capacity, policy Policy) *planner {
	p := &planner{policy: policy, accounts: map[string]*account{}}
	for _, t := range targets {
		a := &account{Capacity: t}
		p.accounts[t.Target] = a
		p.order = append(p.order, a)
	}
	p.measure(m, load)
	slices.SortFunc(p.order, func(a, b *account) int { return cmp.Compare(a.Target, b.Target) })
	for _, r := range m.Ranges {
		a := p.accounts[r.Heir()]
		if a == nil {
			continue
		}
		a.work += p.work(r.From, r.To)
		if !r.Moving() {
			a.pieces = append(a.pieces, r)
		}
	}
	return p
}

// measure adds up the load of the keys. A key counts for no more than its owner can do: the rest
// is refused wherever the key is, and moving anything for its sake helps nobody.
func (p *planner) measure(m *Map, load *Load) {
	for _, r := range m.Ranges {
		most := math.Inf(1)
		a := p.accounts[r.Heir()]
		if a != nil {
			most = a.Slots
		}
		for key := int(r.From); key <= int(r.To); key++ {
			work := float64(load[key])
			if a != nil && !r.Moving() && work > a.top {
				a.top, a.topKey = work, uint16(key)
			}
			p.below[key+1] = p.below[key] + min(work, most) + idleWork/(MaxKey+1)
		}
	}
}

const (
	// loneShare is the part of what its owner can do from which on a single key is looked at by
	// itself: its requests queue whatever else is moved away.
	loneShare = 0.75
	// loneGain is the least ratio of what the next owner of such a key can do to what its owner
	// can. The move stops the key for as long as its running requests take, about 0.3 s.
	loneGain = 1.25
)

// lone finds a single key that is too much for its owner, and moves it to the target that can do
// most of it. A key cannot be cut. Where a key got 100 requests a second of 0.22 s, an average
// target of six slots answered 22 of them, the fastest one 47.
func (p *planner) lone() (Move, bool) {
	for _, a := range p.order {
		if a.top < loneShare*a.Slots {
			continue
		}
		best := a
		for _, b := range p.order {
			if b.Slots > best.Slots && b.top < loneShare*b.Slots {
				best = b
			}
		}
		if best.Slots < loneGain*a.Slots {
			continue
		}
		p.apply(a, best, Range{From: a.topKey, To: a.topKey})
		return Move{From: a.topKey, To: a.topKey, Next: best.Target}, true
	}
	return Move{}, false
}

// work returns the load of the keys from..to.
func (p *planner) work(from, to uint16) float64 { return p.below[int(to)+1] - p.below[from] }

// reaches returns the first key up to which the keys from.. have at least the given work, or
// to if there is none.
func (p *planner) reaches(from, to uint16, work float64) uint16 {
	n := sort.Search(int(to)-int(from), func(i int) bool { return p.work(from, from+uint16(i)) >= work })
	return from + uint16(n)
}

// reachesBack returns the last key from which on the keys ..to have at least the given work,
// or from if there is none.
func (p *planner) reachesBack(from, to uint16, work float64) uint16 {
	n := sort.Search(int(to)-int(from), func(i int) bool { return p.work(to-uint16(i), to) >= work })
	return to - uint16(n)
}

// next finds the move that helps the fullest target which can still be helped.
func (p *planner) next() (Move, bool) {
	mean := p.mean()
	coldest := p.emptiest()
	for {
		hottest := p.hottest()
		if hottest == nil || hottest == coldest {
			return Move{}, false
		}
		gain := hottest.utilisation() - coldest.utilisation()
		empty := coldest.work == 0
		if !empty && (hottest.utilisation() < mean*p.policy.Imbalance || gain < p.policy.MinGain) {
			return Move{}, false
		}
		if cut, ok := p.cut(hottest, coldest); ok {
			p.apply(hottest, coldest, cut)
			return Move{From: cut.From, To: cut.To, Next: coldest.Target}, true
		}
		hottest.stuck = true
	}
}

func (p *planner) mean() float64 {
	work, slots := 0.0, 0.0
	for _, a := range p.order {
		work += a.work
		slots += a.Slots
	}
	return work / slots
}

func (p *planner) hottest() *account {
	var best *account
	for _, a := range p.order {
		if !a.stuck && (best == nil || a.utilisation() > best.utilisation()) {
			best = a
		}
	}
	return best
}

// cut finds the beginning or end of one of the giver's ranges whose load comes closest to
// what makes both equally full. It never makes the taker fuller than the giver was.
func (p *planner) cut(giver, taker *account) (Range, bool) {
	want := (giver.work*taker.Slots - taker.work*giver.Slots) / (giver.Slots + taker.Slots)
	most := (giver.utilisation() - taker.utilisation()) * taker.Slots * 0.9
	best, bestOff := Range{}, math.Inf(1)
	consider := func(from, to uint16, work float64) {
		if work > most || work <= 0 {
			return
		}
		if off := math.Abs(work - want); off < bestOff {
			best, bestOff = Range{From: from, To: to}, off
		}
	}
	for _, r := range giver.pieces {
		p.prefixes(r, want, consider)
		p.suffixes(r, want, consider)
	}
	// A piece that brings less than this share of what is wanted is not worth stopping
	// its keys.
	const leastShare = 0.25
	return best, bestOff <= want*(1-leastShare)
}

func (p *planner) prefixes(r Range, want float64, consider func(from, to uint16, work float64)) {
	to := p.reaches(r.From, r.To, want)
	consider(r.From, to, p.work(r.From, to))
	if to > r.From {
		consider(r.From, to-1, p.work(r.From, to-1))
	}
}

func (p *planner) suffixes(r Range, want float64, consider func(from, to uint16, work float64)) {
	from := p.reachesBack(r.From, r.To, want)
	consider(from, r.To, p.work(from, r.To))
	if from < r.To {
		consider(from+1, r.To, p.work(from+1, r.To))
	}
}

func (p *planner) apply(giver, taker *account, cut Range) {
	work := p.work(cut.From, cut.To)
	giver.work -= work
	taker.work += work
	var rest []Range
	for _, r := range giver.pieces {
		if r.To < cut.From || r.From > cut.To {
			rest = append(rest, r)
			continue
		}
		if r.From < cut.From {
			before := r
			before.To = cut.From - 1
			rest = append(rest, before)
		}
		if r.To > cut.To {
			after := r
			after.From = cut.To + 1
			rest = append(rest, after)
		}
	}
	giver.pieces = rest
}

// Utilisation returns the load of each target relative to its capacity.
func Utilisation(m *Map, load *Load, targets []Capacity) map[string]float64 {
	p := newPlanner(m, load, targets, Policy{})
	out := make(map[string]float64, len(targets))
	for _, a := range p.order {
		out[a.Target] = a.utilisation()
	}
	return out
}
