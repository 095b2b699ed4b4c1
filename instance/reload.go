package instance

import (
	"context"
	"reflect"
	"sync"
	"time"

	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/transport/front"
)

// reloadEvery is the time between looks at the settings file. It may change without a
// signal.
const reloadEvery = time.Second

// reloader reads the settings again when their file may have changed.
type reloader struct {
	path   string
	signal chan struct{}

	mu      sync.Mutex
	current settings.Settings
	lastErr string
}

// WatchSettings has the settings read again from a file while the instance runs. It must be
// called before Start.
func (i *Instance) WatchSettings(path string) { i.reload.path = path }

// ReloadSettings has the settings read again now.
func (i *Instance) ReloadSettings() {
	select {
	case i.reload.signal <- struct{}{}:
	default:
	}
}

// watchSettings looks at the settings file until ctx ends.
func (i *Instance) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ticker.C:
		case <-i.reload.signal:
			signalled = true
		case <-ctx.Done():
			return
		}
		if i.reload.path != "" {
			i.readSettings(signalled)
		}
	}
}

// readSettings adopts what can change while the instance runs. A file that is not valid
// leaves what is in force.
func (i *Instance) readSettings(signalled bool) {
	r := &i.reload
	r.mu.Lock()
	defer r.mu.Unlock()
	next, err := settings.Load(r.path)
	if err != nil {
		if signalled || r.lastErr != err.Error() {
			i.log.Event("reload-refused", "error", err.Error())
		}
		r.lastErr = err.Error()
		return
	}
	r.lastErr = ""
	if reflect.DeepEqual(next, r.current) {
		if signalled {
			i.log.Event("reload", "changed", false)
		}
		return
	}
	needsRestart := next.Listen != r.current.Listen || next.Readiness != r.current.Readiness || next.Peer != r.current.Peer ||
		next.Admin != r.current.Admin || next.Platform != r.current.Platform || next.Rules != r.current.Rules
	r.current = next
	i.budget.Configure(front.RetryBudgetConfig{Ratio: next.Retries.Ratio, Slack: next.Retries.Slack, Window: time.Duration(next.Retries.Window)})
	i.grace.Store(int64(next.Grace))
	i.log.Event("reload", "changed", true, "needs_restart", needsRestart)
}
