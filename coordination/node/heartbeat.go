package node

import (
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
)

// heartbeatState is the instance's side of keeping its session.
type heartbeatState struct {
	next     clock.Instant
	inFlight bool
	// leader is whom to ask; attempt counts failures and picks others in turn.
	leader  message.Peer
	attempt int
	term    uint64
	// givenBack says that an issuer has answered the end of the session.
	givenBack bool
}

type watchState struct {
	inFlight bool
	next     clock.Instant
}

// retryHeartbeat is the pause before another instance is asked. It is short: a session
// that ends while the next leader already waits is unavailable time for nothing.
const retryHeartbeat = 60 * time.Millisecond

// beat renews the session when it is due, from this node itself if it issues sessions.
func (n *Node) beat(now clock.Instant) {
	if now < n.heartbeat.next || n.heartbeat.inFlight {
		return
	}
	if n.mayIssue(now) && !n.ended {
		n.heartbeat.next = now.Add(n.cfg.HeartbeatEvery)
		reply := n.answerHeartbeat(now, n.heartbeatRequest(now))
		n.heartbeatAnswered(now, now, reply)
		return
	}
	to, ok := n.issuer()
	if !ok {
		n.heartbeat.next = now.Add(retryHeartbeat)
		return
	}
	n.heartbeat.inFlight = true
	n.heartbeat.next = now.Add(n.cfg.HeartbeatEvery)
	n.emit(Effect{SendHeartbeat: &SendHeartbeat{To: to, Request: n.heartbeatRequest(now), SentAt: now}})
}

func (n *Node) heartbeatRequest(now clock.Instant) message.HeartbeatRequest {
	confirmed, reachable, unreachable := n.reports(now)
	return message.HeartbeatRequest{
		From:        n.cfg.Self,
		Have:        n.Versions(),
		Roster:      n.rosterSum,
		Acked:       authority.Versions{Map: n.acked(), Rules: n.rules.Version},
		Confirmed:   confirmed,
		Reachable:   reachable,
		Unreachable: unreachable,
		Leaving:     n.ended,
	}
}

// acked returns the map version older than which this instance uses nothing. While moves
// are undone it uses an assignment that no version of the map has.
func (n *Node) acked() uint64 {
	if n.resumed {
		return 0
	}
	return min(n.drained, n.owned.Version)
}

// issuer returns the address to ask for a session. After a failure the others take
// their turn: the row's leader, the named ones, and the seeds from the settings.
func (n *Node) issuer() (string, bool) {
	var list []string
	add := func(address string) {
		if address != "" && address != n.cfg.Self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	add(n.heartbeat.leader.Address)
	row := n.machine.Row()
	add(n.addresses[row.Leader].Address)
	for _, p := range n.known.Named {
		add(p.Address)
	}
	for _, id := range row.Standbys {
		add(n.addresses[id].Address)
	}
	for _, seed := range n.cfg.Seeds {
		add(seed)
	}
	if len(list) == 0 {
		return "", false
	}
	return list[n.heartbeat.attempt%len(list)], true
}

// HeartbeatDone takes the answer to a heartbeat; ok is false when none came.
func (n *Node) HeartbeatDone(now, sentAt clock.Instant, reply message.HeartbeatReply, ok bool) []Effect {
	n.heartbeat.inFlight = false
	if !ok {
		n.heartbeat.attempt++
		n.heartbeat.next = now.Add(retryHeartbeat)
		return n.take()
	}
	n.heartbeat.givenBack = n.ended
	n.heartbeatAnswered(now, sentAt, reply)
	n.noteSession(now)
	return n.take()
}

// heartbeatAnswered adopts the state that came with the session before the session is
// used, so that an instance never routes with a state older than its session's.
func (n *Node) heartbeatAnswered(now, sentAt clock.Instant, reply message.HeartbeatReply) {
	if reply.Granted && reply.Term < n.heartbeat.term {
		// A former leader answers; its session would be for an older state.
		n.heartbeat.attempt++
		n.heartbeat.next = now.Add(retryHeartbeat)
		return
	}
	n.heartbeat.term = max(n.heartbeat.term, reply.Term)
	n.learnRoster(reply)
	if !reply.Granted {
		n.heartbeat.attempt++
		if reply.Leader.ID != "" && reply.Leader.ID != n.heartbeat.leader.ID {
			n.heartbeat.leader = reply.Leader
			n.heartbeat.attempt = 0
		}
		n.heartbeat.next = now.Add(retryHeartbeat)
		return
	}
	n.heartbeat.leader = reply.Leader
	n.heartbeat.attempt = 0
	n.suspects = reply.Suspects
	n.adopt(now, reply.Update)
	n.resume(reply.Resumed)
	if n.ended {
		return
	}
	n.holder.Renew(sentAt, reply.Length)
	n.publish()
}

func (n *Node) learnRoster(reply message.HeartbeatReply) {
	n.learn(reply.Leader)
	if reply.Roster == nil {
		return
	}
	n.known = *reply.Roster
	n.rosterSum = n.known.Sum()
	n.rosterEpoch++
	for _, p := range n.known.Named {
		n.learn(p)
	}
}

// watchRetry is the pause before a watch that failed is sent again.
const watchRetry = 100 * time.Millisecond

// keepWatch has one watch waiting at the leader, so that a new state arrives as soon as
// it is there and not with the next heartbeat.
func (n *Node) keepWatch(now clock.Instant) {
	if n.watch.inFlight || now < n.watch.next || n.mayIssue(now) || n.heartbeat.leader.Address == "" {
		return
	}
	if n.heartbeat.leader.ID == n.cfg.Self.ID {
		return
	}
	n.watch.inFlight = true
	req := message.WatchRequest{From: n.cfg.Self, Have: n.Versions(), Suspects: n.suspects.Version, Resumed: n.resumed}
	n.emit(Effect{SendWatch: &SendWatch{To: n.heartbeat.leader.Address, Request: req}})
}

// WatchDone takes the answer to a watch; ok is false when none came.
func (n *Node) WatchDone(now clock.Instant, reply message.WatchReply, ok bool) []Effect {
	n.watch.inFlight = false
	if !ok {
		n.watch.next = now.Add(watchRetry)
		return n.take()
	}
	if reply.Update.Empty() && reply.Suspects.Version == n.suspects.Version && reply.Resumed == n.resumed {
		n.watch.next = now.Add(watchRetry)
	}
	n.suspects = reply.Suspects
	n.adopt(now, reply.Update)
	n.resume(reply.Resumed)
	n.heartbeat.next = now
	return n.take()
}
