package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/targetdial"
	"lycheehall.example/lycheehall/transport/upstream"
)

// makeAttempt sends the request to the target of the permit and reports whether to make another
// attempt. ctx limits the work at the target, wait the waiting in this instance.
func (c *call) makeAttempt(ctx, wait context.Context, p permit.Permit) (result, bool) {
	t, known := c.h.board.Snapshot().Targets[p.Target]
	if !known || !c.maySendTo(t) {
		// While the request waited for the permit, the target may have been removed, or may have
		// reported that it is leaving or a pause.
		c.h.permits.Release(c.permitReport(p, permit.ResultDropped, 0))
		c.attempts++
		if !c.keyed || !known {
			c.awaitUpdate(wait, maxUpdateWait)
		}
		return notExecutedResult("no-target", unavailableRetryAfter), c.attempts < maxTotalAttempts && wait.Err() == nil
	}
	if c.endsTooLate() {
		c.h.permits.Release(c.permitReport(p, permit.ResultDropped, 0))
		return notExecutedResult("stopping", stoppingRetryAfter), false
	}
	if res, ok := c.checkQuarantine(); !ok {
		// The request was quarantined while it waited: it crashed targets at other instances.
		c.h.permits.Release(c.permitReport(p, permit.ResultDropped, 0))
		return res, false
	}
	c.attempts++
	start := time.Now()
	resp, err := c.h.upstream.Do(ctx, c.upstreamTarget(t), c.upstreamRequest())
	took := time.Since(start)
	c.triedTargets = append(c.triedTargets, t.ID)
	c.lastErr = err
	status := statusOf(resp, err)
	c.recordTargetStatus(t, status)
	c.recordReplaced(t, err)
	if errors.Is(err, upstream.ErrTargetExited) {
		c.recordTargetExit(t, took)
	}
	report := c.permitReport(p, permitResult(ctx, resp, err), took)
	report.Slowness = status.Slowness
	report.Heard, report.Limit = status.FromTarget, status.Limit
	c.h.permits.Release(report)
	if err == nil && resp.Status < http.StatusInternalServerError {
		c.h.collector.RecordResponse(t.ID, c.decision.Rule.Name, demand.Response{Took: took, Size: len(resp.Body), Slowness: status.Slowness, Limit: status.Limit})
	}
	return c.afterAttempt(ctx, wait, resp, err)
}

func (c *call) permitReport(p permit.Permit, res permit.Result, took time.Duration) permit.Report {
	return permit.Report{ID: p.ID, Target: p.Target, Rule: c.decision.Rule.Name, Result: res, Took: took}
}

// permitResult translates the outcome of an attempt into what it shows about the target.
func permitResult(ctx context.Context, resp *upstream.Response, err error) permit.Result {
	switch {
	case err == nil && resp.Status >= http.StatusInternalServerError:
		return permit.ResultFailed
	case err == nil:
		return permit.ResultServed
	case errors.Is(err, upstream.ErrNotExecuted):
		return permit.ResultNotExecuted
	case errors.Is(err, targetdial.ErrUnconfirmed), errors.Is(err, upstream.ErrPathLost):
		return permit.ResultDropped
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() == nil:
		return permit.ResultUnreachable
	case ctx.Err() != nil:
		return permit.ResultDropped
	}
	return permit.ResultFailed
}

func (c *call) upstreamTarget(t view.Target) upstream.Target {
	instances := max(1, len(c.snapshot.Instances))
	limit := 0
	if c.service.TargetConnections > 0 {
		limit = max(2, c.service.TargetConnections/instances)
	}
	return upstream.Target{ID: t.ID, Name: view.TargetName(t.ID), Address: t.Address, MaxConnections: limit}
}

