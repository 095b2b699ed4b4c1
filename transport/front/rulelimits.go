package front

import (
	"sync"

	"golang.org/x/time/rate"

	"lycheehall.example/lycheehall/protocol/rules"
)

// ruleLimits enforces the limits of rules that apply to each instance. No other lock is acquired while
// its lock is held.
type ruleLimits struct {
	mu     sync.Mutex
	set    *rules.Set
	byRule map[string]*ruleLimit
}

type ruleLimit struct {
	config  rules.Limit
	limiter *rate.Limiter
	running int
}

func newRuleLimits() *ruleLimits { return &ruleLimits{byRule: map[string]*ruleLimit{}} }

func noop() {}

// admit reports whether a request is within its rule's limit, and counts it if so. The returned
// function must be called when the request has ended.
func (l *ruleLimits) admit(set *rules.Set, r *rules.Rule) (func(), bool) {
	if r.Then.Limit == nil {
		return noop, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(set)
	limit := l.byRule[r.Name]
	if limit == nil {
		// The rule belongs to rules that have been replaced.
		return noop, true
	}
	if limit.config.Concurrent > 0 && limit.running >= limit.config.Concurrent {
		return noop, false
	}
	if limit.limiter != nil && !limit.limiter.Allow() {
		return noop, false
	}
	limit.running++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		limit.running--
	}, true
}

// update adopts the limits of new rules. Limits that have not changed keep their counts.
func (l *ruleLimits) update(set *rules.Set) {
	if l.set == set {
		return
	}
	l.set = set
	next := map[string]*ruleLimit{}
	for r := range set.All() {
		configured := r.Then.Limit
		if configured == nil || configured.Scope == rules.ScopeAll {
			continue
		}
		if old := l.byRule[r.Name]; old != nil && old.config == *configured {
			next[r.Name] = old
			continue
		}
		limit := &ruleLimit{config: *configured}
		if configured.PerSecond > 0 {
			limit.limiter = rate.NewLimiter(rate.Limit(configured.PerSecond), configured.Burst)
		}
		next[r.Name] = limit
	}
	l.byRule = next
}
