package front

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheehall.example/lycheehall/coordination/targetstatus"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/transport/upstream"
)

// cannotMoveAfter is the age of what is known from which on keys do not change hands: neither the leading
// instance nor the store answers, and while both are well it is less than 1.2 s.
const cannotMoveAfter = 1500 * time.Millisecond

// wordOf returns what a target said of itself with the outcome of a try.
func wordOf(answer *upstream.Response, err error) upstream.TargetStatus {
	var refused *upstream.NotExecutedError
	switch {
	case err == nil:
		return answer.TargetStatus
	case errors.As(err, &refused):
		return refused.TargetStatus
	}
	return upstream.TargetStatus{}
}

// heard notes what a target said of itself.
func (c *call) heard(t view.Target, w upstream.TargetStatus) {
	if c.h.config.TargetStatus.RecordStatus(t.ID, w.Leaving, w.Pause) {
		c.h.log("target-leaves", "target", t.ID, "service", c.service.Name, "request", c.id, "listed_as_draining", t.Draining)
	}
	if w.Known {
		c.heardLimit(t, w.Limit)
	}
	if w.Pause > 0 {
		c.h.log("target-pauses", "target", t.ID, "service", c.service.Name, "request", c.id, "pause_ms", w.Pause.Milliseconds())
	}
}

// heardLimit notes how many requests a second a target takes from all instances together.
func (c *call) heardLimit(t view.Target, perSecond float64) {
	before := c.h.config.TargetStatus.RecordLimit(t.ID, perSecond)
	if before != perSecond {
		c.h.log("target-limit", "target", t.ID, "service", c.service.Name, "request", c.id, "per_second", perSecond, "before", before)
	}
}

// limits returns the limits that the owner of the key, or the targets of the service, have named to this
// instance.
func (c *call) limits(owner string) []targetstatus.Limit {
	return c.h.config.TargetStatus.Limits(func(id string) bool {
		if owner != "" {
			return id == owner
		}
		t, known := c.snapshot.Targets[id]
		return known && t.Service == c.service.Name
	})
}

// mayGet reports whether anything may be sent to a target now. It is asked for the owner of a key, and
// again for whoever has been found, since the request may have waited for a slot meanwhile.
func (c *call) mayGet(t view.Target) bool {
	return !c.hasLeft(t) && c.h.config.TargetStatus.RemainingPause(t.ID) == 0
}

// hasLeft reports whether a target has been about to leave for so long that nothing may be sent to it.
// The registry and the operators tell so, and the target itself in its answers: while the store is away,
// only the last is heard.
func (c *call) hasLeft(t view.Target) bool {
	return c.h.board.Load().Excluded(t, c.h.clock.Now()) || c.h.config.TargetStatus.HasLeft(t.ID)
}

// awaitPause waits for the end of a short pause that the owner of a key wants. Through a longer one the
// request is not held: its caller is told when it is over.
func (c *call) awaitPause(ctx context.Context, owner string) (result, bool) {
	pause := c.h.config.TargetStatus.RemainingPause(owner)
	if pause > lookAgain {
		return notRun("target-paused", pause), false
	}
	if pause == 0 {
		return result{}, true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return result{}, true
	case <-ctx.Done():
		return c.timedOut(), false
	}
}

// avoided returns the targets of the service that want no new work, and those that have had the request.
func (c *call) avoided() []string {
	list := slices.Clone(c.targets)
	for _, id := range c.h.config.TargetStatus.TargetsToAvoid() {
		if t, known := c.snapshot.Targets[id]; known && t.Service == c.service.Name {
			list = append(list, id)
		}
	}
	return list
}

// cannotMove reports whether the keys of an owner that has left stay with it for now: only the leading
// instance gives them on, and stores that before it does.
func (c *call) cannotMove() bool {
	return c.h.clock.Now().Sub(c.h.board.CurrentAsOf()) > cannotMoveAfter
}
