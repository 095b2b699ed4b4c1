package membudget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
)

// rateTime is the time constant of the measured rate of release. Responses of usual size are written
// within milliseconds, those to slow callers within seconds.
const rateTime = 2 * time.Second

var heldBytes = metrics.GetOrCreateGauge("lycheehall_memory_held_bytes", nil)

// Limits are the limits of a Budget, in bytes.
type Limits struct {
	// Held limits all reservations together. 0 turns the budget off.
	Held int64
	// Connection limits the reservations of one caller's connection.
	Connection int64
}

// Budget counts the memory reserved by requests. It is safe for concurrent use. A nil Budget is off.
type Budget struct {
	clock    clock.Clock
	limited  atomic.Bool
	inEffect func() bool

	mu           sync.Mutex
	limits       Limits
	held         int64
	byConnection map[string]int64
	// released is the number of bytes released, which decays with rateTime, as of updatedAt.
	released  float64
	promised  promises
	updatedAt clock.Instant
}

// New returns a budget of which nothing is reserved. While inEffect returns false, the budget is off
// whatever its limits; nil means always in effect. It is called for each request and connection, by
// any goroutine, and must be cheap.
func New(c clock.Clock, limits Limits, inEffect func() bool) *Budget {
	b := &Budget{clock: c, inEffect: inEffect, byConnection: map[string]int64{}, updatedAt: c.Now()}
	b.Configure(limits)
	return b
}

// Configure changes the limits. Reservations stay as they are, also if they exceed the new limits.
func (b *Budget) Configure(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.limited.Store(limits.Held > 0)
}

// Enabled reports whether the budget is on: it has a limit and is in effect.
func (b *Budget) Enabled() bool {
	return b != nil && b.limited.Load() && (b.inEffect == nil || b.inEffect())
}

// Held returns the number of bytes reserved.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Reserve reserves memory for a request of the connection, unless it is refused. While the budget is
// off, every request is admitted, with a nil reservation.
func (b *Budget) Reserve(connection string, a Ask) (*Reservation, Decision) {
	if !b.Enabled() {
		return nil, Decision{Admitted: true}
	}
	r := &Reservation{budget: b, connection: connection}
	return r, r.Grow(a)
}

// update advances the rate of release and the promises to the present. The caller must hold the
// lock.
func (b *Budget) update() {
	now := b.clock.Now()
	elapsed := now.Sub(b.updatedAt)
	b.updatedAt = now
	b.promised.advance(now)
	b.released *= math.Exp(-elapsed.Seconds() / rateTime.Seconds())
}

// releaseRate returns the bytes released a second. The caller must hold the lock.
func (b *Budget) releaseRate() float64 { return b.released / rateTime.Seconds() }

// Reservation is the memory reserved for one request. It is safe for concurrent use. A nil
// Reservation reserves nothing.
type Reservation struct {
	budget     *Budget
	connection string
	// size is guarded by the lock of the budget.
	size int64
}

// Size returns the reserved bytes.
func (r *Reservation) Size() int64 {
	if r == nil {
		return 0
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.size
}

// Grow increases the reservation to the size of the ask if the budget admits a request of that size
// in place of this one. If it refuses, the reservation stays as it is. If the budget has been turned
// off meanwhile, the reservation becomes the size of the ask, which may be smaller.
func (r *Reservation) Grow(a Ask) Decision {
	if r == nil {
		return Decision{Admitted: true}
	}
	b := r.budget
	// inEffect may acquire a lock, which must not be done while mu is held.
	enabled := b.Enabled()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	if !enabled || b.limits.Held <= 0 {
		b.resize(r, a.Known+a.Expected)
		return Decision{Admitted: true}
	}
	size := a.size(b.limits.Held)
	if size <= r.size {
		return Decision{Admitted: true}
	}
	promised, due := b.promised.sums()
	d := Decide(Load{
		Limit: b.limits.Held, Held: b.held - r.size,
		ConnectionLimit: b.limits.Connection, ConnectionHeld: b.byConnection[r.connection] - r.size,
		ReleaseRate: b.releaseRate(), Promised: promised, Due: due,
	}, a)
	switch {
	case d.Admitted:
		if a.Returning {
			b.promised.deduct(size - r.size)
		}
		b.resize(r, size)
	case d.TooLarge:
	case d.RetryAfter < maxRetryAfter && promised+due < b.limits.Held:
		// Callers that come back earlier than told would otherwise postpone all others without limit.
		b.promised.add(d.RetryAfter, size)
	}
	return d
}

// Resize sets the reservation to the given number of bytes. It never refuses.
func (r *Reservation) Resize(size int64) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.update()
	r.budget.resize(r, size)
}

// Release ends the reservation. Further calls have no effect.
func (r *Reservation) Release() { r.Resize(0) }

// resize changes the size of a reservation. The caller must hold the lock.
func (b *Budget) resize(r *Reservation, size int64) {
	delta := size - r.size
	r.size = size
	b.held += delta
	heldBytes.Add(float64(delta))
	if delta < 0 {
		b.released -= float64(delta)
	}
	if b.byConnection[r.connection] += delta; b.byConnection[r.connection] == 0 {
		delete(b.byConnection, r.connection)
	}
}
