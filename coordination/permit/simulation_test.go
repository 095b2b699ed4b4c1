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

// simulation is a load on a pool in virtual time, with callers that retry when they are refused,
// and targets that are disturbed a fifth of the time and then take three times as long.
type simulation struct {
	traffic []traffic
	// perSecond is the number of requests a second.
	perSecond float64
	seconds   int
	targets   []Target
	// reportsSlowness is set if the targets report their slowness.
	reportsSlowness bool
	// contended is set if the asks have Contended set; ownBuild is the share of them that has, the
	// others come from instances of an older build.
	contended bool
	ownBuild  float64
	// onStep, if set, is called at each step and may change the keepers.
	onStep func(*simulationRun)
	// thirds is set if callers wait for a Retry-After up to a third of the time that they have left,
	// instead of retrying only if it is within that time.
	thirds bool
}

// traffic describes the requests of a rule.
type traffic struct {
	rule      string
	priority  int
	share     float64
	work, aim time.Duration
	// timeout is how long the callers wait in total, with their retries.
	timeout time.Duration
	// worth and worthLate are the values of a response in time and late; see contendedSimulation.
	worth, worthLate float64
	burst            burst
}

const (
	simulationStep = time.Millisecond
	disturbedEvery = 400 * time.Millisecond
	disturbedShare = 0.2
	disturbedBy    = 3
	// workSpread is the sigma of the lognormal distribution of a request's work.
	workSpread = 0.8
	// maxRetries is how often a refused caller retries.
	maxRetries = 2
)

// request is a caller's request in progress.
type request struct {
	traffic *traffic
	first   clock.Instant
	work    time.Duration
	retries int
	at      clock.Instant
	took    time.Duration
	waiter  *waiter
	permit  Permit
	keeper  *pool
}

// run runs the simulation and returns the fraction of each rule's requests that was answered within
// its aim.
func (p simulation) run(seed uint64) map[string]float64 {
	shares := map[string]float64{}
	for rule, o := range p.outcomes(seed) {
		shares[rule] = float64(o.inTime) / float64(o.sent)
	}
	return shares
}

// outcomes runs the simulation and returns what became of each rule's requests.
func (p simulation) outcomes(seed uint64) map[string]*outcome {
	r := &simulationRun{
		simulation: p, fixture: newFixture(p.targets...), random: rand.New(rand.NewPCG(seed, seed)),
		slowness: map[string]float64{}, counts: map[string]*outcome{},
	}
	peak := 1.0
	for _, t := range p.traffic {
		r.counts[t.rule] = &outcome{}
		peak = max(peak, t.burst.factor)
	}
	r.keepers = []*pool{r.fixture.pool}
	next := start
	for r.now = start; r.now < start.Add(time.Duration(p.seconds)*time.Second); r.now = r.now.Add(simulationStep) {
		if r.now.Sub(start)%disturbedEvery == 0 {
			r.disturb()
		}
		if r.onStep != nil {
			r.onStep(r)
		}
		running := len(r.running)
		r.running = due(r.running, r.now, r.finish)
		if !r.thirds || len(r.running) < running || r.now.Sub(start)%serveInterval == 0 {
			for _, keeper := range r.keepers {
				keeper.serveQueue(r.now)
			}
			r.collect()
		}
		backingOff := r.backingOff
		r.backingOff = nil
		backingOff = due(backingOff, r.now, r.send)
		r.backingOff = append(backingOff, r.backingOff...)
		for next <= r.now {
			r.arrive(peak)
			next = next.Add(time.Duration(r.random.ExpFloat64() / p.perSecond / peak * float64(time.Second)))
		}
	}
	return r.counts
}

// simulationRun is a simulation in progress.
type simulationRun struct {
	simulation
	*fixture
	random *rand.Rand
	// slowness is the current slowness of each target.
	slowness map[string]float64
	// waiting requests are queued, running ones are at a target, and backingOff ones were refused
	// and will retry.
	waiting, running, backingOff []*request
	counts                       map[string]*outcome
	// keepers are the pools of the same slots, each with a keeper of its own. Asks are distributed
	// over the last asked of them.
	keepers []*pool
	asked   int
}

