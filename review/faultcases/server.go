package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	keyCount = 1 << 16
	// queueLength is how many requests a server queues beside those that it runs.
	queueLength = 24
	// tickOfQueue is the time between two looks whether a slot is free.
	tickOfQueue = 5 * time.Millisecond
)

// keyState is the state of a key at a server.
type keyState struct {
	fence, highest uint64
	// heldUntil is when the hold ends. grantedUntil is when it would have ended without a release.
	heldUntil, grantedUntil time.Time
	running                 int
}

// server is a stand-in for a server of a service. The stage's lock guards its fields.
type server struct {
	s       *stage
	id      string
	born    int64
	service string
	zone    string
	slots   int
	work    time.Duration

	listener net.Listener
	address  string
	keys     []keyState
	running  int
	queued   int
	seq      int
	silent   bool
	copies   int
	handover int
	conns    map[net.Conn]bool
	// garbling says that the server may send responses to releases once more. garbled counts its answers
	// in that time, copies those that it has sent once more.
	garbling bool
	garbled  int
	// ran counts how often each request ran.
	ran map[string]int
}

// startServer starts a server that writes its entry at each heartbeat.
func (s *stage) startServer(id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &server{
		s: s, id: id, born: time.Now().UnixMilli(), service: service, zone: zone, slots: slots, work: work,
		listener: l, address: l.Addr().String(), keys: make([]keyState, keyCount), conns: map[net.Conn]bool{}, ran: map[string]int{},
	}
	s.mu.Lock()
	s.servers = append(s.servers, w)
	s.mu.Unlock()
	go w.accept()
	w.beat()
	s.every(heartbeat, w.beat)
	s.note("server %s at %s", id, w.address)
	return w, nil
}

// entry returns the server's entry as the platform's pages show it.
func (w *server) entry() map[string]any {
	entry := map[string]any{
		"address": w.address,
		"info":    map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status":  map[string]any{"state": "ready", "seq-no": w.seq, "cold-remaining": "0ms"},
	}
	if w.s.startTimes {
		entry["born"] = w.born
	}
	return entry
}

func (w *server) beat() {
	w.s.mu.Lock()
	w.seq++
	silent, entry := w.silent, w.entry()
	w.s.mu.Unlock()
	if silent {
		return
	}
	// A map of numbers and texts is always encoded.
	_ = w.s.store.Put("servers", w.id, entry)
}

func (w *server) close() {
	w.listener.Close()
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *server) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.s.mu.Lock()
		w.conns[c] = true
		w.s.mu.Unlock()
		go w.serve(c)
	}
}

// message is a request that has arrived.
type message struct {
	r    *http.Request
	body []byte
}

// link is a connection to a server.
type link struct {
	net.Conn
	// lastRelease is the response to the last release, and since the number of orders since then.
	lastRelease []byte
	since       int
}

// serve answers the requests of a connection one after the other. The work on a request ends when its
// connection does.
func (w *server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	messages := make(chan message, 16)
	go func() {
		defer cancel()
		defer close(messages)
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			messages <- message{r, body}
		}
	}()
	defer func() {
		c.Close()
		w.s.mu.Lock()
		delete(w.conns, c)
		w.s.mu.Unlock()
	}()
	l := &link{Conn: c}
	for m := range messages {
		resp := w.handle(ctx, l, m)
		if resp == nil {
			return
		}
		if _, err := c.Write(resp); err != nil {
			return
		}
	}
}

