package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/transport/membudget"
	"lycheehall.example/lycheehall/transport/pipeline"
	"lycheehall.example/lycheehall/transport/upstream"
)

// newMemoryFixture returns a fixture with a budget of the given size that responds to "/p" with a
// large body, and to other paths with a small one.
func newMemoryFixture(limit int64, stall time.Duration, large []byte) (*fixture, *membudget.Budget) {
	GinkgoHelper()
	f := newFixture()
	b := membudget.New(clock.System{}, membudget.Limits{Held: limit, Connection: limit / 4}, nil)
	f.h.config.Memory, f.h.config.StallTimeout = b, stall
	f.h.upstream = upstreamFunc(func(r *upstream.Request) (*upstream.Response, error) {
		body := []byte("small")
		if r.URI == "/p" {
			r.OnBuffer(int64(len(large)))
			body = large[:len(large):len(large)]
		}
		return &upstream.Response{Status: 200, Header: http.Header{"Signed": {"yes"}}, Body: body}, nil
	})
	return f, b
}

type upstreamFunc func(r *upstream.Request) (*upstream.Response, error)

func (u upstreamFunc) Do(_ context.Context, _ upstream.Target, r *upstream.Request) (*upstream.Response, error) {
	return u(r)
}

// serve serves the handler on a loopback address with the listener that instances use.
func (f *fixture) serve() (*http.Server, string) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: f.h}
	go func() { _ = server.Serve(membudget.NewListener(l, f.h.config.Memory)) }()
	DeferCleanup(server.Close)
	return server, l.Addr().String()
}

// receiveBufferBytes is the receive buffer of slow callers. With less than the segments of the loopback
// interface, TCP itself waits for 0.2 s before each of them.
const receiveBufferBytes = 64 << 10

// slowCaller is a connection with a small receive buffer on which a request has been sent.
type slowCaller struct {
	net.Conn
	reader *bufio.Reader
}

func startSlowCaller(address string, paths ...string) slowCaller {
	GinkgoHelper()
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)).To(Succeed())
	s := slowCaller{conn, bufio.NewReaderSize(conn, 4<<10)}
	s.send(paths...)
	return s
}

// send sends requests in a single write, so that the server receives them together.
func (s slowCaller) send(paths ...string) {
	GinkgoHelper()
	text := ""
	for _, path := range paths {
		text += "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
	}
	_, err := io.WriteString(s, text)
	Expect(err).NotTo(HaveOccurred())
}

