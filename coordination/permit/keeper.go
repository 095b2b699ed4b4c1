package permit

import (
	"context"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// serveEvery is the time between looks at the queues beside the ends of requests: for
// deadlines that pass, targets that come and permits that were not given back.
const serveEvery = 20 * time.Millisecond

// poolIdle is how long a pool that nobody asks for is kept.
const poolIdle = 30 * time.Second

// Keeper hands out the slots of the targets that this instance keeps. It is safe for
// concurrent use.
type Keeper struct {
	clock clock.Clock
	// slots returns the targets of a pool as they are believed to be now.
	slots func(id PoolID) []Target

	// busy tells Run that slots are in use again.
	busy chan struct{}

	mu    sync.Mutex
	pools map[PoolID]*keptPool
	// looking says that Run looks at the queues every serveEvery, ticks how often it has.
	looking bool
	ticks   int
}

// PoolID names the slots of one target, or of a group of targets that serve the same.
type PoolID struct {
	Service string
	// Target is empty for services without keys.
	Target string
	Group  string
}

// Pool returns what an ask is for.
func (a Ask) Pool() PoolID { return PoolID{a.Service, a.Target, a.Group} }

type keptPool struct {
	*pool
	usedAt clock.Instant
}

// NewKeeper returns a keeper. The function slots is called with the lock held and must not
// block.
func NewKeeper(c clock.Clock, slots func(PoolID) []Target) *Keeper {
	return &Keeper{clock: c, slots: slots, busy: make(chan struct{}, 1), pools: map[PoolID]*keptPool{}}
}

// Run looks after the queues until ctx ends. While no slot is in use it sleeps: looks at nothing
// are most of what an idle instance would do.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(serveEvery)
	defer ticker.Stop()
	ticker.Stop()
	for {
		select {
		case <-k.busy:
			ticker.Reset(serveEvery)
		case <-ticker.C:
			if !k.tick() {
				ticker.Stop()
			}
		case <-ctx.Done():
			return
		}
	}
}

// look has Run look at the queues. The caller holds the lock.
func (k *Keeper) look() {
	if !k.looking {
		k.looking = true
		select {
		case k.busy <- struct{}{}:
		default:
		}
	}
}

// tick looks at the queues, and reports whether slots are in use still.
func (k *Keeper) tick() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ticks++
	k.looking = false
	now := k.clock.Now()
	for id, p := range k.pools {
		if len(p.uses) == 0 && len(p.waiting) == 0 {
			if now.Sub(p.usedAt) > poolIdle {
				delete(k.pools, id)
			}
			continue
		}
		p.setSlots(k.slots(id), now)
		p.reclaim(now)
		p.serve(now)
		k.looking = true
	}
	return k.looking
}

func (k *Keeper) pool(id PoolID, now clock.Instant) *keptPool {
	p := k.pools[id]
	if p == nil {
		p = &keptPool{pool: newPool()}
		k.pools[id] = p
	}
	p.usedAt = now
	return p
}

// Acquire waits for a permit. The error is a *RefusedError, or that of ctx when the caller
// has gone away.
func (k *Keeper) Acquire(ctx context.Context, ask Ask) (Permit, error) {
	w, granted, queued, err := k.enter(ask)
	if err != nil || !queued {
		return granted, err
	}
	select {
	case a := <-w.done:
		return a.permit, a.err
	case <-ctx.Done():
		k.Abandon(ask.Pool(), ask.ID)
		return Permit{}, ctx.Err()
	}
}

func (k *Keeper) enter(ask Ask) (*waiter, Permit, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	p := k.pool(ask.Pool(), now)
	p.setSlots(k.slots(ask.Pool()), now)
	p.noteLimits(ask.Limits, now)
	w := &waiter{
		ask: ask, arrived: now, aim: now.Add(ask.AimLeft), deadline: now.Add(ask.Left),
		expected: p.expected(ask), done: make(chan answer, 1),
	}
	granted, queued, err := p.admit(w, now)
	if err == nil {
		k.look()
	}
	return w, granted, queued, err
}

// Release gives a permit back.
func (k *Keeper) Release(id PoolID, r Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	p := k.pools[id]
	if p == nil {
		return
	}
	p.report(r, now)
	p.serve(now)
}

// Abandon withdraws an ask.
func (k *Keeper) Abandon(pool PoolID, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.pools[pool]; p != nil {
		now := k.clock.Now()
		p.abandon(id, now)
		p.serve(now)
	}
}
