package front

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/transport/membudget"
)

const (
	// requestOverheadBytes is reserved for each request in addition to the bodies: headers, and the
	// buffers of the connections to the caller (8 KiB) and to the target (4 KiB).
	requestOverheadBytes = 16 << 10
	// unknownResponseBytes is reserved for the response while no response of the rule is known.
	unknownResponseBytes = 16 << 10
	// memoryReason is the reason of a refusal because of the memory budget.
	memoryReason = "memory"
)

var callersCutOff = metrics.GetOrCreateCounter("lycheehall_front_callers_cut_off_total")

// noMemoryError is the error of reading a request body for which there is no memory.
type noMemoryError struct{ decision membudget.Decision }

func (noMemoryError) Error() string { return "front: no memory for the request body" }

// reservedMemory is the memory reserved for a call.
type reservedMemory struct {
	// enabled says that the budget was on when the request arrived.
	enabled bool
	// reservation is nil if the budget was off.
	reservation *membudget.Reservation
	// response is the expected size of the response, in bytes.
	response int64
}

// reserveMemory reserves memory for the body and the response of the request. It returns false with
// a result if there is none.
func (c *call) reserveMemory() (result, bool) {
	if !c.memory.enabled {
		return result{}, true
	}
	c.expectResponse()
	reservation, d := c.h.config.Memory.Reserve(c.r.RemoteAddr, c.memoryAsk(max(0, c.r.ContentLength)))
	if d.Admitted {
		c.memory.reservation = reservation
		return result{}, true
	}
	if c.r.ContentLength != 0 {
		// The server waits for the rest of the body before it responds. The error is ignored as in
		// readBody.
		_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline)
	}
	return resultWithoutMemory(d), false
}

// expectResponse sets the expected size of the response.
func (c *call) expectResponse() {
	c.memory.response = int64(c.h.collector.MeanResponseSize(c.decision.Rule.Name))
	if c.memory.response == 0 {
		c.memory.response = unknownResponseBytes
	}
}

// memoryAsk is what the request asks for with a body of the given size.
func (c *call) memoryAsk(body int64) membudget.Ask {
	return membudget.Ask{Known: body, Expected: requestOverheadBytes + c.memory.response, Returning: c.returning}
}

// resultWithoutMemory is the result for a request that was not admitted. After an attempt that may
// have been executed, withUnknownOutcome changes it.
func resultWithoutMemory(d membudget.Decision) result {
	if d.TooLarge {
		return result{refusal: refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}}
	}
	return notExecutedResult(memoryReason, d.RetryAfter)
}

// bodyBuffered is called before a buffer for the request body is allocated. Bodies of unknown length
// have no reservation yet.
func (c *call) bodyBuffered(size int64) error {
	if c.r.ContentLength >= 0 {
		return nil
	}
	if d := c.memory.reservation.Grow(c.memoryAsk(size)); !d.Admitted {
		return noMemoryError{d}
	}
	return nil
}

// resultOfBodyError returns the result for a request whose body could not be read.
func resultOfBodyError(err error) result {
	var noMemory noMemoryError
	switch {
	case errors.As(err, &noMemory):
		return resultWithoutMemory(noMemory.decision)
	case errors.Is(err, membudget.ErrTooLarge):
		return result{refusal: refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}}
	}
	return result{refusal: refusal{http.StatusBadRequest, "body-broken", 0}}
}

// responseBuffered corrects the reservation when a buffer for the response is allocated.
func (c *call) responseBuffered(size int64) {
	c.memory.reservation.Resize(requestOverheadBytes + int64(cap(c.body)) + max(c.memory.response, size))
}

// reserveForRetry reserves the memory for another attempt, in which the response to the former one
// is dropped. If there is none, it returns the result for the caller and false: the response to the
// former attempt if there is one.
func (c *call) reserveForRetry(res result) (result, bool) {
	c.expectResponse()
	d := c.memory.reservation.Grow(c.memoryAsk(int64(cap(c.body))))
	if d.Admitted || res.response != nil {
		return res, d.Admitted
	}
	return resultWithoutMemory(d), false
}

// releaseMemory ends the reservation when the response has been written.
func (c *call) releaseMemory() { membudget.ReleaseWhenWritten(c.w, c.memory.reservation) }

// writeInPieces writes the result to a caller that may read slowly. A caller that takes nothing for
// the stall timeout is cut off, but not before the deadline of its request.
func (c *call) writeInPieces(res result) {
	var body []byte
	if res.response != nil {
		body = res.response.Body
		writeResponseHead(c.w, res.response)
	} else {
		body = []byte(res.refusal.body())
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		res.refusal.writeHead(c.w)
	}
	// The request body is not needed any more.
	c.body = nil
	c.memory.reservation.Resize(requestOverheadBytes + int64(cap(body)))
	stall := c.h.config.StallTimeout
	if stall == 0 {
		stall = membudget.StallTimeout
	}
	start := time.Now()
	written, err := membudget.WriteInPieces(c.w, body, stall, c.deadline)
	// Any other error means that the caller has gone.
	if errors.Is(err, os.ErrDeadlineExceeded) {
		callersCutOff.Inc()
		c.h.log("caller-cut-off", "request", c.id, "caller", c.r.RemoteAddr, "written", written, "size", len(body), "took_ms", time.Since(start).Milliseconds())
	}
}
