package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
