package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/targetstatus"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/transport/upstream"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Front")
}

var names = wire.Names{RequestID: "Id", Timeout: "Timeout-Ms", Signature: "Signed", Target: "Target", NotExecuted: "Not-Run", Key: "Key"}

const ruleText = `
[[service]]
name = "keyed"
keyed = true
[[service]]
name = "plain"
[[rule]]
name = "look up"
when = { method = ["GET"], path = "/k/{k}" }
then = { route = "keyed", key = "path:k", idempotent = true, deadline = "1s", max_attempts = 3 }
[[rule]]
name = "book"
when = { method = ["POST"], path = "/k/{k}" }
then = { route = "keyed", key = "path:k", deadline = "1s", max_attempts = 3 }
[[rule]]
name = "limited"
when = { path = "/limited" }
then = { route = "plain", limit = { concurrent = 1 } }
[[rule]]
name = "plain look up"
when = { method = ["GET"], path = "/p" }
then = { route = "plain", idempotent = true, deadline = "1s" }
[[rule]]
name = "no"
when = { path = "/no" }
then = { refuse = { status = 403, message = "not here", retry_after = "2s" } }
`

// fakeUpstream is an Upstream that plays a script of responses, then responds with success.
type fakeUpstream struct {
	mu       sync.Mutex
	requests []upstream.Request
	script   []func(ctx context.Context) (*upstream.Response, error)
}

func (u *fakeUpstream) Do(ctx context.Context, _ upstream.Target, r *upstream.Request) (*upstream.Response, error) {
	u.mu.Lock()
	u.requests = append(u.requests, *r)
	play := respondOK
	if len(u.script) > 0 {
		play = u.script[0]
		u.script = u.script[1:]
	}
	u.mu.Unlock()
	return play(ctx)
}

func respondOK(context.Context) (*upstream.Response, error) {
	return &upstream.Response{Status: 200, Header: http.Header{"Signed": {"yes"}}, Body: []byte("whole")}, nil
}

func respondFailure(context.Context) (*upstream.Response, error) {
	return &upstream.Response{Status: 500, Header: http.Header{"Signed": {"yes"}}, Body: []byte("bad")}, nil
}

func failWith(err error) func(context.Context) (*upstream.Response, error) {
	return func(context.Context) (*upstream.Response, error) { return nil, err }
}

func respondNever(ctx context.Context) (*upstream.Response, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", upstream.ErrOutcomeUnknown, ctx.Err())
}

var (
	notSent        = failWith(fmt.Errorf("%w: refused", upstream.ErrNotSent))
	outcomeUnknown = failWith(fmt.Errorf("%w: reset", upstream.ErrOutcomeUnknown))
	targetRefuses  = failWith(&upstream.NotExecutedError{Status: 503})
	notOwner       = failWith(&upstream.NotExecutedError{Status: 421})
)

// fakePermits grants a permit for the requested target, or for p1, unless refuseWith is set.
type fakePermits struct {
	refuseWith error
	// beforeGrant is called while the request waits for its permit.
	beforeGrant func()
	mu          sync.Mutex
	reports     []permit.Report
	asks        []permit.Ask
}

func (p *fakePermits) Acquire(_ context.Context, ask permit.Ask) (permit.Permit, error) {
	if p.refuseWith != nil {
		return permit.Permit{}, p.refuseWith
	}
	if p.beforeGrant != nil {
		p.beforeGrant()
	}
	p.mu.Lock()
	p.asks = append(p.asks, ask)
	p.mu.Unlock()
	target := ask.Target
	if target == "" {
		target = "p1"
	}
	return permit.Permit{ID: ask.ID, Target: target}, nil
}

func (p *fakePermits) Release(r permit.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, r)
}

// offsetClock runs ahead of the system clock by an offset that tests set.
type offsetClock struct{ offset time.Duration }

func (c *offsetClock) Now() clock.Instant { return clock.System{}.Now().Add(c.offset) }

type fixture struct {
	// statusClock is the clock of the target status tracker.
	statusClock *offsetClock
	h           *Handler
	upstream    *fakeUpstream
	permits     *fakePermits
	board       *view.Board
	logLines    []string
	mu          sync.Mutex
}

