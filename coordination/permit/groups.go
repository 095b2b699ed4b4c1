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
	// maxUngroupedTargets is the number of targets up to which a service has a single group. For a
	// few targets one queue is better: a free slot is found from every instance.
	maxUngroupedTargets = 16
	// targetsPerGroup is the number of targets for which a data centre gets one more group. A
	// keeper handles two messages for each request, and may have only a sixth of a CPU core.
	targetsPerGroup = 10
	// maxGroupTries is the number of groups that are asked for a free slot before a request is
	// queued at one of them.
	maxGroupTries = 3
	// skipFullFor is how long a group that had no free slot is not asked for one again.
	skipFullFor = 150 * time.Millisecond
)

// Group is a subset of the targets of a service that is not keyed. One keeper hands out its slots,
// an instance in the group's data centre if there is one.
type Group struct {
	// Name and DataCentre are empty if the service has so few targets that they form a single
	// group.
	Name       string
	DataCentre string
	// Slots is the sum of the targets' slots.
	Slots int
}

// GroupOf returns the name of the group that a target belongs to. It needs all targets of the
// service.
func GroupOf(t Target, all []Target) string {
	if len(all) <= maxUngroupedTargets {
		return ""
	}
	sameDataCentre := 0
	for _, other := range all {
		if other.DataCentre == t.DataCentre {
			sameDataCentre++
		}
	}
	groups := uint64((sameDataCentre + targetsPerGroup - 1) / targetsPerGroup)
	return t.DataCentre + "/" + strconv.FormatUint(xxhash.Sum64String(t.ID)%groups, 10)
}

// Groups returns the groups that a service's targets form, sorted by name.
func Groups(all []Target) []Group {
	byName := map[string]*Group{}
	for _, t := range all {
		name := GroupOf(t, all)
		g := byName[name]
		if g == nil {
			g = &Group{Name: name}
			if name != "" {
				g.DataCentre = t.DataCentre
			}
			byName[name] = g
		}
		g.Slots += t.Slots
	}
	list := make([]Group, 0, len(byName))
	for _, g := range byName {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Chooser selects which group of a service to ask for a permit, based on the waiting times of
// earlier requests. It is safe for concurrent use.
type Chooser struct {
	clock      clock.Clock
	dataCentre string

	mu    sync.Mutex
	waits map[groupID]waitEstimate
}

type groupID struct{ service, group string }

// waitEstimate is the last known waiting time in a group.
type waitEstimate struct {
	wait time.Duration
	at   clock.Instant
}

// NewChooser returns a Chooser for an instance in the given data centre.
func NewChooser(c clock.Clock, dataCentre string) *Chooser {
	return &Chooser{clock: c, dataCentre: dataCentre, waits: map[groupID]waitEstimate{}}
}

// RecordWait records how long a request waited, or would have waited, in a group.
func (c *Chooser) RecordWait(service, group string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits[groupID{service, group}] = waitEstimate{wait, c.clock.Now()}
}

// Candidates returns at most three groups (maxGroupTries) in the order in which to ask them for a
// free slot: those of the instance's own data centre first, and within and outside it in random
// order weighted by slots. It omits groups that had no free slot within the last 150 ms
// (skipFullFor), and groups in other data centres if the given cost of using these, see
// CrossDataCentreCost, is 50 ms or more (minCostToWaitLocally).
func (c *Chooser) Candidates(service string, groups []Group, cost time.Duration) []Group {
	type ranked struct {
		Group
		key float64
	}
	now := c.clock.Now()
	var list []ranked
	c.mu.Lock()
	for _, g := range groups {
		if last, known := c.waits[groupID{service, g.Name}]; known && last.wait > 0 && now.Sub(last.at) < skipFullFor {
			continue
		}
		if cost >= minCostToWaitLocally && g.DataCentre != c.dataCentre {
			continue
		}
		// Sorting by exponentially distributed keys gives a random order weighted by slots.
		key := rand.ExpFloat64() / float64(max(1, g.Slots))
		if g.DataCentre != c.dataCentre {
			key += otherDataCentrePenalty
		}
		list = append(list, ranked{g, key})
	}
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	var candidates []Group
	for _, r := range list[:min(maxGroupTries, len(list))] {
		candidates = append(candidates, r.Group)
	}
	return candidates
}

// otherDataCentrePenalty sorts the groups of other data centres behind all groups of the instance's
// own.
const otherDataCentrePenalty = 1e9

// ShortestWait returns the group with the shortest known wait, where cost is added for groups in
// other data centres.
func (c *Chooser) ShortestWait(service string, groups []Group, cost time.Duration) Group {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := func(g Group) time.Duration {
		last := c.waits[groupID{service, g.Name}]
		d := max(0, last.wait-now.Sub(last.at))
		if g.DataCentre != c.dataCentre {
			d += cost
		}
		return d
	}
	// A random start selects among groups with equal waits.
	start := rand.IntN(len(groups))
	best := groups[start]
	for i := range groups {
		if g := groups[(start+i)%len(groups)]; wait(g) < wait(best) {
			best = g
		}
	}
	return best
}