// receive reads a response, of whose body the first bytes are read slowly.
func (s slowCaller) receive(slow int, pause time.Duration) (int, int64, error) {
	resp, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	read := int64(0)
	for read < int64(slow) {
		time.Sleep(pause)
		n, err := io.CopyN(io.Discard, resp.Body, 16<<10)
		read += n
		if err != nil {
			return resp.StatusCode, read, err
		}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, read + n, err
}

func (f *fixture) lines(event string) (found []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.logLines {
		if strings.HasPrefix(line, event+" ") {
			found = append(found, line)
		}
	}
	return found
}

var _ = Describe("the memory budget", func() {
	large := []byte(strings.Repeat("x", 512<<10))

	// Guards against instances whose memory is used up by callers that read slowly, and against
	// refusals of fast callers beside them.
	It("bounds what is held for slow callers, while fast ones are served", func() {
		const (
			callers = 1000
			limit   = 32 << 20
		)
		f, b := newMemoryFixture(limit, 10*time.Second, large)
		_, address := f.serve()
		first := startSlowCaller(address, "/p")
		_, read, err := first.receive(0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(BeEquivalentTo(len(large)))

		var highest, refused, whole atomic.Int64
		done := make(chan struct{})
		go func() {
			defer close(done)
			var running sync.WaitGroup
			for range callers {
				caller := startSlowCaller(address, "/p")
				running.Go(func() {
					status, read, err := caller.receive(4*16<<10, 500*time.Millisecond)
					if status == http.StatusServiceUnavailable {
						refused.Add(1)
					} else if err == nil && read == int64(len(large)) {
						whole.Add(1)
					}
				})
			}
			running.Wait()
		}()
		fast := 0
		for running := true; running; {
			resp, err := http.Get("http://" + address + "/k/a")
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("small"))
			fast++
			highest.Store(max(highest.Load(), b.Held()))
			select {
			case <-done:
				running = false
			default:
			}
		}
		GinkgoWriter.Printf("%d whole, %d refused, %d fast, highest %d of %d\n", whole.Load(), refused.Load(), fast, highest.Load(), limit)
		Expect(highest.Load()).To(BeNumerically("<=", limit))
		Expect(highest.Load()).To(BeNumerically(">", limit/2))
		Expect(whole.Load()).To(BeNumerically(">", 20))
		Expect(refused.Load()).To(BeNumerically(">", 0))
		Expect(whole.Load() + refused.Load()).To(BeEquivalentTo(callers))
		Eventually(b.Held).Should(BeZero())
	})

	It("refuses at once what does not fit, as not executed", func() {
		f, b := newMemoryFixture(1<<20, 0, large)
		_, d := b.Reserve("other", membudget.Ask{Known: 1 << 20})
		Expect(d.Admitted).To(BeTrue())
		w := f.do("GET", "/p")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(Equal("memory\n"))
		Expect(w.Header().Get("Retry-After")).To(Equal("10.000"))
		Expect(f.permits.asks).To(BeEmpty())
	})

	It("says that a request body above the whole budget is too large, also without its length", func() {
		f, b := newMemoryFixture(100<<10, 0, large)
		Expect(f.post(strings.NewReader(string(large))).Code).To(Equal(413))
		Expect(f.post(io.MultiReader(strings.NewReader(string(large)))).Code).To(Equal(413))
		Expect(f.permits.asks).To(BeEmpty())
		Expect(b.Held()).To(BeZero())
	})

	// Guards against a promise that is not true: an attempt may have been executed, and there is no
	// memory for the next one.
	DescribeTable("asks again before a retry that is not covered", func(attempt func(context.Context) (*upstream.Response, error), status int, body string) {
		f := newFixture()
		b := membudget.New(clock.System{}, membudget.Limits{Held: 8 << 20, Connection: 8 << 20}, nil)
		f.h.config.Memory = b
		attempts := 0
		f.h.upstream = upstreamFunc(func(*upstream.Request) (*upstream.Response, error) {
			attempts++
			// The mean size of responses grows meanwhile, and others use the memory.
			f.h.collector.RecordResponse("p1", "plain look up", demand.Response{Size: 6 << 20})
			_, _ = b.Reserve("other", membudget.Ask{Known: 4 << 20})
			return attempt(context.Background())
		})
		w := f.do("GET", "/p")
		Expect(attempts).To(Equal(1))
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).To(Equal(body))
	},
		Entry("after a refusal of the target", targetRefuses, 503, "memory\n"),
		Entry("after an unknown outcome", outcomeUnknown, 502, "memory\n"),
		Entry("after a failure of the target", respondFailure, 500, "bad"),
	)

	It("does nothing while it is off", func() {
		f, b := newMemoryFixture(0, 0, large)
		Expect(f.do("GET", "/p").Body.Len()).To(Equal(len(large)))
		Expect(b.Held()).To(BeZero())
	})

	// Guards against requests that are refused or written in pieces where the rules do not ask for the
	// limit, and against a request that is treated differently at its start and at its end.
	It("does nothing for a request that arrived while it was not in effect", func() {
		var inEffect atomic.Bool
		f := newFixture()
		b := membudget.New(clock.System{}, membudget.Limits{Held: 100, Connection: 100}, inEffect.Load)
		f.h.config.Memory = b
		f.h.upstream = upstreamFunc(func(*upstream.Request) (*upstream.Response, error) {
			inEffect.Store(true)
			return &upstream.Response{Status: 200, Header: http.Header{"Signed": {"yes"}}, Body: large}, nil
		})
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		f.h.ServeHTTP(w, httptest.NewRequest("GET", "/p", nil))
		Expect(w.Body.Len()).To(Equal(len(large)))
		Expect(w.deadlines).To(BeZero())
		Expect(b.Held()).To(BeZero())
		w = &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		f.h.ServeHTTP(w, httptest.NewRequest("GET", "/p", nil))
		Expect(w.deadlines).NotTo(BeZero())
	})

	It("holds a response until a writer that buffers it has written it", func() {
		f, b := newMemoryFixture(8<<20, 0, large)
		w := &holdingWriter{ResponseRecorder: httptest.NewRecorder()}
		f.h.ServeHTTP(w, httptest.NewRequest("GET", "/p", nil))
		Expect(b.Held()).To(BeEquivalentTo(requestOverheadBytes + len(large)))
		w.release()
		Expect(b.Held()).To(BeZero())
	})
})

// deadlineWriter counts the write deadlines that are set.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadlines int
}

func (w *deadlineWriter) SetWriteDeadline(time.Time) error {
	w.deadlines++
	return nil
}

type holdingWriter struct {
	*httptest.ResponseRecorder
	release func()
}

func (w *holdingWriter) OnWritten(release func()) { w.release = release }

func (f *fixture) post(body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.h.ServeHTTP(w, httptest.NewRequest("POST", "/k/a", body))
	return w
}

