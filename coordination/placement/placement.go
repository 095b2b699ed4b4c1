// Package placement decides which slots should move to which target.
//
// It is a pure function of the current assignment. Slots without a usable owner move
// first and always; slots of draining targets move next; slots are moved for balance
// alone only when the imbalance exceeds a threshold, and only as many as the budget
// allows, because each move makes keys unavailable for a moment and risks work that
// is bound to a target.
package placement

import (
	"slices"

	"lycheehall.example/lycheehall/state"
)

// Move asks that a slot be given to a target.
type Move struct {
	Slot int
	To   string
	// Lost says that the present owner cannot be asked to let go.
	Lost bool
}

// Request is the input of Plan.
type Request struct {
	Slots   []state.Slot
	Targets []state.Target
	// Lost holds the targets that cannot be reached by most instances.
	Lost map[string]bool
	// Imbalance is the ratio of fullest to mean from which on slots move for balance.
	Imbalance float64
	// LostOnly asks for the slots of lost targets only: nothing that still has a living
	// owner may begin to move.
	LostOnly bool
	// Budget is the number of slots that may move for balance now.
	Budget int
}

// plan keeps the working picture of who would own how much.
type plan struct {
	req   Request
	open  []string
	count map[string]int
	// planned holds the slots that have a move already.
	planned map[int]bool
	moves   []Move
}

// Plan returns the moves to make now, in order of slots within each reason.
func Plan(req Request) []Move {
	p := newPlan(req)
	if len(p.open) == 0 {
		return nil
	}
	p.rescue()
	if req.LostOnly {
		return p.moves
	}
	p.drain()
	p.balance()
	return p.moves
}

func newPlan(req Request) *plan {
	p := &plan{req: req, count: map[string]int{}, planned: map[int]bool{}}
	for _, t := range req.Targets {
		if t.Draining || req.Lost[t.ID] {
			continue
		}
		p.open = append(p.open, t.ID)
		p.count[t.ID] = 0
	}
	slices.Sort(p.open)
	for _, s := range req.Slots {
		p.count[heir(s)]++
	}
	return p
}

// heir returns who owns the slot once the moves under way are done.
func heir(s state.Slot) string {
	if s.Moving() {
		return s.Next
	}
	return s.Owner
}

// emptiest returns the open target with the fewest slots.
func (p *plan) emptiest() string {
	best := p.open[0]
	for _, id := range p.open[1:] {
		if p.count[id] < p.count[best] {
			best = id
		}
	}
	return best
}

func (p *plan) fullest() string {
	best := p.open[0]
	for _, id := range p.open[1:] {
		if p.count[id] > p.count[best] {
			best = id
		}
	}
	return best
}

func (p *plan) move(slot int, to string, lost bool) {
	p.count[heir(p.req.Slots[slot])]--
	p.count[to]++
	p.planned[slot] = true
	p.moves = append(p.moves, Move{Slot: slot, To: to, Lost: lost})
}

// gone reports whether a target is lost or not a target of the service any more.
func (p *plan) gone(id string) bool {
	return p.req.Lost[id] || !slices.ContainsFunc(p.req.Targets, func(t state.Target) bool { return t.ID == id })
}

// rescue moves every slot whose heir is lost, unknown or nobody.
func (p *plan) rescue() {
	for i, s := range p.req.Slots {
		if h := heir(s); h != "" && !p.gone(h) {
			continue
		}
		lost := s.Owner != "" && p.gone(s.Owner)
		if p.req.LostOnly && s.Owner != "" && !lost {
			continue
		}
		p.move(i, p.emptiest(), lost)
	}
}

// drain moves the slots of targets that shall own nothing.
func (p *plan) drain() {
	for i, s := range p.req.Slots {
		if s.Moving() || slices.Contains(p.open, s.Owner) || p.planned[i] {
			continue
		}
		p.move(i, p.emptiest(), false)
	}
}

// balance moves slots from the fullest to the emptiest target.
func (p *plan) balance() {
	for range p.req.Budget {
		from, to := p.fullest(), p.emptiest()
		mean := float64(len(p.req.Slots)) / float64(len(p.open))
		if float64(p.count[from]) <= mean*p.req.Imbalance || p.count[from]-p.count[to] < 2 {
			return
		}
		slot := p.movable(from)
		if slot < 0 {
			return
		}
		p.move(slot, to, false)
	}
}

func (p *plan) movable(owner string) int {
	for i, s := range p.req.Slots {
		if s.Owner == owner && !s.Moving() && !p.planned[i] {
			return i
		}
	}
	return -1
}
