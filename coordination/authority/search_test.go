package authority

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

var (
	searchStates = flag.Int("search-states", 60_000, "states of the breadth-first search")
	searchWalks  = flag.Int("search-walks", 16_000, "random walks")
	searchSeed   = flag.Uint64("search-seed", 1, "seed of the random walks")
)

func TestAuthority(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Authority")
}

// walkLength is the number of steps of a random walk.
const walkLength = 120

// sabotage takes a rule of the protocol out of a machine, after each step.
type sabotage func(w *world, i int)

// walk makes one random walk; each has its own taste for each kind of step, so that some
// let the table fail all the time and others starve an instance.
func walk(start *world, seed, n uint64, spoil sabotage) (trace []string, broken string) {
	r := rand.New(rand.NewPCG(seed, n))
	taste := map[string]float64{}
	weights := []float64{0.02, 0.3, 1, 3}
	w := start.clone()
	for range walkLength {
		options := w.steps()
		total := 0.0
		sums := make([]float64, len(options))
		for k, o := range options {
			kind := o.name
			if _, known := taste[kind]; !known {
				taste[kind] = weights[r.IntN(len(weights))]
				if kind == "time" || strings.HasSuffix(kind, "tick") {
					taste[kind] = weights[1+r.IntN(3)]
				}
			}
			total += taste[kind]
			sums[k] = total
		}
		pick := r.Float64() * total
		k := 0
		for sums[k] < pick {
			k++
		}
		trace = append(trace, options[k].name)
		options[k].do(w)
		if spoil != nil {
			for i := range w.players {
				spoil(w, i)
			}
		}
		if w.broken != "" {
			return trace, w.broken
		}
	}
	return nil, ""
}

