package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/state"
)

// Settings of the request path.
type Settings struct {
	// Instance is this instance's id; it begins the ids of requests.
	Instance   string
	DataCentre string
	// CallerHeader is the header in which the platform's balancer names the caller.
	// Without it the caller is the address the request came from.
	CallerHeader string
	// MaxWaiting bounds the requests that wait for a key to be served again. Default 1000.
	MaxWaiting int
	// Window is how long a request waits for that at most. Default 2.5 s.
	Window time.Duration
	// MaxBody is the largest body accepted, in bytes. Default 8 MiB.
	MaxBody int64
}

// bufferedBody is the largest body that is kept in memory so that it can be sent again.
const bufferedBody = 64 << 10

// Observer is told of requests that were not answered by a target.
type Observer func(outcome wire.Outcome, reason, rule, service string)

// Handler is the HTTP handler for callers.
type Handler struct {
	settings  Settings
	clock     clock.Clock
	publisher *Publisher
	inflight  *Inflight
	targets   *Targets
	forwarder *Forwarder
	observe   Observer
	// settled is called when a request under an old assignment is over.
	settled func()

	waiting  atomic.Int64
	requests atomic.Uint64
	stopped  atomic.Bool
}

// NewHandler returns a handler. settled may be called from any goroutine.
func NewHandler(s Settings, c clock.Clock, p *Publisher, inflight *Inflight, targets *Targets, f *Forwarder, observe Observer, settled func()) *Handler {
	return &Handler{settings: s, clock: c, publisher: p, inflight: inflight, targets: targets, forwarder: f, observe: observe, settled: settled}
}

// Stop makes the handler refuse new requests.
func (h *Handler) Stop() { h.stopped.Store(true) }

// call is one caller's request on its way.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	state    *State
	decision rules.Decision
	then     *rules.Then
	service  *rules.Service
	limits   *ruleLimits
	// body is set when the whole body is in memory; otherwise it streams, and used tells
	// that some of it may be gone.
	body     []byte
	buffered bool
	used     bool
	caller   string
	// waitedSince is when the request began to wait for its key.
	waitedSince clock.Instant
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if refused, ok := h.admit(r); !ok {
		h.refuse(w, refused, "", "")
		return
	}
	c := &call{h: h, w: w, r: r, state: h.publisher.Load(), waitedSince: clock.Never}
	dropInternal(r.Header)
	c.caller = h.caller(r)
	if refused, ok := c.decide(); !ok {
		h.refuse(w, refused, c.ruleName(), c.serviceName())
		return
	}
	leave, ok := c.limits.admit()
	if !ok {
		h.refuse(w, refusal{http.StatusTooManyRequests, wire.NotRun, "limit", "the limit of the rule is reached", comeBack}, c.ruleName(), c.serviceName())
		return
	}
	defer leave()
	c.run()
}

// admit looks at what can be refused before any rule.
func (h *Handler) admit(r *http.Request) (refusal, bool) {
	switch {
	case h.stopped.Load():
		return notRun("stopping", "this instance is shutting down"), false
	case h.clock.Now() >= h.publisher.Load().Until:
		return notRun("no-session", "this instance may not route at present"), false
	case r.ContentLength > h.settings.MaxBody:
		return badRequest(http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("the body is larger than %d bytes", h.settings.MaxBody)), false
	case !cleanPath(r.URL.Path):
		return badRequest(http.StatusBadRequest, "path", "the path has . or .. in it, or does not begin with /"), false
	}
	return refusal{}, true
}

func badRequest(status int, reason, message string) refusal {
	return refusal{status, wire.NotRun, reason, message, 0}
}

// cleanPath reports whether a rule and a target read the path in the same way.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return false
		}
	}
	return true
}

