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

// answers is an Upstream that plays what each try meets.
type answers struct {
	mu    sync.Mutex
	tries []upstream.Request
	next  []func(ctx context.Context) (*upstream.Response, error)
}

func (a *answers) Do(ctx context.Context, _ upstream.Target, r *upstream.Request) (*upstream.Response, error) {
	a.mu.Lock()
	a.tries = append(a.tries, *r)
	play := ok
	if len(a.next) > 0 {
		play = a.next[0]
		a.next = a.next[1:]
	}
	a.mu.Unlock()
	return play(ctx)
}

func ok(context.Context) (*upstream.Response, error) {
	return &upstream.Response{Status: 200, Header: http.Header{"Signed": {"yes"}}, Body: []byte("whole")}, nil
}

func failure(context.Context) (*upstream.Response, error) {
	return &upstream.Response{Status: 500, Header: http.Header{"Signed": {"yes"}}, Body: []byte("bad")}, nil
}

func fails(err error) func(context.Context) (*upstream.Response, error) {
	return func(context.Context) (*upstream.Response, error) { return nil, err }
}

func silent(ctx context.Context) (*upstream.Response, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", upstream.ErrOutcomeUnknown, ctx.Err())
}

var (
	notSent  = fails(fmt.Errorf("%w: refused", upstream.ErrNotSent))
	broken   = fails(fmt.Errorf("%w: reset", upstream.ErrOutcomeUnknown))
	shed     = fails(&upstream.NotExecutedError{Status: 503})
	notOwner = fails(&upstream.NotExecutedError{Status: 421})
)

// permits hands out permits for the first target, or refuses.
type permits struct {
	refuse error
	// before is called while a permit is awaited.
	before  func()
	mu      sync.Mutex
	reports []permit.Report
	asks    []permit.Ask
}

func (p *permits) Acquire(_ context.Context, ask permit.Ask) (permit.Permit, error) {
	if p.refuse != nil {
		return permit.Permit{}, p.refuse
	}
	if p.before != nil {
		p.before()
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

func (p *permits) Release(r permit.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, r)
}

// aheadClock is a clock that tests set forward.
type aheadClock struct{ ahead time.Duration }

func (c *aheadClock) Now() clock.Instant { return clock.System{}.Now().Add(c.ahead) }

type fixture struct {
	// said is the clock of what targets have said of themselves.
	said    *aheadClock
	h       *Handler
	up      *answers
	permits *permits
	board   *view.Board
	lines   []string
	mu      sync.Mutex
}

func newFixture() *fixture {
	GinkgoHelper()
	f := &fixture{up: &answers{}, permits: &permits{}, said: &aheadClock{}, board: view.NewBoard(clock.System{})}
	set, err := rules.Parse("rules", ruleText)
	Expect(err).NotTo(HaveOccurred())
	now := clock.System{}.Now()
	f.board.SetRules(1, set, now)
	f.board.SetTargets(1, map[string]view.Target{
		"k1": {ID: "k1", Service: "keyed", Address: "k1", Slots: 2},
		"p1": {ID: "p1", Service: "plain", Address: "p1", Slots: 2},
	}, now)
	f.board.SetInstances(view.InstancesVersion{Term: 1, Count: 1}, []view.Instance{{ID: "i"}})
	f.own("k1", "", false)
	budget := NewRetryBudget(clock.System{}, RetryBudgetConfig{Ratio: 0.2, Slack: 60, Window: 10 * time.Second})
	f.h = NewHandler(Config{Names: names, MaxBody: 1 << 20, TargetStatus: targetstatus.NewRegistry(f.said, 2*time.Second)}, clock.System{}, "i", f.board, f.up, f.permits, demand.NewCollector(), budget,
		func(event string, fields ...any) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lines = append(f.lines, event+" "+fmt.Sprint(fields...))
		})
	return f
}

