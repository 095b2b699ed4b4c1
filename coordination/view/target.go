package view

import (
	"strconv"
	"strings"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// Target is a server of a service as the registry lists it.
type Target struct {
	// ID is unique to one start of the process, see LifeID: a process that is started again
	// owns nothing and must not be taken for the earlier one. Whatever is kept for a target is
	// kept under its ID.
	ID string
	// Born is when the process was started, in Unix milliseconds by its own clock; 0: it does
	// not say. It tells lives apart and nothing else: clocks are set back.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	// Slots is how many requests the target runs at a time.
	Slots int
	// Draining says that the target is about to leave and wants no new work.
	Draining bool
	// DrainingAt is when this instance learned that the target is draining.
	DrainingAt clock.Instant
	// Cold is how much longer the target is cold, as of when it was listed or told: it is slow, and
	// breaks down at a rate of requests that it bears otherwise.
	Cold time.Duration
	// ColdSpell tells one cold time of the target from the next: the version of the entry that first
	// told of it; 0: it is not cold.
	ColdSpell uint64
	// ColdUntil is until when this instance takes the target for cold.
	ColdUntil clock.Instant
}

// EqualForRouting reports whether two entries are the same in what decides where requests go. The rest of
// a cold time changes with every heartbeat, and when a target was found to be draining differs
// between instances.
func (t Target) EqualForRouting(u Target) bool {
	t.Cold, u.Cold = 0, 0
	t.ColdUntil, u.ColdUntil = 0, 0
	t.DrainingAt, u.DrainingAt = 0, 0
	return t == u
}

// ForSync returns the target as it is told to another instance, whose clock reads otherwise.
func (t Target) ForSync(now clock.Instant) Target {
	t.Cold = max(0, t.ColdUntil.Sub(now))
	t.ColdUntil, t.DrainingAt = 0, 0
	return t
}

// DrainGrace is how long after it was known to be draining a target is still sent to. It must
// get nothing 2 s after it said so; the news takes up to 1.5 s while the leading instance
// changes.
const DrainGrace = 400 * time.Millisecond

// DrainExpired reports whether a target has been draining for so long that it may have ended.
func (t Target) DrainExpired(now clock.Instant) bool {
	return t.Draining && now.Sub(t.DrainingAt) > DrainGrace
}

// lifeMark stands between a target's name and its start in its ID.
const lifeMark = "@"

// TargetID returns the ID of one life of a target: the name under which the registry lists it,
// and when it was started.
func TargetID(name string, born int64) string {
	if born == 0 && !strings.Contains(name, lifeMark) {
		return name
	}
	return name + lifeMark + strconv.FormatInt(born, 10)
}

// TargetName returns the name that a target goes by itself, which all its lives share.
func TargetName(id string) string {
	if i := strings.LastIndex(id, lifeMark); i >= 0 {
		return id[:i]
	}
	return id
}
