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

// RetryBudget limits retries: within a window, all instances together retry at most a share of a
// service's requests plus a fixed number. Each instance keeps to its part of the budget without
// asking the others. It is safe for concurrent use.
type RetryBudget struct {
	clock  clock.Clock
	config RetryBudgetConfig

	mu       sync.Mutex
	services map[string]*budgetWindow
}

// RetryBudgetConfig is the budget of all instances together.
type RetryBudgetConfig struct {
	// Ratio is the share of a service's requests that may be retries.
	Ratio float64
	// Slack is the number of retries per window allowed in addition.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

const (
	// budgetBuckets is the number of buckets that a window is divided into.
	budgetBuckets = 10
	// usableShare is the share of the budget that is used. The rest is a margin: windows that
	// others count begin at other times, and a restarted instance has no count of its earlier
	// retries.
	usableShare = 0.8
	// callerCanRetryShare is the share of the usable budget for callers that can still retry
	// themselves. The rest is kept for those that cannot. When all targets of a service refuse half
	// of their requests, the budget does not suffice for both, and a retry for a caller that
	// retries itself gains half as much as one for a caller that cannot.
	callerCanRetryShare = 0.5
)

type budgetWindow struct {
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
	bucket   int64
}

// NewRetryBudget returns an unspent budget.
func NewRetryBudget(c clock.Clock, config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{clock: c, config: config, services: map[string]*budgetWindow{}}
}

// Configure changes the budget from now on. Changing the window resets all counts.
func (b *RetryBudget) Configure(config RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config.Window != b.config.Window {
		clear(b.services)
	}
	b.config = config
}

// window returns the service's window, advanced to the present. The caller must hold the lock.
func (b *RetryBudget) window(service string) *budgetWindow {
	w := b.services[service]
	now := int64(b.clock.Now()) / int64(b.config.Window/budgetBuckets)
	if w == nil {
		w = &budgetWindow{bucket: now}
		b.services[service] = w
	}
	for ; w.bucket < now; w.bucket++ {
		if now-w.bucket > budgetBuckets {
			w.bucket = now - budgetBuckets
		}
		next := (w.bucket + 1) % budgetBuckets
		w.requests[next], w.retries[next] = 0, 0
	}
	return w
}

// CountRequest counts a request, which adds to the service's budget.
func (b *RetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.bucket%budgetBuckets]++
}

// AllowRetry deducts one retry from the service's budget and reports whether there was one left.
// callerCannotRetry says that the caller cannot retry itself. While the number of instances is
// unknown (0) there is no slack: if many instances started at the same moment, each would use all
// of it.
func (b *RetryBudget) AllowRetry(service string, instances int, callerCannotRetry bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, retries := 0.0, 0.0
	for i := range budgetBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := b.config.Ratio * requests
	if instances > 0 {
		allowed += b.config.Slack / float64(instances)
	}
	allowed *= usableShare
	if !callerCannotRetry {
		allowed *= callerCanRetryShare
	}
	if retries+1 > allowed {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}

// BackendPicker distributes a rule's requests over its backends in proportion to their weights, as
// evenly as possible. It is safe for concurrent use.
type BackendPicker struct {
	mu      sync.Mutex
	credits map[string][]int
}

// NewBackendPicker returns a picker without any history.
func NewBackendPicker() *BackendPicker { return &BackendPicker{credits: map[string][]int{}} }

// Pick returns the service for the rule's next request: the backend furthest behind its share.
func (p *BackendPicker) Pick(r *rules.Rule) string {
	backends := r.Then.Backends
	p.mu.Lock()
	defer p.mu.Unlock()
	credit := p.credits[r.Name]
	if len(credit) != len(backends) {
		credit = make([]int, len(backends))
		p.credits[r.Name] = credit
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
