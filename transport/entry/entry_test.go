package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/node"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/state"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Entry")
}

const testRules = `
[[service]]
name = "bookings"
slots = 1
[[rule]]
name = "lookup"
when = { method = ["GET"], path = "/lookups/{key}" }
then = { route = "bookings", key = "path:key", idempotent = true, deadline = "5s" }
[[rule]]
name = "once"
when = { path = "/once/{key}" }
then = { route = "bookings", key = "path:key", deadline = "5s" }
[[rule]]
name = "by header"
when = { path = "/header" }
then = { route = "bookings", key = "header:X-Key" }
[[rule]]
name = "limited"
when = { path = "/limited/{key}" }
then = { route = "bookings", key = "path:key", limit = { per_second = 0.001, burst = 1 } }
`

// fixture is a handler in front of targets, with a map that the test sets.
type fixture struct {
	publisher *Publisher
	inflight  *Inflight
	handler   *Handler
	server    *httptest.Server
	version   uint64
	settled   atomic.Int64
}

func newFixture() *fixture {
	f := &fixture{publisher: NewPublisher(), inflight: NewInflight()}
	settings := Settings{Instance: "e1", DataCentre: "dc1", MaxWaiting: 10, Window: 300 * time.Millisecond, MaxBody: 1 << 20}
	f.handler = NewHandler(settings, clock.System{}, f.publisher, f.inflight, NewTargets(clock.System{}), NewForwarder(),
		func(wire.Outcome, string, string, string) {}, func() { f.settled.Add(1) })
	f.server = httptest.NewServer(f.handler)
	DeferCleanup(f.server.Close)
	return f
}

// own publishes a map in which the only slot has the given owner and next owner.
func (f *fixture) own(owner, next string) {
	f.version++
	f.publish(&state.ServiceSlots{
		Service: "bookings",
		Slots:   []state.Slot{{Owner: owner, Next: next, Fence: f.version, Since: f.version}},
		Targets: []state.Target{{ID: owner, Address: owner}, {ID: next, Address: next}},
	})
}

func (f *fixture) publish(s *state.ServiceSlots) {
	f.publisher.Publish(node.View{
		Map:   &ownership.Map{Version: f.version, Services: map[string]*state.ServiceSlots{"bookings": s}},
		Rules: state.Rules{Version: 1, Text: testRules},
		Until: clock.System{}.Now().Add(time.Hour),
	})
}

func (f *fixture) do(method, path string, body io.Reader, header ...string) (*http.Response, string) {
	GinkgoHelper()
	req, err := http.NewRequest(method, f.server.URL+path, body)
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp, string(text)
}

// fakeTarget counts the requests that reach its handler.
type fakeTarget struct {
	*httptest.Server
	runs atomic.Int64
}

func (t *fakeTarget) address() string { return t.Listener.Addr().String() }

func newTarget(serve http.HandlerFunc) *fakeTarget {
	t := &fakeTarget{}
	t.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.runs.Add(1)
		serve(w, r)
	}))
	DeferCleanup(t.Close)
	return t
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
}

// cutAfter answers the first n requests and cuts the connection on the others, after they
// have reached the handler.
func cutAfter(n int64) http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, _ *http.Request) {
		if count.Add(1) <= n {
			fmt.Fprint(w, "ok")
			return
		}
		panic(http.ErrAbortHandler)
	}
}

// freeAddress returns an address at which nobody listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func expectOutcome(resp *http.Response, status int, outcome wire.Outcome, reason string) {
	GinkgoHelper()
	Expect(resp.StatusCode).To(Equal(status))
	Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(outcome)))
	Expect(resp.Header.Get(wire.HeaderReason)).To(Equal(reason))
}

