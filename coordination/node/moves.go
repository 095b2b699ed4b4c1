package node

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/coordination/placement"
	"lycheehall.example/lycheehall/coordination/session"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
)

func newLedger(cfg Config) *session.Ledger { return session.NewLedger(cfg.Authority.Margin) }

// heardWithin is how fresh an instance's report must be for its voice to count.
const heardWithin = time.Second

// planEvery is the time between looks at the membership and the balance when nothing
// has been reported.
const planEvery = 250 * time.Millisecond

func (n *Node) noteConfirmed(list []message.Confirmation) {
	for _, c := range list {
		n.leader.confirmed[c.Target] = max(n.leader.confirmed[c.Target], c.Generation)
	}
}

// judgeTargets decides which targets are lost: those that most instances heard of lately
// cannot reach. One instance's word makes a target a suspect, which all others then try
// for themselves, and moves no key.
func (n *Node) judgeTargets(now clock.Instant) {
	voters, votes := 0, map[string]int{}
	for _, e := range n.ledger.Entries() {
		if now > e.HeardAt.Add(heardWithin) {
			continue
		}
		voters++
		for _, id := range e.Unreachable {
			votes[id]++
		}
	}
	var suspects []string
	for id, v := range votes {
		suspects = append(suspects, id)
		if 2*v > voters && n.inMap(id) && (v > 1 || len(n.ledger.Entries()) == 1) {
			n.setLost(id)
		}
	}
	for id := range n.leader.lost {
		if !n.inMap(id) {
			delete(n.leader.lost, id)
			continue
		}
		if 2*votes[id] <= voters && n.vouched(id) {
			delete(n.leader.lost, id)
			n.event(timeline.Event{Kind: timeline.TargetBack, Target: id})
		} else if votes[id] == 0 {
			suspects = append(suspects, id)
		}
	}
	slices.Sort(suspects)
	if !slices.Equal(suspects, n.leader.suspects.Targets) {
		n.leader.suspects = message.SuspectList{Version: n.leader.suspects.Version + 1, Targets: suspects}
		n.suspects = n.leader.suspects
		n.wakeWatchers(now)
	}
}

func (n *Node) inMap(id string) bool {
	for _, s := range n.owned.Services {
		if s.Target(id) != nil {
			return true
		}
	}
	return false
}

// vouched reports whether some instance has heard from the target lately.
func (n *Node) vouched(id string) bool {
	for _, e := range n.ledger.Entries() {
		if slices.Contains(e.Reachable, id) {
			return true
		}
	}
	return false
}

func (n *Node) setLost(id string) {
	if !n.leader.lost[id] {
		n.leader.lost[id] = true
		n.leader.nextPlan = clock.Never
		n.event(timeline.Event{Kind: timeline.TargetLost, Target: id})
	}
}

// noteAcked remembers, for each map version that a move waits for, when the last instance
// acknowledged it: from then on no grant is made out of an older one. Sessions that a
// former issuer gave out count until they are surely over; those that have run out need
// no acknowledgement, because their grants end with them.
func (n *Node) noteAcked(now clock.Instant) {
	if now < n.machine.QuietAt() || !n.moving() {
		return
	}
	floor := n.ledger.MapFloor()
	for _, service := range n.owned.Services {
		for _, s := range service.Slots {
			if !s.Moving() || floor < s.Since {
				continue
			}
			if _, noted := n.leader.ackedAt[s.Since]; !noted {
				n.leader.ackedAt[s.Since] = n.ledger.LastAck()
			}
		}
	}
}

// moving reports whether any slot is between owners. It looks at a map once only: most of
// the time nothing moves, and looking at all slots at each step is what a leader would
// spend most of its time on.
func (n *Node) moving() bool {
	if n.leader.lookedAt != n.owned {
		n.leader.lookedAt = n.owned
		n.leader.anyMoving = n.owned.Moving()
	}
	return n.leader.anyMoving
}

