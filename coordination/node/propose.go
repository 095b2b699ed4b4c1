package node

import (
	"fmt"
	"slices"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
)

// maxProposals bounds the proposals that wait for their turn.
const maxProposals = 64

type pendingProposal struct {
	token    uint64
	proposal message.Proposal
}

// ProposalReceived takes a change that an operator asks for; the answer comes as an
// AnswerPropose with the token, which must not be 0.
func (n *Node) ProposalReceived(now clock.Instant, token uint64, p message.Proposal) []Effect {
	switch {
	case n.machine.Mode() == authority.Static || n.machine.Mode() == authority.Promised || n.machine.Mode() == authority.Preparing:
		n.answerPropose(token, message.ProposalResult{Code: message.Waiting})
	case !n.machine.MayChange(now):
		n.answerPropose(token, message.ProposalResult{Code: message.NotLeader, Leader: n.heartbeat.leader})
	case len(n.leader.proposals) >= maxProposals:
		n.answerPropose(token, message.ProposalResult{Code: message.Waiting, Detail: "too many changes are waiting"})
	default:
		n.leader.proposals = append(n.leader.proposals, pendingProposal{token, p})
	}
	return n.take()
}

func (n *Node) answerPropose(token uint64, r message.ProposalResult) {
	n.emit(Effect{AnswerPropose: &AnswerPropose{Token: token, Result: r}})
}

// refuseProposals answers at once what cannot be carried out: nobody is left waiting
// for a table that does not answer.
func (n *Node) refuseProposals() {
	for _, p := range n.leader.proposals {
		n.answerPropose(p.token, message.ProposalResult{Code: message.Waiting})
	}
	n.leader.proposals = nil
}

// firstRules stores the configuration of a deployment that has none.
func (n *Node) firstRules(now clock.Instant) bool {
	if n.rules.Version > 0 || n.cfg.FirstRules == "" {
		return false
	}
	n.commitRules(now, message.Proposal{ChangeID: "first", Author: n.cfg.Self.ID, Text: n.cfg.FirstRules}, 0)
	return true
}

func (n *Node) nextProposal(now clock.Instant) bool {
	if len(n.leader.proposals) == 0 {
		return false
	}
	p := n.leader.proposals[0]
	if n.leader.restart && p.proposal.Kind != message.ApplyRules {
		// Until the moves that were found have begun anew, no other may begin: its slot would
		// be given back to its owner like theirs.
		return false
	}
	n.leader.proposals = n.leader.proposals[1:]
	var r message.ProposalResult
	switch p.proposal.Kind {
	case message.ApplyRules:
		r = n.applyRules(now, p)
	case message.MoveSlot:
		r = n.moveSlot(now, p)
	case message.DrainTarget:
		r = n.drainTarget(now, p)
	default:
		r = message.ProposalResult{Code: message.Invalid, Detail: "unknown kind of change"}
	}
	if n.leader.change != nil && n.leader.change.token == p.token {
		return true
	}
	n.answerPropose(p.token, r)
	return false
}

func invalid(format string, args ...any) message.ProposalResult {
	return message.ProposalResult{Code: message.Invalid, Detail: fmt.Sprintf(format, args...)}
}

// applyRules accepts a configuration if it starts from the newest version, so that no
// operator's change is overwritten unseen. A change that was accepted before is
// answered again with its version.
func (n *Node) applyRules(now clock.Instant, p pendingProposal) message.ProposalResult {
	if v, found := changeVersion(n.rules, p.proposal.ChangeID); found {
		return message.ProposalResult{Version: v}
	}
	if p.proposal.ChangeID == "" {
		return invalid("change id is empty")
	}
	if _, err := n.cfg.Services(p.proposal.Text); err != nil {
		return invalid("%v", err)
	}
	if p.proposal.Base != n.rules.Version {
		return message.ProposalResult{Code: message.VersionConflict, Version: n.rules.Version}
	}
	n.commitRules(now, p.proposal, p.token)
	return message.ProposalResult{}
}

func changeVersion(r state.Rules, changeID string) (uint64, bool) {
	i := slices.IndexFunc(r.Recent, func(c state.RulesChange) bool { return c.ChangeID == changeID })
	if changeID == "" || i < 0 {
		return 0, false
	}
	return r.Recent[i].Version, true
}

