package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/transport/membudget"
	"lycheehall.example/lycheehall/transport/upstream"
)

const (
	// responseMargin is subtracted from the caller's timeout, so that a response of this instance
	// still reaches the caller in time.
	responseMargin = 15 * time.Millisecond
	// startupRetryAfter is the Retry-After while this instance has no rules yet, or no map of the
	// service's keys.
	startupRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After while this instance shuts down. The caller's next
	// connection goes to another instance.
	stoppingRetryAfter = 50 * time.Millisecond
	// partitionedRetryAfter is the Retry-After while this instance reaches no target and no other instance
	// connects for it. The caller's next connection may go to one that does.
	partitionedRetryAfter = 50 * time.Millisecond
	// limitRetryAfter is the Retry-After when the rule's limit on each instance is reached.
	limitRetryAfter = time.Second
	// unavailableRetryAfter is the Retry-After when the owner of the key was lost or no target
	// could accept the request. Most keys of a lost owner are served again after the time to detect
	// the loss and the hold of its grant.
	unavailableRetryAfter = time.Second
	// refusedRetryAfter is the Retry-After when the target refused the request although it had a
	// free slot, and the retry budget is spent. It is short, so that a caller that retries at once
	// can still get a response within its aim, even where targets refuse half of their requests.
	refusedRetryAfter = 100 * time.Millisecond
	// maxReassignWait limits the wait for a key that is being reassigned. The previous owner first
	// finishes its running work.
	maxReassignWait = 1500 * time.Millisecond
	// maxUpdateWait limits the wait for an update after the target refused the request or was
	// unreachable. It is also the longest pause of a target that is waited for; during a longer
	// one, requests are refused.
	maxUpdateWait = 150 * time.Millisecond
	// maxTotalAttempts limits the attempts of one request, whatever the rule allows: the rule's
	// limit does not count attempts that reached no target.
	maxTotalAttempts = 6
)

// call is the state of one caller's request while it is being served.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	id       string
	start    time.Time
	deadline time.Time

	snapshot *view.Snapshot
	decision rules.Decision
	then     *rules.Then
	service  *rules.Service
	key      uint16
	keyed    bool
	body     []byte
	memory   reservedMemory
	// returning says that the request is a retry by a caller that was refused before;
	// sinceFirstRequest is the time since that caller's first request.
	returning         bool
	sinceFirstRequest time.Duration
	// callerTimeout is the timeout that the caller sent; 0 if it sent none.
	callerTimeout time.Duration

	// identity caches the result of identify.
	identity *quarantine.Identity
	// connections are those that carried the attempts.
	connections upstream.Attempts
	// exitedTargets are the targets whose process exited while it had the request.
	exitedTargets []string

	// The following fields are logged.
	attempts        int
	triedTargets    []string
	queuedFor       time.Duration
	waitedForUpdate time.Duration
	mapVersion      uint64
	// contended says that the decisions for competing kinds of requests are in effect.
	contended bool
	// outcomeUnknown says that an attempt may have been executed.
	outcomeUnknown bool
	lastErr        error
}

// serve handles the request and returns the result for the caller.
func (c *call) serve() result {
	if res, ok := c.route(); !ok {
		return res
	}
	if c.h.refuseNew.Load() {
		return notExecutedResult("stopping", stoppingRetryAfter)
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.h.workCtx, cancel)()
	if res, ok := c.reserveMemory(); !ok {
		return res
	}
	if res, ok := c.readBody(); !ok {
		return res
	}
	if res, ok := c.checkQuarantine(); !ok {
		return res
	}
	release, retryAfter, ok := c.admitByLimit()
	if !ok {
		return result{refusal: refusal{http.StatusTooManyRequests, "limit", retryAfter}}
	}
	defer release()
	c.h.budget.CountRequest(c.service.Name)
	if c.keyed {
		c.h.collector.RecordArrival(c.service.Name, c.decision.Rule.Name, c.key)
	}
	res := c.run(ctx)
	c.recordCrashes(res)
	return res
}

// admitByLimit reports whether the request is within its rule's limit, and counts it if so. release
// must be called when the request has ended.
func (c *call) admitByLimit() (release func(), retryAfter time.Duration, ok bool) {
	if limit := c.then.Limit; limit != nil && limit.Scope == rules.ScopeAll {
		return c.h.config.Quota.Admit(c.decision.Rule)
	}
	release, ok = c.h.limits.admit(c.snapshot.Rules, c.decision.Rule)
	return release, limitRetryAfter, ok
}

