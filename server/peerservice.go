package server

import (
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/node"
	"lycheehall.example/lycheehall/transport/peer"
)

// Longest waits of calls that are answered later.
const (
	watchHold   = 8 * time.Second
	proposeHold = 5 * time.Second
)

// peerService answers other instances.
type peerService struct{ d *driver }

var _ peer.Service = (*peerService)(nil)

// Heartbeat answers a request for a session.
func (p *peerService) Heartbeat(req message.HeartbeatRequest, reply *message.HeartbeatReply) error {
	p.d.ring.Witness(req.Lamport)
	p.d.input(func(now clock.Instant) []node.Effect {
		answer, effects := p.d.node.HeartbeatReceived(now, req)
		*reply = answer
		return effects
	})
	reply.Lamport = p.d.ring.Lamport()
	return nil
}

// Watch answers when there is something new, and after watchHold with nothing.
func (p *peerService) Watch(req message.WatchRequest, reply *message.WatchReply) error {
	ch := make(chan message.WatchReply, 1)
	var token uint64
	p.d.input(func(now clock.Instant) []node.Effect {
		token = p.d.token()
		p.d.watches[token] = ch
		return p.d.node.WatchReceived(now, token, req)
	})
	timer := time.NewTimer(watchHold)
	defer timer.Stop()
	select {
	case *reply = <-ch:
	case <-timer.C:
		p.d.forgetWatch(token)
	}
	reply.Lamport = p.d.ring.Lamport()
	return nil
}

func (d *driver) forgetWatch(token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, token)
	d.node.WatchGone(token)
}

// Authority takes a message of the authority protocol.
func (p *peerService) Authority(args peer.AuthorityArgs, _ *peer.Empty) error {
	p.d.ring.Witness(args.Lamport)
	p.d.input(func(now clock.Instant) []node.Effect { return p.d.node.AuthorityReceived(now, args.Message) })
	return nil
}

// Propose takes a change and answers when its outcome is known.
func (p *peerService) Propose(proposal message.Proposal, reply *message.ProposalResult) error {
	*reply = p.d.propose(proposal)
	return nil
}

func (d *driver) propose(proposal message.Proposal) message.ProposalResult {
	ch := make(chan message.ProposalResult, 1)
	var token uint64
	d.input(func(now clock.Instant) []node.Effect {
		token = d.token()
		d.proposals[token] = ch
		return d.node.ProposalReceived(now, token, proposal)
	})
	timer := time.NewTimer(proposeHold)
	defer timer.Stop()
	select {
	case r := <-ch:
		return r
	case <-timer.C:
		d.mu.Lock()
		delete(d.proposals, token)
		d.mu.Unlock()
		return message.ProposalResult{Code: message.Uncertain, Detail: "no answer from the table in time"}
	}
}

// Status tells what this instance knows about the deployment.
func (p *peerService) Status(_ peer.Empty, reply *message.Status) error {
	*reply = p.d.status()
	return nil
}

func (d *driver) status() message.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status(d.clock.Now())
}

// Timeline returns the events that this instance keeps.
func (p *peerService) Timeline(_ peer.Empty, reply *peer.TimelineReply) error {
	reply.Events = p.d.ring.Events()
	return nil
}
