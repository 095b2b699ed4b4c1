package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
)

const (
	// answerMargin is taken off the time that a caller has, so that an answer of our own
	// still reaches it in time.
	answerMargin = 15 * time.Millisecond
	// noConfigRetry is when a caller should come back to an instance that has just started.
	noConfigRetry = 500 * time.Millisecond
	// stoppingRetry is when a caller should come back after its instance has stopped: another
	// one takes the connection at once.
	stoppingRetry = 50 * time.Millisecond
	// limitRetry is when a caller should come back after a rule's limit was reached.
	limitRetry = time.Second
	// lostRetry is when a caller should come back for a key whose owner was lost. Most of
	// such keys are served again within a hold and the time to notice.
	lostRetry = time.Second
	// refusedRetry is when a caller should come back after its target refused the request
	// although it had a slot free, and it could not be sent again within the budget. Where
	// targets refuse half of what they get, a caller that comes back at once is still served
	// within its aim.
	refusedRetry = 100 * time.Millisecond
	// moveWait bounds the wait for a key that changes hands. The former owner's running
	// work has to end first.
	moveWait = 1500 * time.Millisecond
	// lookAgain is how long a request waits for news after its target refused it or could
	// not be reached.
	lookAgain = 150 * time.Millisecond
	// maxTries bounds the tries of one request, whatever the rule allows: tries that
	// reached nobody do not count there.
	maxTries = 6
)

// call is one caller's request on its way.
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
	// returning says that the caller was refused before; elapsed is how long ago it first
	// asked.
	returning bool
	elapsed   time.Duration
	// given is how long the caller says that it waits; 0: it does not say.
	given time.Duration

	// identity says who asks for what, once that was wanted.
	identity *quarantine.Identity
	// crashed are the targets that ended while they had the request.
	crashed []string

	// What follows is told in the log.
	tries   int
	targets []string
	waited  time.Duration
	moved   time.Duration
	mapAt   uint64
	// unknown says that a try may have run.
	unknown bool
	lastErr error
}

// serve brings the request to its end.
func (c *call) serve() result {
	if res, ok := c.decide(); !ok {
		return res
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.h.ending, cancel)()
	if res, ok := c.readBody(); !ok {
		return res
	}
	if res, ok := c.mayReachTargets(); !ok {
		return res
	}
	leave, ok := c.h.limits.admit(c.snapshot.Rules, c.decision.Rule)
	if !ok {
		return result{refusal: refusal{http.StatusTooManyRequests, "limit", limitRetry}}
	}
	defer leave()
	c.h.budget.CountRequest(c.service.Name)
	if c.keyed {
		c.h.collector.RecordArrival(c.service.Name, c.decision.Rule.Name, c.key)
	}
	res := c.run(ctx)
	c.noteCrashes(res)
	return res
}

// decide lets the rules decide about the request.
func (c *call) decide() (result, bool) {
	c.snapshot = c.h.board.Load()
	if c.snapshot.Rules == nil {
		return notRun("no-rules", noConfigRetry), false
	}
	c.decision = c.snapshot.Rules.Decide(&rules.Request{
		Method: c.r.Method, Host: c.r.Host, URL: c.r.URL, Header: c.r.Header, DataCentre: c.h.config.DataCentre,
	})
	if c.decision.Rule == nil {
		return result{refusal: refusal{http.StatusNotFound, "no-rule", 0}}, false
	}
	c.then = &c.decision.Rule.Then
	if f := c.then.Refuse; f != nil {
		return result{refusal: refusal{f.Status, f.Message, time.Duration(f.RetryAfter)}}, false
	}
	name := c.then.Route
	if len(c.then.Backends) > 0 {
		name = c.h.weights.Pick(c.decision.Rule)
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

// setDeadline takes the shorter of the caller's and the rule's time.
func (c *call) setDeadline() {
	left := c.decision.Rule.Deadline()
	if ms, err := strconv.ParseInt(c.r.Header.Get(c.h.config.Names.Timeout), 10, 64); err == nil && ms > 0 {
		given := time.Duration(ms) * time.Millisecond
		c.given = given
		c.elapsed, c.returning = c.h.patience.Seen(c.decision.Rule.Name, given)
		left = min(left, given)
	}
	c.deadline = c.start.Add(left - answerMargin)
}

// readBody keeps the body so that it can be sent again.
func (c *call) readBody() (result, bool) {
	if c.r.ContentLength == 0 || c.r.Body == nil {
		return result{}, true
	}
	if c.r.ContentLength > c.h.config.MaxBody {
		return result{refusal: refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}}, false
	}
	// A caller that sends slowly must not hold the request open for ever. Where the
	// connection has no deadlines, as in tests, there is nothing to bound.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	body, err := io.ReadAll(io.LimitReader(c.r.Body, c.h.config.MaxBody+1))
	if err != nil {
		// The deadline stays: the server waits for the rest before it answers.
		return result{refusal: refusal{http.StatusBadRequest, "body-broken", 0}}, false
	}
	if int64(len(body)) > c.h.config.MaxBody {
		return result{refusal: refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}}, false
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	return result{}, true
}

// run makes tries until the request is answered or given up.
func (c *call) run(ctx context.Context) result {
	// Waits end earlier than work when the instance stops.
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.h.closing, cancel)()
	for {
		target, res, ok := c.resolve(wait)
		if !ok {
			return c.truthful(res)
		}
		p, err := c.acquire(wait, target)
		if err != nil {
			return c.truthful(c.refused(wait, err))
		}
		res, again := c.try(ctx, wait, p)
		if !again {
			return c.truthful(res)
		}
	}
}

