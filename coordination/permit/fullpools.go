package permit

import (
	"errors"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// maxFullFor is the longest time for which an instance refuses asks after a keeper has refused
	// one. A queue of a few requests has changed after it.
	maxFullFor = 150 * time.Millisecond
	// freshShare is the share of its aim that an ask must have left for its refusal to be recorded.
	// The refusal of one with less time, such as a second attempt, says nothing about new requests.
	freshShare = 0.9
)

// FullPools holds the contended pools whose keepers have recently refused an ask of this instance
// with ReasonFull, so that asks that would be refused too cause no message. It is safe for concurrent
// use.
type FullPools struct {
	clock clock.Clock

	mu    sync.Mutex
	pools map[PoolID]fullPool
	// sweepAt is when expired entries are removed next.
	sweepAt clock.Instant
}

// fullPool is a refusal that holds for asks that are at most as urgent and have no longer aim.
type fullPool struct {
	until           clock.Instant
	priority        int
	aim, retryAfter time.Duration
}

// NewFullPools returns a FullPools without any refusals.
func NewFullPools(c clock.Clock) *FullPools {
	return &FullPools{clock: c, pools: map[PoolID]fullPool{}}
}

// RecordOutcome records the refusal of a new ask by its keeper, and ignores other outcomes. A refusal
// of a more urgent ask that still holds is kept.
func (f *FullPools) RecordOutcome(a Ask, err error) {
	var refused *RefusedError
	if !a.Contended || a.Returning || !errors.As(err, &refused) || refused.Reason != ReasonFull {
		return
	}
	if float64(a.AimLeft) < freshShare*float64(a.Aim) {
		return
	}
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now >= f.sweepAt {
		for id, p := range f.pools {
			if now >= p.until {
				delete(f.pools, id)
			}
		}
		f.sweepAt = now.Add(maxFullFor)
	}
	if p, known := f.pools[a.Pool()]; known && now < p.until && p.priority < a.Priority {
		return
	}
	f.pools[a.Pool()] = fullPool{until: now.Add(min(maxFullFor, refused.RetryAfter)), priority: a.Priority, aim: a.Aim, retryAfter: refused.RetryAfter}
}

// Refuse returns a refusal if the ask's pool is known to be full for it, or nil. Callers that return
// are never refused here, since capacity may be reserved for them.
func (f *FullPools) Refuse(a Ask) error {
	if !a.Contended || a.Returning || a.NoQueue {
		return nil
	}
	f.mu.Lock()
	p, known := f.pools[a.Pool()]
	f.mu.Unlock()
	if !known || f.clock.Now() >= p.until || a.Priority < p.priority || a.Aim > p.aim {
		return nil
	}
	countContended(a.Rule, "refused-known-full")
	return &RefusedError{Reason: ReasonFull, RetryAfter: p.retryAfter}
}
