package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client sends requests to instances, each on a connection of its own or on kept ones.
type client struct {
	s    *stage
	http *http.Client
}

func (s *stage) newClient(keepAlive bool) *client {
	return &client{s: s, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive, DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// outcome is what a client got.
type outcome struct {
	id     string
	status int
	err    error
	body   string
}

// send sends one request.
func (c *client) send(p *process, method, path string, key int, timeout time.Duration) outcome {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+path, nil)
	if err != nil {
		return outcome{id: id, err: err}
	}
	if method == http.MethodPost {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("work")), 4
	}
	r.Host = host
	r.Header.Set("X-Lycheehall-Request-Id", id)
	r.Header.Set("X-Lycheehall-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set("X-Lycheehall-Shard-Key", strconv.Itoa(key))
	}
	c.s.note("client sends %s %s %s, key %d, to %s", id, method, path, key, p.name)
	resp, err := c.http.Do(r)
	if err != nil {
		c.s.note("client gets no answer to %s: %v", id, err)
		return outcome{id: id, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.s.note("client gets %d for %s (%d bytes, error %v)", resp.StatusCode, id, len(body), err)
	return outcome{id: id, status: resp.StatusCode, err: err, body: string(body)}
}

// load sends requests at a rate to random instances until the stage is stopped.
func (c *client) load(perSecond float64, method, path string, key func() int, timeout time.Duration) {
	c.s.every(time.Duration(float64(time.Second)/perSecond), func() {
		p := c.s.instances[rand.IntN(len(c.s.instances))]
		go func() {
			o := c.send(p, method, path, key(), timeout)
			switch {
			case o.err != nil:
				c.s.count("requests without an answer")
			default:
				c.s.count(fmt.Sprintf("answers with status %d", o.status))
			}
		}()
	})
}
