package instance

import (
	"context"
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/transport/peers"
)

const (
	// pingInterval is the time between pings of a keeper while a call to it lasts. The call may take
	// long because the queue is long, or because the keeper does not run any more.
	pingInterval = 250 * time.Millisecond
	// pingTimeout is the timeout of a ping.
	pingTimeout = 250 * time.Millisecond
	// unresponsivePeriod is how long a keeper that did not answer is not asked again.
	unresponsivePeriod = 600 * time.Millisecond
)

// permitBroker gets permits to use the slots of targets. The slots are divided into pools, and each
// pool has a keeper: the instance that grants all permits for its slots. If the keeper does not
// answer, the broker itself grants permits for a small share of the slots.
type permitBroker struct {
	self  view.Instance
	clock clock.Clock
	board *view.Board
	peers *peers.Client
	// targetHasLimit reports whether a target has reported a request limit for all instances together.
	targetHasLimit func(target string) bool
	// ownPools are the pools for which this instance is the keeper.
	ownPools *permit.Keeper
	// fallbackPools hold this instance's share of the slots of pools whose keeper does not answer.
	fallbackPools *permit.Keeper
	log           func(event string, fields ...any)

	// chooser decides which group of a service's targets to ask.
	chooser *permit.Chooser
	// fullPools are the contended pools that have no capacity at the moment.
	fullPools *permit.FullPools

	// The keepers acquire mu while they hold their own locks, so no keeper is called while mu is held.
	mu                sync.Mutex
	groupsByService   map[string]*serviceGroups
	unresponsiveUntil map[string]clock.Instant
	// keepers are the instances that keep pools, computed for keepersVersion.
	keepers        []view.Instance
	keepersVersion view.InstancesVersion
	// origins maps the ID of each permit in use to its origin.
	origins map[string]permitOrigin
}

// permitOrigin is where a permit came from: another instance, or one of this broker's keepers.
type permitOrigin struct {
	address string
	keeper  *permit.Keeper
	pool    permit.PoolID
}

func newPermitBroker(self view.Instance, c clock.Clock, board *view.Board, client *peers.Client, targetHasLimit func(target string) bool, log func(string, ...any)) *permitBroker {
	b := &permitBroker{
		self: self, clock: c, board: board, peers: client, targetHasLimit: targetHasLimit, log: log, unresponsiveUntil: map[string]clock.Instant{}, origins: map[string]permitOrigin{},
		groupsByService: map[string]*serviceGroups{}, chooser: permit.NewChooser(c, self.DataCentre), fullPools: permit.NewFullPools(c),
	}
	b.ownPools = permit.NewKeeper(c, b.poolTargets)
	b.fallbackPools = permit.NewKeeper(c, b.fallbackTargets)
	return b
}

// poolTargets lists the targets of a pool.
func (b *permitBroker) poolTargets(id permit.PoolID) []permit.Target {
	s := b.board.Snapshot()
	if id.Target != "" {
		// The asking instance may lack CPU time and not know yet that a target is leaving. The
		// keeper, which may be another instance, checks it too.
		t, known := s.Targets[id.Target]
		if !known || s.Excluded(t, b.clock.Now()) {
			return nil
		}
		return []permit.Target{permitTarget(s, t)}
	}
	return b.groupsOf(s, id.Service).targets[id.Group]
}

// serviceGroups is the division of a service's targets into groups.
type serviceGroups struct {
	// snapshot is the snapshot from which the groups were computed.
	snapshot *view.Snapshot
	groups   []permit.Group
	targets  map[string][]permit.Target
}

// groupsOf returns the groups of a service's usable targets, from a cache while they are current.
func (b *permitBroker) groupsOf(s *view.Snapshot, service string) *serviceGroups {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g := b.groupsByService[service]; g != nil && g.snapshot.TargetsDigest == s.TargetsDigest && g.snapshot.Evacuations.Version == s.Evacuations.Version &&
		g.snapshot.ColdRate(service) == s.ColdRate(service) {
		return g
	}
	var list []permit.Target
	for _, t := range s.ByService[service] {
		if s.AcceptsNewWork(t) {
			list = append(list, permitTarget(s, t))
		}
	}
	g := &serviceGroups{snapshot: s, groups: permit.Groups(list), targets: map[string][]permit.Target{}}
	for _, t := range list {
		name := permit.GroupOf(t, list)
		g.targets[name] = append(g.targets[name], t)
	}
	b.groupsByService[service] = g
	return g
}

