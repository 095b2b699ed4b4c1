package node

import (
	"slices"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
)

// leaderState belongs to one leadership and is forgotten with it.
type leaderState struct {
	// loaded says that the state has been read from the table since the row was taken.
	loaded  bool
	loading bool
	// rows holds the versions of the table's rows, for the conditions of changes.
	rows map[string]uint64
	log  []ownership.Change

	change *pendingChange
	nextID uint64

	roster    rosterCache
	suspects  message.SuspectList
	lost      map[string]bool
	confirmed map[string]uint64
	// ackedAt holds since when no live session uses a map older than the key.
	ackedAt map[uint64]clock.Instant

	// restart says that moves found in the table have to be begun anew.
	restart bool
	// loadedMap is the map version that was read from the table.
	loadedMap uint64

	// lookedAt is the map for which anyMoving says whether a slot is between owners.
	lookedAt  *ownership.Map
	anyMoving bool

	proposals  []pendingProposal
	everywhere uint64
	nextPlan   clock.Instant
	nextMoves  clock.Instant
}

func (l *leaderState) reset() {
	*l = leaderState{
		rows:      map[string]uint64{},
		lost:      map[string]bool{},
		confirmed: map[string]uint64{},
		ackedAt:   map[uint64]clock.Instant{},
		nextID:    l.nextID,
		nextPlan:  clock.Never,
		nextMoves: clock.Never,
	}
}

// pendingChange is a transaction whose answer is awaited. The state is changed here only
// after it is known to have taken effect in the table.
type pendingChange struct {
	id    uint64
	txn   state.Txn
	owned *ownership.Change
	// full is set when the change is on top of a map that was not published.
	full     *ownership.Map
	rules    *state.Rules
	token    uint64
	inFlight bool
	sentAt   clock.Instant
	events   []timeline.Event
}

func (n *Node) loseLeadership(now clock.Instant) {
	for _, p := range n.leader.proposals {
		n.answerPropose(p.token, message.ProposalResult{Code: message.NotLeader})
	}
	if c := n.leader.change; c != nil && c.token != 0 {
		n.answerPropose(c.token, message.ProposalResult{Code: message.Uncertain})
	}
	n.leader.reset()
	n.ledger = newLedger(n.cfg)
	n.wakeWatchers(now)
	n.heartbeat.next = now
}

// leadTick carries out what a leader has to do, one change of the table at a time.
func (n *Node) leadTick(now clock.Instant) {
	if !n.machine.MayChange(now) {
		n.refuseProposals()
		n.leaveUncertain()
		return
	}
	if !n.leader.loaded && n.leader.change != nil && n.leader.change.full != nil {
		n.resendChange(now)
		return
	}
	if !n.leader.loaded {
		n.load()
		return
	}
	n.judgeTargets(now)
	n.noteAcked(now)
	n.noteEverywhere(now)
	if n.leader.change != nil {
		n.resendChange(now)
		return
	}
	n.nextChange(now)
}

// leaveUncertain tells the operator of an unanswered change that it may have been
// accepted: a table that does not answer must not keep anybody waiting.
func (n *Node) leaveUncertain() {
	if c := n.leader.change; c != nil && c.token != 0 {
		n.answerPropose(c.token, message.ProposalResult{Code: message.Uncertain})
		c.token = 0
	}
}

// nextChange starts the most urgent change: rules, then keys that nobody serves, then
// the membership and the plan.
func (n *Node) nextChange(now clock.Instant) {
	steps := []func(clock.Instant) bool{n.restartMoves, n.firstRules, n.nextProposal, n.finishMoves, n.plan}
	for _, step := range steps {
		if step(now) {
			return
		}
	}
}

var headKeys = []string{state.KeyTerm, state.KeyMap, state.KeyRules}

// load reads the state in two steps: the heads name the services, then everything is
// read in one snapshot.
func (n *Node) load() {
	if n.leader.loading {
		return
	}
	n.leader.loading = true
	n.emit(Effect{TableRead: &TableRead{ID: readHeads, Keys: headKeys}})
}

func (n *Node) loadDone(now clock.Instant, id ReadID, rows []state.Row, ok bool) {
	if !n.leader.loading {
		return
	}
	n.leader.loading = false
	if !ok || len(rows) < len(headKeys) {
		return
	}
	var head state.MapHead
	if state.Decode(rows[1], &head) != nil {
		return
	}
	if id == readHeads && len(head.Services) > 0 {
		n.leader.loading = true
		keys := slices.Clone(headKeys)
		for _, s := range head.Services {
			keys = append(keys, state.SlotsKey(s))
		}
		n.emit(Effect{TableRead: &TableRead{ID: readSlots, Keys: keys}})
		return
	}
	if len(rows) == len(headKeys)+len(head.Services) {
		n.adoptLoaded(now, head, rows)
	}
}

// adoptLoaded takes over the state of the table. The row KeyTerm must show this
// leader's term: otherwise somebody else leads by now.
func (n *Node) adoptLoaded(now clock.Instant, head state.MapHead, rows []state.Row) {
	var term uint64
	var rules state.Rules
	if state.Decode(rows[0], &term) != nil || term != n.machine.Stage().Term || state.Decode(rows[2], &rules) != nil {
		return
	}
	owned := ownership.Empty()
	owned.Version = head.Version
	for _, row := range rows[len(headKeys):] {
		var s state.ServiceSlots
		if state.Decode(row, &s) != nil || row.Version == 0 {
			return
		}
		owned.Services[s.Service] = &s
	}
	for _, row := range rows {
		n.leader.rows[row.Key] = row.Version
	}
	n.event(timeline.Event{Kind: timeline.StateLoaded, Term: term, Map: owned.Version, Rules: rules.Version})
	n.settleLoaded(rules)
	n.leader.loadedMap = owned.Version
	if n.machine.Thawed() {
		if c, found := owned.Undone(n.owned.Resume()); found {
			n.undo(now, owned, c, rules)
			return
		}
	}
	n.startLeading(now, owned, rules)
}