func (n *Node) commitRules(now clock.Instant, p message.Proposal, token uint64) {
	next := state.Rules{Version: n.rules.Version + 1, ChangeID: p.ChangeID, Author: p.Author, Text: p.Text}
	next.Recent = append(slices.Clone(n.rules.Recent), state.RulesChange{ChangeID: p.ChangeID, Version: next.Version})
	if extra := len(next.Recent) - state.MaxRecentChanges; extra > 0 {
		next.Recent = next.Recent[extra:]
	}
	history := next
	history.Recent = nil
	c := &pendingChange{rules: &next, token: token, events: []timeline.Event{
		{Kind: timeline.RulesAccepted, Rules: next.Version, Detail: p.ChangeID},
	}}
	n.commit(now, c, []state.Write{
		{Key: state.KeyRules, Value: state.Encode(next)},
		{Key: state.RulesHistoryKey(next.Version), Value: state.Encode(history)},
	})
}

// noteEverywhere records when a version of the rules has become the oldest in use.
func (n *Node) noteEverywhere(now clock.Instant) {
	if now < n.machine.QuietAt() || n.rules.Version <= n.leader.everywhere {
		return
	}
	if floor := n.ledger.RulesFloor(); floor >= n.rules.Version {
		n.leader.everywhere = n.rules.Version
		n.event(timeline.Event{Kind: timeline.RulesEverywhere, Rules: n.rules.Version})
	}
}

func (n *Node) moveSlot(now clock.Instant, p pendingProposal) message.ProposalResult {
	service := n.owned.Services[p.proposal.Service]
	if service == nil {
		return invalid("service %q is not known", p.proposal.Service)
	}
	if p.proposal.Slot < 0 || p.proposal.Slot >= len(service.Slots) {
		return invalid("slot %d: the service %q has slots 0 to %d", p.proposal.Slot, p.proposal.Service, len(service.Slots)-1)
	}
	target := service.Target(p.proposal.Target)
	if target == nil || target.Draining || n.leader.lost[target.ID] {
		return invalid("target %q of service %q cannot take slots", p.proposal.Target, p.proposal.Service)
	}
	slot := service.Slots[p.proposal.Slot]
	if slot.Owner == target.ID && !slot.Moving() {
		return message.ProposalResult{Version: n.owned.Version}
	}
	if slot.Moving() {
		return invalid("slot %d is already moving to %s", p.proposal.Slot, slot.Next)
	}
	slot.Next = target.ID
	changes := []ownership.SlotChange{{Index: p.proposal.Slot, Slot: slot}}
	c := ownership.Change{Service: service.Service, SlotCount: len(service.Slots), Slots: changes, Targets: service.Targets}
	n.commitMap(now, c, p.token, moveEvents(timeline.MoveBegun, service.Service, changes))
	return message.ProposalResult{}
}

func (n *Node) drainTarget(now clock.Instant, p pendingProposal) message.ProposalResult {
	service := n.owned.Services[p.proposal.Service]
	if service == nil {
		return invalid("service %q is not known", p.proposal.Service)
	}
	targets := slices.Clone(service.Targets)
	i := slices.IndexFunc(targets, func(t state.Target) bool { return t.ID == p.proposal.Target })
	if i < 0 {
		return invalid("target %q is not a target of service %q", p.proposal.Target, p.proposal.Service)
	}
	if targets[i].Ordered == !p.proposal.Undo {
		return message.ProposalResult{Version: n.owned.Version}
	}
	targets[i].Ordered = !p.proposal.Undo
	targets[i].Draining = targets[i].Ordered
	c := ownership.Change{Service: service.Service, SlotCount: len(service.Slots), Targets: targets}
	event := timeline.Event{Kind: timeline.TargetsChanged, Service: service.Service, Target: p.proposal.Target}
	n.commitMap(now, c, p.token, []timeline.Event{event})
	return message.ProposalResult{}
}

// Status returns what this node knows about the deployment.
func (n *Node) Status(now clock.Instant) message.Status {
	s := message.Status{
		Mode:     n.machine.Mode().String(),
		Term:     n.machine.Stage().Term,
		Versions: n.Versions(),
		Leader:   n.heartbeat.leader,
		Map:      n.owned,
	}
	for _, e := range n.ledger.Entries() {
		if now >= e.Until {
			continue
		}
		peer := message.Peer{ID: e.ID, Address: e.Address, DataCentre: e.DataCentre}
		s.Instances = append(s.Instances, message.InstanceStatus{Peer: peer, Map: e.AckedMap, Rules: e.AckedRules})
	}
	for id := range n.leader.lost {
		s.Lost = append(s.Lost, id)
	}
	slices.Sort(s.Lost)
	return s
}