// released reports whether nobody can be running anything for the slot any more: no
// instance sends with an older map, and the former owner has let go or its grant has
// run out.
func (n *Node) released(now clock.Instant, spec ownership.ServiceSpec, s state.Slot) bool {
	at, acked := n.leader.ackedAt[s.Since]
	if !acked {
		return false
	}
	if s.Owner == "" || !spec.Fenced {
		return true
	}
	if n.leader.confirmed[s.Owner] >= 2*s.Since {
		return true
	}
	return now >= at.Add(n.cfg.GrantTTL+n.cfg.Authority.Margin)
}

// restartMoves begins the moves that a new leader finds in the table anew. Their slots may
// have been given back to their owners while the state was frozen: only a newer map
// version makes instances stop using them and targets let go of them.
func (n *Node) restartMoves(now clock.Instant) bool {
	if !n.leader.restart || now < n.machine.QuietAt() {
		return false
	}
	var waiting []ownership.Change
	for _, name := range n.owned.ServiceNames() {
		if c := n.restartService(n.owned.Services[name]); len(c.Slots) > 0 {
			waiting = append(waiting, c)
		}
	}
	n.leader.restart = len(waiting) > 1
	if len(waiting) == 0 {
		return false
	}
	first := waiting[0]
	n.commitMap(now, first, 0, moveEvents(timeline.MoveBegun, first.Service, first.Slots))
	return true
}

func (n *Node) restartService(service *state.ServiceSlots) ownership.Change {
	c := ownership.Change{Service: service.Service, SlotCount: len(service.Slots), Targets: service.Targets}
	for i, s := range service.Slots {
		if s.Moving() && s.Since <= n.leader.loadedMap {
			c.Slots = append(c.Slots, ownership.SlotChange{Index: i, Slot: s})
		}
	}
	return c
}

// finishMoves gives slots whose former owner has let go to their next owner.
func (n *Node) finishMoves(now clock.Instant) bool {
	if !n.moving() {
		return false
	}
	for _, name := range n.owned.ServiceNames() {
		service := n.owned.Services[name]
		spec, known := n.specs[name]
		if !known {
			continue
		}
		var done []ownership.SlotChange
		for i, s := range service.Slots {
			if s.Moving() && s.Since > n.leader.loadedMap && !n.leader.lost[s.Next] && service.Target(s.Next) != nil && n.released(now, spec, s) {
				done = append(done, ownership.SlotChange{Index: i, Slot: state.Slot{Owner: s.Next, Fence: s.Fence + 1}})
			}
		}
		if len(done) > 0 {
			c := ownership.Change{Service: name, SlotCount: len(service.Slots), Slots: done, Targets: service.Targets}
			n.commitMap(now, c, 0, moveEvents(timeline.MoveDone, name, done))
			return true
		}
	}
	return false
}

// moveEvents tells which slots go where, one event for each target.
func moveEvents(kind timeline.Kind, service string, changes []ownership.SlotChange) []timeline.Event {
	byTarget := map[string][]int{}
	for _, c := range changes {
		to := cmp.Or(c.Slot.Next, c.Slot.Owner)
		byTarget[to] = append(byTarget[to], c.Index)
	}
	var events []timeline.Event
	for to, slots := range byTarget {
		events = append(events, timeline.Event{Kind: kind, Service: service, Target: to, Slots: timeline.FormatSlots(slots)})
	}
	slices.SortFunc(events, func(a, b timeline.Event) int { return cmp.Compare(a.Target, b.Target) })
	return events
}

// plan brings the targets of each service up to date and starts the moves that follow.
func (n *Node) plan(now clock.Instant) bool {
	if now < n.leader.nextPlan || !n.listed {
		return false
	}
	names := make([]string, 0, len(n.specs))
	for name := range n.specs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if n.planService(now, n.specs[name]) {
			return true
		}
	}
	n.leader.nextPlan = now.Add(planEvery)
	return false
}

