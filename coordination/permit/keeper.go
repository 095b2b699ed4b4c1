package permit

import (
	"context"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// serveInterval is the time between periodic checks of the queues. They handle deadlines that pass,
// targets that appear and permits that were not returned; returned permits are handled at once.
const serveInterval = 20 * time.Millisecond

// poolIdleTimeout is how long a pool without asks, and without permits in use, is retained.
const poolIdleTimeout = 30 * time.Second

// Keeper hands out the slots of the targets that this instance is the keeper of. It is safe for
// concurrent use.
type Keeper struct {
	clock clock.Clock
	// targets returns the current targets of a pool.
	targets func(id PoolID) []Target

	// wake makes Run start the periodic checks, because a slot is in use or an ask is queued again.
	wake chan struct{}

	mu    sync.Mutex
	pools map[PoolID]*keptPool
	// ticking is true while Run checks the queues every serveInterval; ticks counts the checks.
	ticking bool
	ticks   int
}

// PoolID identifies the slots of one target, or of a group of interchangeable targets.
type PoolID struct {
	Service string
	// Target is the target's ID; it is empty for services that are not keyed.
	Target string
	Group  string
}

// Pool returns the pool that the ask is for.
func (a Ask) Pool() PoolID { return PoolID{a.Service, a.Target, a.Group} }

// keptPool is a pool and when it was last asked for.
type keptPool struct {
	*pool
	usedAt clock.Instant
}

// NewKeeper returns a Keeper without pools. The targets function returns the current targets of a
// pool; it is called with the Keeper's lock held and must not block.
func NewKeeper(c clock.Clock, targets func(PoolID) []Target) *Keeper {
	return &Keeper{clock: c, targets: targets, wake: make(chan struct{}, 1), pools: map[PoolID]*keptPool{}}
}

// Run checks the queues periodically until ctx ends. It sleeps while no slot is in use and no ask
// is queued: otherwise the checks would be most of the work of an idle instance.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(serveInterval)
	defer ticker.Stop()
	ticker.Stop()
	for {
		select {
		case <-k.wake:
			ticker.Reset(serveInterval)
		case <-ticker.C:
			if !k.tick() {
				ticker.Stop()
			}
		case <-ctx.Done():
			return
		}
	}
}

// startTicking makes Run check the queues periodically. The caller must hold the lock.
func (k *Keeper) startTicking() {
	if !k.ticking {
		k.ticking = true
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// tick checks the queues and reports whether a slot is still in use or an ask is still queued.
func (k *Keeper) tick() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ticks++
	k.ticking = false
	now := k.clock.Now()
	for id, p := range k.pools {
		if len(p.granted) == 0 && len(p.waiting) == 0 {
			if now.Sub(p.usedAt) > poolIdleTimeout {
				delete(k.pools, id)
			}
			continue
		}
		p.setTargets(k.targets(id), now)
		p.reclaimExpired(now)
		p.serveQueue(now)
		k.ticking = true
	}
	return k.ticking
}

// pool returns the pool with an ID, which it creates if necessary. The caller must hold the lock.
func (k *Keeper) pool(id PoolID, now clock.Instant) *keptPool {
	p := k.pools[id]
	if p == nil {
		p = &keptPool{pool: newPool()}
		k.pools[id] = p
	}
	p.usedAt = now
	return p
}

// Acquire waits for a permit. The error is a *RefusedError, or ctx.Err() if the caller has gone
// away.
func (k *Keeper) Acquire(ctx context.Context, ask Ask) (Permit, error) {
	w, granted, queued, err := k.submit(ask)
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

// submit passes an ask to its pool. It returns a permit or an error at once, or queued with a
// waiter that receives the decision.
func (k *Keeper) submit(ask Ask) (*waiter, Permit, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	p := k.pool(ask.Pool(), now)
	p.setTargets(k.targets(ask.Pool()), now)
	p.recordLimits(ask.Limits, now)
	w := &waiter{
		ask: ask, arrived: now, aim: now.Add(ask.AimLeft), deadline: now.Add(ask.Left),
		expected: p.expectedDuration(ask), done: make(chan decision, 1),
	}
	granted, queued, err := p.admit(w, now)
	if err == nil {
		k.startTicking()
	}
	return w, granted, queued, err
}

// Release returns a permit.
func (k *Keeper) Release(id PoolID, r Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	p := k.pools[id]
	if p == nil {
		return
	}
	p.report(r, now)
	p.serveQueue(now)
}

// Abandon withdraws a queued ask, or returns its permit, after the caller of the request has gone
// away. The ID is that of the ask.
func (k *Keeper) Abandon(pool PoolID, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.pools[pool]; p != nil {
		now := k.clock.Now()
		p.abandon(id, now)
		p.serveQueue(now)
	}
}