func (h *Handler) caller(r *http.Request) string {
	if h.settings.CallerHeader != "" {
		if name := r.Header.Get(h.settings.CallerHeader); name != "" {
			return name
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (h *Handler) refuse(w http.ResponseWriter, r refusal, rule, service string) {
	if rule != "" {
		w.Header().Set(wire.HeaderRule, rule)
	}
	h.observe(r.outcome, r.reason, rule, service)
	r.write(w)
}

func (c *call) ruleName() string {
	if c.decision.Rule == nil {
		return ""
	}
	return c.decision.Rule.Name
}

func (c *call) serviceName() string {
	if c.service == nil {
		return ""
	}
	return c.service.Name
}

// decide lets the rules decide and checks what the decision needs.
func (c *call) decide() (refusal, bool) {
	if c.state.Set == nil {
		return notRun("no-rules", "there are no rules yet"), false
	}
	c.decision = c.state.Set.Decide(&rules.Request{
		Method: c.r.Method, Host: c.r.Host, URL: c.r.URL, Header: c.r.Header,
		Caller: c.caller, DataCentre: c.h.settings.DataCentre,
	})
	rule := c.decision.Rule
	if rule == nil {
		return badRequest(http.StatusNotFound, "no-rule", "no rule matches this request"), false
	}
	c.then = &rule.Then
	c.limits = c.state.limits.rules[c.decision.Index]
	if f := c.then.Refuse; f != nil {
		return refusal{f.Status, wire.NotRun, "rule", f.Message, time.Duration(f.RetryAfter)}, false
	}
	c.service = c.state.Set.Service(c.then.Route)
	if c.decision.Keyed && c.decision.Key == "" {
		return badRequest(http.StatusBadRequest, "no-key", "the request must have exactly one "+c.then.Key), false
	}
	return refusal{}, true
}

// run makes attempts until the request is answered or given up.
func (c *call) run() {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.decision.Rule.DeadlineOf())
	defer cancel()
	c.ctx = ctx
	if !c.readBody() {
		return
	}
	c.limits.budget.deposit()
	for {
		target, slot, refused, ok := c.resolve()
		if !ok {
			c.h.refuse(c.w, refused, c.ruleName(), c.serviceName())
			return
		}
		res := c.attempt(target, slot)
		if res.outcome == wire.Answered {
			return
		}
		if refused, again := c.afterFailure(res); !again {
			c.h.refuse(c.w, refused, c.ruleName(), c.serviceName())
			return
		}
	}
}

// readBody keeps a small body so that it can be sent again; a larger one streams.
func (c *call) readBody() bool {
	if c.r.ContentLength == 0 {
		c.buffered = true
		return true
	}
	if deadline, ok := c.ctx.Deadline(); ok {
		// A caller that sends slowly must not hold the request open for ever.
		_ = http.NewResponseController(c.w).SetReadDeadline(deadline)
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, c.h.settings.MaxBody)
	c.r.Body = limited
	if c.r.ContentLength < 0 || c.r.ContentLength > bufferedBody {
		return true
	}
	body, err := io.ReadAll(limited)
	if err != nil {
		c.h.refuse(c.w, badRequest(http.StatusBadRequest, "body", "the body did not arrive whole"), c.ruleName(), c.serviceName())
		return false
	}
	c.body = body
	c.buffered = true
	return true
}

// resolve finds the target for the next attempt, and waits while the key is between
// owners.
func (c *call) resolve() (state.Target, int, refusal, bool) {
	for {
		c.state = c.h.publisher.Load()
		changed := c.state.Changed
		if c.h.clock.Now() >= c.state.Until {
			return state.Target{}, 0, notRun("no-session", "this instance may not route at present"), false
		}
		service := c.state.Map.Services[c.service.Name]
		if target, slot, ok := c.pick(service); ok {
			return target, slot, refusal{}, true
		}
		if refused, ok := c.wait(changed, c.h.settings.Window); !ok {
			return state.Target{}, 0, refused, false
		}
	}
}

func (c *call) pick(service *state.ServiceSlots) (state.Target, int, bool) {
	if service == nil {
		return state.Target{}, -1, false
	}
	if !c.decision.Keyed {
		target, ok := c.h.targets.choose(service.Targets, c.then)
		return target, -1, ok
	}
	if len(service.Slots) == 0 {
		return state.Target{}, -1, false
	}
	slot := ownership.SlotOf(c.decision.Key, len(service.Slots))
	s := service.Slots[slot]
	target := service.Target(s.Owner)
	if s.Moving() || target == nil {
		return state.Target{}, -1, false
	}
	return *target, slot, true
}

// wait waits for a change of the state, for at most pause, within the bounds of the
// request and the instance. A request that would wait too long is refused at once.
func (c *call) wait(changed <-chan struct{}, pause time.Duration) (refusal, bool) {
	now := c.h.clock.Now()
	if c.waitedSince == clock.Never {
		c.waitedSince = now
	}
	left := c.h.settings.Window - now.Sub(c.waitedSince)
	if left <= 0 {
		return notRun("unavailable", "the key is not served at present"), false
	}
	if c.h.waiting.Add(1) > int64(c.h.settings.MaxWaiting) {
		c.h.waiting.Add(-1)
		return notRun("unavailable", "the key is not served at present, and too many requests wait"), false
	}
	defer c.h.waiting.Add(-1)
	timer := time.NewTimer(min(left, pause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.ctx.Done():
		return notRun(reasonDeadline, "the deadline passed before the request could be sent"), false
	}
	return refusal{}, true
}

// attempt sends the request to a target once, and passes the answer on if there is one.
func (c *call) attempt(target state.Target, slot int) result {
	gate := c.h.targets.gate(target.ID, c.service.Concurrency)
	if err := gate.enter(c.ctx); err != nil {
		if errors.Is(err, errOverloaded) {
			return result{outcome: wire.NotRun, reason: "overloaded"}
		}
		return result{outcome: wire.NotRun, reason: reasonDeadline}
	}
	defer gate.leave()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	f := flight{cancel: cancel, under: under{service: c.service.Name, slot: slot, target: target.ID, version: c.state.Map.Version}}
	if slot < 0 {
		return c.checkAndSend(ctx, f, target)
	}
	f.since = c.state.Map.Services[f.service].Slots[slot].Since
	done := c.h.inflight.add(f)
	res := c.checkAndSend(ctx, f, target)
	c.over(f, done, res)
	return res
}

func (c *call) checkAndSend(ctx context.Context, f flight, target state.Target) result {
	if refused := c.recheck(f); refused != "" {
		return result{outcome: wire.NotRun, reason: refused}
	}
	return c.send(ctx, target, f.slot)
}

// over ends the note of a request, and tells when an old assignment was waiting for it.
//
// A target that checks nothing may still run a request that was given up here. The note
// stays until the deadline that the target was told: only then may the key move on.
func (c *call) over(f flight, done func(), res result) {
	end := func() {
		done()
		if f.stale(c.h.publisher.Load().Map) {
			c.h.settled()
		}
	}
	deadline, _ := c.ctx.Deadline()
	if res.outcome == wire.Unknown && c.service.Fencing == rules.FencingNone {
		time.AfterFunc(time.Until(deadline), end)
		return
	}
	end()
}

// recheck looks at the state again after the request has been noted: time has passed in
// the queue, and a change published meanwhile may not have seen the note.
func (c *call) recheck(f flight) string {
	now := c.h.publisher.Load()
	if c.h.clock.Now() >= now.Until {
		return "no-session"
	}
	if f.slot >= 0 && f.stale(now.Map) {
		return wire.NotRunFence
	}
	return ""
}

func (c *call) send(ctx context.Context, target state.Target, slot int) result {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	req, err := c.request(ctx, target, slot)
	if err != nil {
		return result{outcome: wire.NotRun, reason: "request"}
	}
	end := c.h.targets.begin(target.ID, c.service.Concurrency)
	res := c.h.forwarder.do(req, c.service.Connections)
	end(res.outcome != wire.Unknown && res.reason != reasonUnreachable)
	if res.outcome == wire.Answered {
		relay(c.w, res.response, c.ruleName(), target.ID)
	}
	return res
}

// bound ends the attempt with the session when the target checks nothing: nothing else
// would stop a request of this instance after another may have begun to send.
func (c *call) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.service.Fencing != rules.FencingNone || !c.decision.Keyed {
		return context.WithCancel(ctx)
	}
	left := c.state.Until.Sub(c.h.clock.Now()) - wire.MaxClockSkew*time.Millisecond
	return context.WithTimeout(ctx, left)
}

// request makes the request for the target out of the caller's.
func (c *call) request(ctx context.Context, target state.Target, slot int) (*http.Request, error) {
	url := *c.r.URL
	url.Scheme = "http"
	url.Host = target.Address
	req, err := http.NewRequestWithContext(ctx, c.r.Method, url.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Host = c.r.Host
	req.Header = c.r.Header.Clone()
	dropHopByHop(req.Header)
	c.setBody(req)
	h := req.Header
	h.Set(wire.HeaderService, c.service.Name)
	h.Set(wire.HeaderCaller, c.caller)
	h.Set(wire.HeaderRequestID, c.h.settings.Instance+"-"+strconv.FormatUint(c.h.requests.Add(1), 10))
	if slot >= 0 {
		h.Set(wire.HeaderSlot, strconv.Itoa(slot))
		h.Set(wire.HeaderFence, strconv.FormatUint(c.state.Map.Services[c.service.Name].Slots[slot].Fence, 10))
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(wire.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
		h.Set(wire.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	return req, nil
}

func (c *call) setBody(req *http.Request) {
	if c.buffered {
		if len(c.body) > 0 {
			req.Body = noReplay{bytes.NewReader(c.body)}
			req.ContentLength = int64(len(c.body))
		}
		return
	}
	req.Body = noReplay{&touching{c}}
	req.ContentLength = c.r.ContentLength
}

// touching marks a streamed body as used on its first read.
type touching struct{ c *call }

func (t *touching) Read(b []byte) (int, error) {
	t.c.used = true
	return t.c.r.Body.Read(b)
}

// afterFailure decides whether the request may be tried again. The answer to one that
// may not is final and given at once.
func (c *call) afterFailure(res result) (refusal, bool) {
	if c.r.Context().Err() != nil {
		// The caller has gone away; nobody reads the answer.
		return unknownOutcome("caller-gone"), false
	}
	if c.used || c.ctx.Err() != nil {
		return final(res), false
	}
	if res.outcome == wire.Unknown {
		return final(res), c.then.Idempotent && c.limits.budget.withdraw() && c.pause()
	}
	switch res.reason {
	case wire.NotRunFence, reasonUnreachable, reasonOwnerLost:
		// The key is changing hands, or will as soon as the loss is noticed.
		refused, ok := c.wait(c.state.Changed, movePause())
		return refused, ok
	case wire.NotRunShed, wire.NotRunDraining:
		return final(res), c.limits.budget.withdraw() && c.pause()
	}
	return final(res), false
}

func final(res result) refusal {
	if res.outcome == wire.Unknown {
		return unknownOutcome(res.reason)
	}
	return notRun(res.reason, "the request was not run: "+res.reason)
}

// Pauses between attempts, with jitter so that many instances do not try at once.
const (
	moveBackoff  = 5 * time.Millisecond
	retryBackoff = 10 * time.Millisecond
)

func movePause() time.Duration { return moveBackoff + rand.N(moveBackoff) }

func (c *call) pause() bool {
	timer := time.NewTimer(retryBackoff/2 + rand.N(retryBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