// walks makes many random walks on all processors and returns the first violation.
func walks(start *world, seed uint64, count int, spoil sabotage) (string, int) {
	var mu sync.Mutex
	found := ""
	first := count
	var wg sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for worker := range workers {
		wg.Go(func() {
			for n := worker; n < count; n += workers {
				mu.Lock()
				done := n > first
				mu.Unlock()
				if done {
					return
				}
				if trace, broken := walk(start, seed, uint64(n), spoil); broken != "" {
					mu.Lock()
					if n < first {
						first = n
						found = fmt.Sprintf("%s (seed %d, walk %d): %s", broken, seed, n, strings.Join(trace, ", "))
					}
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return found, first
}

// breadthFirst visits the states nearest to the start. It returns a violation, the number
// of states, and the depth up to which every state has been visited.
func breadthFirst(limit int) (broken string, states, depth int) {
	seen := map[string]bool{}
	layer := []*world{newWorld()}
	seen[layer[0].key()] = true
	for len(layer) > 0 {
		var next []*world
		for _, w := range layer {
			for _, o := range w.steps() {
				c := w.clone()
				o.do(c)
				if c.broken != "" {
					return c.broken, len(seen), depth
				}
				if !c.within() || seen[c.key()] {
					continue
				}
				seen[c.key()] = true
				if len(seen) >= limit {
					return "", len(seen), depth
				}
				next = append(next, c)
			}
		}
		layer = next
		depth++
	}
	return "", len(seen), depth
}

var _ = Describe("the authority protocol", func() {
	It("keeps its invariant in every state near the start", func() {
		broken, states, depth := breadthFirst(*searchStates)
		GinkgoWriter.Printf("%d states, complete to depth %d\n", states, depth)
		AddReportEntry("search", fmt.Sprintf("%d states, complete to depth %d", states, depth))
		Expect(broken).To(BeEmpty())
	})

	DescribeTable("keeps its invariant in random walks",
		func(begin func() *world) {
			found, _ := walks(begin(), *searchSeed, *searchWalks, nil)
			Expect(found).To(BeEmpty())
		},
		Entry("from the start", newWorld),
		Entry("from a leader that has asked for promises", preparing),
		Entry("from a state that all have promised to freeze", promised),
		Entry("from a frozen state", frozen),
		Entry("from a second freeze", frozenAgain),
		Entry("from a take whose answer was lost", taking),
	)

	// Each entry takes one rule out of the machines. The search has to notice, or it proves
	// nothing about the rule.
	DescribeTable("is found broken without",
		func(begin func() *world, spoil sabotage) {
			found, n := walks(begin(), 1, maxSabotageWalks, spoil)
			AddReportEntry("found after walks", n)
			Expect(found).NotTo(BeEmpty(), "no violation in %d walks", maxSabotageWalks)
		},
		// Symptom: two authorities after an outage. Sequence: a standby serves the frozen
		// state at its promise, before all have promised; another takes the row.
		Entry("waiting for the commit", newWorld, sabotage(func(w *world, i int) {
			if m := &w.players[i].machine; m.mode == Promised && !m.leaving {
				m.mode = Static
			}
		})),
		// Symptom: as above. Sequence: the leader commits with one promise; the standby that
		// gave none takes the row.
		Entry("the promise of all", preparing, sabotage(func(w *world, i int) {
			if m := &w.players[i].machine; m.mode == Preparing && len(m.acks) == 1 {
				m.acks = names[:]
			}
		})),
		// Symptom: a leader beside a frozen state. Sequence: a frozen instance takes the row
		// without asking the others to stop.
		Entry("asking all to leave", frozen, sabotage(func(w *world, i int) {
			m := &w.players[i].machine
			if m.mode == Promised || m.mode == Static {
				m.ready = names[:]
				m.left = names[:]
			}
		})),
		// Symptom: the row is taken from a leader that still holds it. Sequence: a standby
		// takes it right after it has read it.
		Entry("watching the row for a whole lease", newWorld, sabotage(func(w *world, i int) {
			if m := &w.players[i].machine; m.mode == Following && m.rowSince != clock.Never {
				m.rowSince = w.now - 100
			}
		})),
		// Symptom: as above. Sequence: a standby that has promised forgets it after a while;
		// the commit reaches the others only.
		Entry("keeping a promise until the table shows a later stage", promised, sabotage(func(w *world, i int) {
			if m := &w.players[i].machine; m.mode == Promised && w.now > m.rowSince.Add(m.cfg.LeaseTTL) {
				m.mode = Following
			}
		})),
		// Symptom: a version is granted while sessions of the former leader live.
		// Sequence: the next leader changes the state right after its take.
		Entry("waiting out the sessions of others", newWorld, sabotage(func(w *world, i int) {
			if m := &w.players[i].machine; m.mode == Leading && m.quietUntil > w.now {
				m.quietUntil = w.now
			}
		})),
		// Symptom: as above. Sequence: the abort reaches the table without an answer and
		// releases one standby; the leader commits the same episode.
		Entry("never committing an episode whose abort may have landed", promised, sabotage(func(w *world, i int) {
			if m := &w.players[i].machine; m.mode == Aborting && m.allNamed(m.acks) {
				m.mode = Preparing
			}
		})),
		// Symptom: as above. Sequence: acknowledgements of leaving are counted for a later
		// stage, after the take they were given for has succeeded.
		Entry("counting acknowledgements for their own stage only", frozenAgain, sabotage(func(w *world, i int) {
			m := &w.players[i].machine
			for _, e := range w.messages {
				if e.To == m.cfg.ID && e.Message.Kind == LeaveAck {
					m.ready = addOnce(m.ready, e.Message.From)
					m.left = addOnce(m.left, e.Message.From)
				}
			}
		})),
		// Symptom: a standby serves a frozen state beside a leader. Sequence: its own take
		// landed without an answer; then it promised an older stage.
		Entry("settling an own take before a promise", taking, sabotage(func(w *world, i int) {
			if m := &w.players[i].machine; m.mode == Following && m.pending != nil && !m.pending.inFlight {
				m.pending = nil
				m.newest = Stage{}
			}
		})),
	)
})

var _ = Describe("a frozen state", func() {
	// Symptom: the deployment never leads again after an outage.
	// Sequence: a standby is lost after its promise, so that the commit is never
	// acknowledged; the platform ends it; the table comes back.
	// Cause: the repetition of the commit used up the time for the question to leave.
	It("is left although a named instance never acknowledged the commit", func() {
		w := promised().play("b->a prepare-ack{1 0}", "c->a prepare-ack{1 0}", "a tick", "a->b commit{1 0}", "b->a commit-ack{1 0}", "c crash")
		for i := range 2 {
			w.players[i].machine.SetMembers(w.now, names[:2], names[:2])
		}
		for range 8 {
			w.play("time")
			for i := range 2 {
				w.players[i].machine.SetMembers(w.now, names[:2], names[:2])
				w.take(i, w.players[i].machine.Tick(w.now))
			}
			w.settle()
		}
		Expect(w.players[0].machine.Mode()).To(Equal(Leading))
		Expect(w.row.Term).To(Equal(uint64(2)))
		Expect(w.broken).To(BeEmpty())
	})
})

// maxSabotageWalks bounds the search for a fault that was put in.
const maxSabotageWalks = 300_000
