package server

import (
	"context"
	"errors"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/node"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
	"lycheehall.example/lycheehall/transport/entry"
	"lycheehall.example/lycheehall/transport/peer"
	"lycheehall.example/lycheehall/transport/target"
)

// Times of the driver.
const (
	tickEvery        = 20 * time.Millisecond
	membersEvery     = 500 * time.Millisecond
	tableTimeout     = 400 * time.Millisecond
	heartbeatTimeout = 300 * time.Millisecond
	watchTimeout     = 12 * time.Second
	grantTimeout     = 150 * time.Millisecond
)

// Sizes of the pools of workers. Each kind of call has its own, so that targets that do
// not answer cannot hold up heartbeats.
const (
	tableWorkers     = 4
	heartbeatWorkers = 2
	authorityWorkers = 8
	targetWorkers    = 32
	// queueLength exceeds what can be under way: a node has at most one call of each kind
	// to each target, and a handful to the table.
	queueLength = 16384
	// authorityQueue is short: when named instances do not answer, their messages are
	// dropped and sent again, and must not pile up.
	authorityQueue = 32
)

// driver runs a node: it serialises its inputs and carries out its effects.
//
// Lock order: mu is taken before any lock of the request path; no call over the network
// is made while it is held.
type driver struct {
	clock     clock.Clock
	table     state.Table
	directory state.Directory
	peers     *peer.Client
	grants    *target.Client
	publisher *entry.Publisher
	inflight  *entry.Inflight
	targets   *entry.Targets
	record    func(timeline.Event)
	ring      *timeline.Ring

	mu        sync.Mutex
	node      *node.Node
	nextToken uint64
	watches   map[uint64]chan message.WatchReply
	proposals map[uint64]chan message.ProposalResult
	// unsettled says that requests under an old assignment were under way when last seen.
	unsettled bool

	tableJobs     chan func()
	heartbeatJobs chan func()
	authorityJobs chan func()
	targetJobs    chan func()
	workers       sync.WaitGroup
}

// run drives the node until ctx ends.
func (d *driver) run(ctx context.Context) {
	d.startWorkers(ctx, d.tableJobs, tableWorkers)
	d.startWorkers(ctx, d.heartbeatJobs, heartbeatWorkers)
	d.startWorkers(ctx, d.authorityJobs, authorityWorkers)
	d.startWorkers(ctx, d.targetJobs, targetWorkers)
	d.workers.Go(func() { d.readMembers(ctx) })
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.input(func(now clock.Instant) []node.Effect {
				d.node.SetFailing(d.targets.Failing())
				return nil
			})
		case <-ctx.Done():
			d.workers.Wait()
			return
		}
	}
}

