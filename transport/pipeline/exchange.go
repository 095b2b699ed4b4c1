package pipeline

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lycheehall.example/lycheehall/transport/membudget"
)

// destination says where the response of an exchange goes.
type destination uint8

const (
	// undecided: the turn of the response has not come.
	undecided destination = iota
	// toServer: the last response of a run, through the server's ResponseWriter.
	toServer
	// toConn: a response that others follow, directly to the connection.
	toConn
)

// exchange is a request and the http.ResponseWriter for its response. If the handler sets
// Content-Length, Write waits for the turn of the response, so that the body is not copied. Otherwise
// the body is buffered until the handler has returned.
type exchange struct {
	c *conn
	// w is the server's ResponseWriter for the first request of the run.
	w      http.ResponseWriter
	r      *http.Request
	header http.Header
	// status is 0 before WriteHeader.
	status int
	// length is the declared Content-Length, or -1.
	length  int64
	written int64
	buf     []byte
	// turn is closed when all responses in front of this one have been written. It is nil for the first
	// request.
	turn chan struct{}
	dest destination
	// writeTimeout is set by SetWriteDeadline before the turn. hasDeadline says that the connection has
	// a write deadline.
	writeTimeout time.Duration
	hasDeadline  bool
	// release is called when the response is not in memory any more; nil if nothing waits for that.
	release func()
}

var _ membudget.ResponseHolder = (*exchange)(nil)

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header {
	if x.header == nil {
		x.header = x.w.Header()
	}
	return x.header
}

// WriteHeader implements http.ResponseWriter. Informational responses of pipelined requests are
// dropped.
func (x *exchange) WriteHeader(status int) {
	if x.dest == toServer || x.turn == nil && x.decideAlone() {
		x.w.WriteHeader(status)
		return
	}
	if x.status != 0 || status < 200 {
		return
	}
	x.status = status
	if length, ok := parseLength([]byte(x.Header().Get("Content-Length"))); ok {
		x.length = length
	}
}

// decideAlone lets the server write the response to the first request if none has been started behind
// it.
func (x *exchange) decideAlone() bool {
	x.c.mu.Lock()
	alone := x.dest == undecided && x.status == 0 && len(x.c.queue) == 1 && x.c.failure == nil
	if alone {
		x.c.lookahead = false
		x.dest = toServer
	}
	x.c.mu.Unlock()
	if alone {
		x.startWriteTimeout()
	}
	return alone
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(b []byte) (int, error) {
	if x.dest == undecided && x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	switch {
	case x.dest == toServer:
		return x.w.Write(b)
	case !bodyAllowed(x.status):
		return 0, http.ErrBodyNotAllowed
	case x.length < 0:
		x.buf = append(x.buf, b...)
		return len(b), nil
	case x.written+int64(len(b)) > x.length:
		return 0, http.ErrContentLength
	}
	return x.send(b)
}

// WriteString implements io.StringWriter.
func (x *exchange) WriteString(s string) (int, error) {
	if x.dest == toServer {
		return io.WriteString(x.w, s)
	}
	return x.Write([]byte(s))
}

// FlushError implements the method that http.ResponseController uses. A response that waits for its
// turn is not flushed.
func (x *exchange) FlushError() error {
	if x.dest == undecided && x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.dest == toServer {
		return http.NewResponseController(x.w).Flush()
	}
	return nil
}

// SetWriteDeadline implements the method that http.ResponseController uses. Before the turn of the
// response only the remaining time is noted, which then begins with the turn: the connection belongs
// to another response until then.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	if x.dest == undecided {
		x.writeTimeout = 0
		if !t.IsZero() {
			x.writeTimeout = max(time.Until(t), 1)
		}
		return nil
	}
	x.hasDeadline = !t.IsZero()
	return x.c.SetWriteDeadline(t)
}

// startWriteTimeout sets the write deadline that was noted before the turn.
func (x *exchange) startWriteTimeout() {
	if x.writeTimeout > 0 {
		// An error shows in the write that follows.
		_ = x.SetWriteDeadline(time.Now().Add(x.writeTimeout))
	}
}

// OnWritten implements membudget.ResponseHolder. A response that has begun is not kept: its handler
// waits until it has been written.
func (x *exchange) OnWritten(release func()) {
	if x.dest != undecided {
		release()
		return
	}
	x.release = release
}

// endHold calls the function that OnWritten has registered.
func (x *exchange) endHold() {
	if x.release != nil {
		x.release()
		x.release = nil
	}
}

