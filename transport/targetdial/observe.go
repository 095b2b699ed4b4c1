package targetdial

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// failureLogInterval is the shortest time between two log lines about failed connections to the same
// target.
const failureLogInterval = time.Second

var (
	tunnelsMade     = metrics.GetOrCreateCounter("lycheehall_target_tunnels_made_total")
	partitionsTotal = metrics.GetOrCreateCounter("lycheehall_target_partitions_total")
	// partitionedGauge is 1 while this instance is partitioned from all targets.
	partitionedGauge atomic.Int64
	_                = metrics.GetOrCreateGauge("lycheehall_target_partitioned", func() float64 { return float64(partitionedGauge.Load()) })
)

// logFailure counts and logs a direct connection attempt that failed.
func (d *Dialer) logFailure(t Target, err error, took time.Duration) {
	reason := failureReason(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_target_connect_failures_total{reason=%q}`, reason)).Inc()
	if d.mayLog(t.ID) {
		d.config.Log("target-not-connected", "target", t.ID, "reason", reason, "took_ms", took.Milliseconds(), "error", err.Error())
	}
}

// mayLog reports whether a failed connection to the target may be logged now.
func (d *Dialer) mayLog(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.loggedAt[target]) < failureLogInterval {
		return false
	}
	d.loggedAt[target] = now
	return true
}

// failureReason returns the reason of a failed connection attempt: "refused", "reset", "timeout",
// "canceled" or "other".
func failureReason(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return "timeout"
	}
	return "other"
}
