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
	"lycheehall.example/lycheehall/coordination/targetstatus"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/upstream"
)

// Permits hands out the slots of targets.
type Permits interface {
	Acquire(ctx context.Context, ask permit.Ask) (permit.Permit, error)
	Release(r permit.Report)
}

// Upstream sends requests to targets.
type Upstream interface {
	Do(ctx context.Context, t upstream.Target, r *upstream.Request) (*upstream.Response, error)
}

// Log writes one line about a decision: its name, then names and values in turn.
type Log func(event string, fields ...any)

// Config of a Handler.
type Config struct {
	Names      wire.Names
	DataCentre string
	// MaxBody is the largest body accepted, in bytes.
	MaxBody int64
	// Quarantine knows the requests that are to reach no target; nil: none are known from elsewhere.
	Quarantine *quarantine.Registry
	// TargetStatus is what targets have said of themselves; nil: nobody else of this process looks at it.
	TargetStatus *targetstatus.Registry
}

// Handler is the HTTP handler for callers.
type Handler struct {
	config    Config
	clock     clock.Clock
	board     *view.Board
	upstream  Upstream
	permits   Permits
	collector *demand.Collector
	budget    *RetryBudget
	weights   *Weights
	patience  *Patience
	limits    *limits
	log       Log

	attempts atomic.Uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	start    string
	// closing ends waiting requests, ending ends those that targets work on.
	closing, ending   context.Context
	endWaits, endWork context.CancelFunc
}

// NewHandler returns a handler. Instance makes the ids of its attempts unique.
func NewHandler(config Config, c clock.Clock, instance string, board *view.Board, up Upstream, permits Permits, collector *demand.Collector, budget *RetryBudget, log Log) *Handler {
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewRegistry(time.Now)
	}
	if config.TargetStatus == nil {
		config.TargetStatus = targetstatus.NewRegistry(c, 0)
	}
	h := &Handler{
		config: config, clock: c, board: board, upstream: up, permits: permits, collector: collector,
		budget: budget, weights: NewWeights(), patience: NewPatience(), limits: newLimits(), log: log, start: instance,
	}
	h.closing, h.endWaits = context.WithCancel(context.Background())
	h.ending, h.endWork = context.WithCancel(context.Background())
	return h
}

// DisableKeepAlives makes the handler ask callers to use other connections.
func (h *Handler) DisableKeepAlives() { h.leaving.Store(true) }

// RefuseWaiting refuses the requests that have not been sent to a target, as not run. Without it
// those that wait for a slot or an owner when the process is ended get no answer at all.
func (h *Handler) RefuseWaiting() { h.endWaits() }

// AbortRunning answers the requests that targets still work on; their outcome is unknown.
func (h *Handler) AbortRunning() { h.endWork() }

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

var (
	requestsTotal   = metrics.GetOrCreateCounter("lycheehall_front_requests_total")
	knownSeconds    = metrics.GetOrCreateHistogram("lycheehall_front_known_seconds")
	requestSeconds  = metrics.GetOrCreateHistogram("lycheehall_front_request_seconds")
	permitSeconds   = metrics.GetOrCreateHistogram("lycheehall_permit_wait_seconds")
	targetsEnded    = metrics.GetOrCreateCounter("lycheehall_front_targets_ended_total")
	requestsRunning = metrics.GetOrCreateCounter("lycheehall_front_requests_in_flight")
)

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	requestsRunning.Inc()
	defer func() {
		h.inFlight.Add(-1)
		requestsRunning.Dec()
	}()
	requestsTotal.Inc()
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{h: h, w: w, r: r, id: r.Header.Get(h.config.Names.RequestID), start: time.Now()}
	if c.id == "" {
		c.id = h.start + "-" + strconv.FormatUint(h.attempts.Add(1), 36)
	}
	res := c.serve()
	c.record(res)
	if res.answer != nil {
		writeAnswer(w, res.answer)
		return
	}
	res.refusal.write(w)
}

// result is what a caller is told: a target's answer, or a refusal of our own.
type result struct {
	answer  *upstream.Response
	refusal refusal
}

// refusal is an answer that no target gave.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// notRun promises that the request has not run and never will.
func notRun(reason string, retryAfter time.Duration) result {
	return result{refusal: refusal{http.StatusServiceUnavailable, reason, retryAfter}}
}

// write answers the caller at once.
func (f refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(f.status)
	// A failure means that the caller has gone away.
	_, _ = io.WriteString(w, f.reason+"\n")
}

// writeAnswer passes a target's whole answer on.
func writeAnswer(w http.ResponseWriter, a *upstream.Response) {
	header := w.Header()
	wire.DropConnectionHeaders(a.Header)
	for name, values := range a.Header {
		header[name] = values
	}
	if _, given := a.Header["Content-Type"]; !given {
		// Without this the server would guess one.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	// A failure means that the caller has gone away.
	_, _ = w.Write(a.Body)
}