// truthful keeps a refusal from promising that a request did not run which may have.
func (c *call) truthful(res result) result {
	if res.answer == nil && c.unknown && res.refusal.status == http.StatusServiceUnavailable {
		res.refusal.status = http.StatusBadGateway
		res.refusal.retryAfter = 0
	}
	return res
}

// resolve finds the owner of the key. While the key changes hands the request waits, if it
// has the time. The target is empty for services without keys.
func (c *call) resolve(ctx context.Context) (string, result, bool) {
	if !c.keyed {
		c.snapshot = c.h.board.Load()
		return "", result{}, true
	}
	for {
		c.snapshot = c.h.board.Load()
		m := c.snapshot.Maps[c.service.Name]
		if m == nil {
			return "", notRun("no-owner", noConfigRetry), false
		}
		r := m.Find(c.key)
		c.mapAt = m.Version
		owner, known := c.snapshot.Targets[r.Owner]
		if r.Served() && known && !c.hasLeft(owner) {
			if res, ok := c.awaitPause(ctx, r.Owner); !ok {
				return "", res, false
			}
			return r.Owner, result{}, true
		}
		if r.Served() && known && c.cannotMove() {
			return "", notRun("owner-leaves", lostRetry), false
		}
		if r.Lost || r.Owner == "" {
			return "", notRun("owner-lost", lostRetry), false
		}
		expected := c.h.collector.MeanDuration(c.decision.Rule.Name)
		if time.Until(c.deadline) < expected || c.moved > moveWait {
			return "", notRun("moving", lostRetry/2), false
		}
		c.await(ctx, moveWait)
		if ctx.Err() != nil {
			return "", c.timedOut(), false
		}
	}
}

// await waits for news, for at most the given time.
func (c *call) await(ctx context.Context, most time.Duration) {
	begun := time.Now()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-c.snapshot.Changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.moved += time.Since(begun)
}

func (c *call) acquire(ctx context.Context, target string) (permit.Permit, error) {
	ask := permit.Ask{
		ID:      c.h.start + "-" + strconv.FormatUint(c.h.attempts.Add(1), 36),
		Service: c.service.Name, Target: target, Rule: c.decision.Rule.Name,
		Priority:  c.then.Priority,
		AimLeft:   time.Duration(c.then.Aim) - c.elapsed - time.Since(c.start),
		Left:      time.Until(c.deadline),
		Returning: c.returning, DataCentre: c.h.config.DataCentre,
		Abroad: permit.CrossDataCentreCost(c.h.collector.MeanAnswerSize(c.decision.Rule.Name)),
	}
	if target == "" {
		ask.Exclude = c.avoided()
	}
	ask.Limits = c.limits(target)
	ask.Suspect = c.suspect()
	p, err := c.h.permits.Acquire(ctx, ask)
	c.waited += p.Waited
	permitSeconds.Update(p.Waited.Seconds())
	return p, err
}

// refused turns the lack of a permit into an answer.
func (c *call) refused(ctx context.Context, err error) result {
	var full *permit.RefusedError
	if errors.As(err, &full) {
		return notRun(full.Reason, full.RetryAfter)
	}
	c.lastErr = err
	if ctx.Err() != nil {
		return c.timedOut()
	}
	return notRun("no-permit", lostRetry)
}

// timedOut answers a request whose time is over, or whose caller has gone. It is called
// where no try is under way.
func (c *call) timedOut() result {
	switch {
	case c.r.Context().Err() != nil:
		return notRun("caller-gone", 0)
	case c.h.closing.Err() != nil:
		return notRun("stopping", stoppingRetry)
	}
	return notRun("deadline", lostRetry/2)
}

// record writes the line that tells how the request was decided.
func (c *call) record(res result) {
	took := time.Since(c.start)
	known := c.h.clock.Now().Sub(c.h.board.CurrentAsOf())
	requestSeconds.Update(took.Seconds())
	if c.snapshot.Rules != nil {
		knownSeconds.Update(known.Seconds())
	}
	status, reason := res.refusal.status, res.refusal.reason
	if res.answer != nil {
		status, reason = res.answer.Status, "answered"
	}
	fields := []any{
		"request", c.id, "status", status, "outcome", reason, "took_ms", took.Milliseconds(), "given_ms", c.given.Milliseconds(),
		"rules", c.snapshot.RulesVersion, "known_ms", known.Milliseconds(),
	}
	if c.decision.Rule != nil {
		fields = append(fields, "rule", c.decision.Rule.Name)
	}
	if c.service != nil {
		fields = append(fields, "service", c.service.Name, "tries", c.tries, "targets", c.targets,
			"queued_ms", c.waited.Milliseconds(), "held_ms", c.moved.Milliseconds())
	}
	if c.keyed {
		fields = append(fields, "key", c.key, "map", c.mapAt)
	}
	if res.answer == nil {
		fields = append(fields, "retry_after_ms", res.refusal.retryAfter.Milliseconds(), "returning", c.returning)
		countRefusal(status, reason)
	}
	if c.lastErr != nil {
		fields = append(fields, "error", c.lastErr.Error())
	}
	c.h.log("request", fields...)
}
