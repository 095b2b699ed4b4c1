package front

import (
	"time"

	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/view"
)

// identify returns the request's identity: its caller and the fingerprint of its content.
func (c *call) identify() quarantine.Identity {
	if c.identity == nil {
		id := quarantine.IdentifyRequest(c.r, c.body)
		c.identity = &id
	}
	return *c.identity
}

// checkQuarantine refuses a request that is quarantined: it would crash each target that it
// reached, and abort the other requests there. It is called when the request arrives and again
// before each attempt, since the request may be quarantined while it waits.
func (c *call) checkQuarantine() (result, bool) {
	tracker := c.h.config.Quarantine
	if tracker.Empty() {
		return result{}, true
	}
	left, quarantined := tracker.Quarantined(c.identify())
	if !quarantined {
		return result{}, true
	}
	return notExecutedResult("quarantined", left), false
}

// suspectFingerprint returns the request's fingerprint if a target has exited while it had this
// request, or another one with the same fingerprint that no target has responded to since.
// Otherwise it returns 0.
func (c *call) suspectFingerprint() uint64 {
	tracker := c.h.config.Quarantine
	if len(c.exitedTargets) == 0 && (tracker.Empty() || !tracker.Suspected(c.identify())) {
		return 0
	}
	return uint64(c.identify().Fingerprint)
}

// recordTargetExit records that the target exited while it had the request.
func (c *call) recordTargetExit(t view.Target, took time.Duration) {
	targetsExited.Inc()
	c.exitedTargets = append(c.exitedTargets, t.ID)
	c.h.log("target-ended", "request", c.id, "target", t.ID, "service", c.service.Name, "rule", c.decision.Rule.Name,
		"took_ms", took.Milliseconds(), "fingerprint", c.identify().Fingerprint.String(),
		"method", c.r.Method, "uri", c.r.RequestURI, "caller", quarantine.CallerAddress(c.r), "body_bytes", len(c.body))
}

// recordCrashes records in the quarantine which targets exited while they had this request. If
// another target has responded to the request, something else that ran at the same time crashed the
// first one, and the exits are not counted against this request.
func (c *call) recordCrashes(res result) {
	tracker := c.h.config.Quarantine
	if res.response != nil {
		if !tracker.Empty() {
			tracker.RecordResponse(c.identify())
		}
		return
	}
	for _, target := range c.exitedTargets {
		if tracker.RecordCrash(c.identify(), target) {
			c.h.log("quarantined", "request", c.id, "fingerprint", c.identify().Fingerprint.String(), "caller", quarantine.CallerAddress(c.r), "target", target)
		}
	}
}
