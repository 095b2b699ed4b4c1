package front

import (
	"errors"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/transport/upstream"
)

// Standing is what targets have told this instance of themselves. It is safe for concurrent use; its
// lock is a leaf.
type Standing struct {
	clock clock.Clock

	mu      sync.Mutex
	targets map[string]standing
}

// standing is what one life of a target has told.
type standing struct {
	// leavingAt is when it first said that it leaves; Never: it has not.
	leavingAt clock.Instant
	// pausedUntil is until when it wants nothing.
	pausedUntil clock.Instant
	heardAt     clock.Instant
}

// NewStanding returns a Standing that has heard nothing.
func NewStanding(c clock.Clock) *Standing {
	return &Standing{clock: c, targets: map[string]standing{}}
}

// Heard notes what a target has said of itself. It reports whether it said for the first time that it
// leaves.
func (s *Standing) Heard(target string, w upstream.Word) (leaves bool) {
	if !w.Leaving && w.Pause == 0 {
		return false
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.targets[target]
	if !ok {
		known = standing{leavingAt: clock.Never, pausedUntil: clock.Never}
	}
	known.heardAt = now
	if w.Pause > 0 {
		known.pausedUntil = known.pausedUntil.Later(now.Add(w.Pause))
	}
	if w.Leaving && known.leavingAt == clock.Never {
		known.leavingAt = now
		leaves = true
	}
	s.targets[target] = known
	return leaves
}

// standingFor is how long what a target has said is kept once it is not listed any more. The registry
// loses entries of targets that live while its store is away.
const standingFor = 10 * time.Minute

// Forget drops what was said long ago by targets that are gone.
func (s *Standing) Forget(listed func(target string) bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, known := range s.targets {
		if now.Sub(known.heardAt) > standingFor && !listed(id) {
			delete(s.targets, id)
		}
	}
}

// wordOf returns what a target said of itself with the outcome of a try.
func wordOf(answer *upstream.Answer, err error) upstream.Word {
	var refused *upstream.NotRunError
	switch {
	case err == nil:
		return answer.Word
	case errors.As(err, &refused):
		return refused.Word
	}
	return upstream.Word{}
}

// heard notes what a target said of itself.
func (c *call) heard(t view.Target, w upstream.Word) {
	leaves := c.h.standing.Heard(t.ID, w)
	if leaves {
		c.h.log("target-leaves", "target", t.ID, "service", c.service.Name, "request", c.id, "listed_as_draining", t.Draining)
	}
	if w.Pause > 0 {
		c.h.log("target-pauses", "target", t.ID, "service", c.service.Name, "request", c.id, "pause_ms", w.Pause.Milliseconds())
	}
}
