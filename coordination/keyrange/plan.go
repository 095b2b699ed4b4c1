package keyrange

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// Load is the work that arrives for each key, as the number of slots of an average target that it
// keeps busy.
type Load [MaxKey + 1]float32

// Capacity is the capacity of a target that may own keys. AverageSlots is the number of slots of an
// average target that do the same work as the target: its own slots times its speed, unless a limit
// of requests a second makes it less. The speed is 1/slowness; the slowness is the time that
// work takes there, divided by the time that it takes at an average target.
type Capacity struct {
	Target       string
	AverageSlots float64
}

// Policy sets when ranges are moved to balance the load. A target without keys gets some whatever
// the policy, within MaxMoves.
type Policy struct {
	// Keys are moved away from a target whose utilisation is at least Imbalance times the mean.
	Imbalance float64
	// MinDifference is the least difference in utilisation (1 is the full capacity) between the
	// source and the destination of a move. The keys of a move are not served for as long as their
	// running requests take, so small differences, which come from noise, are not worth a move.
	MinDifference float64
	// MaxMoves limits the number of moves of one plan.
	MaxMoves int
}

// Move is a planned move of the keys From..To to the target Next.
type Move struct {
	From, To uint16
	Next     string
}

// baselineWork is a load, in slots of an average target, that is spread evenly over all keys in
// addition to the measured one. Keys without load are thus distributed too, and only a target
// without keys counts as empty.
const baselineWork = 0.5

// targetLoad is the work and the ranges of a target while a plan is made.
type targetLoad struct {
	Capacity
	work   float64
	ranges []Range
	// hottestKey is the key with the most work, hottestWork, among the keys that are not moving.
	hottestKey  uint16
	hottestWork float64
	// exhausted is set when no more ranges can be moved away from the target.
	exhausted bool
}

// utilisation returns the work divided by the capacity.
func (a *targetLoad) utilisation() float64 { return a.work / a.AverageSlots }

// planner plans moves for one map and one load.
type planner struct {
	policy   Policy
	byTarget map[string]*targetLoad
	targets  []*targetLoad
	// workBelow is the sum of the work of all keys below a key, baseline work included.
	workBelow [MaxKey + 2]float64
}

