// Package demand measures how much work arrives for which key, and how slow targets are. Each
// instance collects measurements, and the leader aggregates the reports of all instances.
//
// The work of a request is the time that an average target takes for it, estimated as the mean of
// its rule. The slowness of a target is the time that a request takes there, divided by the time
// that it takes at an average target; its speed is 1/slowness. A target may report its slowness, as
// how many times as long as usual its work takes now. A reported value is used as slowness relative
// to an average target: what targets report has been measured to include their usual speed.
//
// Lock order: no other lock is taken while the lock of a Collector or an Aggregator is held.
package demand

import (
	"math"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/protocol/peerapi"
)

// smoothing is the weight of a new value in a running mean.
const smoothing = 0.05

// initialMean is the assumed mean duration and mean work of a rule's requests before the first
// response, and the assumed mean work for a service before the first request.
const initialMean = 100 * time.Millisecond

// Collector collects the measurements of one instance. It is safe for concurrent use.
type Collector struct {
	mu sync.Mutex
	// work is the work that has arrived for each key, and targetStats are the statistics of targets
	// by target ID, since the last call of TakeMeasurements. Work is in seconds.
	work        map[workKey]float32
	targetStats map[string]*peerapi.TargetStats
	// ruleDurations are the mean durations of each rule's requests.
	ruleDurations map[string]time.Duration
	// ruleWork is the mean work of each rule's requests.
	ruleWork map[string]time.Duration
	// ruleSizes are the mean sizes of each rule's responses, in bytes.
	ruleSizes map[string]float64
	// serviceWork is the mean work of the requests for each service's keys, in seconds.
	serviceWork map[string]float64
}

type workKey struct {
	service string
	key     uint16
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{
		work:          map[workKey]float32{},
		targetStats:   map[string]*peerapi.TargetStats{},
		ruleDurations: map[string]time.Duration{},
		ruleWork:      map[string]time.Duration{},
		ruleSizes:     map[string]float64{},
		serviceWork:   map[string]float64{},
	}
}

// RecordArrival records a request for a key.
func (c *Collector) RecordArrival(service, rule string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	work := c.workOf(rule).Seconds()
	c.work[workKey{service, key}] += float32(work)
	mean, known := c.serviceWork[service]
	if !known {
		mean = work
	}
	c.serviceWork[service] = mean + smoothing*(work-mean)
}

// MeanWork returns the mean work of the requests for a service's keys that arrive at this instance:
// the time that an average target takes for one. It returns 100 ms before the first request.
func (c *Collector) MeanWork(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, known := c.serviceWork[service]
	if !known {
		return initialMean
	}
	return time.Duration(mean * float64(time.Second))
}

// durationOf returns the mean duration of a rule's requests. The caller must hold the lock.
func (c *Collector) durationOf(rule string) time.Duration {
	if mean, ok := c.ruleDurations[rule]; ok {
		return mean
	}
	return initialMean
}

// workOf returns the mean work of a rule's requests. The caller must hold the lock.
func (c *Collector) workOf(rule string) time.Duration {
	if work, ok := c.ruleWork[rule]; ok {
		return work
	}
	return initialMean
}

// MeanDuration returns the mean time that targets take to respond to a rule's requests; 100 ms
// before the first response. In contrast to the mean work, it contains the slowness of the targets.
func (c *Collector) MeanDuration(rule string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.durationOf(rule)
}

// MeanResponseSize returns the mean size of the bodies of a rule's responses, in bytes; 0 before
// the first response.
func (c *Collector) MeanResponseSize(rule string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ruleSizes[rule]
}

// Response holds the measurements of a target's response.
type Response struct {
	// Took is the time from sending the request to the response.
	Took time.Duration
	// Size is the size of the body, in bytes.
	Size int
	// Slowness is how many times as long as usual work takes at the target now, as it reports; 0 if
	// it reports none. It counts as slowness relative to an average target.
	Slowness float64
	// Limit is how many requests a second the target accepts from all instances together; 0 means
	// no limit.
	Limit float64
}

// RecordResponse records a response of a target to a request of a rule.
func (c *Collector) RecordResponse(target, rule string, r Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mean, known := c.ruleSizes[rule]; known {
		c.ruleSizes[rule] = mean + smoothing*(float64(r.Size)-mean)
	} else {
		c.ruleSizes[rule] = float64(r.Size)
	}
	mean, known := c.ruleDurations[rule]
	slowness, work := r.Slowness, r.Took
	if slowness > 0 {
		work = time.Duration(float64(r.Took) / slowness)
	}
	if !known {
		c.ruleDurations[rule], c.ruleWork[rule] = r.Took, work
		return
	}
	if slowness == 0 {
		slowness = float64(r.Took) / float64(mean)
	}
	stats := c.targetStats[target]
	if stats == nil {
		stats = &peerapi.TargetStats{Target: target}
		c.targetStats[target] = stats
	}
	stats.Count++
	stats.Slowness += slowness
	stats.Limit = r.Limit
	c.ruleDurations[rule] = smoothed(mean, r.Took)
	c.ruleWork[rule] = smoothed(c.ruleWork[rule], work)
}

// smoothed returns a running mean updated with a new value.
func smoothed(mean, value time.Duration) time.Duration {
	return mean + time.Duration(smoothing*float64(value-mean))
}

