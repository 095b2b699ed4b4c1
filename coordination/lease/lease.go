// Package lease decides who may lead. One row of the store names the holder of the lease.
// The holder renews it by writing the row; each write is conditional on the row's version,
// so two instances never both succeed.
//
// No clock is compared with another's. The holder counts its lease from before it sent the
// write that renewed it. Everyone else counts from when it first knew the row's version,
// which is after that write took effect. An observer that has seen the version unchanged for
// a whole lease therefore knows that the holder's own count has run out, whatever the
// holder believes, as long as their clocks run at rates that differ by less than
// ClockTolerance. Where the store came back from a copy the row has a version of a new era, and
// the observer counts anew.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/state/store"
)

const (
	// Duration of a lease. A renewal through a slow store takes up to 0.6 s and follows
	// RenewEvery after the one before; two of them fit.
	Duration = 2 * time.Second
	// RenewEvery is the time between renewals.
	RenewEvery = 500 * time.Millisecond
	// ClockTolerance is the part by which the rates of two clocks may differ. Targets'
	// clocks may run 2 % slow, so the machines' are taken to be no worse.
	ClockTolerance = 0.02
	// SafetyMargin is what a holder keeps back for the time between a look at its lease and the
	// effect of what it then does.
	SafetyMargin = 100 * time.Millisecond
)

// Row is the content of the lease's row.
type Row struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Term grows with each change of holder.
	Term uint64 `json:"term"`
	// Vacant says that the holder has given the lease up and does nothing under it any more.
	Vacant bool `json:"vacant,omitempty"`
	// Era is the store's when the lease was taken. In a later one the row is of before the store came back
	// from a copy: another instance may have taken the lease since, and hold it.
	Era uint64 `json:"era,omitempty"`
}

// Encode returns the stored form.
func (r Row) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease: encode: %w", err)
	}
	return text, nil
}

// Decode reads the stored form.
func Decode(text []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(text, &r); err != nil {
		return Row{}, fmt.Errorf("lease: decode: %w", err)
	}
	return r, nil
}

// Holder is the holder's side. The zero value holds nothing.
type Holder struct {
	confirmed clock.Instant
	held      bool
}

// Renewed notes that a write which was begun at the given time has taken effect.
func (h *Holder) Renewed(begun clock.Instant) {
	h.confirmed = begun
	h.held = true
}

// Release gives the lease up.
func (h *Holder) Release() { h.held = false }

// Until returns when the holder must have stopped acting.
func (h *Holder) Until() clock.Instant {
	if !h.held {
		return clock.Never
	}
	return h.confirmed.Add(Duration - SafetyMargin)
}

// Valid reports whether the holder may act.
func (h *Holder) Valid(now clock.Instant) bool { return now < h.Until() }

// Observer is the side of those that do not hold the lease.
type Observer struct {
	version uint64
	since   clock.Instant
	vacant  bool
	known   bool
	// held says that somebody has held the lease.
	held bool
}

// Observe notes that the row had the version at the given time.
func (o *Observer) Observe(version uint64, vacant bool, at clock.Instant) {
	if o.known && version <= o.version {
		return
	}
	o.known = true
	o.held = o.held || store.CountOf(version) != 0
	o.version = version
	o.vacant = vacant
	o.since = at
}

// EverHeld reports whether the observer knows that somebody has held the lease.
func (o *Observer) EverHeld() bool { return o.held }

// Version returns the newest version known.
func (o *Observer) Version() uint64 { return o.version }

// MayAcquire reports whether the lease is surely free, given that the row was read just now
// with the newest version known.
func (o *Observer) MayAcquire(now clock.Instant) bool {
	if !o.known {
		return false
	}
	wait := Duration + time.Duration(float64(Duration)*ClockTolerance)
	return !o.held || o.vacant || o.UnchangedFor(now) >= wait
}

// UnchangedFor returns for how long the row has had the newest version known, as far as the observer knows.
func (o *Observer) UnchangedFor(now clock.Instant) time.Duration { return now.Sub(o.since) }
