package front

import (
	"time"

	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/view"
)

// identify returns who asks for what.
func (c *call) identify() quarantine.Identity {
	if c.identity == nil {
		id := quarantine.IdentifyRequest(c.r, c.body)
		c.identity = &id
	}
	return *c.identity
}

// mayReachTargets refuses a request that is quarantined: each target that it reached would end, with
// all that it runs for others. It is asked when the request has come and again before each try, since
// what is quarantined may have become known while the request waited.
func (c *call) mayReachTargets() (result, bool) {
	registry := c.h.config.Quarantine
	if registry.Empty() {
		return result{}, true
	}
	left, quarantined := registry.Quarantined(c.identify())
	if !quarantined {
		return result{}, true
	}
	return notRun("quarantined", left), false
}

// suspect names the request if a target has ended under it, or under another one of the same content, and
// none has answered it since; 0: that is not so.
func (c *call) suspect() uint64 {
	registry := c.h.config.Quarantine
	if len(c.crashed) == 0 && (registry.Empty() || !registry.Suspected(c.identify())) {
		return 0
	}
	return uint64(c.identify().Fingerprint)
}

// ended notes that a target has ended while it had the request.
func (c *call) ended(t view.Target, took time.Duration) {
	targetsEnded.Inc()
	c.crashed = append(c.crashed, t.ID)
	c.h.log("target-ended", "request", c.id, "target", t.ID, "service", c.service.Name, "rule", c.decision.Rule.Name,
		"took_ms", took.Milliseconds(), "fingerprint", c.identify().Fingerprint.String(),
		"method", c.r.Method, "uri", c.r.RequestURI, "caller", quarantine.CallerAddress(c.r), "body_bytes", len(c.body))
}

// noteCrashes tells the registry under what the targets of this call have ended. A request that was
// answered by another target in the end was only running beside whatever crashed the first.
func (c *call) noteCrashes(res result) {
	registry := c.h.config.Quarantine
	if res.answer != nil {
		if !registry.Empty() {
			registry.RecordAnswer(c.identify())
		}
		return
	}
	for _, target := range c.crashed {
		if registry.RecordCrash(c.identify(), target) {
			c.h.log("quarantined", "request", c.id, "fingerprint", c.identify().Fingerprint.String(), "caller", quarantine.CallerAddress(c.r), "target", target)
		}
	}
}
