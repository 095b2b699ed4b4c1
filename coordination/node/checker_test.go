package node

import (
	"fmt"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// checker asserts what must always hold, from what targets and callers saw. It shares no
// code with the node.
type checker struct {
	h          *harness
	violations []string
	runs       map[string]int
	refusals   map[string]bool
	fences     map[int]uint64
	lastRun    map[int]run
	versions   map[*proc][2]uint64
}

type run struct {
	target string
	fence  uint64
	at     clock.Instant
}

func newChecker(h *harness) *checker {
	return &checker{
		h:        h,
		runs:     map[string]int{},
		refusals: map[string]bool{},
		fences:   map[int]uint64{},
		lastRun:  map[int]run{},
		versions: map[*proc][2]uint64{},
	}
}

const maxViolations = 10

func (c *checker) fail(format string, args ...any) {
	if len(c.violations) < maxViolations {
		text := fmt.Sprintf(format, args...)
		c.violations = append(c.violations, fmt.Sprintf("%v: %s", time.Duration(c.h.now), text))
	}
}

// owners asserts that no two targets own the same slot at this moment. A frozen target
// owns what its clock says, also while it does nothing.
func (c *checker) owners() {
	owner := map[int]string{}
	for _, t := range c.h.targets {
		if t.dead || !t.fenced {
			continue
		}
		for slot, fence := range t.holdings.Slots() {
			if !t.holdings.Owns(t.clock(), slot, fence) {
				continue
			}
			if other, taken := owner[slot]; taken {
				c.fail("slot %d is owned by %s and %s", slot, other, t.id)
			}
			owner[slot] = t.id
		}
	}
}

// ran notes that a request took effect at a target.
func (c *checker) ran(t *fakeTarget, slot int, fence uint64, request string) {
	c.runs[request]++
	if c.runs[request] > 1 {
		c.fail("request %s ran %d times", request, c.runs[request])
	}
	if c.refusals[request] {
		c.fail("request %s was refused as not run, and ran", request)
	}
	if fence < c.fences[slot] {
		c.fail("slot %d ran under fence %d after fence %d", slot, fence, c.fences[slot])
	}
	c.fences[slot] = max(fence, c.fences[slot])
	last, before := c.lastRun[slot]
	if before && last.fence == fence && last.target != t.id {
		c.fail("slot %d ran at %s and %s under fence %d", slot, last.target, t.id, fence)
	}
	c.lastRun[slot] = run{t.id, fence, c.h.now}
}

// refused notes that a caller was told that its request did not run.
func (c *checker) refused(request string) {
	if c.runs[request] > 0 {
		c.fail("request %s ran, and was refused as not run", request)
	}
	c.refusals[request] = true
}

// view asserts that the versions an instance works with never go back.
func (c *checker) view(p *proc, v View) {
	last := c.versions[p]
	if v.Map.Version < last[0] || v.Rules.Version < last[1] {
		c.fail("instance %s went back from %v to map %d, rules %d", p.id, last, v.Map.Version, v.Rules.Version)
	}
	c.versions[p] = [2]uint64{v.Map.Version, v.Rules.Version}
}
