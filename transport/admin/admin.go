// Package admin is the HTTP interface for operators, the balancer and metrics. Its
// types are also what the command line exchanges with it.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
)

// Errors of a Backend, beside those of package message.
var (
	// ErrUnavailable says that what was asked for cannot be reached now.
	ErrUnavailable = errors.New("admin: not available at present")
)

// Backend is what the interface is made of.
type Backend interface {
	// Ready reports whether the balancer may send requests here, and why not.
	Ready() (bool, string)
	Rules() state.Rules
	History(ctx context.Context) ([]state.Rules, error)
	// Propose carries out a change, at the leader if need be.
	Propose(ctx context.Context, p message.Proposal) (message.ProposalResult, error)
	// Status asks the leader, or tells what is known here when it cannot be reached.
	Status(ctx context.Context) message.Status
	Explain(req ExplainRequest) Explanation
	// Timeline merges the events of all instances that can be reached; missing names
	// the others.
	Timeline(ctx context.Context) (events []timeline.Event, missing []string)
	SetLogLevel(level string) error
}

// ApplyRequest asks for a new configuration. Base is the version it started from.
type ApplyRequest struct {
	Base     uint64 `json:"base"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Text     string `json:"text"`
}

// MoveRequest asks that a slot, or the slot of a key, be given to a target.
type MoveRequest struct {
	Service string `json:"service"`
	Slot    int    `json:"slot"`
	Target  string `json:"target"`
}

// DrainRequest asks that a target own nothing, or ends that order.
type DrainRequest struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Undo    bool   `json:"undo"`
}

// ExplainRequest describes a request that is not made.
type ExplainRequest struct {
	Method string      `json:"method"`
	Host   string      `json:"host"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Caller string      `json:"caller"`
}

// Explanation tells what would happen to a request.
type Explanation struct {
	Outcome string `json:"outcome"`
	Rule    string `json:"rule,omitempty"`
	Service string `json:"service,omitempty"`
	Key     string `json:"key,omitempty"`
	Slot    int    `json:"slot"`
	Fence   uint64 `json:"fence,omitempty"`
	Target  string `json:"target,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Result answers a change.
type Result struct {
	Version uint64 `json:"version"`
	Error   string `json:"error,omitempty"`
	// Code is one of: accepted, conflict, invalid, waiting, uncertain.
	Code string `json:"code"`
}

// TimelineReply answers a question for the time line.
type TimelineReply struct {
	Events  []timeline.Event `json:"events"`
	Missing []string         `json:"missing,omitempty"`
}

const maxRequest = 1 << 20

// Handler returns the HTTP handler. Everything but health and metrics asks for the token.
func Handler(b Backend, token string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { ready(w, b) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	h := &handler{b}
	operator := http.NewServeMux()
	operator.HandleFunc("GET /v1/rules", h.rules)
	operator.HandleFunc("POST /v1/rules", h.apply)
	operator.HandleFunc("GET /v1/rules/history", h.history)
	operator.HandleFunc("GET /v1/status", h.status)
	operator.HandleFunc("POST /v1/move", h.move)
	operator.HandleFunc("POST /v1/drain", h.drain)
	operator.HandleFunc("POST /v1/explain", h.explain)
	operator.HandleFunc("GET /v1/timeline", h.timeline)
	operator.HandleFunc("PUT /v1/log-level", h.logLevel)
	mux.Handle("/v1/", authorised(operator, token))
	return mux
}

func authorised(next http.Handler, token string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, Result{Code: "unauthorised", Error: "the operator token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func ready(w http.ResponseWriter, b Backend) {
	ok, why := b.Ready()
	if !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

type handler struct{ b Backend }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	// A failure means that the asker has gone away.
	_ = enc.Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, Result{Code: "invalid", Error: "the request cannot be read: " + err.Error()})
		return false
	}
	return true
}

func (h *handler) rules(w http.ResponseWriter, _ *http.Request) {
	r := h.b.Rules()
	r.Recent = nil
	writeJSON(w, http.StatusOK, r)
}

func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	if !readJSON(w, r, &req) {
		return
	}
	if _, err := rules.Parse("rules", req.Text); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, Result{Code: "invalid", Error: err.Error()})
		return
	}
	h.propose(w, r, message.Proposal{Kind: message.ApplyRules, Base: req.Base, ChangeID: req.ChangeID, Author: req.Author, Text: req.Text})
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	list, err := h.b.History(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Result{Code: "waiting", Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.b.Status(r.Context()))
}

func (h *handler) move(w http.ResponseWriter, r *http.Request) {
	var req MoveRequest
	if readJSON(w, r, &req) {
		h.propose(w, r, message.Proposal{Kind: message.MoveSlot, Service: req.Service, Slot: req.Slot, Target: req.Target})
	}
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	var req DrainRequest
	if readJSON(w, r, &req) {
		h.propose(w, r, message.Proposal{Kind: message.DrainTarget, Service: req.Service, Target: req.Target, Undo: req.Undo})
	}
}

func (h *handler) propose(w http.ResponseWriter, r *http.Request, p message.Proposal) {
	res, err := h.b.Propose(r.Context(), p)
	if err == nil {
		err = res.Code.Error()
	}
	out := Result{Version: res.Version, Code: "accepted"}
	status := http.StatusOK
	if err != nil {
		out.Error = strings.TrimSpace(err.Error() + " " + res.Detail)
		status, out.Code = statusOf(err)
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(1))
	}
	writeJSON(w, status, out)
}

// statusOf maps the errors of changes to HTTP statuses and the codes in Result.
func statusOf(err error) (int, string) {
	switch {
	case errors.Is(err, message.ErrVersionConflict):
		return http.StatusConflict, "conflict"
	case errors.Is(err, message.ErrInvalid):
		return http.StatusUnprocessableEntity, "invalid"
	case errors.Is(err, message.ErrUncertain):
		return http.StatusGatewayTimeout, "uncertain"
	}
	return http.StatusServiceUnavailable, "waiting"
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	var req ExplainRequest
	if !readJSON(w, r, &req) {
		return
	}
	if _, err := url.ParseRequestURI(req.Path); err != nil {
		writeJSON(w, http.StatusBadRequest, Result{Code: "invalid", Error: "path: " + err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, h.b.Explain(req))
}

func (h *handler) timeline(w http.ResponseWriter, r *http.Request) {
	events, missing := h.b.Timeline(r.Context())
	writeJSON(w, http.StatusOK, TimelineReply{Events: events, Missing: missing})
}

func (h *handler) logLevel(w http.ResponseWriter, r *http.Request) {
	level, _ := io.ReadAll(io.LimitReader(r.Body, 64))
	if err := h.b.SetLogLevel(strings.TrimSpace(string(level))); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, Result{Code: "invalid", Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, Result{Code: "accepted"})
}
