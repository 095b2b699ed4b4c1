package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/coordination/targetstatus"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/membudget"
	"lycheehall.example/lycheehall/transport/upstream"
)

// Permits hands out permits for the slots of targets, and takes them back with a report.
type Permits interface {
	Acquire(ctx context.Context, ask permit.Ask) (permit.Permit, error)
	Release(r permit.Report)
}

// Upstream sends requests to targets.
type Upstream interface {
	Do(ctx context.Context, t upstream.Target, r *upstream.Request) (*upstream.Response, error)
}

// Log writes one log line: the event's name, then alternating field names and values.
type Log func(event string, fields ...any)

// Config configures a Handler.
type Config struct {
	Names      wire.Names
	DataCentre string
	// MaxBody is the largest request body accepted, in bytes.
	MaxBody int64
	// Quarantine holds the requests that must not be sent to any target. If it is nil, the handler
	// uses a tracker of its own, which knows only the crashes that it observes itself.
	Quarantine *quarantine.Tracker
	// TargetStatus holds what targets have reported about themselves. If it is nil, the handler
	// uses a tracker of its own.
	TargetStatus *targetstatus.Tracker
	// Memory limits the memory held for callers and targets. If it is nil, there is no limit.
	Memory *membudget.Budget
	// StallTimeout is how long a caller may take nothing of a response before it is cut off; 0 means
	// membudget.StallTimeout. It is only used while Memory is on.
	StallTimeout time.Duration
	// Contended reports whether the decisions for competing kinds of requests are in effect under the
	// rules in force. If it is nil, they are not.
	Contended func(set *rules.Set) bool
	// Quota has this instance's shares of limits on all instances. If it is nil, there are none, and
	// requests of rules with such a limit are refused.
	Quota *quota.Holder
}

// Handler is the HTTP handler for callers.
type Handler struct {
	config        Config
	clock         clock.Clock
	board         *view.Board
	upstream      Upstream
	permits       Permits
	collector     *demand.Collector
	budget        *RetryBudget
	backends      *BackendPicker
	callerRetries *CallerRetryDetector
	limits        *ruleLimits
	log           Log

	lastID           atomic.Uint64
	inFlight         atomic.Int64
	closeConnections atomic.Bool
	// refuseNew says that requests that arrive are refused.
	refuseNew atomic.Bool
	// stopSendingBy is the time by which targets must have responded; nil while there is none.
	stopSendingBy atomic.Pointer[time.Time]
	idPrefix      string
	// The end of waitCtx refuses requests that wait in this instance, the end of workCtx aborts
	// those that a target is running.
	waitCtx, workCtx        context.Context
	cancelWaits, cancelWork context.CancelFunc
}

// NewHandler returns a handler. The instance name prefixes the IDs that it generates, so that they
// are unique across instances.
func NewHandler(config Config, c clock.Clock, instance string, board *view.Board, up Upstream, permits Permits, collector *demand.Collector, budget *RetryBudget, log Log) *Handler {
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewTracker(time.Now)
	}
	if config.TargetStatus == nil {
		config.TargetStatus = targetstatus.NewTracker(c, 0)
	}
	if config.Quota == nil {
		config.Quota = quota.NewHolder(c)
	}
	h := &Handler{
		config: config, clock: c, board: board, upstream: up, permits: permits, collector: collector,
		budget: budget, backends: NewBackendPicker(), callerRetries: NewCallerRetryDetector(), limits: newRuleLimits(), log: log, idPrefix: instance,
	}
	h.waitCtx, h.cancelWaits = context.WithCancel(context.Background())
	h.workCtx, h.cancelWork = context.WithCancel(context.Background())
	return h
}

// DisableKeepAlives makes the handler respond with "Connection: close", so that callers go to other
// instances.
func (h *Handler) DisableKeepAlives() { h.closeConnections.Store(true) }

// RefuseNew refuses all requests that arrive from now on, on open connections too.
func (h *Handler) RefuseNew() { h.refuseNew.Store(true) }

