package front

import (
	"math"
	"sync"
	"time"
)

// CallerRetryDetector distinguishes a caller's first request from its retry after a refusal, which
// has less time left. It learns the initial timeouts of each rule's callers. It is safe for
// concurrent use.
//
// The timeouts of first requests are the longest ones, and may differ by up to a quarter. Comparing
// with the single longest timeout would take nearly all first requests for retries where timeouts
// vary a little, and would count most of their aim as used up.
type CallerRetryDetector struct {
	mu     sync.Mutex
	byRule map[string]*timeoutCounts
}

// timeoutCounts is a histogram of the timeouts that the callers of a rule sent. Its steps are
// logarithmic, with the ratio stepRatio.
type timeoutCounts struct {
	counts map[int]float64
	total  float64
	// sinceSearch is the number of requests since the last search for the band, the range of steps
	// that holds the timeouts of first requests.
	sinceSearch int
	// from and to are the first and last step of the band.
	from, to int
}

const (
	// stepRatio is the ratio of a step to the one below it.
	stepRatio = 1.05
	// maxBandSteps is the largest width of the band, in steps.
	maxBandSteps = 5
	// minTopShare is the smallest share of requests in the top step of the band. Single callers may
	// have longer timeouts.
	minTopShare = 0.02
	// minRelativeCount is the smallest count of a step of the band, relative to the mean count of
	// the steps of the band above it.
	minRelativeCount = 0.2
	// decayAt is the total weight at which all counts are halved.
	decayAt = 512
	// searchEvery is the number of requests between searches for the band. Up to this total, each
	// request triggers a search.
	searchEvery = 16
)

// NewCallerRetryDetector returns a detector without any history.
func NewCallerRetryDetector() *CallerRetryDetector {
	return &CallerRetryDetector{byRule: map[string]*timeoutCounts{}}
}

// Observe records the timeout that a caller sent. It reports whether the request is a caller's
// retry, and estimates the time since the caller's first request.
func (d *CallerRetryDetector) Observe(rule string, timeout time.Duration) (elapsed time.Duration, returning bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.byRule[rule]
	if c == nil {
		c = &timeoutCounts{counts: map[int]float64{}}
		d.byRule[rule] = c
	}
	step := stepOf(timeout)
	c.record(step)
	if step >= c.from {
		return 0, false
	}
	first := time.Duration(math.Pow(stepRatio, float64(c.from+c.to+1)/2))
	return first - timeout, true
}

func stepOf(d time.Duration) int {
	return int(math.Floor(math.Log(float64(max(d, 1))) / math.Log(stepRatio)))
}

func (c *timeoutCounts) record(step int) {
	c.counts[step]++
	c.total++
	c.sinceSearch++
	if c.sinceSearch < searchEvery && c.total > searchEvery {
		return
	}
	c.sinceSearch = 0
	c.findBand()
	if c.total >= decayAt {
		c.decay()
	}
}

// findBand sets the first and last step of the band.
func (c *timeoutCounts) findBand() {
	c.to = math.MinInt
	for step, count := range c.counts {
		if count >= minTopShare*c.total {
			c.to = max(c.to, step)
		}
	}
	c.from = c.to
	sum := c.counts[c.to]
	for c.to-c.from+1 < maxBandSteps {
		below := c.counts[c.from-1]
		if below < minRelativeCount*sum/float64(c.to-c.from+1) {
			return
		}
		c.from--
		sum += below
	}
}

// decay halves the weight of all earlier requests.
func (c *timeoutCounts) decay() {
	c.total = 0
	for step, count := range c.counts {
		if count < 1 {
			delete(c.counts, step)
			continue
		}
		c.counts[step] = count / 2
		c.total += count / 2
	}
}
