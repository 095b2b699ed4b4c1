package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callerRequest is one attempt of a caller.
type callerRequest struct {
	id, path string
	// method is POST if it is empty.
	method string
	// key is the key number; negative if the service is not keyed.
	key     int
	timeout time.Duration
	body    string
}

// answer is what a caller has seen of an attempt.
type answer struct {
	sentAt, endedAt time.Time
	// status is 0 if there was no complete answer.
	status int
	signed bool
	// retryAfter is how long the caller is told to wait before it comes back.
	retryAfter time.Duration
	// received is the body of a complete answer.
	received []byte
}

func (a answer) String() string {
	if a.status == 0 {
		return "no complete answer"
	}
	return fmt.Sprintf("status %d signed %t", a.status, a.signed)
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(address string) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{c, bufio.NewReader(c)}, nil
}

// send sends a request, and reads the answer.
func (c *callerConn) send(r callerRequest) answer {
	a := answer{sentAt: time.Now()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		cmp.Or(r.method, http.MethodPost), r.path, host, headerRequestID, r.id, headerTimeout, r.timeout.Milliseconds(), len(r.body))
	if r.key >= 0 {
		head += headerKey + ": " + strconv.Itoa(r.key) + "\r\n"
	}
	_ = c.SetDeadline(a.sentAt.Add(r.timeout))
	if _, err := io.WriteString(c, head+"\r\n"+r.body); err == nil {
		c.readAnswer(&a)
	}
	a.endedAt = time.Now()
	return a
}

func (c *callerConn) readAnswer(a *answer) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.received = body
	a.status, a.signed = resp.StatusCode, resp.Header.Get(headerSignature) != ""
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
}