// Plan returns moves that balance the load among the targets. Ranges of other owners are not moved.
// A single key that is too much for its owner is moved first. Each other move takes keys from the
// most utilised target and gives them to the least utilised one, as many as make the utilisation of
// both equal.
func Plan(m *Map, load *Load, targets []Capacity, policy Policy) []Move {
	if len(targets) < 2 {
		return nil
	}
	p := newPlanner(m, load, targets, policy)
	var moves []Move
	if move, ok := p.nextHotKeyMove(); ok && policy.MaxMoves > 0 {
		moves = append(moves, move)
	}
	for len(moves) < policy.MaxMoves {
		move, ok := p.nextMove()
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// newPlanner returns a planner for the given targets. Moving ranges count for their next owner.
func newPlanner(m *Map, load *Load, targets []Capacity, policy Policy) *planner {
	p := &planner{policy: policy, byTarget: map[string]*targetLoad{}}
	for _, t := range targets {
		tl := &targetLoad{Capacity: t}
		p.byTarget[t.Target] = tl
		p.targets = append(p.targets, tl)
	}
	p.measure(m, load)
	slices.SortFunc(p.targets, func(a, b *targetLoad) int { return cmp.Compare(a.Target, b.Target) })
	for _, r := range m.Ranges {
		a := p.byTarget[r.EventualOwner()]
		if a == nil {
			continue
		}
		a.work += p.work(r.From, r.To)
		if !r.Moving() {
			a.ranges = append(a.ranges, r)
		}
	}
	return p
}

// measure sums up the load of the keys. The work of a key counts up to the capacity of its owner:
// the rest is refused wherever the key is, so moving other keys because of it would not help.
func (p *planner) measure(m *Map, load *Load) {
	for _, r := range m.Ranges {
		maxWork := math.Inf(1)
		a := p.byTarget[r.EventualOwner()]
		if a != nil {
			maxWork = a.AverageSlots
		}
		for key := int(r.From); key <= int(r.To); key++ {
			work := float64(load[key])
			if a != nil && !r.Moving() && work > a.hottestWork {
				a.hottestWork, a.hottestKey = work, uint16(key)
			}
			p.workBelow[key+1] = p.workBelow[key] + min(work, maxWork) + baselineWork/(MaxKey+1)
		}
	}
}

const (
	// A key whose work is at least hotKeyShare of its owner's capacity is moved by itself if
	// another target has enough capacity: its requests queue even if all other keys are moved away.
	hotKeyShare = 0.75
	// hotKeyMinRatio is the least ratio of the capacity of the next owner of such a key to that of
	// its owner. The key is not served for as long as its running requests take, about 0.3 s.
	hotKeyMinRatio = 1.25
)

// nextHotKeyMove finds a single key that is too much for its owner, and moves it to the target with
// the largest capacity among those without such a key. A key can't be split, so its throughput is
// limited by its owner's capacity.
func (p *planner) nextHotKeyMove() (Move, bool) {
	for _, a := range p.targets {
		if a.hottestWork < hotKeyShare*a.AverageSlots {
			continue
		}
		best := a
		for _, b := range p.targets {
			if b.AverageSlots > best.AverageSlots && b.hottestWork < hotKeyShare*b.AverageSlots {
				best = b
			}
		}
		if best.AverageSlots < hotKeyMinRatio*a.AverageSlots {
			continue
		}
		p.apply(a, best, Range{From: a.hottestKey, To: a.hottestKey})
		return Move{From: a.hottestKey, To: a.hottestKey, Next: best.Target}, true
	}
	return Move{}, false
}

// work returns the work of the keys from..to.
func (p *planner) work(from, to uint16) float64 { return p.workBelow[int(to)+1] - p.workBelow[from] }

// firstKeyReaching returns the lowest key such that the keys from the start of from..to up to it
// have at least the given work, or to if there is none.
func (p *planner) firstKeyReaching(from, to uint16, work float64) uint16 {
	n := sort.Search(int(to)-int(from), func(i int) bool { return p.work(from, from+uint16(i)) >= work })
	return from + uint16(n)
}

// lastKeyReaching returns the highest key such that the keys from it up to the end of from..to have
// at least the given work, or from if there is none.
func (p *planner) lastKeyReaching(from, to uint16, work float64) uint16 {
	n := sort.Search(int(to)-int(from), func(i int) bool { return p.work(to-uint16(i), to) >= work })
	return to - uint16(n)
}

// nextMove finds a move away from the most utilised target from which any keys can be moved.
func (p *planner) nextMove() (Move, bool) {
	mean := p.mean()
	dest := p.leastUtilised()
	for {
		source := p.mostUtilised()
		if source == nil || source == dest {
			return Move{}, false
		}
		difference := source.utilisation() - dest.utilisation()
		empty := dest.work == 0
		if !empty && (source.utilisation() < mean*p.policy.Imbalance || difference < p.policy.MinDifference) {
			return Move{}, false
		}
		if cut, ok := p.bestCut(source, dest); ok {
			p.apply(source, dest, cut)
			return Move{From: cut.From, To: cut.To, Next: dest.Target}, true
		}
		source.exhausted = true
	}
}

// mean returns the utilisation of all targets together.
func (p *planner) mean() float64 {
	work, slots := 0.0, 0.0
	for _, a := range p.targets {
		work += a.work
		slots += a.AverageSlots
	}
	return work / slots
}

// mostUtilised returns the most utilised target that is not exhausted, or nil.
func (p *planner) mostUtilised() *targetLoad {
	var best *targetLoad
	for _, a := range p.targets {
		if !a.exhausted && (best == nil || a.utilisation() > best.utilisation()) {
			best = a
		}
	}
	return best
}

// bestCut finds the beginning or end of one of the source's ranges whose work comes closest to what
// makes the utilisation of both targets equal. The destination's utilisation grows by at most 90 %
// of the difference, so it stays below what the source's was.
func (p *planner) bestCut(source, dest *targetLoad) (Range, bool) {
	wanted := (source.work*dest.AverageSlots - dest.work*source.AverageSlots) / (source.AverageSlots + dest.AverageSlots)
	maxWork := (source.utilisation() - dest.utilisation()) * dest.AverageSlots * 0.9
	best, bestDiff := Range{}, math.Inf(1)
	consider := func(from, to uint16, work float64) {
		if work > maxWork || work <= 0 {
			return
		}
		if diff := math.Abs(work - wanted); diff < bestDiff {
			best, bestDiff = Range{From: from, To: to}, diff
		}
	}
	for _, r := range source.ranges {
		p.considerPrefixes(r, wanted, consider)
		p.considerSuffixes(r, wanted, consider)
	}
	// Keys with less than this share of the wanted work are not worth a move.
	const minShare = 0.25
	return best, bestDiff <= wanted*(1-minShare)
}

// considerPrefixes calls consider for the beginnings of a range whose work is just above and just
// below what is wanted.
func (p *planner) considerPrefixes(r Range, wanted float64, consider func(from, to uint16, work float64)) {
	to := p.firstKeyReaching(r.From, r.To, wanted)
	consider(r.From, to, p.work(r.From, to))
	if to > r.From {
		consider(r.From, to-1, p.work(r.From, to-1))
	}
}

// considerSuffixes calls consider for the ends of a range whose work is just above and just below
// what is wanted.
func (p *planner) considerSuffixes(r Range, wanted float64, consider func(from, to uint16, work float64)) {
	from := p.lastKeyReaching(r.From, r.To, wanted)
	consider(from, r.To, p.work(from, r.To))
	if from < r.To {
		consider(from+1, r.To, p.work(from+1, r.To))
	}
}

// apply moves the work of the keys from the source to the destination. The keys are not moved again
// in the same plan.
func (p *planner) apply(source, dest *targetLoad, cut Range) {
	work := p.work(cut.From, cut.To)
	source.work -= work
	dest.work += work
	var rest []Range
	for _, r := range source.ranges {
		if r.To < cut.From || r.From > cut.To {
			rest = append(rest, r)
			continue
		}
		if r.From < cut.From {
			left := r
			left.To = cut.From - 1
			rest = append(rest, left)
		}
		if r.To > cut.To {
			right := r
			right.From = cut.To + 1
			rest = append(rest, right)
		}
	}
	source.ranges = rest
}

// Utilisation returns the load of each target divided by its capacity, by target ID. Moving ranges
// count for their next owner. A load that keeps half a slot of an average target busy
// (baselineWork), spread evenly over all keys, is added to the measured one. The work of a single
// key counts up to the capacity of its owner.
func Utilisation(m *Map, load *Load, targets []Capacity) map[string]float64 {
	p := newPlanner(m, load, targets, Policy{})
	out := make(map[string]float64, len(targets))
	for _, a := range p.targets {
		out[a.Target] = a.utilisation()
	}
	return out
}
