package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state"
)

// Targets is what this instance knows about targets from its own requests. It is safe
// for concurrent use.
type Targets struct {
	clock clock.Clock

	mu    sync.Mutex
	known map[string]*targetRecord
}

type targetRecord struct {
	gate     *Gate
	inFlight int
	// failures counts requests in a row that got no answer, since firstFailure.
	failures     int
	firstFailure clock.Instant
	lastFailure  clock.Instant
}

// NewTargets returns an empty record.
func NewTargets(c clock.Clock) *Targets {
	return &Targets{clock: c, known: map[string]*targetRecord{}}
}

func (t *Targets) record(id string, concurrency int) *targetRecord {
	r := t.known[id]
	if r == nil {
		r = &targetRecord{}
		t.known[id] = r
	}
	if r.gate == nil || cap(r.gate.slots) != concurrency {
		r.gate = newGate(concurrency)
	}
	return r
}

// gate returns the gate in front of a target.
func (t *Targets) gate(id string, concurrency int) *Gate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(id, concurrency).gate
}

// begin counts a request to the target; the returned function ends it.
func (t *Targets) begin(id string, concurrency int) func(answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id, concurrency)
	r.inFlight++
	return func(answered bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.inFlight--
		t.note(r, answered)
	}
}

func (t *Targets) note(r *targetRecord, answered bool) {
	if answered {
		r.failures = 0
		return
	}
	now := t.clock.Now()
	if r.failures == 0 {
		r.firstFailure = now
	}
	r.failures++
	r.lastFailure = now
}

// A target is failing when failingAfter requests in a row, over at least failingFor, got no
// answer. After failingMemory without a request it is given another chance.
const (
	failingAfter  = 5
	failingFor    = time.Second
	failingMemory = 10 * time.Second
)

// choicesToWeigh is how many targets taken at random are compared.
const choicesToWeigh = 2

// failingPenalty makes a target that failed last the last choice.
const failingPenalty = 1 << 20

// Failing returns the targets that have answered none of the last requests.
func (t *Targets) Failing() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []string
	for id, r := range t.known {
		if r.failures >= failingAfter && r.lastFailure.Sub(r.firstFailure) >= failingFor && now.Sub(r.lastFailure) < failingMemory {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// choose picks a target of a service without keys: the one with fewer of this
// instance's requests under way, of two taken at random.
func (t *Targets) choose(list []state.Target, then *rules.Then) (state.Target, bool) {
	open := usable(list, then)
	if len(open) == 0 {
		return state.Target{}, false
	}
	best := open[rand.IntN(len(open))]
	for range choicesToWeigh - 1 {
		other := open[rand.IntN(len(open))]
		if t.load(other.ID) < t.load(best.ID) {
			best = other
		}
	}
	return best, true
}

// load is the number of requests under way, with those that fail counted heavily.
func (t *Targets) load(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known[id]
	if r == nil {
		return 0
	}
	if r.failures > 0 {
		return r.inFlight + failingPenalty
	}
	return r.inFlight
}

// usable returns the targets that a rule lets the request go to. A preferred data centre
// without targets is no reason to refuse.
func usable(list []state.Target, then *rules.Then) []state.Target {
	var open, preferred []state.Target
	for _, target := range list {
		if target.Draining || then.Target != "" && target.ID != then.Target {
			continue
		}
		open = append(open, target)
		if then.DataCentre != "" && target.DataCentre == then.DataCentre {
			preferred = append(preferred, target)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return open
}
