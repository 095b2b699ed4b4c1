package server

import (
	"io"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"lycheehall.example/lycheehall/timeline"
)

// Level is the least level that is logged. It can be changed while running.
type Level struct{ v atomic.Int64 }

// Set changes the level.
func (l *Level) Set(level log.Level) { l.v.Store(int64(level)) }

// filtered drops entries below the level. The logger's own level cannot be changed while
// other goroutines log.
type filtered struct {
	level *Level
	next  log.Handler
}

// HandleLog passes an entry on if its level is high enough.
func (f filtered) HandleLog(e *log.Entry) error {
	if int64(e.Level) < f.level.v.Load() {
		return nil
	}
	return f.next.HandleLog(e)
}

// NewLogger returns a logger that writes JSON lines, and its level.
func NewLogger(w io.Writer, level log.Level) (*log.Logger, *Level) {
	l := &Level{}
	l.Set(level)
	return &log.Logger{Handler: filtered{l, json.New(w)}, Level: log.DebugLevel}, l
}

// maxLoggedSlots bounds the text of a list of slots in a log line; the time line has it
// whole.
const maxLoggedSlots = 100

// eventFields returns what an event tells, without what it leaves empty.
func eventFields(e timeline.Event) log.Fields {
	f := log.Fields{"instance": e.Instance, "lamport": e.Lamport}
	for name, v := range map[string]uint64{"term": e.Term, "episode": e.Episode, "map": e.Map, "rules": e.Rules} {
		if v != 0 {
			f[name] = v
		}
	}
	slots := e.Slots
	if len(slots) > maxLoggedSlots {
		slots = slots[:maxLoggedSlots] + "…"
	}
	for name, v := range map[string]string{"service": e.Service, "slots": slots, "target": e.Target, "detail": e.Detail} {
		if v != "" {
			f[name] = v
		}
	}
	return f
}