func permitTarget(s *view.Snapshot, t view.Target) permit.Target {
	return permit.Target{ID: t.ID, DataCentre: t.DataCentre, Slots: t.Slots, ColdUntil: s.ColdUntil(t), ColdRate: s.ColdRate(t.Service)}
}

// fallbackTargets lists the targets of a pool with this instance's even share of their slots.
// Targets that are cold or have reported a limit are left out: without the keeper nothing limits
// the sum of what all instances send to them.
func (b *permitBroker) fallbackTargets(id permit.PoolID) []permit.Target {
	instances := len(b.board.Snapshot().Instances)
	now := b.clock.Now()
	list := slices.DeleteFunc(slices.Clone(b.poolTargets(id)), func(t permit.Target) bool { return t.IsCold(now) || b.targetHasLimit(t.ID) })
	for i := range list {
		if instances == 0 {
			list[i].Slots = 1
			continue
		}
		list[i].Slots = max(1, list[i].Slots/instances)
	}
	return list
}

// keeperOf returns the keeper of a pool, chosen by rendezvous hashing. Instances in the given data
// centre, that of the pool's targets, are preferred.
func (b *permitBroker) keeperOf(id permit.PoolID, dataCentre string) view.Instance {
	best, bestScore, bestSameDataCentre := b.self, math.Inf(-1), false
	poolName := id.Service + "/" + id.Target + "/" + id.Group
	for _, i := range b.poolKeepers(b.board.Snapshot()) {
		sameDataCentre := dataCentre != "" && i.DataCentre == dataCentre
		if bestSameDataCentre && !sameDataCentre {
			continue
		}
		score := i.Score(poolName)
		if sameDataCentre == bestSameDataCentre && score <= bestScore {
			continue
		}
		best, bestScore, bestSameDataCentre = i, score, sameDataCentre
	}
	return best
}

// poolKeepers returns the instances that keep pools.
func (b *permitBroker) poolKeepers(s *view.Snapshot) []view.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keepers == nil || b.keepersVersion != s.InstancesVersion {
		b.keepers = permit.Keepers(s.Instances)
		b.keepersVersion = s.InstancesVersion
	}
	return b.keepers
}

// Acquire gets a permit for the given target, or for any target of the service if none is given.
func (b *permitBroker) Acquire(ctx context.Context, ask permit.Ask) (permit.Permit, error) {
	s := b.board.Snapshot()
	if len(s.Instances) == 0 {
		// Without a list of instances there is no keeper yet.
		return b.acquireLocally(ctx, b.fallbackPools, ask)
	}
	if ask.Target != "" {
		return b.acquireFromKeeper(ctx, ask, s.Targets[ask.Target].DataCentre)
	}
	groups := b.groupsOf(s, ask.Service).groups
	if len(groups) < 2 {
		return b.acquireFromKeeper(ctx, ask, "")
	}
	waits := waitsName(ask)
	for _, g := range b.chooser.Candidates(waits, groups, ask.Abroad) {
		ask.Group = g.Name
		ask.NoQueue = true
		p, err := b.acquireFromKeeper(ctx, ask, g.DataCentre)
		var refused *permit.RefusedError
		if !errors.As(err, &refused) {
			return p, err
		}
		b.chooser.RecordWait(waits, g.Name, refused.RetryAfter)
	}
	g := b.chooser.ShortestWait(waits, groups, ask.Abroad)
	ask.Group = g.Name
	ask.NoQueue = false
	p, err := b.acquireFromKeeper(ctx, ask, g.DataCentre)
	b.recordWait(ask, p, err)
	return p, err
}

// waitsName returns the name under which the chooser has the waits of a service's groups. In a
// contended service more urgent requests wait less, so each priority has waits of its own.
func waitsName(ask permit.Ask) string {
	if !ask.Contended {
		return ask.Service
	}
	return ask.Service + "/" + strconv.Itoa(ask.Priority)
}

// recordWait records the wait in a group's queue: that of the permit, or the one that a refusal
// gives.
func (b *permitBroker) recordWait(ask permit.Ask, p permit.Permit, err error) {
	var refused *permit.RefusedError
	switch {
	case err == nil:
		b.chooser.RecordWait(waitsName(ask), ask.Group, p.Waited)
	case errors.As(err, &refused):
		b.chooser.RecordWait(waitsName(ask), ask.Group, refused.RetryAfter)
	}
}

