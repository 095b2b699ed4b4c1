package server

import (
	"context"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/node"
)

// leave makes the instance no longer a candidate for leading.
func (d *driver) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.Leave()
}

// farewell is how long a stopping instance tries to give its session back. If it cannot,
// the session runs out by itself, and changes wait for that.
const farewell = 200 * time.Millisecond

// endSession gives the session back once no request is left.
func (d *driver) endSession() {
	ctx, cancel := context.WithTimeout(context.Background(), farewell)
	defer cancel()
	d.input(func(now clock.Instant) []node.Effect { return d.node.EndSession(now) })
	for ctx.Err() == nil && !d.sessionEnded() {
		sleep(ctx, tickEvery)
	}
}

func (d *driver) sessionEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.SessionGivenBack()
}