// undo takes back what the table got while the frozen state was in use, before anybody is
// told of it.
func (n *Node) undo(now clock.Instant, loaded *ownership.Map, c ownership.Change, rules state.Rules) {
	next, err := loaded.Apply(c)
	if err != nil {
		return
	}
	events := moveEvents(timeline.MoveBegun, c.Service, c.Slots)
	n.commit(now, &pendingChange{full: next, rules: &rules, events: events}, mapWrites(next, c.Service))
}

// startLeading makes the loaded state known.
func (n *Node) startLeading(now clock.Instant, owned *ownership.Map, rules state.Rules) {
	n.leader.log = nil
	n.leader.loaded = true
	n.leader.restart = true
	u := message.Update{Full: owned}
	if rules.Version > 0 {
		u.Rules = &rules
	}
	n.adopt(now, u)
	n.heartbeat.next = now
}

// settleLoaded answers the proposal whose outcome was not known: the table tells.
func (n *Node) settleLoaded(rules state.Rules) {
	c := n.leader.change
	n.leader.change = nil
	if c == nil || c.token == 0 {
		return
	}
	if c.rules == nil {
		n.answerPropose(c.token, message.ProposalResult{Code: message.Uncertain, Detail: "the state was read again"})
		return
	}
	if v, found := changeVersion(rules, c.rules.ChangeID); found {
		n.answerPropose(c.token, message.ProposalResult{Version: v})
		return
	}
	n.answerPropose(c.token, message.ProposalResult{Code: message.VersionConflict, Version: rules.Version})
}

// commit starts a transaction on top of the rows as last read. Its conditions include
// the term, so that it cannot land once somebody else leads.
func (n *Node) commit(now clock.Instant, c *pendingChange, writes []state.Write) {
	c.txn.Writes = writes
	c.txn.Checks = []state.Check{{Key: state.KeyTerm, Version: n.leader.rows[state.KeyTerm]}}
	for _, w := range writes {
		c.txn.Checks = append(c.txn.Checks, state.Check{Key: w.Key, Version: n.leader.rows[w.Key]})
	}
	n.leader.nextID++
	c.id = n.leader.nextID
	n.leader.change = c
	n.sendChange(now)
}

func (n *Node) sendChange(now clock.Instant) {
	c := n.leader.change
	c.inFlight = true
	c.sentAt = now
	n.emit(Effect{TableCommit: &TableCommit{Purpose: commitChange, ID: c.id, Txn: c.txn}})
}

// resendChange repeats a transaction whose answer was lost. Its conditions let it apply
// only once, so the repetition settles what became of the first.
func (n *Node) resendChange(now clock.Instant) {
	c := n.leader.change
	if !c.inFlight && now >= c.sentAt.Add(n.cfg.Authority.ResendEvery) {
		n.sendChange(now)
	}
}

func (n *Node) changeDone(now clock.Instant, id uint64, outcome authority.Outcome) {
	c := n.leader.change
	if c == nil || c.id != id {
		return
	}
	c.inFlight = false
	if !n.machine.MayChange(now) {
		// The standbys may be freezing the versions from before this change. The answer is
		// asked for again once this leader may go on, or the next one reads the table.
		return
	}
	switch outcome {
	case authority.Applied:
		n.applyChange(now, c)
	case authority.Conflicted:
		// An earlier try has landed, or the rows were not as thought: the table tells.
		n.leader.loaded = false
		if c.full != nil {
			n.leader.change = nil
		}
	}
}

// applyChange makes a durable change known.
func (n *Node) applyChange(now clock.Instant, c *pendingChange) {
	n.leader.change = nil
	for _, w := range c.txn.Writes {
		n.leader.rows[w.Key]++
	}
	for _, e := range c.events {
		n.event(e)
	}
	if c.full != nil {
		n.startLeading(now, c.full, *c.rules)
		return
	}
	var u message.Update
	if c.owned != nil {
		n.leader.log = append(n.leader.log, *c.owned)
		if len(n.leader.log) > maxChangeLog {
			n.leader.log = n.leader.log[1:]
		}
		u.Changes = []ownership.Change{*c.owned}
	}
	u.Rules = c.rules
	n.adopt(now, u)
	if c.token != 0 {
		n.answerPropose(c.token, message.ProposalResult{Version: n.resultVersion(c)})
	}
}

func (n *Node) resultVersion(c *pendingChange) uint64 {
	if c.rules != nil {
		return c.rules.Version
	}
	return n.owned.Version
}

// commitMap starts a change of the ownership map.
func (n *Node) commitMap(now clock.Instant, c ownership.Change, token uint64, events []timeline.Event) {
	c.Version = n.owned.Version + 1
	next, err := n.owned.Apply(c)
	if err != nil {
		return
	}
	for i := range events {
		events[i].Map = c.Version
	}
	n.commit(now, &pendingChange{owned: &c, token: token, events: events}, mapWrites(next, c.Service))
}

// mapWrites returns the rows that hold a map in which one service has changed.
func mapWrites(m *ownership.Map, service string) []state.Write {
	head := state.MapHead{Version: m.Version, Services: m.ServiceNames()}
	return []state.Write{
		{Key: state.KeyMap, Value: state.Encode(head)},
		{Key: state.SlotsKey(service), Value: state.Encode(m.Services[service])},
	}
}
