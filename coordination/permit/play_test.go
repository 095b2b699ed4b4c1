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
	slots     []Slot
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
	random := rand.New(rand.NewPCG(seed, seed))
	f := newFixture(p.slots...)
	asked, good := map[string]int{}, map[string]int{}
	slow := map[string]float64{}
	var waiting, running, away []*request
	answered := func(r *request, pm Permit) {
		r.permit = pm
		r.took = time.Duration(float64(r.work) * slow[pm.Target])
		r.at = f.now.Add(r.took)
		running = append(running, r)
	}
	refused := func(r *request, err error) {
		var full *RefusedError
		if !errors.As(err, &full) || r.tries >= comesBack || f.now.Add(full.RetryAfter) > r.first.Add(r.kind.patience) {
			return
		}
		r.tries++
		r.at = f.now.Add(full.RetryAfter)
		away = append(away, r)
	}
	ask := func(r *request) {
		var pm Permit
		var err error
		r.waiter, pm, err = f.ask(func(a *Ask) {
			a.Rule, a.Priority, a.DataCentre = r.kind.rule, r.kind.rank, "dc1"
			a.AimLeft, a.Left = r.first.Add(r.kind.aim).Sub(f.now), r.first.Add(r.kind.patience).Sub(f.now)
			a.Returning = r.tries > 0
		})
		switch {
		case err != nil:
			refused(r, err)
		case pm.Target != "":
			answered(r, pm)
		default:
			waiting = append(waiting, r)
		}
	}
	next := start
	for f.now = start; f.now < start.Add(time.Duration(p.seconds)*time.Second); f.now = f.now.Add(playStep) {
		if f.now.Sub(start)%disturbedEvery == 0 {
			for _, s := range p.slots {
				slow[s.Target] = 1
				if random.Float64() < disturbedShare {
					slow[s.Target] = disturbedBy
				}
			}
		}
		running = due(running, f.now, func(r *request) {
			report := Report{ID: r.permit.ID, Target: r.permit.Target, Rule: r.kind.rule, Result: Served, Took: r.took}
			if p.tells {
				report.Slowness = slow[r.permit.Target]
			}
			f.report(report, f.now)
			if f.now.Sub(r.first) <= r.kind.aim {
				good[r.kind.rule]++
			}
		})
		f.serve(f.now)
		waiting = slices.DeleteFunc(waiting, func(r *request) bool {
			select {
			case a := <-r.waiter.done:
				if a.err != nil {
					refused(r, a.err)
				} else {
					answered(r, a.permit)
				}
				return true
			default:
				return false
			}
		})
		away = due(away, f.now, ask)
		for next <= f.now {
			k := p.pick(random)
			asked[k.rule]++
			scale := math.Exp(random.NormFloat64()*workSpread - workSpread*workSpread/2)
			ask(&request{kind: k, first: f.now, work: time.Duration(float64(k.work) * scale)})
			next = next.Add(time.Duration(random.ExpFloat64() / p.perSecond * float64(time.Second)))
		}
	}
	shares := map[string]float64{}
	for rule, n := range asked {
		shares[rule] = float64(good[rule]) / float64(n)
	}
	return shares
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
