package instance

import (
	"context"
	"errors"
	"math"
	"slices"
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
	// limited reports whether a target names a limit for all instances together.
	limited func(target string) bool
	// kept are the pools that this instance keeps for all.
	kept *permit.Keeper
	// spare are the few slots that this instance uses of pools whose keeper is silent.
	spare *permit.Keeper
	log   func(event string, fields ...any)

	// chooser says which group of a service's targets to ask.
	chooser *permit.Chooser

	// mu is a leaf; the keepers take it while they hold their own locks.
	mu        sync.Mutex
	groupings map[string]*grouping
	suspects  map[string]clock.Instant
	// keepers are the instances that keep pools, as of keepersAt.
	keepers   []view.Instance
	keepersAt view.InstancesVersion
	// lent says where each permit came from.
	lent map[string]lender
}

// lender is where a permit came from: another instance, or one of our own keepers.
type lender struct {
	address string
	keeper  *permit.Keeper
	pool    permit.PoolID
}

func newBroker(self view.Instance, c clock.Clock, board *view.Board, client *peers.Client, limited func(target string) bool, log func(string, ...any)) *broker {
	b := &broker{
		self: self, clock: c, board: board, peers: client, limited: limited, log: log, suspects: map[string]clock.Instant{}, lent: map[string]lender{},
		groupings: map[string]*grouping{}, chooser: permit.NewChooser(c, self.DataCentre),
	}
	b.kept = permit.NewKeeper(c, b.slots)
	b.spare = permit.NewKeeper(c, b.spareSlots)
	return b
}

// slots lists the targets of a pool.
func (b *broker) slots(id permit.PoolID) []permit.Target {
	s := b.board.Load()
	if id.Target != "" {
		// An instance that is short of processor time may not have heard yet that a target
		// leaves; its keeper is another one.
		t, known := s.Targets[id.Target]
		if !known || s.Excluded(t, b.clock.Now()) {
			return nil
		}
		return []permit.Target{slotOf(s, t)}
	}
	return b.grouped(s, id.Service).slots[id.Group]
}

// grouping is how the targets of a service are divided.
type grouping struct {
	// of is the snapshot that it was made of.
	of     *view.Snapshot
	groups []permit.Group
	slots  map[string][]permit.Target
}

// grouped returns the groups of a service's targets that may be used.
func (b *broker) grouped(s *view.Snapshot, service string) *grouping {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g := b.groupings[service]; g != nil && g.of.TargetsDigest == s.TargetsDigest && g.of.Evacuations.Version == s.Evacuations.Version &&
		g.of.ColdRate(service) == s.ColdRate(service) {
		return g
	}
	var list []permit.Target
	for _, t := range s.ByService[service] {
		if s.AcceptsNewWork(t) {
			list = append(list, slotOf(s, t))
		}
	}
	g := &grouping{of: s, groups: permit.Groups(list), slots: map[string][]permit.Target{}}
	for _, slot := range list {
		name := permit.GroupOf(slot, list)
		g.slots[name] = append(g.slots[name], slot)
	}
	b.groupings[service] = g
	return g
}

func slotOf(s *view.Snapshot, t view.Target) permit.Target {
	return permit.Target{ID: t.ID, DataCentre: t.DataCentre, Slots: t.Slots, ColdUntil: s.ColdUntil(t), ColdRate: s.ColdRate(t.Service)}
}

// spareSlots lists the targets of a pool with this instance's even share of their slots. Those that are
// cold, or name a limit for all instances together, are left out: nobody would bound what all send to them.
func (b *broker) spareSlots(id permit.PoolID) []permit.Target {
	instances := len(b.board.Load().Instances)
	now := b.clock.Now()
	list := slices.DeleteFunc(slices.Clone(b.slots(id)), func(s permit.Target) bool { return s.Cold(now) || b.limited(s.ID) })
	for i := range list {
		if instances == 0 {
			list[i].Slots = 1
			continue
		}
		list[i].Slots = max(1, list[i].Slots/instances)
	}
	return list
}

// keeper returns the instance that keeps a pool, by rendezvous hashing. One in the data
// centre of the targets is preferred.
func (b *broker) keeper(id permit.PoolID, home string) view.Instance {
	best, bestScore, bestHome := b.self, math.Inf(-1), false
	duty := id.Service + "/" + id.Target + "/" + id.Group
	for _, i := range b.keeping(b.board.Load()) {
		atHome := home != "" && i.DataCentre == home
		if bestHome && !atHome {
			continue
		}
		score := i.Score(duty)
		if atHome == bestHome && score <= bestScore {
			continue
		}
		best, bestScore, bestHome = i, score, atHome
	}
	return best
}

