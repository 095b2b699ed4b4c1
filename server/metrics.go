package server

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/timeline"
)

// Metrics; docs/METRICS.md describes each.
var (
	requestsTotal   = metrics.NewCounter("lycheehall_requests_total")
	requestSeconds  = metrics.NewHistogram("lycheehall_request_seconds")
	requestsRunning = metrics.NewCounter("lycheehall_requests_running")
)

func countEvent(e timeline.Event) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lycheehall_events_total{kind=%q}", e.Kind)).Inc()
}

func countRefusal(outcome wire.Outcome, reason, service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("lycheehall_unanswered_total{outcome=%q,reason=%q,service=%q}", outcome, reason, service)).Inc()
}

// counted counts requests and their time.
func counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		requestsTotal.Inc()
		requestsRunning.Inc()
		defer func() {
			requestsRunning.Dec()
			requestSeconds.UpdateDuration(start)
		}()
		next.ServeHTTP(w, r)
	})
}
