package permit

import (
	"fmt"
	"math"
	"time"
)

// burst is a kind's rate over time: factor times its usual rate for length, once in every.
type burst struct {
	factor        float64
	length, every time.Duration
}

// at returns the rate at a time, relative to the usual one.
func (b burst) at(t time.Duration) float64 {
	if b.every > 0 && t%b.every < b.length {
		return b.factor
	}
	return 1
}

// mean returns the mean rate, relative to the usual one.
func (b burst) mean() float64 {
	if b.every == 0 {
		return 1
	}
	return 1 + (b.factor-1)*float64(b.length)/float64(b.every)
}

// outcome counts what became of the requests of a kind.
type outcome struct {
	sent, inTime, late int
	// refused counts the callers that gave up after refusals, refusedAgain the refusals of callers
	// that had returned.
	refused, refusedAgain int
}

func (o outcome) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, o.sent)) }
	return fmt.Sprintf("in time %.3f, late %.3f, refused %.3f, refused again %.3f", share(o.inTime), share(o.late), share(o.refused), share(o.refusedAgain))
}

// served returns the share of the value of the kind's requests that their callers got.
func (o outcome) served(t traffic) float64 {
	return (float64(o.inTime)*t.worth + float64(o.late)*t.worthLate) / (float64(max(1, o.sent)) * t.worth)
}

// The loads of the deployments in docs/hard-load.md.
var (
	// interchangeable targets of deployment A
	poolLoad = simulation{
		traffic: []traffic{
			{rule: "urgent", priority: 0, share: 0.47, work: 160 * time.Millisecond, aim: 500 * time.Millisecond, timeout: 4 * time.Second, worth: 1.9, worthLate: 0.22,
				burst: burst{1.8, 3500 * time.Millisecond, 23 * time.Second}},
			{rule: "patient", priority: 2, share: 0.53, work: 160 * time.Millisecond, aim: 2 * time.Second, timeout: 6 * time.Second, worth: 0.49, worthLate: 0.22,
				burst: burst{2.5, 6 * time.Second, 30 * time.Second}},
		},
		targets: tenTargets(), reportsSlowness: true,
	}
	// one keyed target of deployment B
	twoSlots = simulation{
		traffic: []traffic{
			{rule: "urgent", priority: 1, share: 0.28, work: 170 * time.Millisecond, aim: 800 * time.Millisecond, timeout: 5 * time.Second, worth: 2, worthLate: 0.2},
			{rule: "patient", priority: 2, share: 0.72, work: 130 * time.Millisecond, aim: 600 * time.Millisecond, timeout: 4 * time.Second, worth: 1, worthLate: 0.1},
		},
		targets: []Target{{ID: "a", DataCentre: "dc1", Slots: 2}},
	}
	// one keyed target of deployment A
	threeSlots = simulation{
		traffic: []traffic{
			{rule: "read", priority: 1, share: 0.77, work: 200 * time.Millisecond, aim: 800 * time.Millisecond, timeout: 5 * time.Second, worth: 0.98, worthLate: 0.29},
			{rule: "order", priority: 1, share: 0.23, work: 260 * time.Millisecond, aim: 1000 * time.Millisecond, timeout: 6 * time.Second, worth: 2, worthLate: 0.59},
		},
		targets: []Target{{ID: "a", DataCentre: "dc1", Slots: 3}}, reportsSlowness: true,
	}
)

func tenTargets() (list []Target) {
	for i := range 10 {
		list = append(list, Target{ID: fmt.Sprint("t", i), DataCentre: "dc1", Slots: 3})
	}
	return list
}

// atLoad returns the simulation with a mean load relative to the capacity of the targets.
func (p simulation) atLoad(load float64, seconds int) simulation {
	slots, work := 0.0, 0.0
	for _, t := range p.targets {
		slots += float64(t.Slots)
	}
	for _, t := range p.traffic {
		work += t.share * t.burst.mean() * t.work.Seconds()
	}
	p.perSecond = load * slots / work / (1 + disturbedShare*(disturbedBy-1))
	p.seconds, p.thirds = seconds, true
	return p
}

// served returns the share of the value of all requests that their callers got.
func (p simulation) served(outcomes map[string]*outcome) float64 {
	got, all := 0.0, 0.0
	for _, t := range p.traffic {
		o := outcomes[t.rule]
		got += o.served(t) * float64(o.sent) * t.worth
		all += float64(o.sent) * t.worth
	}
	return got / math.Max(all, 1)
}

// addKeeper adds a keeper with an empty state. The given number of keepers, the newest ones, are asked
// from now on; the others grant their queues.
func (r *simulationRun) addKeeper(asked int) {
	keeper := newPool()
	keeper.setTargets(r.simulation.targets, r.now)
	r.keepers, r.asked = append(r.keepers, keeper), asked
}

// loseKeeper replaces the keeper by one with an empty state. Queued requests are asked for again when
// their instances have noticed the loss.
func (r *simulationRun) loseKeeper() {
	r.addKeeper(1)
	r.keepers = r.keepers[1:]
	for _, q := range r.waiting {
		q.at = r.now.Add(250 * time.Millisecond)
	}
	r.backingOff, r.waiting = append(r.backingOff, r.waiting...), nil
}
