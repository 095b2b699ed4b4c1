// Package session keeps the right of instances to route.
//
// An instance routes requests only while it holds a session, which names the version
// of the map and of the rules it routes with. Invariant: whenever a Ledger says that
// no session of an older version is alive, no instance can be routing with one. The
// instance counts its session from before it asked; the ledger counts from after it
// answered, plus a margin for clocks of different rates. What breaks it is a clock
// that stands still while the process does; see package clock.
package session

import (
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// Holder is the instance's side of its session.
type Holder struct {
	until clock.Instant
}

// NewHolder returns the holder of no session.
func NewHolder() *Holder { return &Holder{until: clock.Never} }

// Renew extends the session: it was asked for at sentAt and granted for length.
func (h *Holder) Renew(sentAt clock.Instant, length time.Duration) {
	h.until = h.until.Later(sentAt.Add(length))
}

// End gives the session up.
func (h *Holder) End() { h.until = clock.Never }

// Until returns the instant at which the session ends.
func (h *Holder) Until() clock.Instant { return h.until }

// Entry is the issuer's record of one session.
type Entry struct {
	ID         string
	Address    string
	DataCentre string
	Until      clock.Instant
	// AckedMap is the map version up to which the instance has stopped using older ones.
	AckedMap uint64
	// AckedMapAt is when AckedMap last grew.
	AckedMapAt clock.Instant
	// AckedRules is the version of the rules the instance applies.
	AckedRules uint64
	// Reachable and Unreachable are the targets the instance last reported about.
	Reachable   []string
	Unreachable []string
	// HeardAt is when the instance last asked.
	HeardAt clock.Instant
}

// Ledger is the issuer's record of all sessions.
type Ledger struct {
	margin  time.Duration
	entries map[string]*Entry
	epoch   uint64
}

// NewLedger returns an empty ledger. margin covers clocks of different rates.
func NewLedger(margin time.Duration) *Ledger {
	return &Ledger{margin: margin, entries: map[string]*Entry{}}
}

// Renew records that a session of the given length has been issued at now.
func (l *Ledger) Renew(now clock.Instant, e Entry, length time.Duration) {
	e.Until = now.Add(length + l.margin)
	e.AckedMapAt = now
	if old := l.entries[e.ID]; old != nil {
		e.Until = e.Until.Later(old.Until)
		if e.AckedMap <= old.AckedMap {
			e.AckedMap = old.AckedMap
			e.AckedMapAt = old.AckedMapAt
		}
		e.AckedRules = max(e.AckedRules, old.AckedRules)
	}
	if l.entries[e.ID] == nil {
		l.epoch++
	}
	l.entries[e.ID] = &e
}

// Epoch grows whenever an instance gets its first session or loses it.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// End removes the session of an instance that has given it back.
func (l *Ledger) End(id string) {
	l.epoch++
	delete(l.entries, id)
}

// Expire removes the sessions that have run out.
func (l *Ledger) Expire(now clock.Instant) []string {
	var ended []string
	for id, e := range l.entries {
		if now >= e.Until {
			ended = append(ended, id)
			l.epoch++
			delete(l.entries, id)
		}
	}
	slices.Sort(ended)
	return ended
}

// Entries returns the sessions in order of their instances' ids.
func (l *Ledger) Entries() []*Entry {
	out := make([]*Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// MapFloor returns the oldest map version that a live session may still use, or
// ^0 when there is no session.
func (l *Ledger) MapFloor() uint64 {
	floor := ^uint64(0)
	for _, e := range l.entries {
		floor = min(floor, e.AckedMap)
	}
	return floor
}

// LastAck returns when the live sessions last acknowledged a map version.
func (l *Ledger) LastAck() clock.Instant {
	last := clock.Never
	for _, e := range l.entries {
		last = last.Later(e.AckedMapAt)
	}
	return last
}

// RulesFloor returns the oldest version of the rules that a live session may still use.
func (l *Ledger) RulesFloor() uint64 {
	floor := ^uint64(0)
	for _, e := range l.entries {
		floor = min(floor, e.AckedRules)
	}
	return floor
}