// StopSendingBy sets the time at which running requests will be aborted. A request that is not expected
// to end before is refused in place of being sent to a target.
func (h *Handler) StopSendingBy(t time.Time) { h.stopSendingBy.Store(&t) }

// RefuseWaiting refuses all requests that have not been sent to a target; they are reported as not
// executed. Otherwise requests that wait for a slot or an owner when the process exits get no
// response at all.
func (h *Handler) RefuseWaiting() { h.cancelWaits() }

// AbortRunning aborts the requests that targets are running and responds to their callers. The
// outcome of these requests is unknown.
func (h *Handler) AbortRunning() { h.cancelWork() }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

var (
	requestsTotal      = metrics.GetOrCreateCounter("lycheehall_front_requests_total")
	snapshotAgeSeconds = metrics.GetOrCreateHistogram("lycheehall_front_known_seconds")
	requestSeconds     = metrics.GetOrCreateHistogram("lycheehall_front_request_seconds")
	permitWaitSeconds  = metrics.GetOrCreateHistogram("lycheehall_permit_wait_seconds")
	targetsExited      = metrics.GetOrCreateCounter("lycheehall_front_targets_ended_total")
	requestsInFlight   = metrics.GetOrCreateCounter("lycheehall_front_requests_in_flight")
)

// ServeHTTP handles one request of a caller and logs it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	requestsInFlight.Inc()
	defer func() {
		h.inFlight.Add(-1)
		requestsInFlight.Dec()
	}()
	requestsTotal.Inc()
	if h.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{h: h, w: w, r: r, id: r.Header.Get(h.config.Names.RequestID), start: time.Now()}
	if c.id == "" {
		c.id = h.idPrefix + "-" + strconv.FormatUint(h.lastID.Add(1), 36)
	}
	c.memory.enabled = h.config.Memory.Enabled()
	defer c.releaseMemory()
	res := c.serve()
	c.logRequest(res)
	if c.memory.enabled {
		c.writeInPieces(res)
		return
	}
	if res.response != nil {
		writeResponse(w, res.response)
		return
	}
	res.refusal.write(w)
}

// Idempotent says whether the rule that matches the request declares it idempotent. It is false while
// no rules are known.
func (h *Handler) Idempotent(r *http.Request) bool {
	set := h.board.Snapshot().Rules
	if set == nil {
		return false
	}
	decision := h.decide(set, r)
	return decision.Rule != nil && decision.Rule.Then.Idempotent
}

// decide evaluates the rules for a request of a caller.
func (h *Handler) decide(set *rules.Set, r *http.Request) rules.Decision {
	return set.Decide(&rules.Request{Method: r.Method, Host: r.Host, URL: r.URL, Header: r.Header, DataCentre: h.config.DataCentre})
}

// result is what the caller gets: the response of a target or, if that is nil, the refusal.
type result struct {
	response *upstream.Response
	refusal  refusal
}

// refusal is a response generated by this instance.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// notExecutedResult returns a refusal with status 503, which promises that the request has not been
// executed and will not be.
func notExecutedResult(reason string, retryAfter time.Duration) result {
	return result{refusal: refusal{http.StatusServiceUnavailable, reason, retryAfter}}
}

// write sends the refusal to the caller.
func (r refusal) write(w http.ResponseWriter) {
	r.writeHead(w)
	// A write error means that the caller has gone.
	_, _ = io.WriteString(w, r.body())
}

func (r refusal) body() string { return r.reason + "\n" }

func (r refusal) writeHead(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.status)
}

// writeResponse forwards a target's complete response to the caller.
func writeResponse(w http.ResponseWriter, resp *upstream.Response) {
	writeResponseHead(w, resp)
	// A write error means that the caller has gone.
	_, _ = w.Write(resp.Body)
}

func writeResponseHead(w http.ResponseWriter, resp *upstream.Response) {
	header := w.Header()
	wire.DropConnectionHeaders(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if _, present := resp.Header["Content-Type"]; !present {
		// A nil value keeps net/http from guessing a content type.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
}