// AddReport adds what another instance has collected, so that TakeMeasurements returns it together
// with this instance's measurements.
func (c *Collector) AddReport(work []peerapi.KeyLoad, stats []peerapi.TargetStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range work {
		c.work[workKey{w.Service, w.Key}] += w.Seconds
	}
	for _, s := range stats {
		own := c.targetStats[s.Target]
		if own == nil {
			own = &peerapi.TargetStats{Target: s.Target}
			c.targetStats[s.Target] = own
		}
		own.Count += s.Count
		own.Slowness += s.Slowness
		own.Limit = s.Limit
	}
}

// TakeMeasurements returns the measurements since its last call, and removes them from the
// Collector.
func (c *Collector) TakeMeasurements() ([]peerapi.KeyLoad, []peerapi.TargetStats) {
	c.mu.Lock()
	defer c.mu.Unlock()
	work := make([]peerapi.KeyLoad, 0, len(c.work))
	for k, seconds := range c.work {
		work = append(work, peerapi.KeyLoad{Service: k.service, Key: k.key, Seconds: seconds})
	}
	stats := make([]peerapi.TargetStats, 0, len(c.targetStats))
	for _, s := range c.targetStats {
		stats = append(stats, *s)
	}
	clear(c.work)
	clear(c.targetStats)
	return work, stats
}

const (
	// loadTimeConstant is the time over which load is averaged. It is so short that a range of keys
	// that becomes hot is visible within seconds, and so long that a few more requests for a range
	// do not make it look hot.
	loadTimeConstant = 3 * time.Second
	// slownessSmoothing is the weight of one response in a target's slowness.
	slownessSmoothing = 0.04
	// maxSlowness limits the slowness of a target.
	maxSlowness = 10
)

// Aggregator aggregates the reports of all instances. It is safe for concurrent use.
type Aggregator struct {
	mu sync.Mutex
	// load is the averaged load of each service's keys, as of averagedAt.
	load map[string]*keyrange.Load
	// arrived is the work that has arrived for the keys of each service since averagedAt, in
	// seconds.
	arrived map[string]map[uint16]float32
	// slowness and limits hold the data of targets by target ID.
	slowness   map[string]float64
	limits     map[string]reportedLimit
	averagedAt clock.Instant
}

// reportedLimit is a limit that a target has reported.
type reportedLimit struct {
	perSecond  float64
	reportedAt clock.Instant
}

// limitValidity is how long a limit remains valid after the target last reported it. A target whose
// keys have all been moved away gets no requests, so it cannot report that its limit was lifted.
const limitValidity = 10 * time.Second

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{
		load:       map[string]*keyrange.Load{},
		arrived:    map[string]map[uint16]float32{},
		slowness:   map[string]float64{},
		limits:     map[string]reportedLimit{},
		averagedAt: clock.Never,
	}
}

// AddReport adds a report that was made now.
func (a *Aggregator) AddReport(work []peerapi.KeyLoad, stats []peerapi.TargetStats, now clock.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range work {
		keys := a.arrived[w.Service]
		if keys == nil {
			keys = map[uint16]float32{}
			a.arrived[w.Service] = keys
		}
		keys[w.Key] += w.Seconds
	}
	for _, s := range stats {
		old, known := a.slowness[s.Target]
		if !known {
			old = 1
		}
		if s.Limit > 0 {
			a.limits[s.Target] = reportedLimit{s.Limit, now}
		} else {
			delete(a.limits, s.Target)
		}
		decay := math.Pow(1-slownessSmoothing, float64(s.Count))
		a.slowness[s.Target] = min(maxSlowness, old*decay+s.Slowness/float64(s.Count)*(1-decay))
	}
}

// Load returns the averaged load of a service's keys as of now, in seconds of work a second, and
// the speeds of the targets for which there are reports, where 1 is average. The load is valid
// until the next call of Load.
func (a *Aggregator) Load(service string, now clock.Instant) (*keyrange.Load, map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateAverages(now)
	load := a.load[service]
	if load == nil {
		load = &keyrange.Load{}
		a.load[service] = load
	}
	return load, a.speeds()
}

// Speeds returns the speeds of the targets for which there are reports, where 1 is average, by target
// ID.
func (a *Aggregator) Speeds() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.speeds()
}

// speeds implements Speeds. The caller must hold the lock.
func (a *Aggregator) speeds() map[string]float64 {
	speeds := make(map[string]float64, len(a.slowness))
	for id, slowness := range a.slowness {
		speeds[id] = 1 / max(slowness, 0.1)
	}
	return speeds
}

// Limits returns the limits of the targets that report one, in requests a second from all instances
// together.
func (a *Aggregator) Limits(now clock.Instant) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits := map[string]float64{}
	for id, l := range a.limits {
		if now.Sub(l.reportedAt) > limitValidity {
			delete(a.limits, id)
			continue
		}
		limits[id] = l.perSecond
	}
	return limits
}

// minInterval is the minimum time over which arrivals are converted to a rate.
const minInterval = 200 * time.Millisecond

// updateAverages adds what has arrived since the last update to the averages. The caller must hold
// the lock.
func (a *Aggregator) updateAverages(now clock.Instant) {
	if a.averagedAt == clock.Never {
		a.averagedAt = now
		return
	}
	interval := now.Sub(a.averagedAt)
	if interval < minInterval {
		return
	}
	a.averagedAt = now
	decay := float32(math.Exp(-float64(interval) / float64(loadTimeConstant)))
	for service := range a.arrived {
		if a.load[service] == nil {
			a.load[service] = &keyrange.Load{}
		}
	}
	for service, load := range a.load {
		for key := range load {
			load[key] *= decay
		}
		for key, seconds := range a.arrived[service] {
			load[key] += seconds / float32(interval.Seconds()) * (1 - decay)
		}
		clear(a.arrived[service])
	}
}
