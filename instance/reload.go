package instance

import (
	"context"
	"reflect"
	"sync"
	"time"

	"lycheehall.example/lycheehall/coordination/contention"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/transport/front"
)

// reloadInterval is the time between checks of the settings file, which may change without a
// signal.
const reloadInterval = time.Second

// reloader is the state of the reloading of settings: the path of the file, the settings in force and
// the latest error.
type reloader struct {
	path   string
	signal chan struct{}

	mu        sync.Mutex
	current   settings.Settings
	lastError string
}

// WatchSettings reloads the settings from a file while the instance runs. It must be called before
// Start.
func (i *Instance) WatchSettings(path string) { i.reload.path = path }

// ReloadSettings triggers a reload of the settings file.
func (i *Instance) ReloadSettings() {
	select {
	case i.reload.signal <- struct{}{}:
	default:
	}
}

// watchSettings reloads the settings file when it changes or on a signal, until ctx ends.
func (i *Instance) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
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

// readSettings applies the settings that can change while the instance runs. If the file is
// invalid, the current settings stay in force.
func (i *Instance) readSettings(signalled bool) {
	r := &i.reload
	r.mu.Lock()
	defer r.mu.Unlock()
	next, err := settings.Load(r.path)
	if err != nil {
		if signalled || r.lastError != err.Error() {
			i.log.Event("reload-refused", "error", err.Error())
		}
		r.lastError = err.Error()
		return
	}
	r.lastError = ""
	if reflect.DeepEqual(next, r.current) {
		if signalled {
			i.log.Event("reload", "changed", false)
		}
		return
	}
	needsRestart := next.Listen != r.current.Listen || next.Readiness != r.current.Readiness || next.Peer != r.current.Peer ||
		next.Admin != r.current.Admin || next.Platform != r.current.Platform || next.Rules != r.current.Rules ||
		next.Connections != r.current.Connections
	r.current = next
	i.budget.Configure(front.RetryBudgetConfig{Ratio: next.Retries.Ratio, Slack: next.Retries.Slack, Window: time.Duration(next.Retries.Window)})
	i.grace.Store(int64(next.Grace))
	i.contention.Set(next.Contention.Mode)
	i.memoryAuto.Store(next.Memory.Mode == contention.ModeAuto)
	i.memory.Configure(memoryLimits(next.Memory))
	i.upstream.LimitResponses(next.Memory.ReceivedBytes())
	i.log.Event("reload", "changed", true, "needs_restart", needsRestart)
}
