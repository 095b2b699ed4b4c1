// Package contention decides where the decisions for competing kinds of requests are in effect.
// Elsewhere requests are admitted and keys are placed as if all kinds could wait equally long.
package contention

import (
	"sync/atomic"

	"lycheehall.example/lycheehall/protocol/rules"
)

// Mode is the setting that says where these decisions are in effect.
type Mode string

const (
	// ModeOff: nowhere.
	ModeOff Mode = "off"
	// ModeAuto: where the rules in force let kinds compete for a service, see rules.Set.Contended.
	ModeAuto Mode = "auto"
	// ModeOn: everywhere.
	ModeOn Mode = "on"
)

// Valid reports whether the mode is one of the defined ones.
func (m Mode) Valid() bool { return m == ModeOff || m == ModeAuto || m == ModeOn }

// Switch holds the mode, which a reload of the settings may change. It is safe for concurrent use.
// The zero value is off.
type Switch struct{ mode atomic.Value }

// Set sets the mode.
func (s *Switch) Set(m Mode) { s.mode.Store(m) }

// Deployment reports whether the decisions are in effect in the deployment. The rules may be nil.
func (s *Switch) Deployment(set *rules.Set) bool {
	switch s.current() {
	case ModeOn:
		return true
	case ModeAuto:
		return set != nil && set.Contended()
	}
	return false
}

func (s *Switch) current() Mode {
	m, ok := s.mode.Load().(Mode)
	if !ok {
		return ModeOff
	}
	return m
}