// own puts a map into force in which one target has all keys, or is about to give them up.
func (f *fixture) own(owner, next string, lost bool) {
	e := keyrange.Empty().Edit()
	if m := f.board.Load().Maps["keyed"]; m != nil {
		e = m.Edit()
	}
	e.Move(0, keyrange.MaxKey, owner, false)
	e.Finish(0, keyrange.MaxKey)
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

type play = []func(context.Context) (*upstream.Response, error)

var _ = Describe("what is seen of tries, what is said and how often it was sent", func() {
	DescribeTable("cases",
		func(method string, next play, status, tries int) {
			f := newFixture()
			f.up.next = next
			w := f.do(method, "/k/a")
			Expect(w.Code).To(Equal(status))
			Expect(f.up.tries).To(HaveLen(tries))
			if status == 503 {
				Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
			} else {
				Expect(w.Header().Get("Retry-After")).To(BeEmpty())
			}
		},
		Entry("an answer", "POST", play{ok}, 200, 1),
		Entry("not sent, then an answer", "POST", play{notSent, ok}, 200, 2),
		Entry("not run, then an answer", "POST", play{shed, ok}, 200, 2),
		Entry("not the owner, then an answer", "POST", play{notOwner, ok}, 200, 2),
		Entry("broken off, must not run twice", "POST", play{broken, ok}, 502, 1),
		Entry("broken off, may run twice", "GET", play{broken, ok}, 200, 2),
		Entry("not run three times", "POST", play{shed, shed, shed, ok}, 503, 3),
		Entry("broken off, then refused: it may have run", "GET", play{broken, shed, shed}, 502, 3),
		Entry("silent until the deadline", "POST", play{silent}, 504, 1),
		Entry("a failure of the target's own", "POST", play{failure, ok}, 500, 1),
	)

	It("gives the permit back after each try", func() {
		f := newFixture()
		f.up.next = play{shed, ok}
		f.do("POST", "/k/a")
		Expect(f.permits.reports).To(HaveLen(2))
		Expect(f.permits.reports[0].Result).To(Equal(permit.Shed))
		Expect(f.permits.reports[1].Result).To(Equal(permit.Served))
	})
})

var _ = Describe("a request", func() {
	It("is refused at once with the time to come back when there is no room", func() {
		f := newFixture()
		f.permits.refuse = &permit.RefusedError{Reason: permit.ReasonFull, RetryAfter: 350 * time.Millisecond}
		w := f.do("POST", "/k/a")
		Expect(w.Code).To(Equal(503))
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically("~", 0.35, 0.001))
		Expect(f.up.tries).To(BeEmpty())
	})

	// Symptom: requests fail while their keys change hands. Sequence: a planned move; the
	// next owner has the keys 30 ms later. Cause: the request was refused in between.
	It("waits for a key that changes hands", func() {
		f := newFixture()
		f.own("k1", "k2", false)
		time.AfterFunc(30*time.Millisecond, func() { f.own("k1", "", false) })
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
	})

	It("does not wait for a key whose owner was lost", func() {
		f := newFixture()
		f.own("k1", "k2", true)
		begun := time.Now()
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
	})

	// Symptom: a target that has long said that it leaves still gets requests.
	// Sequence: it drains, and its keys cannot be taken from it.
	// Cause: it still is the owner.
	It("is not sent to an owner that has been draining for long", func() {
		f := newFixture()
		now := clock.System{}.Now()
		list := map[string]view.Target{"k1": {ID: "k1", Service: "keyed", Address: "k1", Slots: 2, Draining: true}}
		f.board.SetTargets(2, list, now)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		time.Sleep(view.DrainGrace + 50*time.Millisecond)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
	})

	// Symptom: a target gets a request 2.4 s after it said that it leaves. Sequence: the
	// request waits for a slot; the target begins to drain; the permit comes.
	// Cause: only the wait for the owner looked at that.
	It("is not sent to an owner that began to drain while it waited for a slot", func() {
		f := newFixture()
		f.permits.before = func() {
			now := clock.System{}.Now()
			f.board.SetTargets(2, map[string]view.Target{"k1": {ID: "k1", Service: "keyed", Address: "k1", Slots: 2, Draining: true}}, now)
			time.Sleep(view.DrainGrace + 50*time.Millisecond)
		}
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(BeEmpty())
	})

	It("has the shorter of the caller's and the rule's time", func() {
		f := newFixture()
		f.up.next = play{silent}
		begun := time.Now()
		Expect(f.do("POST", "/k/a", "Timeout-Ms", "150").Code).To(Equal(504))
		Expect(time.Since(begun)).To(BeNumerically("~", 135*time.Millisecond, 60*time.Millisecond))
	})

	It("gets the number of its key and keeps its id", func() {
		f := newFixture()
		f.do("POST", "/k/a")
		Expect(f.up.tries[0].Header.Get("Key")).To(MatchRegexp(`^\d+$`))
		Expect(f.up.tries[0].Header.Get("Id")).To(Equal("r1"))
		Expect(string(f.up.tries[0].Body)).To(Equal("body"))
	})

	It("is answered by a rule that refuses", func() {
		w := newFixture().do("GET", "/no")
		Expect(w.Code).To(Equal(403))
		Expect(w.Header().Get("Retry-After")).To(Equal("2.000"))
	})

	It("finds no rule", func() { Expect(newFixture().do("GET", "/elsewhere").Code).To(Equal(404)) })

	It("is refused as not run while no rules are known", func() {
		f := newFixture()
		f.h.board = view.NewBoard(clock.System{})
		Expect(f.do("GET", "/k/a").Code).To(Equal(503))
	})

	It("is refused beyond the rule's limit", func() {
		f := newFixture()
		begun, end := make(chan struct{}), make(chan struct{})
		f.up.next = play{func(ctx context.Context) (*upstream.Response, error) { close(begun); <-end; return ok(ctx) }}
		go f.do("GET", "/limited")
		<-begun
		Expect(f.do("GET", "/limited").Code).To(Equal(429))
		close(end)
	})

	It("writes one line with what decided it", func() {
		f := newFixture()
		f.do("POST", "/k/a")
		Expect(f.lines).To(HaveLen(1))
		for _, part := range []string{"request", "r1", "book", "keyed", "k1", "answered"} {
			Expect(f.lines[0]).To(ContainSubstring(part))
		}
	})

	// Symptom: a request gets neither an answer nor a refusal when its instance stops.
	// Sequence: it waits for a key that changes hands; the grace ends; the process exits.
	// Cause: only the request's own time ended the wait.
	It("is refused as not run when its instance stops while it waits", func() {
		f := newFixture()
		f.own("k1", "k2", false)
		time.AfterFunc(50*time.Millisecond, f.h.RefuseWaiting)
		w := f.do("POST", "/k/a")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(Equal("stopping\n"))
	})

	It("is not cut off at its target when waits end, and answered when work ends", func() {
		f := newFixture()
		f.up.next = play{silent}
		begun := time.Now()
		f.h.RefuseWaiting()
		time.AfterFunc(150*time.Millisecond, f.h.AbortRunning)
		Expect(f.do("POST", "/k/a").Code).To(Equal(504))
		Expect(time.Since(begun)).To(BeNumerically("~", 150*time.Millisecond, 100*time.Millisecond))
	})

	It("is asked to leave the connection when the instance stops", func() {
		f := newFixture()
		f.h.DisableKeepAlives()
		Expect(f.do("GET", "/k/a").Header().Get("Connection")).To(Equal("close"))
	})
})

// TestAnswerBodies checks that an answer goes to its caller unchanged.
func TestAnswerBodies(t *testing.T) {
	w := httptest.NewRecorder()
	writeAnswer(w, &upstream.Response{Status: 201, Header: http.Header{"Signed": {"x"}, "Connection": {"close"}, "Keep-Alive": {"timeout=3"}}, Body: []byte("abc")})
	body, err := io.ReadAll(w.Body)
	if err != nil || string(body) != "abc" || w.Code != 201 || w.Header().Get("Signed") != "x" || w.Header().Get("Keep-Alive") != "" {
		t.Fatalf("got %d %q %v", w.Code, body, w.Header())
	}
}