// route evaluates the rules and sets the rule, service, key and deadline of the request. It returns
// false with a result if the request goes no further.
func (c *call) route() (result, bool) {
	c.snapshot = c.h.board.Snapshot()
	if c.snapshot.Rules == nil {
		return notExecutedResult("no-rules", startupRetryAfter), false
	}
	c.decision = c.h.decide(c.snapshot.Rules, c.r)
	if c.decision.Rule == nil {
		return result{refusal: refusal{http.StatusNotFound, "no-rule", 0}}, false
	}
	c.then = &c.decision.Rule.Then
	if refuse := c.then.Refuse; refuse != nil {
		return result{refusal: refusal{refuse.Status, refuse.Message, time.Duration(refuse.RetryAfter)}}, false
	}
	name := c.then.Route
	if len(c.then.Backends) > 0 {
		name = c.h.backends.Pick(c.decision.Rule)
	}
	c.service = c.snapshot.Rules.Service(name)
	c.setDeadline()
	if !c.service.Keyed {
		return result{}, true
	}
	c.key, c.keyed = c.decision.KeyNumber()
	if !c.keyed {
		return result{refusal: refusal{http.StatusBadRequest, "no-key", 0}}, false
	}
	return result{}, true
}

// setDeadline sets the deadline to the shorter of the caller's and the rule's timeout.
func (c *call) setDeadline() {
	left := c.decision.Rule.Deadline()
	if ms, err := strconv.ParseInt(c.r.Header.Get(c.h.config.Names.Timeout), 10, 64); err == nil && ms > 0 {
		timeout := time.Duration(ms) * time.Millisecond
		c.callerTimeout = timeout
		c.sinceFirstRequest, c.returning = c.h.callerRetries.Observe(c.decision.Rule.Name, timeout)
		left = min(left, timeout)
	}
	c.deadline = c.start.Add(left - responseMargin)
}

// readBody buffers the body so that it can be sent more than once.
func (c *call) readBody() (result, bool) {
	if c.r.ContentLength == 0 || c.r.Body == nil {
		return result{}, true
	}
	if c.r.ContentLength > c.h.config.MaxBody {
		return result{refusal: refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}}, false
	}
	// A slow caller must not hold the request open indefinitely. The error is ignored: where the
	// connection does not support deadlines, as in tests, there is nothing to limit.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	body, err := membudget.ReadBody(c.r.Body, c.r.ContentLength, c.h.config.MaxBody, c.bodyBuffered)
	if err != nil {
		// The deadline stays set: the server waits for the rest of the body before it responds.
		return resultOfBodyError(err), false
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	return result{}, true
}

// run makes attempts until there is a response or the request is given up.
func (c *call) run(ctx context.Context) result {
	// When the instance shuts down, waits end earlier than running requests.
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.h.waitCtx, cancel)()
	for {
		if c.endsTooLate() {
			return c.withUnknownOutcome(notExecutedResult("stopping", stoppingRetryAfter))
		}
		target, res, ok := c.findOwner(wait)
		if !ok {
			return c.withUnknownOutcome(res)
		}
		p, err := c.acquirePermit(wait, target)
		if err != nil {
			return c.withUnknownOutcome(c.permitError(wait, err))
		}
		res, retry := c.makeAttempt(ctx, wait, p)
		if retry {
			res, retry = c.reserveForRetry(res)
		}
		if !retry {
			return c.withUnknownOutcome(res)
		}
	}
}

// endsTooLate reports whether the instance shuts down so soon that a request sent now would be aborted.
func (c *call) endsTooLate() bool {
	by := c.h.stopSendingBy.Load()
	if by == nil {
		return false
	}
	return c.h.waitCtx.Err() != nil || time.Until(*by) < c.h.collector.MeanDuration(c.decision.Rule.Name)
}

// withUnknownOutcome turns a 503 into a 502 without Retry-After if an earlier attempt may have been
// executed, since a 503 promises that the request was not executed.
func (c *call) withUnknownOutcome(res result) result {
	if res.response == nil && c.outcomeUnknown && res.refusal.status == http.StatusServiceUnavailable {
		res.refusal.status = http.StatusBadGateway
		res.refusal.retryAfter = 0
	}
	return res
}

// findOwner returns the target that owns the key. While the key is being reassigned it waits, if
// enough time is left. The target is empty for services that are not keyed.
func (c *call) findOwner(ctx context.Context) (string, result, bool) {
	if !c.keyed {
		c.snapshot = c.h.board.Snapshot()
		return "", result{}, true
	}
	for {
		c.snapshot = c.h.board.Snapshot()
		m := c.snapshot.Maps[c.service.Name]
		if m == nil {
			return "", notExecutedResult("no-owner", startupRetryAfter), false
		}
		r := m.Find(c.key)
		c.mapVersion = m.Version
		owner, known := c.snapshot.Targets[r.Owner]
		if r.Served() && known && !c.isExcluded(owner) {
			if res, ok := c.awaitPause(ctx, r.Owner); !ok {
				return "", res, false
			}
			return r.Owner, result{}, true
		}
		if r.Served() && known && c.cannotReassign() {
			return "", notExecutedResult("owner-leaves", unavailableRetryAfter), false
		}
		if r.Lost || r.Owner == "" || c.h.config.TargetStatus.Replaced(r.Owner, owner.Address) {
			return "", notExecutedResult("owner-lost", unavailableRetryAfter), false
		}
		expected := c.h.collector.MeanDuration(c.decision.Rule.Name)
		if time.Until(c.deadline) < expected || c.waitedForUpdate > maxReassignWait {
			return "", notExecutedResult("moving", unavailableRetryAfter/2), false
		}
		c.awaitUpdate(ctx, maxReassignWait)
		if ctx.Err() != nil {
			return "", c.resultOfEndedWait(), false
		}
	}
}

