package front

import (
	"math"
	"sync"
	"time"
)

// Patience learns how long the callers of each rule wait at first, and so tells a first
// request from that of a caller who was refused before and has come back with what is left
// of its time. It is safe for concurrent use.
//
// First requests come with times in one band at the top of all; the band may be a single
// value or, where callers differ, up to a quarter wide. Taking the longest time ever seen for
// everybody's made nine in ten first requests look like returning ones, of which most of the
// aim was gone, where callers' times were spread over 15 %.
type Patience struct {
	mu    sync.Mutex
	rules map[string]*waits
}

// waits counts the times that the callers of a rule gave, in steps of bandStep.
type waits struct {
	counts map[int]float64
	total  float64
	// seen counts requests since the band was last looked for.
	seen int
	// from and to are the first and last step of the band.
	from, to int
}

const (
	// bandStep is the ratio of a step to the one below.
	bandStep = 1.05
	// bandSteps is the largest width of the band.
	bandSteps = 5
	// bandTop is the least share of requests in the uppermost step of the band: single callers
	// may wait for longer.
	bandTop = 0.02
	// bandDrop is the part of the mean of the steps above below which a step is outside.
	bandDrop = 0.2
	// bandMemory is the number of requests after which their weight is halved.
	bandMemory = 512
	// bandEvery is the number of requests after which the band is looked for again; the first
	// ones count at once.
	bandEvery = 16
)

// NewPatience returns a Patience that has seen nobody.
func NewPatience() *Patience { return &Patience{rules: map[string]*waits{}} }

// Seen notes the time that a caller gives, and returns how long ago it first asked.
func (p *Patience) Seen(rule string, given time.Duration) (elapsed time.Duration, returning bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.rules[rule]
	if w == nil {
		w = &waits{counts: map[int]float64{}}
		p.rules[rule] = w
	}
	step := stepOf(given)
	w.note(step)
	if step >= w.from {
		return 0, false
	}
	first := time.Duration(math.Pow(bandStep, float64(w.from+w.to+1)/2))
	return first - given, true
}

func stepOf(d time.Duration) int {
	return int(math.Floor(math.Log(float64(max(d, 1))) / math.Log(bandStep)))
}

func (w *waits) note(step int) {
	w.counts[step]++
	w.total++
	w.seen++
	if w.seen < bandEvery && w.total > bandEvery {
		return
	}
	w.seen = 0
	w.find()
	if w.total >= bandMemory {
		w.fade()
	}
}

// find looks for the band.
func (w *waits) find() {
	w.to = math.MinInt
	for step, count := range w.counts {
		if count >= bandTop*w.total {
			w.to = max(w.to, step)
		}
	}
	w.from = w.to
	sum := w.counts[w.to]
	for w.to-w.from+1 < bandSteps {
		below := w.counts[w.from-1]
		if below < bandDrop*sum/float64(w.to-w.from+1) {
			return
		}
		w.from--
		sum += below
	}
}

// fade halves the weight of what was seen.
func (w *waits) fade() {
	w.total = 0
	for step, count := range w.counts {
		if count < 1 {
			delete(w.counts, step)
			continue
		}
		w.counts[step] = count / 2
		w.total += count / 2
	}
}
