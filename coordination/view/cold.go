package view

import (
	"time"

	"lycheehall.example/lycheehall/clock"
)

// ColdUntil returns the time until which a target counts as cold. The targets of a data centre
// whose evacuation has ended may have been idle, so they count as cold for the service's cold start
// time; their own entries in the registry show it only a heartbeat later.
func (s *Snapshot) ColdUntil(t Target) clock.Instant {
	until := t.ColdUntil
	endedAt, ended := s.Evacuations.EndedAt[t.DataCentre]
	if !ended || s.Rules == nil {
		return until
	}
	service := s.Rules.Service(t.Service)
	if service == nil || service.ColdStart == 0 {
		return until
	}
	return until.Later(endedAt.Add(time.Duration(service.ColdStart)))
}

// ColdRate returns how many requests a second a cold target of the service accepts; 0 means no
// limit.
func (s *Snapshot) ColdRate(service string) float64 {
	if s.Rules == nil {
		return 0
	}
	if known := s.Rules.Service(service); known != nil {
		return known.ColdRate
	}
	return 0
}
