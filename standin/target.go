package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/protocol/wire"
)

// nonceLife is how long a target takes grants under a nonce it has issued.
const nonceLife = 5 * time.Second

// Run is one request that reached the handler of a target.
type Run struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Slot    int    `json:"slot"`
	Fence   uint64 `json:"fence"`
	Request string `json:"request"`
	Body    string `json:"body,omitempty"`
}

// Holdings is the part of a target that checks grants. It does no input or output, so
// that sessions in virtual time use it too. It is not safe for concurrent use.
type Holdings struct {
	target     string
	generation uint64
	slots      map[int]uint64
	until      clock.Instant
	nextNonce  uint64
	nonces     map[uint64]clock.Instant
	running    map[int]int
}

// NewHoldings returns the holdings of a target that has just started and owns nothing.
func NewHoldings(target string) *Holdings {
	return &Holdings{
		target:  target,
		slots:   map[int]uint64{},
		until:   clock.Never,
		nonces:  map[uint64]clock.Instant{},
		running: map[int]int{},
	}
}

// Grant takes a grant. Its time counts from when the nonce was issued, so that a grant
// which was held up on the way does not bring an ended ownership back.
func (h *Holdings) Grant(now clock.Instant, g message.Grant) message.GrantReply {
	h.nextNonce++
	h.nonces[h.nextNonce] = now
	reply := message.GrantReply{Nonce: h.nextNonce, Generation: h.generation}
	issued, known := h.nonces[g.Nonce]
	for nonce, at := range h.nonces {
		if now.Sub(at) > nonceLife {
			delete(h.nonces, nonce)
		}
	}
	if g.Target != h.target || !known || g.Generation < h.generation {
		return reply
	}
	if !g.Full && g.Generation != h.generation {
		reply.NeedSlots = true
		return reply
	}
	if g.Full {
		h.replace(g)
	}
	h.until = h.until.Later(issued.Add(g.TTL))
	reply.Accepted = true
	reply.Generation = h.generation
	reply.Busy = h.busy()
	return reply
}

func (h *Holdings) replace(g message.Grant) {
	h.generation = g.Generation
	h.slots = make(map[int]uint64, len(g.Slots))
	for _, s := range g.Slots {
		h.slots[s.Index] = s.Fence
	}
}

// busy reports whether requests still run for slots that are no longer held.
func (h *Holdings) busy() bool {
	for slot := range h.running {
		if _, held := h.slots[slot]; !held {
			return true
		}
	}
	return false
}

// Owns reports whether the target owns the slot under the fence at this moment.
func (h *Holdings) Owns(now clock.Instant, slot int, fence uint64) bool {
	held, ok := h.slots[slot]
	return ok && held == fence && now < h.until
}

// Until returns when the grant ends.
func (h *Holdings) Until() clock.Instant { return h.until }

// Slots returns the slots held, with their fences.
func (h *Holdings) Slots() map[int]uint64 { return h.slots }

func (h *Holdings) begin(slot int) { h.running[slot]++ }

func (h *Holdings) end(slot int) {
	h.running[slot]--
	if h.running[slot] <= 0 {
		delete(h.running, slot)
	}
}

// Target is a server that owns keys. It checks grants when Fenced is set, sheds load
// above its slots, and keeps what it ran.
type Target struct {
	ID      string
	Service string
	Fenced  bool
	// Concurrency is how many requests it runs at a time.
	Concurrency int
	// Work is how long a request takes.
	Work time.Duration

	mu       sync.Mutex
	holdings *Holdings
	inUse    int
	runs     []Run
	counts   map[string]int
}

// NewTarget returns a target that has just started.
func NewTarget(id, service string, fenced bool) *Target {
	return &Target{
		ID:          id,
		Service:     service,
		Fenced:      fenced,
		Concurrency: 6,
		holdings:    NewHoldings(id),
		counts:      map[string]int{},
	}
}

// Runs returns the requests that reached the handler.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Handler returns the target's HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.GrantPath, t.grant)
	mux.HandleFunc("GET /standin/runs", t.listRuns)
	mux.HandleFunc("/", t.serve)
	return mux
}

func (t *Target) grant(w http.ResponseWriter, r *http.Request) {
	var g message.Grant
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&g); err != nil {
		http.Error(w, "bad grant: "+err.Error(), http.StatusBadRequest)
		return
	}
	if g.Target != t.ID {
		http.Error(w, "this is target "+t.ID, http.StatusConflict)
		return
	}
	t.mu.Lock()
	reply := t.holdings.Grant(clock.System{}.Now(), g)
	t.mu.Unlock()
	writeJSON(w, reply)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failure means that the asker has gone away.
	_ = json.NewEncoder(w).Encode(v)
}

func (t *Target) listRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Runs()) }

// serve runs a request, if the target owns its slot and has room for it.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	slot, fence := -1, uint64(0)
	if text := r.Header.Get(wire.HeaderSlot); text != "" {
		slot, _ = strconv.Atoi(text)
		fence, _ = strconv.ParseUint(r.Header.Get(wire.HeaderFence), 10, 64)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	run := Run{Target: t.ID, Service: t.Service, Method: r.Method, Path: r.URL.Path, Slot: slot, Fence: fence, Request: r.Header.Get(wire.HeaderRequestID), Body: string(body)}
	if !t.Fenced && deadlinePassed(r) {
		w.Header().Set(wire.HeaderNotRun, wire.NotRunDeadline)
		http.Error(w, "not run: the deadline has passed", http.StatusServiceUnavailable)
		return
	}
	if reason := t.begin(run); reason != "" {
		w.Header().Set(wire.HeaderNotRun, reason)
		http.Error(w, "not run: "+reason, http.StatusServiceUnavailable)
		return
	}
	defer t.end(slot)
	if t.Work > 0 {
		select {
		case <-time.After(t.Work):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set(wire.HeaderRequestID, run.Request)
	t.answer(w, r, run)
}

func deadlinePassed(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadline), 10, 64)
	return err == nil && time.Now().UnixMilli() >= ms
}

func (t *Target) begin(run Run) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run.Slot >= 0 && t.Fenced && !t.holdings.Owns(clock.System{}.Now(), run.Slot, run.Fence) {
		return wire.NotRunFence
	}
	if t.inUse >= t.Concurrency {
		return wire.NotRunShed
	}
	t.inUse++
	if run.Slot >= 0 {
		t.holdings.begin(run.Slot)
	}
	t.runs = append(t.runs, run)
	t.counts[run.Method+" "+run.Path]++
	return ""
}

func (t *Target) end(slot int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse--
	if slot >= 0 {
		t.holdings.end(slot)
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, run Run) {
	t.mu.Lock()
	times := t.counts[run.Method+" "+run.Path]
	t.mu.Unlock()
	verb := "looked up"
	if r.Method != http.MethodGet {
		verb = "done"
	}
	fmt.Fprintf(w, "%s: %s %s by %s (slot %d, fence %d, time %d)%s\n",
		t.Service, verb, r.URL.Path, t.ID, run.Slot, run.Fence, times, cmp.Or(prefixed(run.Body), ""))
}

func prefixed(body string) string {
	if body == "" {
		return ""
	}
	return " with " + body
}

// Held lists what the target holds, for tests.
func (t *Target) Held() []ownership.Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ownership.Held
	for i, f := range t.holdings.slots {
		out = append(out, ownership.Held{Index: i, Fence: f})
	}
	return out
}