// awaitUpdate waits until the snapshot changes, at most for timeout.
func (c *call) awaitUpdate(ctx context.Context, timeout time.Duration) {
	start := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.snapshot.Changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.waitedForUpdate += time.Since(start)
}

func (c *call) acquirePermit(ctx context.Context, target string) (permit.Permit, error) {
	ask := permit.Ask{
		ID:      c.h.idPrefix + "-" + strconv.FormatUint(c.h.lastID.Add(1), 36),
		Service: c.service.Name, Target: target, Rule: c.decision.Rule.Name,
		Priority:  c.then.Priority,
		AimLeft:   time.Duration(c.then.Aim) - c.sinceFirstRequest - time.Since(c.start),
		Left:      time.Until(c.deadline),
		Returning: c.returning, DataCentre: c.h.config.DataCentre,
		Abroad: permit.CrossDataCentreCost(c.h.collector.MeanResponseSize(c.decision.Rule.Name)),
	}
	if contended := c.h.config.Contended; contended != nil && contended(c.snapshot.Rules) {
		ask.Contended, ask.Aim = true, time.Duration(c.then.Aim)
		c.contended = true
	}
	if target == "" {
		ask.Exclude = c.targetsToAvoid()
	}
	ask.Limits = c.knownLimits(target)
	ask.Suspect = c.suspectFingerprint()
	p, err := c.h.permits.Acquire(ctx, ask)
	c.queuedFor += p.Waited
	permitWaitSeconds.Update(p.Waited.Seconds())
	return p, err
}

// permitError returns the result for a request that got no permit.
func (c *call) permitError(ctx context.Context, err error) result {
	var refused *permit.RefusedError
	if errors.As(err, &refused) {
		return notExecutedResult(refused.Reason, refused.RetryAfter)
	}
	c.lastErr = err
	if ctx.Err() != nil {
		return c.resultOfEndedWait()
	}
	return notExecutedResult("no-permit", unavailableRetryAfter)
}

// resultOfEndedWait returns the result for a request whose wait has ended: the caller has gone, the
// instance is shutting down, or the time is over. It must only be called while no attempt is
// running.
func (c *call) resultOfEndedWait() result {
	switch {
	case c.r.Context().Err() != nil:
		return notExecutedResult("caller-gone", 0)
	case c.h.waitCtx.Err() != nil:
		return notExecutedResult("stopping", stoppingRetryAfter)
	}
	return notExecutedResult("deadline", unavailableRetryAfter/2)
}

// logRequest updates the request metrics and writes the log line of the request.
func (c *call) logRequest(res result) {
	took := time.Since(c.start)
	dataAge := c.h.clock.Now().Sub(c.h.board.CurrentAsOf())
	requestSeconds.Update(took.Seconds())
	if c.snapshot.Rules != nil {
		snapshotAgeSeconds.Update(dataAge.Seconds())
	}
	status, reason := res.refusal.status, res.refusal.reason
	if res.response != nil {
		status, reason = res.response.Status, "answered"
	}
	fields := []any{
		"request", c.id, "status", status, "outcome", reason, "took_ms", took.Milliseconds(), "given_ms", c.callerTimeout.Milliseconds(),
		"rules", c.snapshot.RulesVersion, "known_ms", dataAge.Milliseconds(),
	}
	if c.decision.Rule != nil {
		fields = append(fields, "rule", c.decision.Rule.Name)
	}
	if c.service != nil {
		fields = append(fields, "service", c.service.Name, "tries", c.attempts, "targets", c.triedTargets,
			"queued_ms", c.queuedFor.Milliseconds(), "held_ms", c.waitedForUpdate.Milliseconds())
	}
	if c.contended {
		fields = append(fields, "contended", true, "priority", c.then.Priority)
	}
	if c.keyed {
		fields = append(fields, "key", c.key, "map", c.mapVersion)
	}
	if res.response == nil {
		fields = append(fields, "retry_after_ms", res.refusal.retryAfter.Milliseconds(), "returning", c.returning)
		countRefusal(status, reason)
	}
	if c.lastErr != nil {
		fields = append(fields, "error", c.lastErr.Error())
	}
	c.h.log("request", fields...)
}