var _ = Describe("a caller that reads slowly", func() {
	const stall = 400 * time.Millisecond
	large := []byte(strings.Repeat("x", 2<<20))

	It("is cut off when it takes nothing for the stall timeout and the deadline has passed", func() {
		f, b := newMemoryFixture(64<<20, stall, large)
		_, address := f.serve()
		start := time.Now()
		startSlowCaller(address, "/p")
		Eventually(func() []string { return f.lines("caller-cut-off") }, "5s", "5ms").Should(HaveLen(1))
		// The deadline of the rule is 1 s.
		Expect(time.Since(start)).To(BeNumerically(">", 980*time.Millisecond))
		Eventually(b.Held).Should(BeZero())
	})

	// Guards against a limit on the whole response in place of one on each piece.
	It("gets the whole response long after its deadline while it takes some of it", func() {
		f, _ := newMemoryFixture(64<<20, stall, large)
		_, address := f.serve()
		start := time.Now()
		status, read, err := startSlowCaller(address, "/p").receive(len(large), 15*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		Expect(read).To(BeEquivalentTo(len(large)))
		Expect(time.Since(start)).To(BeNumerically(">", 1500*time.Millisecond))
		Expect(f.lines("caller-cut-off")).To(BeEmpty())
	})

	// Guards against a write deadline that is left on the connection: it fails what the server itself
	// writes later, such as a response to a malformed request.
	It("can use its connection after a pause longer than the stall timeout", func() {
		f, _ := newMemoryFixture(64<<20, stall, large)
		_, address := f.serve()
		caller := startSlowCaller(address, "/k/a")
		status, _, err := caller.receive(0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
		time.Sleep(1200 * time.Millisecond)
		caller.send("/malformed request")
		status, _, err = caller.receive(0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(400))
	})

	// Guards against a shutdown that cuts off a response that is being written.
	It("gets the whole response while the server shuts down", func() {
		f, _ := newMemoryFixture(64<<20, stall, large)
		server, address := f.serve()
		caller := startSlowCaller(address, "/p")
		Eventually(f.h.InFlight).Should(BeEquivalentTo(1))
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() {
			f.h.DisableKeepAlives()
			f.h.RefuseWaiting()
			f.h.AbortRunning()
			stopped <- server.Shutdown(context.Background())
		}()
		_, read, err := caller.receive(len(large)/2, 15*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(BeEquivalentTo(len(large)))
		Eventually(stopped, "5s").Should(Receive(BeNil()))
	})

	// Guards against a refusal that the server writes without a deadline to a caller that takes
	// nothing, and against a refusal in chunks.
	It("gets a refusal with its length", func() {
		f, _ := newMemoryFixture(64<<20, stall, large)
		_, address := f.serve()
		resp, err := http.Get("http://" + address + "/elsewhere")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(404))
		Expect(resp.ContentLength).To(BeEquivalentTo(len("no-rule\n")))
		Expect(resp.Body.Close()).To(Succeed())
	})
})

var _ = Describe("a caller that pipelines and reads slowly", func() {
	const (
		limit = 4 << 20
		size  = 256 << 10
	)
	large := []byte(strings.Repeat("x", size))

	servePipelined := func(f *fixture) string {
		GinkgoHelper()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{}
		p := pipeline.New(f.h, 8)
		p.Configure(server)
		go func() { _ = server.Serve(p.Listen(membudget.NewListener(l, f.h.config.Memory))) }()
		DeferCleanup(server.Close)
		return l.Addr().String()
	}

	// startEight sends eight requests at once, when the size of the responses is known. Requests that
	// arrive after the response to the first one has begun are not started beside it.
	startEight := func(f *fixture, address string) slowCaller {
		GinkgoHelper()
		first := startSlowCaller(address, "/p")
		_, _, err := first.receive(0, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.h.config.Memory.Held).Should(BeZero())
		return startSlowCaller(address, slices.Repeat([]string{"/p"}, 8)...)
	}

	// Guards against responses that wait for their turn without being counted, and against one
	// connection that takes the memory of all others.
	It("gets what its connection's share has room for, and others are served meanwhile", func() {
		f, b := newMemoryFixture(limit, 0, large)
		address := servePipelined(f)
		caller := startEight(f, address)
		// The requests with room wait in their handlers, whose reservations stay.
		Eventually(b.Held, "2s", "2ms").Should(BeNumerically(">", 2*size))
		highest := int64(0)
		for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
			before := b.Held()
			Expect(before).To(BeNumerically(">", 2*size))
			resp, err := http.Get("http://" + address + "/k/a")
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("small"))
			highest = max(highest, before, b.Held())
		}
		// The second caller holds one small request beside the connection's share.
		Expect(highest).To(BeNumerically("<=", limit/4+requestOverheadBytes+unknownResponseBytes))
		whole, refused := 0, 0
		for range 8 {
			status, read, err := caller.receive(0, 0)
			Expect(err).NotTo(HaveOccurred())
			if status == http.StatusServiceUnavailable {
				refused++
				continue
			}
			Expect(read).To(BeEquivalentTo(size))
			whole++
		}
		GinkgoWriter.Printf("%d whole, %d refused, highest %d of %d\n", whole, refused, highest, limit/4)
		// Three responses of 256 KiB with 16 KiB each fit into a share of 1 MiB.
		Expect(whole).To(Equal(3))
		Expect(refused).To(Equal(5))
		Eventually(b.Held).Should(BeZero())
	})

	// Guards against a connection that keeps its share for good.
	It("is cut off once it has taken nothing for the stall timeout", func() {
		f, b := newMemoryFixture(limit, 300*time.Millisecond, large)
		startEight(f, servePipelined(f))
		Eventually(b.Held, "2s", "2ms").Should(BeNumerically(">", 2*size))
		// The deadline of the rule is 1 s.
		Eventually(b.Held, "8s", "5ms").Should(BeZero())
		Expect(f.lines("caller-cut-off")).To(HaveLen(1))
	})
})