func newFixture() *fixture {
	GinkgoHelper()
	f := &fixture{upstream: &fakeUpstream{}, permits: &fakePermits{}, statusClock: &offsetClock{}, board: view.NewBoard(clock.System{})}
	set, err := rules.Parse("rules", ruleText)
	Expect(err).NotTo(HaveOccurred())
	now := clock.System{}.Now()
	f.board.SetRules(1, set, now)
	f.board.SetTargets(1, map[string]view.Target{
		"k1": {ID: "k1", Service: "keyed", Address: "k1", Slots: 2},
		"p1": {ID: "p1", Service: "plain", Address: "p1", Slots: 2},
	}, now)
	f.board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, []view.Instance{{ID: "i"}})
	f.setOwner("k1", "", false)
	budget := NewRetryBudget(clock.System{}, RetryBudgetConfig{Ratio: 0.2, Slack: 60, Window: 10 * time.Second})
	f.h = NewHandler(Config{Names: names, MaxBody: 1 << 20, TargetStatus: targetstatus.NewTracker(f.statusClock, 2*time.Second)}, clock.System{}, "i", f.board, f.upstream, f.permits, demand.NewCollector(), budget,
		func(event string, fields ...any) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.logLines = append(f.logLines, event+" "+fmt.Sprint(fields...))
		})
	return f
}

// setOwner installs a map in which owner has all keys. If next is set, they are being reassigned to
// it; lost says that the owner was lost.
func (f *fixture) setOwner(owner, next string, lost bool) {
	e := keyrange.Empty().Edit()
	if m := f.board.Snapshot().Maps["keyed"]; m != nil {
		e = m.Edit()
	}
	e.Move(0, keyrange.MaxKey, owner, false)
	e.FinishMove(0, keyrange.MaxKey)
	if next != "" {
		e.Move(0, keyrange.MaxKey, next, lost)
	}
	f.board.SetMap("keyed", e.Map())
}

func (f *fixture) do(method, path string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, nil)
	if method == http.MethodPost {
		r = httptest.NewRequest(method, path, strings.NewReader("body"))
	}
	r.Header.Set("Id", "r1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.h.ServeHTTP(w, r)
	return w
}

type script = []func(context.Context) (*upstream.Response, error)

var _ = Describe("the outcome of attempts, the final status and the number of attempts", func() {
	DescribeTable("follow the table in the package documentation",
		func(method string, responses script, status, attempts int) {
			f := newFixture()
			f.upstream.script = responses
			w := f.do(method, "/k/a")
			Expect(w.Code).To(Equal(status))
			Expect(f.upstream.requests).To(HaveLen(attempts))
			if status == 503 {
				Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
			} else {
				Expect(w.Header().Get("Retry-After")).To(BeEmpty())
			}
		},
		Entry("a response", "POST", script{respondOK}, 200, 1),
		Entry("not sent, then a response", "POST", script{notSent, respondOK}, 200, 2),
		Entry("not executed, then a response", "POST", script{targetRefuses, respondOK}, 200, 2),
		Entry("not the owner, then a response", "POST", script{notOwner, respondOK}, 200, 2),
		Entry("broken off, not idempotent", "POST", script{outcomeUnknown, respondOK}, 502, 1),
		Entry("broken off, idempotent", "GET", script{outcomeUnknown, respondOK}, 200, 2),
		Entry("not executed three times", "POST", script{targetRefuses, targetRefuses, targetRefuses, respondOK}, 503, 3),
		Entry("broken off, then refused: it may have been executed", "GET", script{outcomeUnknown, targetRefuses, targetRefuses}, 502, 3),
		Entry("no response until the deadline", "POST", script{respondNever}, 504, 1),
		Entry("a failure of the target itself", "POST", script{respondFailure, respondOK}, 500, 1),
	)

	// Guards against a promise that is not true: the target failed while it executed the request, and
	// the retry got no permit.
	It("never report a request as not executed after a target has failed", func() {
		f := newFixture()
		f.upstream.script = script{respondFailure}
		f.permits.beforeGrant = func() {
			f.permits.refuseWith = &permit.RefusedError{Reason: permit.ReasonFull, RetryAfter: time.Second}
		}
		w := f.do("GET", "/p")
		Expect(w.Code).To(Equal(502))
		Expect(w.Header().Get("Retry-After")).To(BeEmpty())
	})

	It("release the permit after each attempt", func() {
		f := newFixture()
		f.upstream.script = script{targetRefuses, respondOK}
		f.do("POST", "/k/a")
		Expect(f.permits.reports).To(HaveLen(2))
		Expect(f.permits.reports[0].Result).To(Equal(permit.ResultNotExecuted))
		Expect(f.permits.reports[1].Result).To(Equal(permit.ResultServed))
	})
})

