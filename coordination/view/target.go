package view

import (
	"strconv"
	"strings"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// Target is a server of a service as the registry lists it.
type Target struct {
	// ID is unique to one start of the process, see TargetID: a restarted process owns no keys and
	// must not be taken for the former one. All data about a target is stored under its ID.
	ID string
	// Born is when the process was started, in Unix milliseconds by its own clock; 0 if the
	// registry entry lacks it. It only distinguishes processes and gives no order: clocks may be
	// set back.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Draining is set when the target is leaving and gets no new work.
	Draining bool
	// DrainingAt is when this instance learned that the target is leaving; valid if Draining is
	// set.
	DrainingAt clock.Instant
	// Cold is the remaining time for which the target is cold, counted from when it was listed or
	// sent; 0 if it is not cold. A cold target has just started or has been idle: it is slow, and
	// fails at a request rate that it accepts when it is warm.
	Cold time.Duration
	// ColdSpell identifies one cold period of the target: it is the store version of the registry
	// entry that first reported it; 0 if the target is not cold.
	ColdSpell uint64
	// ColdUntil is the end of the cold period by this instance's clock.
	ColdUntil clock.Instant
}

// EqualForRouting reports whether two entries are equal in all fields that decide where requests
// go. It ignores the rest of the cold period, which changes with every heartbeat, and the time when
// the target was found to be leaving, which differs between instances.
func (t Target) EqualForRouting(u Target) bool {
	t.Cold, u.Cold = 0, 0
	t.ColdUntil, u.ColdUntil = 0, 0
	t.DrainingAt, u.DrainingAt = 0, 0
	return t == u
}

// ForSync returns the target as it is sent to another instance: with the rest of its cold period,
// and without times by this instance's clock.
func (t Target) ForSync(now clock.Instant) Target {
	t.Cold = max(0, t.ColdUntil.Sub(now))
	t.ColdUntil, t.DrainingAt = 0, 0
	return t
}

// DrainGrace is how long a leaving target still gets the requests for the keys that it owns,
// counted from when this instance learned that it is leaving. A target must get no requests 2 s
// after it has reported that it is leaving; the update takes up to 1.5 s while the leader changes.
const DrainGrace = 400 * time.Millisecond

// DrainExpired reports whether the target has been leaving for so long that it may have exited.
func (t Target) DrainExpired(now clock.Instant) bool {
	return t.Draining && now.Sub(t.DrainingAt) > DrainGrace
}

// idSeparator separates a target's name from its start time in its ID.
const idSeparator = "@"

// TargetID returns the ID of one process of a target, made of the name under which the registry
// lists the target and the process's start time.
func TargetID(name string, born int64) string {
	if born == 0 && !strings.Contains(name, idSeparator) {
		return name
	}
	return name + idSeparator + strconv.FormatInt(born, 10)
}

// TargetName returns the name of the target with the given ID. A target keeps its name when it is
// restarted.
func TargetName(id string) string {
	if i := strings.LastIndex(id, idSeparator); i >= 0 {
		return id[:i]
	}
	return id
}