func (n *Node) planService(now clock.Instant, spec ownership.ServiceSpec) bool {
	old := n.owned.Services[spec.Name]
	if old == nil {
		old = &state.ServiceSlots{Service: spec.Name, Slots: make([]state.Slot, spec.Slots)}
	}
	targets := n.currentTargets(old)
	lost := n.believedLost(targets)
	moves := placement.Plan(placement.Request{
		Slots:     old.Slots,
		Targets:   targets,
		Lost:      lost,
		LostOnly:  n.leader.restart,
		Imbalance: spec.Imbalance,
		Budget:    n.balanceBudget(now, spec),
	})
	changes, kind := n.beginMoves(old, moves)
	if len(changes) == 0 && slices.Equal(targets, old.Targets) {
		return false
	}
	c := ownership.Change{Service: spec.Name, SlotCount: len(old.Slots), Slots: changes, Targets: targets}
	events := moveEvents(kind, spec.Name, changes)
	if !slices.Equal(targets, old.Targets) {
		events = append(events, timeline.Event{Kind: timeline.TargetsChanged, Service: spec.Name})
	}
	n.commitMap(now, c, 0, events)
	return true
}

// balanceBudget spreads moves for balance over time, one at a time.
func (n *Node) balanceBudget(now clock.Instant, spec ownership.ServiceSpec) int {
	if spec.MovesPerMinute <= 0 || now < n.leader.nextMoves {
		return 0
	}
	n.leader.nextMoves = now.Add(time.Minute / time.Duration(spec.MovesPerMinute))
	return 1
}

// currentTargets merges the platform's list into the targets of a service. A target that
// leaves is drained first and dropped only when it holds nothing.
func (n *Node) currentTargets(old *state.ServiceSlots) []state.Target {
	holds := map[string]bool{}
	for _, s := range old.Slots {
		holds[s.Owner] = true
		holds[s.Next] = true
	}
	listed := map[string]state.Member{}
	for _, m := range n.members {
		if m.Kind == state.KindTarget && m.Service == old.Service {
			listed[m.ID] = m
		}
	}
	var out []state.Target
	for _, t := range old.Targets {
		m, isListed := listed[t.ID]
		if !isListed && !holds[t.ID] {
			continue
		}
		t.Draining = t.Ordered || !isListed || m.Lifecycle == state.Leaving
		out = append(out, t)
		delete(listed, t.ID)
	}
	for _, m := range listed {
		if m.Lifecycle == state.Live {
			out = append(out, state.Target{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	slices.SortFunc(out, func(a, b state.Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (n *Node) isListed(id string) bool {
	return slices.ContainsFunc(n.members, func(m state.Member) bool { return m.ID == id })
}

// believedLost returns the targets of a service that are lost or that the platform has
// ended, or none when so many seem lost that
// the fault is more likely with the observers.
func (n *Node) believedLost(targets []state.Target) map[string]bool {
	lost := map[string]bool{}
	for _, t := range targets {
		if n.leader.lost[t.ID] || !n.isListed(t.ID) {
			lost[t.ID] = true
		}
	}
	if float64(len(lost)) > n.cfg.MaxLostShare*float64(len(targets)) {
		return nil
	}
	return lost
}

// beginMoves turns planned moves into changes of slots. A slot that never had an owner
// is given away at once; any other is first taken from its owner.
func (n *Node) beginMoves(old *state.ServiceSlots, moves []placement.Move) ([]ownership.SlotChange, timeline.Kind) {
	var changes []ownership.SlotChange
	kind := timeline.SlotAssigned
	for _, m := range moves {
		s := old.Slots[m.Slot]
		if s.Owner == "" && !s.Moving() {
			s.Owner = m.To
			s.Fence++
		} else {
			s.Next = m.To
			s.Lost = s.Lost || m.Lost
			kind = timeline.MoveBegun
		}
		changes = append(changes, ownership.SlotChange{Index: m.Slot, Slot: s})
	}
	return changes, kind
}