var _ = Describe("a request", func() {
	It("reaches the owner of its key and brings the whole answer back", func() {
		f := newFixture()
		t := newTarget(answer("hello"))
		f.own(t.address(), "")
		resp, text := f.do("POST", "/once/k", strings.NewReader("body"))
		expectOutcome(resp, 200, wire.Answered, "")
		Expect(text).To(Equal("hello"))
		Expect(resp.Header.Get(wire.HeaderRule)).To(Equal("once"))
	})

	// Symptom: a request that must not run twice is counted twice by the target.
	// Sequence: a kept connection breaks after the target has read the request; the HTTP
	// client repeats a GET by itself, because HTTP calls it idempotent.
	// Cause: here the rule says what may run twice.
	It("is not repeated by the HTTP client when a kept connection breaks", func() {
		f := newFixture()
		t := newTarget(cutAfter(1))
		f.own(t.address(), "")
		f.do("GET", "/once/k", nil)
		resp, _ := f.do("GET", "/once/k", nil)
		expectOutcome(resp, 504, wire.Unknown, reasonNoAnswer)
		Expect(t.runs.Load()).To(Equal(int64(2)))
	})

	// Symptom: a booking is made twice. Sequence: the target runs it and its answer is lost.
	// Cause: without an answer nobody knows whether it ran.
	It("that must not run twice has an unknown outcome when its answer is lost", func() {
		f := newFixture()
		t := newTarget(cutAfter(0))
		f.own(t.address(), "")
		resp, _ := f.do("POST", "/once/k", strings.NewReader("body"))
		expectOutcome(resp, 504, wire.Unknown, reasonNoAnswer)
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(t.runs.Load()).To(Equal(int64(1)))
	})

	// Symptom: a lookup fails although a second try would answer.
	// Cause: an answer is lost on the way.
	It("that may run twice is tried again when its answer is lost", func() {
		f := newFixture()
		var count atomic.Int64
		t := newTarget(func(w http.ResponseWriter, r *http.Request) {
			if count.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprint(w, "found")
		})
		f.own(t.address(), "")
		resp, text := f.do("GET", "/lookups/k", nil)
		expectOutcome(resp, 200, wire.Answered, "")
		Expect(text).To(Equal("found"))
	})

	// Symptom: retries multiply the load on targets that already fail.
	// Sequence: every answer is lost; each lookup asks for a retry.
	// Cause: retries by count for each request.
	It("is tried again only within a share of the requests", func() {
		f := newFixture()
		t := newTarget(cutAfter(0))
		f.own(t.address(), "")
		const requests = 50
		for range requests {
			f.do("GET", "/lookups/k", nil)
		}
		Expect(t.runs.Load()).To(BeNumerically("<=", requests+1+requests/10))
	})

	// Symptom: a booking is refused, or made twice, while its key changes hands.
	// Sequence: the owner refuses connections; the key moves to another target.
	// Cause: the loss of the owner is noticed only after a while.
	It("waits for its key while the owner cannot be reached and runs once at the next", func() {
		f := newFixture()
		dead := freeAddress()
		t := newTarget(answer("moved"))
		f.own(dead, "")
		time.AfterFunc(50*time.Millisecond, func() { f.own(t.address(), "") })
		resp, text := f.do("POST", "/once/k", strings.NewReader("body"))
		expectOutcome(resp, 200, wire.Answered, "")
		Expect(text).To(Equal("moved"))
		Expect(t.runs.Load()).To(Equal(int64(1)))
	})

	// Symptom: callers hang on a key that nobody serves.
	// Cause: a slot stays between owners.
	It("is refused as not run when its key is not served in time", func() {
		f := newFixture()
		t := newTarget(answer("never"))
		f.own(t.address(), "other")
		resp, _ := f.do("POST", "/once/k", strings.NewReader("body"))
		expectOutcome(resp, 503, wire.NotRun, "unavailable")
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		Expect(t.runs.Load()).To(BeZero())
	})

	// Symptom: a request runs at a former owner.
	// Sequence: the target refuses the fence, because the key has moved; the instance has
	// not heard of it yet.
	// Cause: instances learn of a change one after the other.
	It("is sent to the next owner after a refused fence", func() {
		f := newFixture()
		next := newTarget(answer("next"))
		var move sync.Once
		former := newTarget(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.HeaderNotRun, wire.NotRunFence)
			w.WriteHeader(503)
			go move.Do(func() { f.own(next.address(), "") })
		})
		f.own(former.address(), "")
		resp, text := f.do("POST", "/once/k", strings.NewReader("body"))
		expectOutcome(resp, 200, wire.Answered, "")
		Expect(text).To(Equal("next"))
	})

	// Symptom: half an answer looks like a whole one.
	// Sequence: the target breaks off in the middle of its answer.
	// Cause: the status has been passed on already.
	It("shows an answer that was cut off as cut off", func() {
		f := newFixture()
		t := newTarget(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, strings.Repeat("x", 100_000))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		f.own(t.address(), "")
		resp, err := http.Get(f.server.URL + "/lookups/k")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		Expect(err).To(HaveOccurred())
	})

	// Symptom: a caller gets somebody else's answer.
	// Sequence: a target answers with the id of another request.
	// Cause: a target that mixes up its connections.
	It("never gets an answer that names another request", func() {
		f := newFixture()
		t := newTarget(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.HeaderRequestID, "e1-999")
			fmt.Fprint(w, "not yours")
		})
		f.own(t.address(), "")
		resp, text := f.do("POST", "/once/k", nil)
		expectOutcome(resp, 504, wire.Unknown, reasonMismatch)
		Expect(text).NotTo(ContainSubstring("not yours"))
	})

	It("is matched to its own answer among many at once", func() {
		f := newFixture()
		t := newTarget(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
			w.Write(body)
		})
		f.own(t.address(), "")
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				defer GinkgoRecover()
				want := fmt.Sprintf("caller %d", i)
				_, text := f.do("POST", "/once/k", strings.NewReader(want))
				Expect(text).To(Equal(want))
			})
		}
		wg.Wait()
	})

	// Symptom: an instance that was cut off goes on routing.
	// Cause: its session has ended.
	It("is refused at once without a session", func() {
		f := newFixture()
		t := newTarget(answer("no"))
		f.own(t.address(), "")
		v := node.View{Map: f.publisher.Load().Map, Rules: state.Rules{Version: 1, Text: testRules}, Until: clock.System{}.Now()}
		f.publisher.Publish(v)
		resp, _ := f.do("POST", "/once/k", nil)
		expectOutcome(resp, 503, wire.NotRun, "no-session")
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		Expect(t.runs.Load()).To(BeZero())
	})

	// Symptom: a caller passes for an instance. Sequence: it sends a fence of its own.
	// Cause: headers are passed on unchecked.
	It("cannot bring headers that only an instance may set", func() {
		f := newFixture()
		t := newTarget(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, r.Header.Get(wire.HeaderFence), r.Header.Get("Lycheehall-Other"), r.Header.Get("X-Hop"), r.Header.Get("X-Keep"))
		})
		f.own(t.address(), "")
		_, text := f.do("POST", "/once/k", nil, "lycheehall-fence", "99", "LYCHEEHALL-other", "spoofed", "Connection", "X-Hop", "X-Hop", "hop", "X-Keep", "+kept")
		Expect(text).To(Equal("1+kept"))
	})

	// Symptom: drained targets still get work, or a move never finishes.
	// Sequence: a request is under way when its slot begins to move; the change counts as
	// acknowledged only after the request is over.
	// Cause: a request under an old assignment.
	It("under way holds back the acknowledgement of a move", func() {
		f := newFixture()
		arrived, release := make(chan struct{}), make(chan struct{})
		t := newTarget(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-release
			fmt.Fprint(w, "done")
		})
		f.own(t.address(), "")
		done := make(chan string)
		go func() {
			defer GinkgoRecover()
			_, text := f.do("POST", "/once/k", nil)
			done <- text
		}()
		<-arrived
		f.own(t.address(), "next")
		Expect(f.inflight.Settle(f.publisher.Load().Map)).To(BeNumerically("<", f.version))
		close(release)
		Expect(<-done).To(Equal("done"))
		Eventually(f.settled.Load).Should(BeNumerically(">", 0))
		Expect(f.inflight.Settle(f.publisher.Load().Map)).To(Equal(f.version))
	})

	// Symptom: callers wait for a lost owner until their deadline.
	// Sequence: the owner is declared lost while a request is under way.
	// Cause: nobody tells the request.
	It("to a lost owner is given up with an unknown outcome", func() {
		f := newFixture()
		arrived := make(chan struct{})
		release := make(chan struct{})
		defer close(release)
		t := newTarget(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		f.own(t.address(), "")
		done := make(chan *http.Response)
		go func() {
			defer GinkgoRecover()
			resp, _ := f.do("POST", "/once/k", nil)
			done <- resp
		}()
		<-arrived
		f.version++
		f.publish(&state.ServiceSlots{
			Service: "bookings",
			Slots:   []state.Slot{{Owner: t.address(), Next: "next", Lost: true, Fence: 1, Since: f.version}},
			Targets: []state.Target{{ID: t.address(), Address: t.address()}},
		})
		f.inflight.Settle(f.publisher.Load().Map)
		expectOutcome(<-done, 504, wire.Unknown, reasonOwnerLost)
	})

	DescribeTable("that is malformed is refused as not run",
		func(method, path string, body io.Reader, status int, reason string, header ...string) {
			f := newFixture()
			t := newTarget(answer("no"))
			f.own(t.address(), "")
			resp, _ := f.do(method, path, body, header...)
			expectOutcome(resp, status, wire.NotRun, reason)
			Expect(t.runs.Load()).To(BeZero())
		},
		Entry("without a rule", "GET", "/nothing", nil, 404, "no-rule"),
		Entry("without its key", "GET", "/header", nil, 400, "no-key"),
		Entry("with two keys", "GET", "/header", nil, 400, "no-key", "X-Key", "a", "X-Key", "b"),
		Entry("with dots in its path", "GET", "/x/%2e%2e/once/k", nil, 400, "path"),
		Entry("with too large a body", "POST", "/once/k", strings.NewReader(strings.Repeat("x", 1<<20+1)), 413, "body-too-large"),
	)

	It("above the limit of its rule is refused at once", func() {
		f := newFixture()
		t := newTarget(answer("ok"))
		f.own(t.address(), "")
		f.do("GET", "/limited/k", nil)
		resp, _ := f.do("GET", "/limited/k", nil)
		expectOutcome(resp, 429, wire.NotRun, "limit")
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
	})

	It("with conflicting lengths is refused before any rule", func() {
		f := newFixture()
		t := newTarget(answer("no"))
		f.own(t.address(), "")
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprint(conn, "POST /once/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(400))
		Expect(t.runs.Load()).To(BeZero())
	})
})