// acquireFromKeeper asks the keeper of a pool whose targets are in the given data centre. If the
// keeper does not answer, it falls back to this instance's share of the slots.
func (b *permitBroker) acquireFromKeeper(ctx context.Context, ask permit.Ask, dataCentre string) (permit.Permit, error) {
	keeper := b.keeperOf(ask.Pool(), dataCentre)
	if keeper.ID == b.self.ID {
		return b.acquireLocally(ctx, b.ownPools, ask)
	}
	if !b.isUnresponsive(keeper.Address) {
		if err := b.fullPools.Refuse(ask); err != nil {
			return permit.Permit{}, err
		}
		reply, err := b.acquireRemotely(ctx, keeper.Address, ask)
		if err == nil && !b.hasOlderRegistry(reply) {
			p, err := b.acceptReply(keeper.Address, ask, reply)
			b.fullPools.RecordOutcome(ask, err)
			return p, err
		}
		if err == nil {
			return b.acquireLocally(ctx, b.fallbackPools, ask)
		}
		if ctx.Err() != nil {
			b.peers.Release(keeper.Address, &peerapi.ReleaseArgs{Pool: ask.Pool(), Abandon: true, Report: permit.Report{ID: ask.ID}})
			return permit.Permit{}, ctx.Err()
		}
		b.markUnresponsive(keeper, err)
	}
	return b.acquireLocally(ctx, b.fallbackPools, ask)
}

// hasOlderRegistry reports whether a keeper found no target because it has read an older version of
// the registry than this instance. A keeper that has started while the store is unavailable has read
// nothing, and would refuse all requests of a service although its targets work.
func (b *permitBroker) hasOlderRegistry(reply *peerapi.AcquireReply) bool {
	return !reply.Granted && reply.Reason == permit.ReasonNoTarget && reply.TargetsRead < b.board.TargetsReadVersion()
}

func (b *permitBroker) acquireLocally(ctx context.Context, k *permit.Keeper, ask permit.Ask) (permit.Permit, error) {
	p, err := k.Acquire(ctx, ask)
	if err == nil {
		b.recordOrigin(p.ID, permitOrigin{keeper: k, pool: ask.Pool()})
	}
	return p, err
}

func (b *permitBroker) acceptReply(address string, ask permit.Ask, reply *peerapi.AcquireReply) (permit.Permit, error) {
	if !reply.Granted {
		return permit.Permit{}, &permit.RefusedError{Reason: reply.Reason, RetryAfter: reply.RetryAfter}
	}
	b.recordOrigin(ask.ID, permitOrigin{address: address, pool: ask.Pool()})
	return reply.Permit, nil
}

func (b *permitBroker) recordOrigin(id string, origin permitOrigin) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.origins[id] = origin
}

// errKeeperUnresponsive means that a keeper answered neither the call nor a ping.
var errKeeperUnresponsive = errors.New("instance: the keeper did not answer")

// acquireRemotely asks another instance for a permit. A keeper that takes long is pinged, and given
// up if the ping fails.
func (b *permitBroker) acquireRemotely(ctx context.Context, address string, ask permit.Ask) (*peerapi.AcquireReply, error) {
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
	ticker := time.NewTicker(pingInterval)
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
				return nil, errKeeperUnresponsive
			}
		}
	}
}

func (b *permitBroker) isUnresponsive(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.unresponsiveUntil[address]
	return ok && b.clock.Now() < until
}

func (b *permitBroker) markUnresponsive(keeper view.Instance, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unresponsiveUntil[keeper.Address] = b.clock.Now().Add(unresponsivePeriod)
	b.log("keeper-silent", "keeper", keeper.ID, "error", err.Error())
}

// Release returns a permit to its origin.
func (b *permitBroker) Release(r permit.Report) {
	b.mu.Lock()
	origin, ok := b.origins[r.ID]
	delete(b.origins, r.ID)
	b.mu.Unlock()
	switch {
	case !ok:
	case origin.keeper != nil:
		origin.keeper.Release(origin.pool, r)
	default:
		b.peers.Release(origin.address, &peerapi.ReleaseArgs{Pool: origin.pool, Report: r})
	}
}
