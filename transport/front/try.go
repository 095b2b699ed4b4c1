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
	"lycheehall.example/lycheehall/transport/upstream"
)

// try sends the request to the target of the permit, and decides whether there is to be
// another try. The work at the target ends with ctx, waits end with wait.
func (c *call) try(ctx, wait context.Context, p permit.Permit) (result, bool) {
	t, known := c.h.board.Load().Targets[p.Target]
	if !known || !c.mayGet(t) {
		// The permit may have been awaited for long.
		c.h.permits.Release(c.report(p, permit.Dropped, 0))
		c.tries++
		if !c.keyed || !known {
			c.await(wait, lookAgain)
		}
		return notRun("no-target", lostRetry), c.tries < maxTries && wait.Err() == nil
	}
	if res, ok := c.mayReachTargets(); !ok {
		// It waited while it crashed targets elsewhere.
		c.h.permits.Release(c.report(p, permit.Dropped, 0))
		return res, false
	}
	c.tries++
	begun := time.Now()
	answer, err := c.h.upstream.Do(ctx, c.upstreamTarget(t), c.request())
	took := time.Since(begun)
	c.targets = append(c.targets, t.ID)
	c.lastErr = err
	word := wordOf(answer, err)
	c.heard(t, word)
	if errors.Is(err, upstream.ErrTargetExited) {
		c.ended(t, took)
	}
	report := c.report(p, outcomeOf(ctx, answer, err), took)
	report.Slowness = word.Slowness
	report.Heard, report.Limit = word.Known, word.Limit
	c.h.permits.Release(report)
	if err == nil && answer.Status < http.StatusInternalServerError {
		c.h.collector.RecordAnswer(t.ID, c.decision.Rule.Name, demand.Answer{Took: took, Size: len(answer.Body), Slowness: word.Slowness, Limit: word.Limit})
	}
	return c.judge(ctx, wait, answer, err)
}

func (c *call) report(p permit.Permit, res permit.Result, took time.Duration) permit.Report {
	return permit.Report{ID: p.ID, Target: p.Target, Rule: c.decision.Rule.Name, Result: res, Took: took}
}

// outcomeOf says what a try shows about its target.
func outcomeOf(ctx context.Context, a *upstream.Response, err error) permit.Result {
	switch {
	case err == nil && a.Status >= http.StatusInternalServerError:
		return permit.Failed
	case err == nil:
		return permit.Served
	case errors.Is(err, upstream.ErrNotExecuted):
		return permit.Shed
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() == nil:
		return permit.Unreachable
	case ctx.Err() != nil:
		return permit.Dropped
	}
	return permit.Failed
}

func (c *call) upstreamTarget(t view.Target) upstream.Target {
	instances := max(1, len(c.snapshot.Instances))
	limit := 0
	if c.service.TargetConnections > 0 {
		limit = max(2, c.service.TargetConnections/instances)
	}
	return upstream.Target{ID: t.ID, Name: view.TargetName(t.ID), Address: t.Address, MaxConnections: limit}
}

func (c *call) request() *upstream.Request {
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
		Header: header, Body: c.body, Idempotent: c.then.Idempotent,
	}
}

// judge decides what follows from one try. The table in the package's documentation says
// the same in short.
func (c *call) judge(ctx, wait context.Context, answer *upstream.Response, err error) (result, bool) {
	switch {
	case err == nil && answer.Status < http.StatusInternalServerError:
		return result{answer: answer}, false
	case err == nil:
		// The target's own failure: the request has run.
		again := c.then.Idempotent && !c.keyed && c.mayRepeat(wait)
		return result{answer: answer}, again
	case errors.Is(err, upstream.ErrNotSent):
		c.await(wait, lookAgain)
		if wait.Err() != nil {
			return c.timedOut(), false
		}
		return notRun("target-unreachable", lostRetry), c.tries < maxTries
	case errors.Is(err, upstream.ErrNotExecuted):
		return c.afterNotRun(wait, err)
	}
	c.unknown = true
	if ctx.Err() != nil {
		return result{refusal: refusal{http.StatusGatewayTimeout, "deadline", 0}}, false
	}
	return result{refusal: refusal{http.StatusBadGateway, "broken-off", 0}}, c.then.Idempotent && c.mayRepeat(wait)
}

// afterNotRun goes on after a target has said that it did not run the request. One that
// does not own the key is asked again when there is news of the owner.
func (c *call) afterNotRun(ctx context.Context, err error) (result, bool) {
	var refusedBy *upstream.NotExecutedError
	if errors.As(err, &refusedBy) && refusedBy.Status == http.StatusMisdirectedRequest {
		c.await(ctx, lookAgain)
	}
	if refusedBy != nil && c.keyed && refusedBy.TargetStatus.Pause > lookAgain {
		// Nobody else has the key.
		return notRun("target-paused", refusedBy.TargetStatus.Pause), false
	}
	if ctx.Err() != nil {
		return c.timedOut(), false
	}
	return notRun("target-refused", refusedRetry), c.mayRepeat(ctx)
}

// mayRepeat reports whether the request may be sent once more: within the rule's attempts,
// the time left, and the budget that all instances share.
func (c *call) mayRepeat(ctx context.Context) bool {
	expected := c.h.collector.MeanDuration(c.decision.Rule.Name)
	if len(c.targets) >= c.then.MaxAttempts || len(c.crashed) >= quarantine.CrashLimit || time.Until(c.deadline) < expected || ctx.Err() != nil {
		return false
	}
	return c.h.budget.AllowRetry(c.service.Name, len(c.snapshot.Instances), c.isLast(expected))
}

// isLast reports whether the caller has no use for a refusal that tells it to come back: it has
// done so already, or its time would be over by then.
func (c *call) isLast(expected time.Duration) bool {
	return c.unknown || c.returning || time.Until(c.deadline) < refusedRetry+2*expected
}