// disturb chooses anew which targets are disturbed.
func (r *simulationRun) disturb() {
	for _, s := range r.simulation.targets {
		r.slowness[s.ID] = 1
		if r.random.Float64() < disturbedShare {
			r.slowness[s.ID] = disturbedBy
		}
	}
}

// arrive creates a new request. It is called at the peak rate, and keeps the share of the calls that
// corresponds to the current rate of the kind.
func (r *simulationRun) arrive(peak float64) {
	t := r.pickTraffic(r.random)
	if peak > 1 && r.random.Float64()*peak > t.burst.at(r.now.Sub(start)) {
		return
	}
	r.counts[t.rule].sent++
	scale := math.Exp(r.random.NormFloat64()*workSpread - workSpread*workSpread/2)
	r.send(&request{traffic: t, first: r.now, work: time.Duration(float64(t.work) * scale)})
}

// send asks for a permit for a request.
func (r *simulationRun) send(q *request) {
	if r.asked > 0 {
		r.fixture.pool = r.keepers[len(r.keepers)-1-r.random.IntN(r.asked)]
	}
	q.keeper = r.fixture.pool
	w, p, err := r.ask(func(a *Ask) {
		a.Rule, a.Priority, a.DataCentre = q.traffic.rule, q.traffic.priority, "dc1"
		a.AimLeft, a.Left = q.first.Add(q.traffic.aim).Sub(r.now), q.first.Add(q.traffic.timeout).Sub(r.now)
		a.Returning = q.retries > 0
		if r.contended && (r.ownBuild == 0 || r.random.Float64() < r.ownBuild) {
			a.Contended, a.Aim = true, q.traffic.aim
		}
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

func (r *simulationRun) begin(q *request, p Permit) {
	q.permit = p
	q.took = time.Duration(float64(q.work) * r.slowness[p.Target])
	q.at = r.now.Add(q.took)
	r.running = append(r.running, q)
}

// refused schedules the retry of a refused request, if its caller has enough time left.
func (r *simulationRun) refused(q *request, err error) {
	var full *RefusedError
	o := r.counts[q.traffic.rule]
	if q.retries > 0 {
		o.refusedAgain++
	}
	if !errors.As(err, &full) || q.retries >= maxRetries || r.now.Add(full.RetryAfter) > q.first.Add(q.traffic.timeout) && !r.thirds {
		o.refused++
		return
	}
	q.retries++
	wait := full.RetryAfter
	if left := q.first.Add(q.traffic.timeout).Sub(r.now); r.thirds {
		wait = min(wait, left/3)
	}
	q.at = r.now.Add(wait)
	r.backingOff = append(r.backingOff, q)
}

// finish ends a request at its target and returns its permit.
func (r *simulationRun) finish(q *request) {
	report := Report{ID: q.permit.ID, Target: q.permit.Target, Rule: q.traffic.rule, Result: ResultServed, Took: q.took}
	if r.reportsSlowness {
		report.Slowness = r.slowness[q.permit.Target]
	}
	q.keeper.report(report, r.now)
	switch took := r.now.Sub(q.first); {
	case took <= q.traffic.aim:
		r.counts[q.traffic.rule].inTime++
	case took <= q.traffic.timeout:
		r.counts[q.traffic.rule].late++
	}
}

// collect takes the decisions about queued requests.
func (r *simulationRun) collect() {
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

// due calls do for the requests whose time has come, the earliest first, and returns the others.
func due(list []*request, now clock.Instant, do func(*request)) (rest []*request) {
	var ready []*request
	for _, r := range list {
		if r.at <= now {
			ready = append(ready, r)
		} else {
			rest = append(rest, r)
		}
	}
	slices.SortFunc(ready, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	for _, r := range ready {
		do(r)
	}
	return rest
}

// pickTraffic selects one of the simulated kinds of requests by their shares.
func (p simulation) pickTraffic(random *rand.Rand) *traffic {
	x := random.Float64()
	for i := range p.traffic {
		if x -= p.traffic[i].share; x < 0 {
			return &p.traffic[i]
		}
	}
	return &p.traffic[len(p.traffic)-1]
}
