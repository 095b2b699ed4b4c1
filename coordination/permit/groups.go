package permit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
)

const (
	// groupAbove is the number of targets up to which a service has one group. One queue is
	// better for few targets: its slots are all found from anywhere.
	groupAbove = 16
	// groupSize is the number of targets for which a data centre gets one more group. A keeper
	// handles two messages for each request, and may have a sixth of a core.
	groupSize = 10
	// groupTries is the number of groups that are asked for a free slot before a request is
	// queued at one of them.
	groupTries = 3
	// toldFor is how long a group that had no free slot is not asked for one again.
	toldFor = 150 * time.Millisecond
)

// Group is a part of the targets of a service without keys. Its slots are handed out by one
// keeper, in its data centre where there is one.
type Group struct {
	Name       string
	DataCentre string
	Slots      int
}

// GroupOf returns the name of the group that a target belongs to, among all targets of its
// service.
func GroupOf(s Target, all []Target) string {
	if len(all) <= groupAbove {
		return ""
	}
	here := 0
	for _, other := range all {
		if other.DataCentre == s.DataCentre {
			here++
		}
	}
	parts := uint64((here + groupSize - 1) / groupSize)
	return s.DataCentre + "/" + strconv.FormatUint(xxhash.Sum64String(s.ID)%parts, 10)
}

// Groups returns the groups of a service's targets, sorted by name.
func Groups(all []Target) []Group {
	byName := map[string]*Group{}
	for _, s := range all {
		name := GroupOf(s, all)
		g := byName[name]
		if g == nil {
			g = &Group{Name: name}
			if name != "" {
				g.DataCentre = s.DataCentre
			}
			byName[name] = g
		}
		g.Slots += s.Slots
	}
	list := make([]Group, 0, len(byName))
	for _, g := range byName {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Chooser says which group of a service to ask, from what their keepers told. It is safe for
// concurrent use; its lock is a leaf.
type Chooser struct {
	clock clock.Clock
	home  string

	mu   sync.Mutex
	told map[groupID]told
}

type groupID struct{ service, group string }

type told struct {
	wait time.Duration
	at   clock.Instant
}

// NewChooser returns a chooser for an instance in a data centre.
func NewChooser(c clock.Clock, home string) *Chooser {
	return &Chooser{clock: c, home: home, told: map[groupID]told{}}
}

// RecordWait notes how long a request would have waited, or waited, in a group.
func (c *Chooser) RecordWait(service, group string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told[groupID{service, group}] = told{wait, c.clock.Now()}
}

// Candidates returns groups in the order in which to ask them for a free slot: those of the own
// data centre first, the others at random by their slots. Groups that had none a moment ago
// are left out, and those of other data centres where going there costs much: see Shortest.
func (c *Chooser) Candidates(service string, groups []Group, cost time.Duration) []Group {
	type ranked struct {
		Group
		key float64
	}
	now := c.clock.Now()
	var list []ranked
	c.mu.Lock()
	for _, g := range groups {
		if t, known := c.told[groupID{service, g.Name}]; known && t.wait > 0 && now.Sub(t.at) < toldFor {
			continue
		}
		if cost >= leastWaitAtHome && g.DataCentre != c.home {
			continue
		}
		// The exponential of a rate orders at random, in proportion to the rates.
		key := rand.ExpFloat64() / float64(max(1, g.Slots))
		if g.DataCentre != c.home {
			key += abroadLast
		}
		list = append(list, ranked{g, key})
	}
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	var ask []Group
	for _, r := range list[:min(groupTries, len(list))] {
		ask = append(ask, r.Group)
	}
	return ask
}

// abroadLast puts the groups of other data centres behind all of the own one.
const abroadLast = 1e9

// ShortestWait returns the group in which the wait is shortest, as far as known, with the cost of
// going to another data centre.
func (c *Chooser) ShortestWait(service string, groups []Group, cost time.Duration) Group {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := func(g Group) time.Duration {
		t := c.told[groupID{service, g.Name}]
		d := max(0, t.wait-now.Sub(t.at))
		if g.DataCentre != c.home {
			d += cost
		}
		return d
	}
	// Not always the first one of those that are the same.
	start := rand.IntN(len(groups))
	best := groups[start]
	for i := range groups {
		if g := groups[(start+i)%len(groups)]; wait(g) < wait(best) {
			best = g
		}
	}
	return best
}
