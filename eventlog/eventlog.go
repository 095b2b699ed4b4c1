// Package eventlog writes the log: one JSON line for each handled request and each state change. It
// also holds the latest of these events in memory for the timeline.
//
// Logging never blocks: a line is put into a queue of fixed size, from which one goroutine writes. A
// line is dropped if the queue is full or the rate limit is exceeded. Dropped lines are counted, and
// the next line that is written contains their number.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"golang.org/x/time/rate"

	"lycheehall.example/lycheehall/timeline"
)

const (
	// queueLines is the capacity of the queue in lines. It absorbs the lines logged during a slow write.
	queueLines = 2048
	// linesPerSecond is the rate limit. It is above the request rate of an instance, which is usually
	// some tens a second and at most a few hundred.
	linesPerSecond = 600
	// requestRingEvents and eventRingEvents are the numbers of events in memory for the timeline.
	// Events about requests have a ring of their own, because they would displace all others.
	requestRingEvents = 512
	eventRingEvents   = 512
)

var linesDropped = metrics.GetOrCreateCounter("lycheehall_log_lines_dropped_total")

// RequestEvent is the name of the events about requests.
const RequestEvent = "request"

// Log writes events as lines. It is safe for concurrent use.
type Log struct {
	handler    log.Handler
	instance   string
	limiter    *rate.Limiter
	queue      chan *log.Entry
	writerDone chan struct{}
	events     *timeline.Ring
	requests   *timeline.Ring

	mu sync.Mutex
	// dropped is the number of lines dropped since the last one that was queued.
	dropped int
	closed  bool
}

// New returns a log that writes to w and adds the instance to each line. The caller must call Close,
// which writes the lines that are still queued.
func New(w io.Writer, instance string) *Log {
	l := &Log{
		handler: json.New(w), instance: instance,
		limiter: rate.NewLimiter(linesPerSecond, linesPerSecond),
		queue:   make(chan *log.Entry, queueLines), writerDone: make(chan struct{}),
		events: timeline.NewRing(instance, eventRingEvents), requests: timeline.NewRing(instance, requestRingEvents),
	}
	go l.write()
	return l
}

func (l *Log) write() {
	defer close(l.writerDone)
	for e := range l.queue {
		// An error cannot be reported, since the log itself has failed.
		_ = l.handler.HandleLog(e)
	}
}

// Lamport returns the Lamport time, to be sent with a message.
func (l *Log) Lamport() uint64 { return l.events.Lamport() }

// AdvanceLamport advances the Lamport time to at least the time received with a message.
func (l *Log) AdvanceLamport(lamport uint64) { l.events.AdvanceLamport(lamport) }

// Events returns the latest state changes, oldest first.
func (l *Log) Events() []timeline.Event { return l.events.Events() }

// Requests returns the latest events about requests, oldest first.
func (l *Log) Requests() []timeline.Event { return l.requests.Events() }

// Event logs an event. Fields are alternating names and values; the values must not be modified
// afterwards.
func (l *Log) Event(name string, fields ...any) {
	now := time.Now()
	ring := l.events
	if name == RequestEvent {
		ring = l.requests
		ring.AdvanceLamport(l.events.Lamport())
	}
	lamport := ring.Record(now, name, fields...)
	if !l.limiter.Allow() {
		l.drop()
		return
	}
	f := make(log.Fields, len(fields)/2+3)
	f["instance"] = l.instance
	f["lamport"] = lamport
	for i := 0; i+1 < len(fields); i += 2 {
		f[fmt.Sprint(fields[i])] = fields[i+1]
	}
	l.enqueue(&log.Entry{Level: log.InfoLevel, Message: name, Timestamp: now, Fields: f})
}

func (l *Log) enqueue(e *log.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if l.dropped > 0 {
		e.Fields["lines_dropped"] = l.dropped
	}
	select {
	case l.queue <- e:
		l.dropped = 0
	default:
		l.dropped++
		linesDropped.Inc()
	}
}

func (l *Log) drop() {
	linesDropped.Inc()
	l.mu.Lock()
	l.dropped++
	l.mu.Unlock()
}

// Close waits until all queued lines are written. Lines logged afterwards are discarded.
func (l *Log) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.writerDone
}