// keeping returns the instances that keep pools.
func (b *broker) keeping(s *view.Snapshot) []view.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keepers == nil || b.keepersAt != s.InstancesVersion {
		b.keepers = permit.Keepers(s.Instances)
		b.keepersAt = s.InstancesVersion
	}
	return b.keepers
}

// Acquire gets a permit for a target, or for any target of a service.
func (b *broker) Acquire(ctx context.Context, ask permit.Ask) (permit.Permit, error) {
	s := b.board.Load()
	if len(s.Instances) == 0 {
		// Nobody knows yet who else is there.
		return b.own(ctx, b.spare, ask)
	}
	if ask.Target != "" {
		return b.acquire(ctx, ask, s.Targets[ask.Target].DataCentre)
	}
	groups := b.grouped(s, ask.Service).groups
	if len(groups) < 2 {
		return b.acquire(ctx, ask, "")
	}
	for _, g := range b.chooser.Candidates(ask.Service, groups, ask.Abroad) {
		ask.Group = g.Name
		ask.NoQueue = true
		p, err := b.acquire(ctx, ask, g.DataCentre)
		var refused *permit.RefusedError
		if !errors.As(err, &refused) {
			return p, err
		}
		b.chooser.RecordWait(ask.Service, g.Name, refused.RetryAfter)
	}
	g := b.chooser.ShortestWait(ask.Service, groups, ask.Abroad)
	ask.Group = g.Name
	ask.NoQueue = false
	p, err := b.acquire(ctx, ask, g.DataCentre)
	b.learn(ask, p, err)
	return p, err
}

// learn notes what the queue of a group was like.
func (b *broker) learn(ask permit.Ask, p permit.Permit, err error) {
	var refused *permit.RefusedError
	switch {
	case err == nil:
		b.chooser.RecordWait(ask.Service, ask.Group, p.Waited)
	case errors.As(err, &refused):
		b.chooser.RecordWait(ask.Service, ask.Group, refused.RetryAfter)
	}
}

// acquire asks the keeper of a pool, whose targets are in the data centre home.
func (b *broker) acquire(ctx context.Context, ask permit.Ask, home string) (permit.Permit, error) {
	keeper := b.keeper(ask.Pool(), home)
	if keeper.ID == b.self.ID {
		return b.own(ctx, b.kept, ask)
	}
	if !b.suspect(keeper.Address) {
		reply, err := b.remote(ctx, keeper.Address, ask)
		if err == nil && !b.knowsLess(reply) {
			return b.granted(keeper.Address, ask, reply)
		}
		if err == nil {
			return b.own(ctx, b.spare, ask)
		}
		if ctx.Err() != nil {
			b.peers.Release(keeper.Address, &peerapi.ReleaseArgs{Pool: ask.Pool(), Abandon: true, Report: permit.Report{ID: ask.ID}})
			return permit.Permit{}, ctx.Err()
		}
		b.suspected(keeper, err)
	}
	return b.own(ctx, b.spare, ask)
}

// knowsLess reports whether a keeper found no target because it has read less of the registry
// than this instance. One that has just started while the store is away has read nothing: it
// once refused all requests of a service for five seconds, though all targets were well.
func (b *broker) knowsLess(reply *peerapi.AcquireReply) bool {
	return !reply.Granted && reply.Reason == permit.ReasonNoTarget && reply.TargetsRead < b.board.TargetsReadVersion()
}

func (b *broker) own(ctx context.Context, k *permit.Keeper, ask permit.Ask) (permit.Permit, error) {
	p, err := k.Acquire(ctx, ask)
	if err == nil {
		b.lend(p.ID, lender{keeper: k, pool: ask.Pool()})
	}
	return p, err
}

func (b *broker) granted(address string, ask permit.Ask, reply *peerapi.AcquireReply) (permit.Permit, error) {
	if !reply.Granted {
		return permit.Permit{}, &permit.RefusedError{Reason: reply.Reason, RetryAfter: reply.RetryAfter}
	}
	b.lend(ask.ID, lender{address: address, pool: ask.Pool()})
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
func (b *broker) Release(r permit.Report) {
	b.mu.Lock()
	l, ok := b.lent[r.ID]
	delete(b.lent, r.ID)
	b.mu.Unlock()
	switch {
	case !ok:
	case l.keeper != nil:
		l.keeper.Release(l.pool, r)
	default:
		b.peers.Release(l.address, &peerapi.ReleaseArgs{Pool: l.pool, Report: r})
	}
}
