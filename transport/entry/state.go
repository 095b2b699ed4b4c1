package entry

import (
	"sync/atomic"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/node"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/protocol/rules"
)

// State is what requests are decided with. It is immutable.
type State struct {
	Map          *ownership.Map
	Set          *rules.Set
	RulesVersion uint64
	// Until is when the session ends; nothing is sent from then on.
	Until clock.Instant
	// Changed is closed when the map or the rules have been replaced.
	Changed chan struct{}

	limits *limits
}

// Publisher holds the current State. Readers take no lock.
type Publisher struct {
	current atomic.Pointer[State]
}

// NewPublisher returns a publisher of a state without a session.
func NewPublisher() *Publisher {
	p := &Publisher{}
	p.current.Store(&State{Map: ownership.Empty(), Until: clock.Never, Changed: make(chan struct{}), limits: newLimits(nil)})
	return p
}

// Load returns the current state.
func (p *Publisher) Load() *State { return p.current.Load() }

// Publish replaces the state by a node's view. The driver calls it, one call at a time.
// Rules that cannot be read leave the former ones in force; the node has checked them.
func (p *Publisher) Publish(v node.View) {
	old := p.current.Load()
	next := &State{Map: v.Map, Set: old.Set, RulesVersion: old.RulesVersion, Until: v.Until, Changed: old.Changed, limits: old.limits}
	if v.Rules.Version != old.RulesVersion {
		if set, err := rules.Parse("rules", v.Rules.Text); err == nil {
			next.Set = set
			next.RulesVersion = v.Rules.Version
			next.limits = newLimits(set)
		}
	}
	replaced := next.RulesVersion != old.RulesVersion || next.Map.Version != old.Map.Version
	if replaced {
		next.Changed = make(chan struct{})
	}
	p.current.Store(next)
	if replaced {
		close(old.Changed)
	}
}