// response encodes a response.
func response(status int, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

func (w *server) handle(ctx context.Context, l *link, m message) []byte {
	id := m.r.Header.Get("X-Lycheehall-Request-Id")
	echo := map[string]string{}
	if id != "" {
		echo["X-Lycheehall-Request-Id"] = id
	}
	w.s.mu.Lock()
	if w.garbling {
		w.garbled++
	}
	w.s.mu.Unlock()
	if meant := m.r.Header.Get("X-Lycheehall-Target-Instance"); meant != "" && meant != w.id {
		echo["X-Lycheehall-Instance-Id"] = w.id
		echo["X-Lycheehall-Not-Executed"] = "1"
		return response(http.StatusMisdirectedRequest, echo, "")
	}
	switch m.r.URL.Path {
	case "/health":
		return response(http.StatusOK, map[string]string{"X-Lycheehall-Instance-Id": w.id}, "")
	case "/api/grant":
		l.since++
		return w.grant(m.body)
	case "/api/release":
		w.repeatRelease(l)
		resp := w.release(ctx, m.body)
		l.lastRelease, l.since = resp, 0
		return resp
	}
	return w.runRequest(ctx, m, id, echo)
}

// repeatRelease sends the response to an earlier release once more, late: another order has been answered
// on the connection since then, and the response to the present release is expected.
func (w *server) repeatRelease(l *link) {
	w.s.mu.Lock()
	repeat := w.garbling && l.lastRelease != nil && l.since > 0 && float64(w.copies+1) <= garbleShare*float64(w.garbled)
	if repeat {
		w.copies++
		w.s.noteLocked("%s sends the response to an earlier release once more, after %d other orders (%d of %d answers)", w.id, l.since, w.copies, w.garbled)
	}
	w.s.mu.Unlock()
	if repeat {
		w.s.count("responses sent once more")
		// An error shows in the next read.
		_, _ = l.Write(l.lastRelease)
	}
}

type order struct {
	From  uint16 `json:"from"`
	To    uint16 `json:"target"`
	Fence uint64 `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (w *server) grant(body []byte) []byte {
	now := time.Now()
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		return response(http.StatusBadRequest, nil, "")
	}
	hold, err := time.ParseDuration(o.Hold)
	if err != nil {
		return response(http.StatusBadRequest, nil, "")
	}
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	for k := int(o.From); k <= int(o.To); k++ {
		if w.keys[k].highest > o.Fence {
			return response(http.StatusConflict, nil, "")
		}
	}
	if !now.Before(w.keys[o.From].heldUntil) || w.keys[o.From].fence != o.Fence {
		w.s.noteLocked("%s is granted %d-%d under fence %d for %s", w.id, o.From, o.To, o.Fence, o.Hold)
		w.s.checkGrant(w, o, now)
	}
	for k := int(o.From); k <= int(o.To); k++ {
		state := &w.keys[k]
		state.fence, state.highest = o.Fence, o.Fence
		state.heldUntil, state.grantedUntil = now.Add(hold), now.Add(hold)
	}
	return response(http.StatusOK, nil, "")
}

func (w *server) release(ctx context.Context, body []byte) []byte {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		return response(http.StatusBadRequest, nil, "")
	}
	w.s.mu.Lock()
	for k := int(o.From); k <= int(o.To); k++ {
		state := &w.keys[k]
		state.highest = max(state.highest, o.Fence)
		state.heldUntil = time.Time{}
	}
	w.s.noteLocked("%s is asked to release %d-%d under fence %d, %d requests run on them", w.id, o.From, o.To, o.Fence, w.runningOn(o))
	for w.runningOn(o) > 0 {
		w.s.mu.Unlock()
		select {
		case <-time.After(tickOfQueue):
		case <-ctx.Done():
			return nil
		}
		w.s.mu.Lock()
	}
	defer w.s.mu.Unlock()
	w.handover++
	w.s.noteLocked("%s has released %d-%d", w.id, o.From, o.To)
	return response(http.StatusOK, map[string]string{"X-Lycheehall-Handover": fmt.Sprintf("%s-%d", w.id, w.handover)}, "")
}

// runningOn returns how many requests run on the keys of an order. The caller must hold the stage's lock.
func (w *server) runningOn(o order) int {
	n := 0
	for k := int(o.From); k <= int(o.To); k++ {
		n += w.keys[k].running
	}
	return n
}

// keyed says whether the server's service is divided by key.
func (w *server) keyed() bool { return w.service == keyedService }

// runRequest runs a request of a client, or rejects it.
func (w *server) runRequest(ctx context.Context, m message, id string, echo map[string]string) []byte {
	refuse := func(status int) []byte {
		echo["X-Lycheehall-Not-Executed"] = "1"
		return response(status, echo, "")
	}
	if id == "" {
		return refuse(http.StatusBadRequest)
	}
	key := 0
	if w.keyed() {
		n, err := strconv.ParseUint(m.r.Header.Get("X-Lycheehall-Shard-Key"), 10, 16)
		if err != nil {
			return refuse(http.StatusBadRequest)
		}
		key = int(n)
	}
	if !w.awaitSlot(ctx) {
		return refuse(http.StatusServiceUnavailable)
	}
	s := w.s
	s.mu.Lock()
	state := &w.keys[key]
	if w.keyed() && !time.Now().Before(state.heldUntil) {
		w.running--
		s.mu.Unlock()
		return refuse(http.StatusMisdirectedRequest)
	}
	state.running++
	w.ran[id]++
	s.noteLocked("%s runs %s on key %d", w.id, id, key)
	s.checkRun(w, key)
	s.mu.Unlock()
	completed := true
	select {
	case <-time.After(w.work):
	case <-ctx.Done():
		completed = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state.running--
	w.running--
	if !completed {
		s.noteLocked("%s drops %s", w.id, id)
		return nil
	}
	echo["X-Lycheehall-Response-Signature"] = "signed." + id
	s.noteLocked("%s answers %s", w.id, id)
	return response(http.StatusOK, echo, "done "+id+"\n")
}

// awaitSlot takes a slot. It returns false if too many requests wait, or the connection has ended.
func (w *server) awaitSlot(ctx context.Context) bool {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	if w.running < w.slots {
		w.running++
		return true
	}
	if w.queued >= queueLength {
		return false
	}
	w.queued++
	defer func() { w.queued-- }()
	for w.running >= w.slots {
		w.s.mu.Unlock()
		time.Sleep(tickOfQueue)
		w.s.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	w.running++
	return true
}
