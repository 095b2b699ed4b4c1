package permit

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// How slow a target is, relative to an average one, is known from its own word where it gives one, and
// is otherwise measured by how long its requests take. The word tells of a single moment: targets share
// their machines with others, which disturb them for some tenths of a second at a time. So the last word
// counts for as long as such a disturbance lasts, and what the target has usually said from then on.

const (
	// slownessHalf is the time after which half of what is known about a target's speed is
	// forgotten, so that one that has recovered is tried again.
	slownessHalf = 4 * time.Second
	// untried is the slowness assumed of a target that has not been used yet: faster than
	// most, so that one that joins is used soon, though with one request at first.
	untried = 0.5
	// wordHolds is the time in which the weight of a target's word falls to nothing.
	wordHolds = 400 * time.Millisecond
)

// pace is what is known of how slow a target is.
type pace struct {
	// slowness is the usual one, relative to an average target.
	slowness   float64
	measuredAt clock.Instant
	// word is what the target said last, at wordAt; Never: it does not say.
	word   float64
	wordAt clock.Instant
}

func newPace() pace { return pace{slowness: 1, measuredAt: clock.Never, wordAt: clock.Never} }

// heard notes a word of the target's.
func (p *pace) heard(slowness float64, now clock.Instant) {
	p.learn(slowness, now)
	p.word, p.wordAt = slowness, now
}

// learn takes a slowness that was told, or measured as how long a request took relative to the mean.
func (p *pace) learn(slowness float64, now clock.Instant) {
	if p.measuredAt == clock.Never {
		p.slowness = (1 + slowness) / 2
	} else {
		p.slowness = p.usual(now)*(1-smoothing) + slowness*smoothing
	}
	p.measuredAt = now
}

// usual is the slowness that the target mostly has. What is known of it fades.
func (p *pace) usual(now clock.Instant) float64 {
	if p.measuredAt == clock.Never {
		return 1
	}
	age := float64(now.Sub(p.measuredAt)) / float64(slownessHalf)
	return 1 + (p.slowness-1)/(1+age)
}

// believedSlowness is the slowness that the target is believed to have now.
func (p *pace) believedSlowness(now clock.Instant) float64 {
	usual := p.usual(now)
	if p.wordAt == clock.Never {
		return usual
	}
	weight := 1 - float64(now.Sub(p.wordAt))/float64(wordHolds)
	return usual + max(0, weight)*(p.word-usual)
}