// finish sends what has not been sent when the handler has returned, and ends the turn.
func (x *exchange) finish() {
	if x.dest == undecided && x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.dest == undecided {
		if x.length < 0 && bodyAllowed(x.status) {
			x.length = int64(len(x.buf))
			x.Header().Set("Content-Length", strconv.Itoa(len(x.buf)))
		}
		if err := x.sendBuffered(); err != nil {
			if x.dest == toConn {
				// A failure to set a deadline is not known to the connection yet. The responses behind
				// this one would wait for their turn forever.
				x.c.fail(errConnectionFailed)
			}
			return
		}
		// The request started by next may need this memory.
		x.endHold()
	}
	if x.dest == toConn {
		if bodyAllowed(x.status) && x.written != x.length {
			// The caller would take the next response for the rest of this one.
			x.c.fail(errConnectionFailed)
			return
		}
		if x.hasDeadline {
			_ = x.c.SetWriteDeadline(time.Time{})
		}
	}
	x.c.next()
}

// sendBuffered sends a response that the handler has not begun to send. A caller that takes nothing of
// it for the stall time is cut off, unless the handler has set a write deadline of its own.
func (x *exchange) sendBuffered() error {
	if x.writeTimeout > 0 {
		_, err := x.send(x.buf)
		return err
	}
	if len(x.buf) == 0 {
		// WriteInPieces writes no piece of an empty body, and the head is sent with the first piece.
		if err := x.SetWriteDeadline(time.Now().Add(x.c.p.stall)); err != nil {
			return err
		}
		if _, err := x.send(nil); err != nil {
			return err
		}
	}
	_, err := membudget.WriteInPieces(x, x.buf, x.c.p.stall, time.Time{})
	return err
}

// send writes a part of the body, and the head before the first part. It waits for the turn of the
// response.
func (x *exchange) send(b []byte) (int, error) {
	var head []byte
	if x.dest == undecided {
		if err := x.begin(); err != nil {
			return 0, err
		}
		if x.dest == toConn {
			head = x.appendHead(b)
		}
	}
	var n int
	var err error
	switch {
	case x.dest == toServer:
		return x.w.Write(b)
	case head == nil:
		n, err = x.c.Conn.Write(b)
	default:
		parts := net.Buffers{head, b}
		var sent int64
		sent, err = parts.WriteTo(x.c.Conn)
		n = max(0, int(sent)-len(head))
	}
	x.written += int64(n)
	if err != nil {
		x.c.fail(errConnectionFailed)
	}
	return n, err
}

// begin waits for the turn of the response and decides where it goes. A response that is not the last
// one must not close the connection; the last one does so instead.
func (x *exchange) begin() error {
	if x.turn != nil {
		select {
		case <-x.turn:
		case <-x.c.failed:
			return errConnectionFailed
		}
	}
	header := x.Header()
	closes := hasToken(header.Get("Connection"), "close")
	x.c.mu.Lock()
	if x.c.failure != nil {
		x.c.mu.Unlock()
		return errConnectionFailed
	}
	x.c.closing = x.c.closing || closes
	closes = x.c.closing
	x.dest = toConn
	if len(x.c.queue) == 1 {
		x.c.lookahead = false
		x.dest = toServer
	}
	x.c.mu.Unlock()
	x.startWriteTimeout()
	if x.dest == toServer {
		target := x.w.Header()
		if x.turn != nil {
			clear(target)
			for name, values := range header {
				target[name] = values
			}
		}
		if closes {
			target.Set("Connection", "close")
		}
		x.w.WriteHeader(x.status)
	}
	return nil
}

// notCopied are the header fields that only the last response of a run may have, or that do not apply
// to a body of known length.
var notCopied = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Trailer": true}

// appendHead returns the head of the response as the server would write it; body is the first part of
// the body.
func (x *exchange) appendHead(body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(x.status))
	b.WriteByte(' ')
	if text := http.StatusText(x.status); text != "" {
		b.WriteString(text)
	} else {
		b.WriteString("status code " + strconv.Itoa(x.status))
	}
	b.WriteString("\r\n")
	header := x.header
	if !bodyAllowed(x.status) {
		header.Del("Content-Length")
		if x.status == http.StatusNotModified {
			header.Del("Content-Type")
		}
	}
	// Writing to a bytes.Buffer never fails.
	_ = header.WriteSubset(&b, notCopied)
	if _, present := header["Date"]; !present {
		b.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	if _, present := header["Content-Type"]; !present && len(body) > 0 && header.Get("Content-Encoding") == "" {
		b.WriteString("Content-Type: " + http.DetectContentType(body) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func hasToken(list, token string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}
