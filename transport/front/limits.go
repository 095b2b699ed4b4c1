package front

import (
	"sync"

	"golang.org/x/time/rate"

	"lycheehall.example/lycheehall/protocol/rules"
)

// limits holds the limits of the rules in force, as counted on this instance. Its lock is a
// leaf.
type limits struct {
	mu    sync.Mutex
	set   *rules.Set
	rules map[string]*ruleLimit
}

type ruleLimit struct {
	bound   rules.Limit
	limiter *rate.Limiter
	running int
}

func newLimits() *limits { return &limits{rules: map[string]*ruleLimit{}} }

func nothing() {}

// admit counts a request of a rule, and reports whether it is within the rule's limit. The
// returned function must be called when the request is over.
func (l *limits) admit(set *rules.Set, r *rules.Rule) (func(), bool) {
	if r.Then.Limit == nil {
		return nothing, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopt(set)
	limit := l.rules[r.Name]
	if limit == nil {
		// The rule is of a set that has been replaced meanwhile.
		return nothing, true
	}
	if limit.bound.Concurrent > 0 && limit.running >= limit.bound.Concurrent {
		return nothing, false
	}
	if limit.limiter != nil && !limit.limiter.Allow() {
		return nothing, false
	}
	limit.running++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		limit.running--
	}, true
}

// adopt takes the limits of a new set of rules; what has been counted under limits that stay
// the same goes on.
func (l *limits) adopt(set *rules.Set) {
	if l.set == set {
		return
	}
	l.set = set
	next := map[string]*ruleLimit{}
	for r := range set.All() {
		bound := r.Then.Limit
		if bound == nil {
			continue
		}
		if old := l.rules[r.Name]; old != nil && old.bound == *bound {
			next[r.Name] = old
			continue
		}
		limit := &ruleLimit{bound: *bound}
		if bound.PerSecond > 0 {
			limit.limiter = rate.NewLimiter(rate.Limit(bound.PerSecond), bound.Burst)
		}
		next[r.Name] = limit
	}
	l.rules = next
}
