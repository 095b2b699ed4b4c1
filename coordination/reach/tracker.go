package reach

import (
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
)

const (
	// evidencePeriod is the longest time between two broken paths that count as one partition.
	evidencePeriod = 2 * time.Second
	// brokenPathsOfPartition is the number of broken paths that show a partition. One may be a broken
	// link of the target.
	brokenPathsOfPartition = 2
	// reachedToEnd is the number of successful direct connections in a row that end a partition.
	reachedToEnd = 2
	// probeInterval is the time between two probes of the same broken path, and between two probes
	// during a partition.
	probeInterval = 500 * time.Millisecond
	// unreachablePeriod is how long no other instance is asked about a target that none could reach.
	unreachablePeriod = 300 * time.Millisecond
	// checkInterval is the shortest time between two checks of targets that do not respond.
	checkInterval = 100 * time.Millisecond
)

// Tracker holds what the connections of this instance show about its paths to targets. It is safe for
// concurrent use.
type Tracker struct {
	clock clock.Clock

	mu sync.Mutex
	// broken are the broken paths, by target.
	broken map[string]*brokenPath
	// unreachableUntil has the targets that no instance could reach.
	unreachableUntil map[string]clock.Instant
	// heardAt is when anything last arrived from a target directly.
	heardAt     clock.Instant
	checkedAt   clock.Instant
	probedAt    clock.Instant
	partitioned bool
	reached     int
	peers       map[string]clock.Instant
}

// brokenPath is a direct path that does not work while another instance reaches the target.
type brokenPath struct {
	// attemptAt is when the direct attempt began whose failure showed it; foundAt is when it failed.
	attemptAt, foundAt clock.Instant
	probedAt           clock.Instant
	// silent says that the attempt got no answer. Open connections have then gone silent, too.
	silent bool
}

// NewTracker returns a Tracker for which all paths work.
func NewTracker(c clock.Clock) *Tracker {
	return &Tracker{
		clock: c, broken: map[string]*brokenPath{}, unreachableUntil: map[string]clock.Instant{}, peers: map[string]clock.Instant{},
		heardAt: clock.Never, checkedAt: clock.Never, probedAt: clock.Never,
	}
}

// Route is the way to a target.
type Route struct {
	// ThroughPeer says that the connection should be made by another instance.
	ThroughPeer bool
	// Probe says that the direct path should be probed now.
	Probe bool
	// Known says that no other instance needs to be asked if the direct attempt fails: none could reach
	// the target just before.
	Known bool
}

// Route returns the way to a target. If it says that the path should be probed, the caller must do so.
func (t *Tracker) Route(target string) Route {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	r := Route{ThroughPeer: t.throughPeer(target), Known: now < t.unreachableUntil[target]}
	if b := t.broken[target]; b != nil && !t.partitioned && now.Sub(b.probedAt) >= probeInterval {
		b.probedAt = now
		r.Probe = true
	}
	return r
}

// ThroughPeer reports whether connections to the target should be made by other instances.
func (t *Tracker) ThroughPeer(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throughPeer(target)
}

func (t *Tracker) throughPeer(target string) bool {
	return t.partitioned || t.broken[target] != nil
}

// DirectUsable reports whether open direct connections to the target should be used.
func (t *Tracker) DirectUsable(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.broken[target]
	return !t.partitioned && (b == nil || !b.silent)
}

// Partitioned reports whether this instance is partitioned from all targets.
func (t *Tracker) Partitioned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned
}

// ProbeDue reports whether, during a partition, the path to some target should be probed now. After a
// probe has succeeded the next one is due at once.
func (t *Tracker) ProbeDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if !t.partitioned || t.reached == 0 && now.Sub(t.probedAt) < probeInterval {
		return false
	}
	t.probedAt = now
	return true
}

// RecordHeard records that something has arrived from a target directly.
func (t *Tracker) RecordHeard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt = t.clock.Now()
}

// CheckDue reports whether the path to a target should be checked that has not responded since the
// given time: nothing has arrived from any target since then, and no other check has just begun.
func (t *Tracker) CheckDue(since clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.partitioned || t.heardAt >= since || now.Sub(t.checkedAt) < checkInterval {
		return false
	}
	t.checkedAt = now
	return true
}

// RecordReached records that a direct connection to a target was made. It reports whether that ends a
// partition.
func (t *Tracker) RecordReached(target string) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt = t.clock.Now()
	delete(t.broken, target)
	delete(t.unreachableUntil, target)
	t.reached++
	ended = t.partitioned && t.reached >= reachedToEnd
	if ended {
		t.partitioned = false
	}
	return ended
}

// RecordBroken records that a direct attempt, begun at the given time, has failed, while another
// instance reached the target. silent says that it got no answer. It reports whether that begins a
// partition.
func (t *Tracker) RecordBroken(target string, attemptAt clock.Instant, silent bool) (begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.reached = 0
	delete(t.unreachableUntil, target)
	t.broken[target] = &brokenPath{attemptAt: attemptAt, foundAt: now, probedAt: now, silent: silent}
	if t.partitioned {
		return false
	}
	first, count := attemptAt, 0
	for _, b := range t.broken {
		if now.Sub(b.foundAt) <= evidencePeriod && t.heardAt < b.attemptAt {
			first = min(first, b.attemptAt)
			count++
		}
	}
	t.partitioned = count >= brokenPathsOfPartition && t.heardAt < first
	return t.partitioned
}

// RecordFailed records that a direct attempt has failed and no other instance could tell whether the
// target is reachable.
func (t *Tracker) RecordFailed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reached = 0
}

// RecordUnreachable records that neither this instance nor others could connect to the target.
func (t *Tracker) RecordUnreachable(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.broken, target)
	t.unreachableUntil[target] = t.clock.Now().Add(unreachablePeriod)
}

// Prune removes what is known about targets that are not listed.
func (t *Tracker) Prune(listed func(target string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for id := range t.broken {
		if !listed(id) {
			delete(t.broken, id)
		}
	}
	for id, until := range t.unreachableUntil {
		if now >= until {
			delete(t.unreachableUntil, id)
		}
	}
	for id, until := range t.peers {
		if now >= until {
			delete(t.peers, id)
		}
	}
}
