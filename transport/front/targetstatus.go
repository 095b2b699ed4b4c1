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

// noReassignAfter is the age of the snapshot from which on keys are not reassigned, since neither
// the leader nor the store answers. While both work, the age stays below 1.2 s.
const noReassignAfter = 1500 * time.Millisecond

// statusOf returns what the target reported about itself in an attempt.
func statusOf(resp *upstream.Response, err error) upstream.ReportedStatus {
	var refused *upstream.NotExecutedError
	switch {
	case err == nil:
		return resp.TargetStatus
	case errors.As(err, &refused):
		return refused.TargetStatus
	}
	return upstream.ReportedStatus{}
}

// recordTargetStatus records and logs what the target reported about itself.
func (c *call) recordTargetStatus(t view.Target, status upstream.ReportedStatus) {
	if c.h.config.TargetStatus.RecordStatus(t.ID, status.Leaving, status.Pause) {
		c.h.log("target-leaves", "target", t.ID, "service", c.service.Name, "request", c.id, "listed_as_draining", t.Draining)
	}
	if status.FromTarget {
		c.recordTargetLimit(t, status.Limit)
	}
	if status.Pause > 0 {
		c.h.log("target-pauses", "target", t.ID, "service", c.service.Name, "request", c.id, "pause_ms", status.Pause.Milliseconds())
	}
}

// recordTargetLimit records the target's limit: how many requests a second it accepts from all
// instances together; 0 means no limit.
func (c *call) recordTargetLimit(t view.Target, perSecond float64) {
	before := c.h.config.TargetStatus.RecordLimit(t.ID, perSecond)
	if before != perSecond {
		c.h.log("target-limit", "target", t.ID, "service", c.service.Name, "request", c.id, "per_second", perSecond, "before", before)
	}
}

// knownLimits returns the limits that this instance knows for the owner of the key or, without an
// owner, for the targets of the service.
func (c *call) knownLimits(owner string) []targetstatus.Limit {
	return c.h.config.TargetStatus.Limits(func(id string) bool {
		if owner != "" {
			return id == owner
		}
		t, known := c.snapshot.Targets[id]
		return known && t.Service == c.service.Name
	})
}

// maySendTo reports whether requests may be sent to the target now. It is checked for the owner of
// a key, and again once there is a permit, since the request may have waited for a slot.
func (c *call) maySendTo(t view.Target) bool {
	return !c.isExcluded(t) && c.h.config.TargetStatus.RemainingPause(t.ID) == 0
}

// isExcluded reports whether the target has been leaving for so long that nothing may be sent to
// it, or another one has its address. That it is leaving is known from the registry, from an
// evacuation, or from its own responses; while the store is unavailable, only from its responses.
func (c *call) isExcluded(t view.Target) bool {
	status := c.h.config.TargetStatus
	return c.h.board.Snapshot().Excluded(t, c.h.clock.Now()) || status.DrainTimeOver(t.ID) || status.Replaced(t.ID, t.Address)
}

// recordReplaced records that another target has responded at the target's address. Addresses are used
// again, also while the registry does not say so.
func (c *call) recordReplaced(t view.Target, err error) {
	var refused *upstream.NotExecutedError
	if errors.As(err, &refused) && refused.Replaced && c.h.config.TargetStatus.RecordReplaced(t.ID, t.Address) {
		c.h.log("target-replaced", "target", t.ID, "service", c.service.Name, "address", t.Address, "request", c.id)
	}
}

// awaitPause waits for the end of a short pause that the key's owner has reported. If the pause is
// longer, it refuses the request with the remaining pause as Retry-After.
func (c *call) awaitPause(ctx context.Context, owner string) (result, bool) {
	pause := c.h.config.TargetStatus.RemainingPause(owner)
	if pause > maxUpdateWait {
		return notExecutedResult("target-paused", pause), false
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
		return c.resultOfEndedWait(), false
	}
}

// targetsToAvoid returns the targets of the service that have reported that they are leaving or a
// pause, or that another one has replaced, and those that have already had the request.
func (c *call) targetsToAvoid() []string {
	list := slices.Clone(c.triedTargets)
	replaced := c.h.config.TargetStatus.ReplacedTargets(func(id string) string { return c.snapshot.Targets[id].Address })
	for _, id := range append(c.h.config.TargetStatus.TargetsToAvoid(), replaced...) {
		if t, known := c.snapshot.Targets[id]; known && t.Service == c.service.Name {
			list = append(list, id)
		}
	}
	return list
}

// cannotReassign reports whether the keys of an owner that is leaving stay with it for now: only
// the leader reassigns keys, and it writes that to the store first.
func (c *call) cannotReassign() bool {
	return c.h.clock.Now().Sub(c.h.board.CurrentAsOf()) > noReassignAfter
}
