package soak

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// Every slowCallerEvery-th caller reads its responses slowly: slowReadBytes at a time, with
	// slowReadPause before each read.
	slowCallerEvery = 4
	slowReadBytes   = 16 << 10
	slowReadPause   = 40 * time.Millisecond
	// slowReceiveBytes is the receive buffer of slow callers. A larger one would take the whole
	// response at once.
	slowReceiveBytes = 32 << 10
	// slowBodyBytes is the size of the bodies of slow callers' requests, which targets return.
	slowBodyBytes = 128 << 10
)

// slowBody is the body of a slow caller's request: its ID on a line of its own, and padding.
func slowBody(id string) string { return id + "\n" + strings.Repeat("x", slowBodyBytes) }

// newSlowClient returns a client that reads responses slowly.
func newSlowClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: callerCount, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a larger buffer the caller is only less slow.
			_ = tcp.SetReadBuffer(slowReceiveBytes)
		}
		return conn, nil
	}}
	return &http.Client{Timeout: callerTimeout, Transport: slowTransport{transport}}
}

type slowTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = slowReader{resp.Body}
	return resp, nil
}

type slowReader struct{ io.ReadCloser }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return r.ReadCloser.Read(p[:min(len(p), slowReadBytes)])
}
