// Package demand measures what arrives for which key, and how fast targets answer. Each
// instance collects, and the leading one adds up what all of them report.
//
// Lock order: the locks of Collector and Total are leaves.
package demand

import (
	"math"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// smoothing is the weight of a new duration in the running mean of a rule.
const smoothing = 0.05

// firstMean is assumed of a rule before its first answer.
const firstMean = 100 * time.Millisecond

// Collector is one instance's measurement. It is safe for concurrent use.
type Collector struct {
	mu    sync.Mutex
	work  map[workKey]float32
	pace  map[string]*peerapi.TargetStats
	means map[string]time.Duration
	// works are the mean times of each rule's requests at a target of usual pace.
	works map[string]time.Duration
	// sizes are the mean sizes of the answers of each rule, in bytes.
	sizes map[string]float64
	// perRequest is the mean work of the requests for each service, in seconds.
	perRequest map[string]float64
}

type workKey struct {
	service string
	key     uint16
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{work: map[workKey]float32{}, pace: map[string]*peerapi.TargetStats{}, means: map[string]time.Duration{}, works: map[string]time.Duration{}, sizes: map[string]float64{}, perRequest: map[string]float64{}}
}

// RecordArrival notes a request for a key.
func (c *Collector) RecordArrival(service, rule string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	work := c.workOf(rule).Seconds()
	c.work[workKey{service, key}] += float32(work)
	mean, known := c.perRequest[service]
	if !known {
		mean = work
	}
	c.perRequest[service] = mean + smoothing*(work-mean)
}

// MeanWork returns the mean work of the requests for a service's keys that arrive at this instance.
func (c *Collector) MeanWork(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, known := c.perRequest[service]
	if !known {
		return firstMean
	}
	return time.Duration(mean * float64(time.Second))
}

func (c *Collector) mean(rule string) time.Duration {
	if mean, ok := c.means[rule]; ok {
		return mean
	}
	return firstMean
}

func (c *Collector) workOf(rule string) time.Duration {
	if work, ok := c.works[rule]; ok {
		return work
	}
	return firstMean
}

// MeanDuration returns the mean time of a rule's requests.
func (c *Collector) MeanDuration(rule string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mean(rule)
}

// MeanAnswerSize returns the mean size of a rule's answers, in bytes; 0 before the first one.
func (c *Collector) MeanAnswerSize(rule string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sizes[rule]
}

// Answer is what an answer shows of its target.
type Answer struct {
	Took time.Duration
	// Size is that of the body, in bytes.
	Size int
	// Slowness is how many times as long as usual work takes at the target now, by its own word; 0: it
	// does not say.
	Slowness float64
	// Limit is how many requests a second the target takes from all instances together; 0: it names no
	// limit.
	Limit float64
}

// RecordAnswer notes an answer of a target.
func (c *Collector) RecordAnswer(target, rule string, a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mean, known := c.sizes[rule]; known {
		c.sizes[rule] = mean + smoothing*(float64(a.Size)-mean)
	} else {
		c.sizes[rule] = float64(a.Size)
	}
	mean, known := c.means[rule]
	slowness, work := a.Slowness, a.Took
	if slowness > 0 {
		work = time.Duration(float64(a.Took) / slowness)
	}
	if !known {
		c.means[rule], c.works[rule] = a.Took, work
		return
	}
	if slowness == 0 {
		slowness = float64(a.Took) / float64(mean)
	}
	p := c.pace[target]
	if p == nil {
		p = &peerapi.TargetStats{Target: target}
		c.pace[target] = p
	}
	p.Count++
	p.Slowness += slowness
	p.Limit = a.Limit
	c.means[rule] = smoothed(mean, a.Took)
	c.works[rule] = smoothed(c.works[rule], work)
}

// smoothed returns a mean after another value.
func smoothed(mean, value time.Duration) time.Duration {
	return mean + time.Duration(smoothing*float64(value-mean))
}

// AddReport takes what another instance has collected, to be drained with what was collected here.
func (c *Collector) AddReport(work []peerapi.KeyLoad, pace []peerapi.TargetStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range work {
		c.work[workKey{w.Service, w.Key}] += w.Seconds
	}
	for _, p := range pace {
		own := c.pace[p.Target]
		if own == nil {
			own = &peerapi.TargetStats{Target: p.Target}
			c.pace[p.Target] = own
		}
		own.Count += p.Count
		own.Slowness += p.Slowness
		own.Limit = p.Limit
	}
}

// Drain returns what was collected since the last call.
func (c *Collector) Drain() ([]peerapi.KeyLoad, []peerapi.TargetStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	work := make([]peerapi.KeyLoad, 0, len(c.work))
	for k, seconds := range c.work {
		work = append(work, peerapi.KeyLoad{Service: k.service, Key: k.key, Seconds: seconds})
	}
	pace := make([]peerapi.TargetStats, 0, len(c.pace))
	for _, p := range c.pace {
		pace = append(pace, *p)
	}
	clear(c.work)
	clear(c.pace)
	return work, pace
}

const (
	// memory is the time over which load is averaged: a hot range that moves shows within
	// seconds, and a few requests more do not look like one.
	memory = 3 * time.Second
	// paceSmoothing is the weight of one answer in a target's slowness.
	paceSmoothing = 0.04
	// slowest bounds how slow a target is believed to be.
	slowest = 10
)

// Aggregator adds up the reports of all instances. It is safe for concurrent use.
type Aggregator struct {
	mu       sync.Mutex
	load     map[string]*keyrange.Load
	arrived  map[string]map[uint16]float32
	slowness map[string]float64
	limits   map[string]limitTold
	at       clock.Instant
}

// limitTold is a limit that a target names.
type limitTold struct {
	perSecond float64
	at        clock.Instant
}

// limitHolds is how long a target is believed to name a limit after it last did so: one that was relieved of
// all its keys tells nobody when it ends.
const limitHolds = 10 * time.Second

// NewAggregator returns an empty total.
func NewAggregator() *Aggregator {
	return &Aggregator{load: map[string]*keyrange.Load{}, arrived: map[string]map[uint16]float32{}, slowness: map[string]float64{}, limits: map[string]limitTold{}, at: clock.Never}
}

// AddReport takes one report that was made now.
func (t *Aggregator) AddReport(work []peerapi.KeyLoad, pace []peerapi.TargetStats, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range work {
		keys := t.arrived[w.Service]
		if keys == nil {
			keys = map[uint16]float32{}
			t.arrived[w.Service] = keys
		}
		keys[w.Key] += w.Seconds
	}
	for _, p := range pace {
		old, known := t.slowness[p.Target]
		if !known {
			old = 1
		}
		if p.Limit > 0 {
			t.limits[p.Target] = limitTold{p.Limit, now}
		} else {
			delete(t.limits, p.Target)
		}
		keep := math.Pow(1-paceSmoothing, float64(p.Count))
		t.slowness[p.Target] = min(slowest, old*keep+p.Slowness/float64(p.Count)*(1-keep))
	}
}

// Load returns the averaged load of a service's keys as of now, and the speeds of targets.
// The load must not be kept beyond the next call of Load for the service.
func (t *Aggregator) Load(service string, now clock.Instant) (*keyrange.Load, map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.average(now)
	load := t.load[service]
	if load == nil {
		load = &keyrange.Load{}
		t.load[service] = load
	}
	speeds := make(map[string]float64, len(t.slowness))
	for id, slowness := range t.slowness {
		speeds[id] = 1 / max(slowness, 0.1)
	}
	return load, speeds
}

// Limits returns how many requests a second targets take from all instances together, of those that name a
// limit.
func (t *Aggregator) Limits(now clock.Instant) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	limits := map[string]float64{}
	for id, l := range t.limits {
		if now.Sub(l.at) > limitHolds {
			delete(t.limits, id)
			continue
		}
		limits[id] = l.perSecond
	}
	return limits
}

// leastInterval is the shortest time over which arrivals are made into a rate.
const leastInterval = 200 * time.Millisecond

// average lets what arrived since the last time flow into the averages.
func (t *Aggregator) average(now clock.Instant) {
	if t.at == clock.Never {
		t.at = now
		return
	}
	interval := now.Sub(t.at)
	if interval < leastInterval {
		return
	}
	t.at = now
	keep := float32(math.Exp(-float64(interval) / float64(memory)))
	for service := range t.arrived {
		if t.load[service] == nil {
			t.load[service] = &keyrange.Load{}
		}
	}
	for service, load := range t.load {
		for key := range load {
			load[key] *= keep
		}
		for key, seconds := range t.arrived[service] {
			load[key] += seconds / float32(interval.Seconds()) * (1 - keep)
		}
		clear(t.arrived[service])
	}
}
