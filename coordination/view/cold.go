package view

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// ColdUntil returns until when a target is taken for cold. Those of a data centre that was taken back
// may have stood idle; their entries tell so a heartbeat later.
func (s *Snapshot) ColdUntil(t Target) clock.Instant {
	until := t.ColdUntil
	over, returned := s.Evacuations.Over[t.DataCentre]
	if !returned || s.Rules == nil {
		return until
	}
	service := s.Rules.Service(t.Service)
	if service == nil || service.ColdStart == 0 {
		return until
	}
	return until.Later(over.Add(time.Duration(service.ColdStart)))
}

// ColdRate returns how many requests a second a target of a service bears while it is cold; 0: no bound
// is known.
func (s *Snapshot) ColdRate(service string) float64 {
	if s.Rules == nil {
		return 0
	}
	if known := s.Rules.Service(service); known != nil {
		return known.ColdRate
	}
	return 0
}
