package standin

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/state"
)

// Directory is an in-memory state.Directory whose list lags. It is safe for concurrent
// use.
type Directory struct {
	// Lag is how long a change takes to show.
	Lag time.Duration

	mu      sync.Mutex
	members map[string]*listing
	down    bool
}

// listing is a machine with the times at which it came and went.
type listing struct {
	member state.Member
	came   time.Time
	gone   time.Time
}

// NewDirectory returns an empty list with the given lag.
func NewDirectory(lag time.Duration) *Directory {
	return &Directory{Lag: lag, members: map[string]*listing{}}
}

// SetDown makes the list unavailable, or available again.
func (d *Directory) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// Add lists a machine, or changes what is listed of it.
func (d *Directory) Add(m state.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.members[m.ID]; old != nil {
		old.member = m
		return
	}
	d.members[m.ID] = &listing{member: m, came: time.Now()}
}

// Remove takes a machine whose process has ended off the list.
func (d *Directory) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.members[id]; l != nil && l.gone.IsZero() {
		l.gone = time.Now()
	}
}

// SetLifecycle says that a machine is live or leaving.
func (d *Directory) SetLifecycle(id string, c state.Lifecycle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.members[id]; l != nil {
		l.member.Lifecycle = c
	}
}

// Members returns the list as it was a lag ago.
func (d *Directory) Members(context.Context) ([]state.Member, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, ErrDown
	}
	seen := time.Now().Add(-d.Lag)
	var out []state.Member
	for id, l := range d.members {
		if !l.gone.IsZero() && l.gone.Before(seen) {
			delete(d.members, id)
			continue
		}
		if !l.came.After(seen) {
			out = append(out, l.member)
		}
	}
	slices.SortFunc(out, func(a, b state.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// probeTimeout bounds a look whether a machine runs.
const probeTimeout = 100 * time.Millisecond

// DropEnded takes machines off the list whose address refuses connections. A process
// that is stopped or cut off still has its port, and stays listed.
func (d *Directory) DropEnded() {
	d.mu.Lock()
	var present []state.Member
	for _, l := range d.members {
		if l.gone.IsZero() {
			present = append(present, l.member)
		}
	}
	d.mu.Unlock()
	for _, m := range present {
		conn, err := net.DialTimeout("tcp", m.Address, probeTimeout)
		if err == nil {
			conn.Close()
		} else if errors.Is(err, syscall.ECONNREFUSED) {
			d.Remove(m.ID)
		}
	}
}
