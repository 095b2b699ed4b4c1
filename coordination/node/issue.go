package node

import (
	"slices"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/coordination/session"
	"lycheehall.example/lycheehall/timeline"
)

// watcher is a watch that waits for a newer state.
type watcher struct {
	token uint64
	have  authority.Versions
	// suspects is the version of the list of suspects the sender has.
	suspects uint64
	resumed  bool
}

// maxWatchers bounds the watches kept; the oldest is answered when one too many comes.
const maxWatchers = 4096

// maxChangeLog bounds the changes kept for instances that lag; older ones get the map.
const maxChangeLog = 256

// mayIssue reports whether this node may issue sessions now: it leads and has read the
// state, or it is static and holds exactly the frozen state.
func (n *Node) mayIssue(now clock.Instant) bool {
	if n.machine.SessionLength(now) <= 0 {
		return false
	}
	if n.machine.Mode() == authority.Static {
		return n.machine.Frozen() == n.Versions()
	}
	return n.leader.loaded
}

// HeartbeatReceived answers a heartbeat of another instance.
func (n *Node) HeartbeatReceived(now clock.Instant, req message.HeartbeatRequest) (message.HeartbeatReply, []Effect) {
	n.learn(req.From)
	reply := n.answerHeartbeat(now, req)
	return reply, n.take()
}

func (n *Node) answerHeartbeat(now clock.Instant, req message.HeartbeatRequest) message.HeartbeatReply {
	row := n.machine.Row()
	reply := message.HeartbeatReply{Term: n.machine.Stage().Term}
	if !n.mayIssue(now) {
		// The row's leader is only a hint; without a term the asker takes it as such.
		reply.Term = 0
		if row.Leader != n.cfg.Self.ID {
			reply.Leader = n.addresses[row.Leader]
		}
		return reply
	}
	if req.Leaving {
		n.ledger.End(req.From.ID)
		return reply
	}
	reply.Granted = true
	reply.Length = n.machine.SessionLength(now)
	reply.Leader = n.cfg.Self
	reply.Update = n.updateFor(req.Have)
	reply.Suspects = n.leader.suspects
	reply.Resumed = n.resuming(now)
	n.ledger.Renew(now, session.Entry{
		ID:          req.From.ID,
		Address:     req.From.Address,
		DataCentre:  req.From.DataCentre,
		AckedMap:    req.Acked.Map,
		AckedRules:  req.Acked.Rules,
		Reachable:   req.Reachable,
		Unreachable: req.Unreachable,
		HeardAt:     now,
	}, reply.Length)
	if known := n.currentRoster(); known.sum != req.Roster {
		reply.Roster = &known.roster
	}
	n.noteConfirmed(req.Confirmed)
	return reply
}

// rosterCache holds the roster as of one epoch of the ledger and one write of the row.
type rosterCache struct {
	epoch  uint64
	nonce  uint64
	roster message.Roster
	sum    uint64
}

// currentRoster returns the roster without making it anew for each heartbeat.
func (n *Node) currentRoster() rosterCache {
	nonce := n.machine.Row().Nonce
	if c := n.leader.roster; c.sum != 0 && c.epoch == n.ledger.Epoch() && c.nonce == nonce {
		return c
	}
	r := n.roster()
	n.leader.roster = rosterCache{epoch: n.ledger.Epoch(), nonce: nonce, roster: r, sum: r.Sum()}
	return n.leader.roster
}

// roster returns the instances as this issuer knows them.
func (n *Node) roster() message.Roster {
	var r message.Roster
	for _, id := range n.machine.Row().Members() {
		if p, known := n.addresses[id]; known {
			r.Named = append(r.Named, p)
		}
	}
	for _, e := range n.ledger.Entries() {
		r.Instances = append(r.Instances, e.ID)
	}
	return r
}

// resuming reports whether moves that were cut short are undone for the time being:
// because nobody can finish them, or because a new leader has to wait before it may.
func (n *Node) resuming(now clock.Instant) bool {
	waiting := n.machine.Mode() == authority.Static || now < n.machine.QuietAt() || n.leader.restart
	return waiting && n.owned.Resumable()
}

// updateFor returns what leads from the given versions to those of this node.
func (n *Node) updateFor(have authority.Versions) message.Update {
	var u message.Update
	if have.Rules < n.rules.Version {
		r := n.rules
		u.Rules = &r
	}
	if have.Map >= n.owned.Version {
		return u
	}
	first := slices.IndexFunc(n.leader.log, func(c ownership.Change) bool { return c.Version == have.Map+1 })
	if first < 0 {
		u.Full = n.owned
		return u
	}
	u.Changes = slices.Clone(n.leader.log[first:])
	return u
}

// WatchReceived keeps a watch until there is something to tell. The token comes back in
// an AnswerWatch.
func (n *Node) WatchReceived(now clock.Instant, token uint64, req message.WatchRequest) []Effect {
	n.learn(req.From)
	w := watcher{token: token, have: req.Have, suspects: req.Suspects, resumed: req.Resumed}
	if !n.mayIssue(now) || n.behind(now, w) {
		n.answerWatch(now, w)
		return n.take()
	}
	n.watchers = append(n.watchers, w)
	if len(n.watchers) > maxWatchers {
		n.answerWatch(now, n.watchers[0])
		n.watchers = n.watchers[1:]
	}
	return n.take()
}

// WatchGone forgets a watch whose sender has gone away.
func (n *Node) WatchGone(token uint64) {
	n.watchers = slices.DeleteFunc(n.watchers, func(w watcher) bool { return w.token == token })
}

func (n *Node) behind(now clock.Instant, w watcher) bool {
	if w.suspects != n.leader.suspects.Version || w.resumed != n.resuming(now) {
		return true
	}
	return w.have.Map < n.owned.Version || w.have.Rules < n.rules.Version
}

func (n *Node) answerWatch(now clock.Instant, w watcher) {
	reply := message.WatchReply{Update: n.updateFor(w.have), Suspects: n.leader.suspects, Resumed: n.resuming(now)}
	n.emit(Effect{AnswerWatch: &AnswerWatch{Token: w.token, Reply: reply}})
}

// wakeWatchers answers every watch: each is behind now, or its sender must ask anew.
func (n *Node) wakeWatchers(now clock.Instant) {
	for _, w := range n.watchers {
		n.answerWatch(now, w)
	}
	n.watchers = nil
}

// issueTick drops the sessions that have run out.
func (n *Node) issueTick(now clock.Instant) {
	for _, id := range n.ledger.Expire(now) {
		n.event(timeline.Event{Kind: timeline.SessionExpired, Detail: id})
	}
	if n.resumed && n.mayIssue(now) && !n.resuming(now) {
		// The others are to hear of it now, not with their next heartbeat.
		n.wakeWatchers(now)
		n.heartbeat.next = now
	}
}
