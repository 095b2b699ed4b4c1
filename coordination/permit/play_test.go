package permit

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// A play is a load on a pool in virtual time: callers that come back when they are refused, targets that are
// disturbed a fifth of the time and then take three times as long.
type play struct {
	kinds []kind
	// perSecond is how many requests come a second.
	perSecond float64
	seconds   int
	slots     []Target
	// tells says that the targets tell their pace.
	tells bool
}

// kind is the requests of a rule.
type kind struct {
	rule      string
	rank      int
	share     float64
	work, aim time.Duration
	// patience is how long its callers wait in all.
	patience time.Duration
}

const (
	playStep       = time.Millisecond
	disturbedEvery = 400 * time.Millisecond
	disturbedShare = 0.2
	disturbedBy    = 3
	// workSpread is the spread of the work of a kind, as that of a lognormal distribution.
	workSpread = 0.8
	// comesBack is how often a caller that was refused comes back.
	comesBack = 2
)

// request is a caller's request on its way.
type request struct {
	kind   *kind
	first  clock.Instant
	work   time.Duration
	tries  int
	at     clock.Instant
	took   time.Duration
	waiter *waiter
	permit Permit
}

// run plays and returns the share of each rule's requests that was answered within its aim.
func (p play) run(seed uint64) map[string]float64 {
	r := &runner{
		play: p, fixture: newFixture(p.slots...), random: rand.New(rand.NewPCG(seed, seed)),
		slow: map[string]float64{}, asked: map[string]int{}, good: map[string]int{},
	}
	next := start
	for r.now = start; r.now < start.Add(time.Duration(p.seconds)*time.Second); r.now = r.now.Add(playStep) {
		if r.now.Sub(start)%disturbedEvery == 0 {
			r.disturb()
		}
		r.running = due(r.running, r.now, r.answered)
		r.serve(r.now)
		r.collect()
		r.away = due(r.away, r.now, r.send)
		for next <= r.now {
			r.arrive()
			next = next.Add(time.Duration(r.random.ExpFloat64() / p.perSecond * float64(time.Second)))
		}
	}
	shares := map[string]float64{}
	for rule, n := range r.asked {
		shares[rule] = float64(r.good[rule]) / float64(n)
	}
	return shares
}

// runner is a play on its way.
type runner struct {
	play
	*fixture
	random *rand.Rand
	// slow is how many times as long as usual work takes at each target now.
	slow map[string]float64
	// waiting have been queued, running are at a target, away were refused and come back.
	waiting, running, away []*request
	asked, good            map[string]int
}

func (r *runner) disturb() {
	for _, s := range r.play.slots {
		r.slow[s.ID] = 1
		if r.random.Float64() < disturbedShare {
			r.slow[s.ID] = disturbedBy
		}
	}
}

// arrive makes a new request.
func (r *runner) arrive() {
	k := r.pick(r.random)
	r.asked[k.rule]++
	scale := math.Exp(r.random.NormFloat64()*workSpread - workSpread*workSpread/2)
	r.send(&request{kind: k, first: r.now, work: time.Duration(float64(k.work) * scale)})
}

// send asks for a permit for a request.
func (r *runner) send(q *request) {
	w, p, err := r.ask(func(a *Ask) {
		a.Rule, a.Priority, a.DataCentre = q.kind.rule, q.kind.rank, "dc1"
		a.AimLeft, a.Left = q.first.Add(q.kind.aim).Sub(r.now), q.first.Add(q.kind.patience).Sub(r.now)
		a.Returning = q.tries > 0
	})
	q.waiter = w
	switch {
	case err != nil:
		r.refused(q, err)
	case p.Target != "":
		r.begin(q, p)
	default:
		r.waiting = append(r.waiting, q)
	}
}

func (r *runner) begin(q *request, p Permit) {
	q.permit = p
	q.took = time.Duration(float64(q.work) * r.slow[p.Target])
	q.at = r.now.Add(q.took)
	r.running = append(r.running, q)
}

// refused has a caller come back when it was told to, if it still has the time.
func (r *runner) refused(q *request, err error) {
	var full *RefusedError
	if !errors.As(err, &full) || q.tries >= comesBack || r.now.Add(full.RetryAfter) > q.first.Add(q.kind.patience) {
		return
	}
	q.tries++
	q.at = r.now.Add(full.RetryAfter)
	r.away = append(r.away, q)
}

// answered ends a request at its target.
func (r *runner) answered(q *request) {
	report := Report{ID: q.permit.ID, Target: q.permit.Target, Rule: q.kind.rule, Result: Served, Took: q.took}
	if r.tells {
		report.Slowness = r.slow[q.permit.Target]
	}
	r.report(report, r.now)
	if r.now.Sub(q.first) <= q.kind.aim {
		r.good[q.kind.rule]++
	}
}

// collect takes what became of the requests in the queue.
func (r *runner) collect() {
	r.waiting = slices.DeleteFunc(r.waiting, func(q *request) bool {
		select {
		case a := <-q.waiter.done:
			if a.err != nil {
				r.refused(q, a.err)
			} else {
				r.begin(q, a.permit)
			}
			return true
		default:
			return false
		}
	})
}

// due takes the requests whose time has come out of a list, the earliest first.
func due(list []*request, now clock.Instant, do func(*request)) (rest []*request) {
	var come []*request
	for _, r := range list {
		if r.at <= now {
			come = append(come, r)
		} else {
			rest = append(rest, r)
		}
	}
	slices.SortFunc(come, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	for _, r := range come {
		do(r)
	}
	return rest
}

func (p play) pick(random *rand.Rand) *kind {
	x := random.Float64()
	for i := range p.kinds {
		if x -= p.kinds[i].share; x < 0 {
			return &p.kinds[i]
		}
	}
	return &p.kinds[len(p.kinds)-1]
}
