package instance

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/transport/peers"
)

const (
	// askAgainAfter is how long a keeper may be silent before it is asked whether it lives.
	// A long queue is a reason for silence; a dead keeper is another.
	askAgainAfter = 250 * time.Millisecond
	// pingTimeout bounds that question.
	pingTimeout = 250 * time.Millisecond
	// suspectFor is how long a keeper that did not answer is not asked.
	suspectFor = 600 * time.Millisecond
)

// broker finds the keeper of a pool of slots and asks it for permits. Where the keeper does
// not answer it lets a little through without one.
type broker struct {
	self  view.Instance
	clock clock.Clock
	board *view.Board
	peers *peers.Client
	// kept are the pools that this instance keeps for all.
	kept *permit.Keeper
	// spare are the few slots that this instance uses of pools whose keeper is silent.
	spare *permit.Keeper
	log   func(event string, fields ...any)

	mu       sync.Mutex
	suspects map[string]clock.Instant
	// lent says where each permit came from.
	lent map[string]lender
}

// lender is where a permit came from: another instance, or one of our own keepers.
type lender struct {
	address string
	keeper  *permit.Keeper
}

func newBroker(self view.Instance, c clock.Clock, board *view.Board, client *peers.Client, log func(string, ...any)) *broker {
	b := &broker{self: self, clock: c, board: board, peers: client, log: log, suspects: map[string]clock.Instant{}, lent: map[string]lender{}}
	b.kept = permit.NewKeeper(c, b.slots)
	b.spare = permit.NewKeeper(c, b.spareSlots)
	return b
}

// slots lists the targets of a pool.
func (b *broker) slots(service, target string) []permit.Slot {
	s := b.board.Load()
	if target != "" {
		t, known := s.Targets[target]
		if !known {
			return nil
		}
		return []permit.Slot{slotOf(t)}
	}
	var list []permit.Slot
	for _, t := range s.ByService[service] {
		if !t.Draining {
			list = append(list, slotOf(t))
		}
	}
	return list
}

func slotOf(t view.Target) permit.Slot {
	return permit.Slot{Target: t.ID, DataCentre: t.DataCentre, Slots: t.Slots}
}

// spareSlots lists the targets of a pool with this instance's even share of their slots.
func (b *broker) spareSlots(service, target string) []permit.Slot {
	instances := len(b.board.Load().Instances)
	list := b.slots(service, target)
	for i := range list {
		if instances == 0 {
			list[i].Slots = 1
			continue
		}
		list[i].Slots = max(1, list[i].Slots/instances)
	}
	return list
}

// keeper returns the instance that keeps a pool, by rendezvous hashing: every instance with
// the same list finds the same, and a list that differs in one moves only what that one
// kept. An instance in the target's data centre is preferred.
func (b *broker) keeper(service, target string) view.Instance {
	s := b.board.Load()
	home := s.Targets[target].DataCentre
	best, bestScore, bestHome := b.self, math.Inf(-1), false
	for _, i := range s.Instances {
		score := i.Score(service + "/" + target)
		atHome := home != "" && i.DataCentre == home
		if atHome != bestHome && !atHome || atHome == bestHome && score <= bestScore {
			continue
		}
		best, bestScore, bestHome = i, score, atHome
	}
	return best
}

// Acquire asks the keeper for a permit.
func (b *broker) Acquire(ctx context.Context, ask permit.Ask) (permit.Permit, error) {
	if len(b.board.Load().Instances) == 0 {
		// Nobody knows yet who else is there.
		return b.own(ctx, b.spare, ask)
	}
	keeper := b.keeper(ask.Service, ask.Target)
	if keeper.ID == b.self.ID {
		return b.own(ctx, b.kept, ask)
	}
	if !b.suspect(keeper.Address) {
		reply, err := b.remote(ctx, keeper.Address, ask)
		if err == nil {
			return b.granted(keeper.Address, ask, reply)
		}
		if ctx.Err() != nil {
			b.peers.Release(keeper.Address, &peerapi.ReleaseArgs{Service: ask.Service, Target: ask.Target, Abandon: true, Report: permit.Report{ID: ask.ID}})
			return permit.Permit{}, ctx.Err()
		}
		b.suspected(keeper, err)
	}
	return b.own(ctx, b.spare, ask)
}

func (b *broker) own(ctx context.Context, k *permit.Keeper, ask permit.Ask) (permit.Permit, error) {
	p, err := k.Acquire(ctx, ask)
	if err == nil {
		b.lend(p.ID, lender{keeper: k})
	}
	return p, err
}

func (b *broker) granted(address string, ask permit.Ask, reply *peerapi.AcquireReply) (permit.Permit, error) {
	if !reply.Granted {
		return permit.Permit{}, &permit.RefusedError{Reason: reply.Reason, RetryAfter: reply.RetryAfter}
	}
	b.lend(ask.ID, lender{address: address})
	return reply.Permit, nil
}

func (b *broker) lend(id string, l lender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lent[id] = l
}

// errSilent says that a keeper neither answered nor showed a sign of life.
var errSilent = errors.New("instance: the keeper is silent")

// remote asks another instance. A keeper that is silent for long is asked for a sign of life.
func (b *broker) remote(ctx context.Context, address string, ask permit.Ask) (*peerapi.AcquireReply, error) {
	type outcome struct {
		reply *peerapi.AcquireReply
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan outcome, 1)
	go func() {
		reply, err := b.peers.Acquire(ctx, address, &peerapi.AcquireArgs{Ask: ask})
		done <- outcome{reply, err}
	}()
	ticker := time.NewTicker(askAgainAfter)
	defer ticker.Stop()
	for {
		select {
		case o := <-done:
			return o.reply, o.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			pingCtx, stop := context.WithTimeout(ctx, pingTimeout)
			err := b.peers.Ping(pingCtx, address)
			stop()
			if err != nil && ctx.Err() == nil {
				return nil, errSilent
			}
		}
	}
}

func (b *broker) suspect(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.suspects[address]
	return ok && b.clock.Now() < until
}

func (b *broker) suspected(keeper view.Instance, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects[keeper.Address] = b.clock.Now().Add(suspectFor)
	b.log("keeper-silent", "keeper", keeper.ID, "error", err.Error())
}

// Release gives a permit back to where it came from.
func (b *broker) Release(service, target string, r permit.Report) {
	b.mu.Lock()
	l, ok := b.lent[r.ID]
	delete(b.lent, r.ID)
	b.mu.Unlock()
	switch {
	case !ok:
	case l.keeper != nil:
		l.keeper.Release(service, target, r)
	default:
		b.peers.Release(l.address, &peerapi.ReleaseArgs{Service: service, Target: target, Report: r})
	}
}