func (d *driver) startWorkers(ctx context.Context, jobs chan func(), count int) {
	for range count {
		d.workers.Go(func() {
			for {
				select {
				case job := <-jobs:
					job()
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

// readMembers keeps the node's picture of the platform's list fresh.
func (d *driver) readMembers(ctx context.Context) {
	ticker := time.NewTicker(membersEvery)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		members, err := d.directory.Members(callCtx)
		cancel()
		d.input(func(now clock.Instant) []node.Effect { return d.node.MembersRead(now, members, err == nil) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// input gives the node an input, lets time pass, and carries out what follows.
func (d *driver) input(fn func(now clock.Instant) []node.Effect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.carryOut(now, fn(now))
	d.carryOut(now, d.node.Tick(now))
}

func (d *driver) carryOut(now clock.Instant, effects []node.Effect) {
	for _, e := range effects {
		d.effect(now, e)
	}
}

func (d *driver) effect(now clock.Instant, e node.Effect) {
	switch {
	case e.Publish != nil:
		d.publisher.Publish(*e.Publish)
		d.settle(now)
	case e.Event != nil:
		d.record(*e.Event)
	case e.TableRead != nil:
		d.tableJobs <- func() { d.readTable(e.TableRead) }
	case e.TableCommit != nil:
		d.tableJobs <- func() { d.commitTable(e.TableCommit) }
	case e.SendAuthority != nil:
		select {
		case d.authorityJobs <- func() { d.sendAuthority(e.SendAuthority) }:
		default:
		}
	case e.SendHeartbeat != nil:
		d.heartbeatJobs <- func() { d.sendHeartbeat(e.SendHeartbeat) }
	case e.SendWatch != nil:
		go d.sendWatch(e.SendWatch)
	case e.SendGrant != nil:
		d.targetJobs <- func() { d.sendGrant(e.SendGrant) }
	case e.AnswerWatch != nil:
		d.answerWatch(e.AnswerWatch)
	case e.AnswerPropose != nil:
		d.answerPropose(e.AnswerPropose)
	}
}

// settle tells the node up to which version old assignments are no longer used.
func (d *driver) settle(now clock.Instant) {
	m := d.publisher.Load().Map
	settled := d.inflight.Settle(m)
	d.unsettled = settled < m.Version
	d.carryOut(now, d.node.Drained(now, settled))
}

// requestSettled is called when a request under an old assignment is over.
func (d *driver) requestSettled() {
	d.input(func(now clock.Instant) []node.Effect {
		if d.unsettled {
			d.settle(now)
		}
		return nil
	})
}

func (d *driver) readTable(r *node.TableRead) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	rows, err := d.table.Get(ctx, r.Keys)
	d.input(func(now clock.Instant) []node.Effect { return d.node.TableReadDone(now, r.ID, rows, err == nil) })
}

func (d *driver) commitTable(c *node.TableCommit) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	outcome := outcomeOf(d.table.Commit(ctx, c.Txn))
	d.input(func(now clock.Instant) []node.Effect { return d.node.TableCommitDone(now, c.Purpose, c.ID, outcome) })
}

func outcomeOf(err error) authority.Outcome {
	switch {
	case err == nil:
		return authority.Applied
	case errors.Is(err, state.ErrConflict):
		return authority.Conflicted
	}
	return authority.Unknown
}

func (d *driver) sendAuthority(s *node.SendAuthority) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	// A lost message is sent again by the protocol.
	_ = d.peers.Authority(ctx, s.To, peer.AuthorityArgs{Message: s.Message, Lamport: d.ring.Lamport()})
}

func (d *driver) sendHeartbeat(s *node.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	s.Request.Lamport = d.ring.Lamport()
	reply, err := d.peers.Heartbeat(ctx, s.To, s.Request)
	d.ring.Witness(reply.Lamport)
	d.input(func(now clock.Instant) []node.Effect { return d.node.HeartbeatDone(now, s.SentAt, reply, err == nil) })
}

func (d *driver) sendWatch(s *node.SendWatch) {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	reply, err := d.peers.Watch(ctx, s.To, s.Request)
	d.ring.Witness(reply.Lamport)
	d.input(func(now clock.Instant) []node.Effect { return d.node.WatchDone(now, reply, err == nil) })
}

func (d *driver) sendGrant(s *node.SendGrant) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	var reply message.GrantReply
	var err error
	if s.Fenced {
		reply, err = d.grants.Grant(ctx, s.Address, s.Grant)
	} else {
		err = d.grants.Reach(ctx, s.Address)
		reply.Accepted = err == nil
	}
	d.input(func(now clock.Instant) []node.Effect { return d.node.GrantDone(now, s.Grant.Target, reply, err == nil) })
}

func (d *driver) answerWatch(a *node.AnswerWatch) {
	if ch := d.watches[a.Token]; ch != nil {
		delete(d.watches, a.Token)
		ch <- a.Reply
	}
}

func (d *driver) answerPropose(a *node.AnswerPropose) {
	if ch := d.proposals[a.Token]; ch != nil {
		delete(d.proposals, a.Token)
		ch <- a.Result
	}
}

// token returns a new token for a call that is answered later. mu must be held.
func (d *driver) token() uint64 {
	d.nextToken++
	return d.nextToken
}
