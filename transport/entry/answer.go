package entry

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lycheehall.example/lycheehall/protocol/wire"
)

// refusal is an answer that lycheehall gives by itself.
type refusal struct {
	status     int
	outcome    wire.Outcome
	reason     string
	message    string
	retryAfter time.Duration
}

// write answers the caller at once.
func (r refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(r.outcome))
	h.Set(wire.HeaderReason, r.reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, r.message+"\n")
}

// comeBack is when a caller is told to come back after a refusal that should pass soon.
const comeBack = time.Second

func notRun(reason, message string) refusal {
	return refusal{http.StatusServiceUnavailable, wire.NotRun, reason, message, comeBack}
}

func unknownOutcome(reason string) refusal {
	return refusal{http.StatusGatewayTimeout, wire.Unknown, reason, "the request may have run; its outcome is not known", comeBack}
}

// hopByHop headers concern one connection only and are never passed on.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// dropHopByHop removes the headers of one connection, those it names included.
func dropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// dropInternal removes headers that only lycheehall itself may set.
func dropInternal(h http.Header) {
	for name := range h {
		if len(name) >= len(wire.Prefix) && strings.EqualFold(name[:len(wire.Prefix)], wire.Prefix) {
			delete(h, name)
		}
	}
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// relay passes the target's answer on. An answer that breaks off is made visible as
// broken: the connection to the caller is cut, so that half an answer never looks whole.
func relay(w http.ResponseWriter, resp *http.Response, rule, target string) {
	defer resp.Body.Close()
	h := w.Header()
	dropHopByHop(resp.Header)
	dropInternal(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	h.Set(wire.HeaderOutcome, string(wire.Answered))
	h.Set(wire.HeaderRule, rule)
	h.Set(wire.HeaderTarget, target)
	w.WriteHeader(resp.StatusCode)
	var dst io.Writer = w
	if resp.ContentLength < 0 {
		dst = flushing{w, http.NewResponseController(w)}
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	if _, err := io.CopyBuffer(writerOnly{dst}, resp.Body, *buf); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writerOnly hides other methods, so that the pooled buffer is used.
type writerOnly struct{ io.Writer }

// flushing passes on each part of an answer of unknown length as it comes.
type flushing struct {
	w    io.Writer
	ctrl *http.ResponseController
}

func (f flushing) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if err != nil {
		return n, err
	}
	return n, f.ctrl.Flush()
}
