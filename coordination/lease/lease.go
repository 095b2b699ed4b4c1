// Package lease decides which instance may be leader. One row of the store names the holder of the
// lease. The holder renews the lease by writing the row. Each write is conditional on the row's
// version, so that of two competing instances only one succeeds.
//
// Times of different clocks are never compared. The holder counts its lease from before it sent the
// write that renewed it. All others count from when they first saw the row's version, which is
// after that write took effect. So an observer that has seen the same version for the duration of a
// lease, lengthened by ClockTolerance, knows that the lease has expired by the holder's clock too,
// as long as the rates of the two clocks differ by less than that. After the store was restored
// from a backup, the row has a version of a new era, and the observer begins to count again.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/state/store"
)

const (
	// Duration is the duration of a lease. A renewal takes up to 0.6 s if the store is slow, and
	// begins RenewEvery after the previous one, so that two renewals fit into a lease.
	Duration = 2 * time.Second
	// RenewEvery is the time between renewals.
	RenewEvery = 500 * time.Millisecond
	// ClockTolerance is the fraction by which the rates of two clocks may differ. The clocks of
	// targets may run 2 % slow; those of the machines of the instances are assumed to be no worse.
	ClockTolerance = 0.02
	// SafetyMargin is how long before its lease expires a holder stops acting under it. It covers
	// the time between a check of the lease and the effect of the action that follows.
	SafetyMargin = 100 * time.Millisecond
)

// Row is the content of the store's row that names the holder of the lease.
type Row struct {
	// Holder is the ID of the instance that holds the lease, and Address the host and port at which
	// other instances connect to it.
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Term grows each time that an instance takes the lease.
	Term uint64 `json:"term"`
	// Vacant is set when the holder has given the lease up and no longer acts under it.
	Vacant bool `json:"vacant,omitempty"`
	// Era is the era of the store in which the lease was taken. In a later era the row dates from
	// before the store was restored from a backup: another instance may have taken the lease since
	// then, and may still hold it.
	Era uint64 `json:"era,omitempty"`
}

// Encode returns the stored form of a row.
func (r Row) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode row: %w", err)
	}
	return text, nil
}

// Decode decodes the stored form of a row.
func Decode(text []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(text, &r); err != nil {
		return Row{}, fmt.Errorf("lease: decode row: %w", err)
	}
	return r, nil
}

// OwnLease tracks whether this instance holds the lease, and until when. The zero value means that
// it does not.
type OwnLease struct {
	// renewedAt is when the last successful renewal was begun.
	renewedAt clock.Instant
	held      bool
}

// Renewed records that a renewal that was begun at the given time has taken effect.
func (l *OwnLease) Renewed(begun clock.Instant) {
	l.renewedAt = begun
	l.held = true
}

// GivenUp records that the lease is given up.
func (l *OwnLease) GivenUp() { l.held = false }

// Until returns the time by which this instance must stop acting under the lease. If it does not
// hold the lease, Until returns clock.Never, which is before every other instant: an instance
// without the lease may not act at any time.
func (l *OwnLease) Until() clock.Instant {
	if !l.held {
		return clock.Never
	}
	return l.renewedAt.Add(Duration - SafetyMargin)
}

// Valid reports whether this instance may act under the lease.
func (l *OwnLease) Valid(now clock.Instant) bool { return now < l.Until() }

// Observer tracks the lease's row for an instance that does not hold the lease.
type Observer struct {
	// version is the newest known version of the row, and unchangedSince when it was first seen.
	version        uint64
	unchangedSince clock.Instant
	vacant         bool
	// known is set when the row has been observed.
	known bool
	// everHeld is set when any instance is known to have held the lease.
	everHeld bool
}

// Observe records that the row had the version at the given time, and whether the lease was vacant.
// An older version is ignored.
func (o *Observer) Observe(version uint64, vacant bool, at clock.Instant) {
	if o.known && version <= o.version {
		return
	}
	o.known = true
	o.everHeld = o.everHeld || store.CountOf(version) != 0
	o.version = version
	o.vacant = vacant
	o.unchangedSince = at
}

// EverHeld reports whether any instance is known to have held the lease.
func (o *Observer) EverHeld() bool { return o.everHeld }

// Version returns the newest known version of the row.
func (o *Observer) Version() uint64 { return o.version }

// MayAcquire reports whether the lease is certain to be free, given that the row was just read and
// had the newest known version.
func (o *Observer) MayAcquire(now clock.Instant) bool {
	if !o.known {
		return false
	}
	wait := Duration + time.Duration(float64(Duration)*ClockTolerance)
	return !o.everHeld || o.vacant || o.UnchangedFor(now) >= wait
}

// UnchangedFor returns how long ago the newest known version of the row was first seen.
func (o *Observer) UnchangedFor(now clock.Instant) time.Duration { return now.Sub(o.unchangedSince) }
