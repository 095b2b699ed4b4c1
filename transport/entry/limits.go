package entry

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/time/rate"

	"lycheehall.example/lycheehall/protocol/rules"
)

// errOverloaded says that a queue is full.
var errOverloaded = errors.New("entry: too many requests are waiting")

// queuePerSlot bounds the requests that wait for a target: so many for each one that
// runs. A longer queue would only hold requests that miss their deadline.
const queuePerSlot = 8

// Gate bounds the requests that run at a time, and those that wait for their turn.
type Gate struct {
	slots chan struct{}

	mu      sync.Mutex
	waiting int
}

func newGate(size int) *Gate {
	return &Gate{slots: make(chan struct{}, size)}
}

// enter waits for a turn until ctx ends. It returns errOverloaded at once when too many
// wait already.
func (g *Gate) enter(ctx context.Context) error {
	select {
	case g.slots <- struct{}{}:
		return nil
	default:
	}
	if !g.join() {
		return errOverloaded
	}
	defer g.quit()
	select {
	case g.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) join() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting >= queuePerSlot*cap(g.slots) {
		return false
	}
	g.waiting++
	return true
}

func (g *Gate) quit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
}

func (g *Gate) leave() { <-g.slots }

// maxBudget bounds the retries that can be saved up in quiet times, so that an outage
// does not begin with a burst of them.
const maxBudget = 10

// Budget bounds retries to a share of the requests.
type Budget struct {
	share float64

	mu     sync.Mutex
	tokens float64
}

// deposit counts a request.
func (b *Budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxBudget, b.tokens+b.share)
}

// withdraw asks for a retry.
func (b *Budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ruleLimits are the bounds of one rule.
type ruleLimits struct {
	rate       *rate.Limiter
	concurrent chan struct{}
	budget     Budget
}

// limits holds the bounds of all rules of one configuration.
type limits struct{ rules []*ruleLimits }

func newLimits(set *rules.Set) *limits {
	l := &limits{}
	if set == nil {
		return l
	}
	for _, r := range set.Rules() {
		l.rules = append(l.rules, newRuleLimits(r.Then))
	}
	return l
}

func newRuleLimits(t rules.Then) *ruleLimits {
	l := &ruleLimits{budget: Budget{share: rules.DefaultRetryShare, tokens: 1}}
	if t.RetryShare != nil {
		l.budget.share = *t.RetryShare
	}
	if t.Limit == nil {
		return l
	}
	if t.Limit.PerSecond > 0 {
		l.rate = rate.NewLimiter(rate.Limit(t.Limit.PerSecond), t.Limit.Burst)
	}
	if t.Limit.Concurrent > 0 {
		l.concurrent = make(chan struct{}, t.Limit.Concurrent)
	}
	return l
}

// admit asks whether a request may pass now. The returned function must be called when
// the request is over.
func (l *ruleLimits) admit() (func(), bool) {
	if l.concurrent != nil {
		select {
		case l.concurrent <- struct{}{}:
		default:
			return nil, false
		}
	}
	leave := func() {
		if l.concurrent != nil {
			<-l.concurrent
		}
	}
	if l.rate != nil && !l.rate.Allow() {
		leave()
		return nil, false
	}
	return leave, true
}