func (c *call) upstreamRequest() *upstream.Request {
	header := c.r.Header.Clone()
	wire.DropConnectionHeaders(header)
	header.Del("Content-Length")
	header.Del(c.h.config.Names.Timeout)
	header.Del(c.h.config.Names.Target)
	header.Set(c.h.config.Names.RequestID, c.id)
	if c.keyed && !c.decision.KeyIsNumber {
		header.Set(c.h.config.Names.Key, strconv.Itoa(int(c.key)))
	}
	return &upstream.Request{
		ID: c.id, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host,
		Header: header, Body: c.body, Idempotent: c.then.Idempotent, OnBuffer: c.responseBuffered, Attempts: &c.connections,
	}
}

// afterAttempt decides how to go on after an attempt: it returns the result for the caller and
// whether to make another attempt instead. The table in the package documentation summarises it.
func (c *call) afterAttempt(ctx, wait context.Context, resp *upstream.Response, err error) (result, bool) {
	switch {
	case err == nil && resp.Status < http.StatusInternalServerError:
		return result{response: resp}, false
	case err == nil:
		// The target itself failed: the request was executed. If the retry is refused, the caller
		// must not be told that it was not.
		retry := c.then.Idempotent && !c.keyed && c.mayRetry(wait)
		c.outcomeUnknown = c.outcomeUnknown || retry
		return result{response: resp}, retry
	case errors.Is(err, targetdial.ErrPartitioned):
		return notExecutedResult("partitioned", partitionedRetryAfter), false
	case errors.Is(err, upstream.ErrNotSent):
		c.awaitUpdate(wait, maxUpdateWait)
		if wait.Err() != nil {
			return c.resultOfEndedWait(), false
		}
		return notExecutedResult("target-unreachable", unavailableRetryAfter), c.attempts < maxTotalAttempts
	case errors.Is(err, upstream.ErrNotExecuted):
		return c.afterNotExecuted(wait, err)
	}
	c.outcomeUnknown = true
	if ctx.Err() != nil {
		return result{refusal: refusal{http.StatusGatewayTimeout, "deadline", 0}}, false
	}
	return result{refusal: refusal{http.StatusBadGateway, "broken-off", 0}}, c.then.Idempotent && c.mayRetry(wait)
}

// afterNotExecuted decides how to go on after the target reported that it did not execute the
// request. If the target does not own the key (status 421), it first waits for an update of the
// owner.
func (c *call) afterNotExecuted(ctx context.Context, err error) (result, bool) {
	var refusedBy *upstream.NotExecutedError
	if errors.As(err, &refusedBy) && refusedBy.Status == http.StatusMisdirectedRequest {
		c.awaitUpdate(ctx, maxUpdateWait)
	}
	if refusedBy != nil && c.keyed && refusedBy.TargetStatus.Pause > maxUpdateWait {
		// No other target owns the key.
		return notExecutedResult("target-paused", refusedBy.TargetStatus.Pause), false
	}
	if ctx.Err() != nil {
		return c.resultOfEndedWait(), false
	}
	return notExecutedResult("target-refused", refusedRetryAfter), c.mayRetry(ctx)
}

// mayRetry reports whether there may be a retry: within the rule's attempts, the time left, and the
// retry budget that all instances share. It deducts the retry from the budget.
func (c *call) mayRetry(ctx context.Context) bool {
	expected := c.h.collector.MeanDuration(c.decision.Rule.Name)
	if len(c.triedTargets) >= c.then.MaxAttempts || len(c.exitedTargets) >= quarantine.CrashLimit || time.Until(c.deadline) < expected || ctx.Err() != nil {
		return false
	}
	return c.h.budget.AllowRetry(c.service.Name, len(c.snapshot.Instances), c.callerCannotRetry(expected))
}

// callerCannotRetry reports whether a refusal with Retry-After cannot help the caller: it has
// retried already, it has too little time left, or the outcome is unknown, so that it cannot be
// told to retry.
func (c *call) callerCannotRetry(expected time.Duration) bool {
	return c.outcomeUnknown || c.returning || time.Until(c.deadline) < refusedRetryAfter+2*expected
}
