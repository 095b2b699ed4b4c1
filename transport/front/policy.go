package front

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/rules"
)

func countRefusal(status int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_front_refusals_total{status="%d",reason=%q}`, status, reason)).Inc()
}

// RetryBudget bounds repeated sends: over a window they stay below a share of the service's
// requests and a fixed number, over all instances together. Each instance keeps to its part
// without asking the others. It is safe for concurrent use.
type RetryBudget struct {
	clock  clock.Clock
	config RetryBudgetConfig

	mu       sync.Mutex
	services map[string]*budgetWindow
}

// RetryBudgetConfig is what all instances together may spend.
type RetryBudgetConfig struct {
	// Ratio is the share of a service's requests that may be repeats.
	Ratio float64
	// Slack is the number of repeats in a window beside that.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

const (
	// budgetParts is the number of parts that a window is counted in.
	budgetParts = 10
	// budgetUse is the part of the budget that is used. Windows of whoever counts do not
	// begin where ours do, and an instance that restarts forgets what it has spent.
	budgetUse = 0.8
	// firstUse is the part of what may be used that goes to callers who have time to come back.
	// While all targets of a service refuse half of what they get, repeats run short; one that is
	// spent on a caller who comes back by itself anyhow gains half as much as one that is spent
	// on a caller whose last try it is.
	firstUse = 0.5
)

type budgetWindow struct {
	requests [budgetParts]float64
	repeats  [budgetParts]float64
	part     int64
}

// NewRetryBudget returns a budget of which nothing has been spent.
func NewRetryBudget(c clock.Clock, config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{clock: c, config: config, services: map[string]*budgetWindow{}}
}

// Configure changes what may be spent from now on.
func (b *RetryBudget) Configure(config RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config.Window != b.config.Window {
		clear(b.services)
	}
	b.config = config
}

// window returns a service's window, moved on to the present. The caller holds the lock.
func (b *RetryBudget) window(service string) *budgetWindow {
	w := b.services[service]
	now := int64(b.clock.Now()) / int64(b.config.Window/budgetParts)
	if w == nil {
		w = &budgetWindow{part: now}
		b.services[service] = w
	}
	for ; w.part < now; w.part++ {
		if now-w.part > budgetParts {
			w.part = now - budgetParts
		}
		next := (w.part + 1) % budgetParts
		w.requests[next], w.repeats[next] = 0, 0
	}
	return w
}

// CountRequest notes a request for a service.
func (b *RetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.part%budgetParts]++
}

// AllowRetry takes one repeat out of the budget, if there is one left. Last says that the caller has
// no time to come back, so that this is its last chance. While the number of
// instances is not known, 0, there is nothing beside the share: many instances that start
// at the same moment would each take the whole.
func (b *RetryBudget) AllowRetry(service string, instances int, last bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := 0.0, 0.0
	for i := range budgetParts {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := b.config.Ratio * requests
	if instances > 0 {
		allowed += b.config.Slack / float64(instances)
	}
	allowed *= budgetUse
	if !last {
		allowed *= firstUse
	}
	if repeats+1 > allowed {
		return false
	}
	w.repeats[w.part%budgetParts]++
	return true
}

// Weights shares a rule's requests among its backends in the proportion of their weights,
// as evenly as whole requests allow. It is safe for concurrent use.
type Weights struct {
	mu      sync.Mutex
	credits map[string][]int
}

// NewWeights returns weights of which nothing has been used.
func NewWeights() *Weights { return &Weights{credits: map[string][]int{}} }

// Pick returns the service for the rule's next request: the one that is furthest behind its
// share.
func (w *Weights) Pick(r *rules.Rule) string {
	backends := r.Then.Backends
	w.mu.Lock()
	defer w.mu.Unlock()
	credit := w.credits[r.Name]
	if len(credit) != len(backends) {
		credit = make([]int, len(backends))
		w.credits[r.Name] = credit
	}
	total, best := 0, -1
	for i, b := range backends {
		credit[i] += b.Weight
		total += b.Weight
		if b.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	credit[best] -= total
	return backends[best].Service
}