var _ = Describe("a request", func() {
	It("is refused at once with a Retry-After when there is no free slot", func() {
		f := newFixture()
		f.permits.refuseWith = &permit.RefusedError{Reason: permit.ReasonFull, RetryAfter: 350 * time.Millisecond}
		w := f.do("POST", "/k/a")
		Expect(w.Code).To(Equal(503))
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically("~", 0.35, 0.001))
		Expect(f.upstream.requests).To(BeEmpty())
	})

	// Guards against refusing requests while their key is being reassigned. If the owner still
	// runs, the next owner has the key some 30 ms later.
	It("waits for a key that is being reassigned", func() {
		f := newFixture()
		f.setOwner("k1", "k2", false)
		time.AfterFunc(30*time.Millisecond, func() { f.setOwner("k1", "", false) })
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
	})

	It("does not wait for a key whose owner was lost", func() {
		f := newFixture()
		f.setOwner("k1", "k2", true)
		start := time.Now()
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})

	// Guards against sending to a target whose drain time is over. It may still own its keys,
	// because they cannot be reassigned.
	It("is not sent to an owner whose drain time is over", func() {
		f := newFixture()
		now := clock.System{}.Now()
		list := map[string]view.Target{"k1": {ID: "k1", Service: "keyed", Address: "k1", Slots: 2, Draining: true}}
		f.board.SetTargets(2, list, now)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		time.Sleep(view.DrainGrace + 50*time.Millisecond)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
	})

	// Guards against checking for leaving targets only before the wait for a permit. The drain time
	// of the target may end while the request waits for a slot.
	It("is not sent to an owner whose drain time ended while it waited for a slot", func() {
		f := newFixture()
		f.permits.beforeGrant = func() {
			now := clock.System{}.Now()
			f.board.SetTargets(2, map[string]view.Target{"k1": {ID: "k1", Service: "keyed", Address: "k1", Slots: 2, Draining: true}}, now)
			time.Sleep(view.DrainGrace + 50*time.Millisecond)
		}
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(BeEmpty())
	})

	// Guards against work at a target beyond the time for which the caller waits, and against a response
	// that is not sent before the caller gives up. The deadline is compared with the times just before
	// the request and at the attempt, and not with the time until the response, which depends on how busy
	// the machine is.
	DescribeTable("has the shorter of the caller's and the rule's timeout", func(caller string, timeout time.Duration, play func(context.Context) (*upstream.Response, error), status int) {
		f := newFixture()
		var deadline, attempt time.Time
		f.upstream.script = script{func(ctx context.Context) (*upstream.Response, error) {
			attempt = time.Now()
			deadline, _ = ctx.Deadline()
			return play(ctx)
		}}
		start := time.Now()
		Expect(f.do("POST", "/k/a", "Timeout-Ms", caller).Code).To(Equal(status))
		end := time.Now()
		Expect(deadline).To(BeTemporally(">=", start.Add(timeout-responseMargin)))
		Expect(deadline).To(BeTemporally("<=", attempt.Add(timeout-responseMargin)))
		Expect(f.upstream.requests).To(HaveLen(1))
		if status == 504 {
			Expect(end).To(BeTemporally(">=", deadline))
		}
	},
		Entry("the caller's", "150", 150*time.Millisecond, respondNever, 504),
		Entry("the rule's", "5000", time.Second, respondOK, 200),
		Entry("the rule's if the caller's is not a number", "soon", time.Second, respondOK, 200),
	)

	It("is sent with its key number and its own ID", func() {
		f := newFixture()
		f.do("POST", "/k/a")
		Expect(f.upstream.requests[0].Header.Get("Key")).To(MatchRegexp(`^\d+$`))
		Expect(f.upstream.requests[0].Header.Get("Id")).To(Equal("r1"))
		Expect(string(f.upstream.requests[0].Body)).To(Equal("body"))
	})

	// Guards against requests that may run once being served beside others of their connection.
	It("is idempotent if its rule says so", func() {
		f := newFixture()
		idempotent := func(method, path string) bool { return f.h.Idempotent(httptest.NewRequest(method, path, nil)) }
		Expect(idempotent("GET", "/k/a")).To(BeTrue())
		Expect(idempotent("POST", "/k/a")).To(BeFalse())
		Expect(idempotent("GET", "/elsewhere")).To(BeFalse())
		f.h.board = view.NewBoard(clock.System{})
		Expect(idempotent("GET", "/k/a")).To(BeFalse())
	})

	It("gets the response of a rule that refuses", func() {
		w := newFixture().do("GET", "/no")
		Expect(w.Code).To(Equal(403))
		Expect(w.Header().Get("Retry-After")).To(Equal("2.000"))
	})

	It("gets 404 when no rule matches", func() { Expect(newFixture().do("GET", "/elsewhere").Code).To(Equal(404)) })

	It("is refused as not executed while no rules are known", func() {
		f := newFixture()
		f.h.board = view.NewBoard(clock.System{})
		Expect(f.do("GET", "/k/a").Code).To(Equal(503))
	})

	It("is refused beyond the rule's limit", func() {
		f := newFixture()
		started, end := make(chan struct{}), make(chan struct{})
		f.upstream.script = script{func(ctx context.Context) (*upstream.Response, error) { close(started); <-end; return respondOK(ctx) }}
		go f.do("GET", "/limited")
		<-started
		Expect(f.do("GET", "/limited").Code).To(Equal(429))
		close(end)
	})

	It("writes one log line that shows how it was handled", func() {
		f := newFixture()
		f.do("POST", "/k/a")
		Expect(f.logLines).To(HaveLen(1))
		for _, part := range []string{"request", "r1", "book", "keyed", "k1", "answered"} {
			Expect(f.logLines[0]).To(ContainSubstring(part))
		}
	})

	// Guards against requests without any response when the instance shuts down. The request waits
	// for a key that is being reassigned until the grace period ends and the process exits; its
	// wait must not only end with the request's own deadline.
	It("is refused as not executed when the instance shuts down while it waits", func() {
		f := newFixture()
		f.setOwner("k1", "k2", false)
		time.AfterFunc(50*time.Millisecond, f.h.RefuseWaiting)
		w := f.do("POST", "/k/a")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(Equal("stopping\n"))
	})

	It("is aborted by AbortRunning but not by RefuseWaiting, when a target runs it", func() {
		f := newFixture()
		f.upstream.script = script{respondNever}
		start := time.Now()
		f.h.RefuseWaiting()
		time.AfterFunc(150*time.Millisecond, f.h.AbortRunning)
		Expect(f.do("POST", "/k/a").Code).To(Equal(504))
		Expect(time.Since(start)).To(BeNumerically("~", 150*time.Millisecond, 100*time.Millisecond))
	})

	It("gets Connection: close when the instance shuts down", func() {
		f := newFixture()
		f.h.DisableKeepAlives()
		Expect(f.do("GET", "/k/a").Header().Get("Connection")).To(Equal("close"))
	})
})

// TestResponseBodies checks that a response is forwarded to the caller unchanged, without the
// headers that concern only the connection.
func TestResponseBodies(t *testing.T) {
	w := httptest.NewRecorder()
	writeResponse(w, &upstream.Response{Status: 201, Header: http.Header{"Signed": {"x"}, "Connection": {"close"}, "Keep-Alive": {"timeout=3"}}, Body: []byte("abc")})
	body, err := io.ReadAll(w.Body)
	if err != nil || string(body) != "abc" || w.Code != 201 || w.Header().Get("Signed") != "x" || w.Header().Get("Keep-Alive") != "" {
		t.Fatalf("got %d %q %v", w.Code, body, w.Header())
	}
}
