package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/transport/membudget"
)

func TestPipeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pipeline")
}

// scriptedHandler responds with the path and body of a request. A request to /hold/NAME first waits for
// release(NAME) or the end of its context.
type scriptedHandler struct {
	mu      sync.Mutex
	started []string
	ended   map[string]bool
	gates   map[string]chan struct{}
	// noLength leaves out Content-Length.
	noLength bool
}

func newScriptedHandler() *scriptedHandler {
	return &scriptedHandler{ended: map[string]bool{}, gates: map[string]chan struct{}{}}
}

func (h *scriptedHandler) Idempotent(r *http.Request) bool {
	return r.Method != http.MethodPost && r.URL.Path != "/once"
}

func (h *scriptedHandler) gate(name string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[name] == nil {
		h.gates[name] = make(chan struct{})
	}
	return h.gates[name]
}

func (h *scriptedHandler) release(name string) { close(h.gate(name)) }

func (h *scriptedHandler) starts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.started...)
}

func (h *scriptedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.started = append(h.started, r.URL.Path)
	h.mu.Unlock()
	if name, held := strings.CutPrefix(r.URL.Path, "/hold/"); held {
		select {
		case <-h.gate(name):
		case <-r.Context().Done():
			h.mu.Lock()
			h.ended[name] = true
			h.mu.Unlock()
		}
	}
	body, _ := io.ReadAll(r.Body)
	text := r.URL.Path + " " + string(body)
	switch r.URL.Query().Get("do") {
	case "close":
		w.Header().Set("Connection", "close")
	case "close-large":
		w.Header().Set("Connection", "close")
		text = strings.Repeat("x", 8<<20)
	case "empty":
		w.WriteHeader(http.StatusNoContent)
		return
	case "large":
		text = strings.Repeat("x", 32<<20)
	case "deadline":
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	case "panic":
		panic(http.ErrAbortHandler)
	}
	if !h.noLength {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	}
	_, _ = io.WriteString(w, text)
}

// fixture is a server and one connection to it.
type fixture struct {
	*scriptedHandler
	server  *http.Server
	conn    *net.TCPConn
	reader  *bufio.Reader
	wrapped chan *conn
	// request is set while the response to a HEAD request is expected.
	request *http.Request
}

// serve starts a server: the standard one if depth is 0.
func serve(h Handler, depth int) (*http.Server, string, chan *conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, IdleTimeout: 200 * time.Millisecond, MaxHeaderBytes: 8 << 10}
	address, accepted := l.Addr().String(), make(chan *conn, 16)
	if depth > 0 {
		p := New(h, depth)
		p.Configure(server)
		inner := server.ConnContext
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			accepted <- c.(*conn)
			return inner(ctx, c)
		}
		l = p.Listen(l)
	}
	go server.Serve(l)
	return server, address, accepted
}

func newFixture(depth int) *fixture {
	GinkgoHelper()
	f := &fixture{scriptedHandler: newScriptedHandler()}
	server, address, accepted := serve(f.scriptedHandler, depth)
	DeferCleanup(server.Close)
	raw, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { raw.Close() })
	Expect(raw.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	f.server, f.conn, f.reader, f.wrapped = server, raw.(*net.TCPConn), bufio.NewReader(raw), accepted
	return f
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func (f *fixture) send(texts ...string) {
	GinkgoHelper()
	_, err := io.WriteString(f.conn, strings.Join(texts, ""))
	Expect(err).NotTo(HaveOccurred())
}

func (f *fixture) expectStarted(paths ...string) {
	GinkgoHelper()
	// Handlers started together begin in any order.
	Eventually(f.starts, "5s", "2ms").Should(ConsistOf(paths))
}

// expect reads a response and checks its status and the start of its body.
func (f *fixture) expect(status int, body string) *http.Response {
	GinkgoHelper()
	resp, err := http.ReadResponse(f.reader, f.request)
	Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(status), string(text))
	Expect(string(text)).To(HavePrefix(body))
	return resp
}

func (f *fixture) expectEnd() {
	GinkgoHelper()
	_, err := f.reader.ReadByte()
	Expect(err).To(HaveOccurred())
}

var _ = Describe("pipelined requests", func() {
	// Guards against responses in the order in which handlers finish, and against requests that wait
	// for those in front of them.
	It("are served at the same time and answered in order", func() {
		f := newFixture(8)
		f.send(get("/hold/a"), get("/hold/b"))
		f.expectStarted("/hold/a", "/hold/b")
		f.send(get("/hold/c"))
		f.expectStarted("/hold/a", "/hold/b", "/hold/c")
		for _, name := range []string{"c", "b", "a"} {
			f.release(name)
			time.Sleep(20 * time.Millisecond)
		}
		for _, name := range []string{"a", "b", "c"} {
			f.expect(200, "/hold/"+name)
		}
		f.send(get("/d"))
		f.expect(200, "/d")
	})

	// Guards against responses that differ from those of the standard server.
	DescribeTable("get the headers of the standard server", func(noLength bool, query string) {
		headers := func(f *fixture, texts ...string) (all []string) {
			f.noLength = noLength
			for _, text := range texts {
				f.send(text)
			}
			for range 3 {
				resp := f.expect(map[bool]int{true: 204, false: 200}[query == "?do=empty"], "")
				Expect(resp.Header.Get("Date")).NotTo(BeEmpty())
				resp.Header.Del("Date")
				all = append(all, fmt.Sprint(resp.Status, resp.Header, resp.TransferEncoding, resp.ContentLength, resp.Close))
			}
			return all
		}
		text := get("/a"+query) + get("/b"+query) + get("/c"+query)
		Expect(headers(newFixture(8), text)).To(Equal(headers(newFixture(0), text)))
	},
		Entry("with Content-Length", false, ""), Entry("without", true, ""), Entry("without a body", false, "?do=empty"))

	// Guards against a request that must not be served beside others, or that the server must decide
	// about, being started early, answered out of order or overtaken.
	DescribeTable("wait at a barrier", func(barrier string, path string, status int, goesOn bool) {
		f := newFixture(8)
		f.send(get("/hold/a"), get("/hold/b"), barrier, get("/z"))
		f.expectStarted("/hold/a", "/hold/b")
		Consistently(f.starts, "50ms", "5ms").Should(HaveLen(2))
		f.release("b")
		f.release("a")
		f.expect(200, "/hold/a")
		f.expect(200, "/hold/b")
		if strings.HasPrefix(barrier, "HEAD") {
			f.request = &http.Request{Method: http.MethodHead}
		}
		f.expect(status, "")
		f.request = nil
		if goesOn {
			f.expect(200, "/z")
			Expect(f.starts()[2:]).To(Equal([]string{path, "/z"}))
			return
		}
		f.expectEnd()
		Expect(f.starts()).NotTo(ContainElement("/z"))
	},
		Entry("not idempotent", get("/once"), "/once", 200, true),
		Entry("body", "PUT /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "/p", 200, true),
		Entry("chunked body", "PUT /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "/p", 200, true),
		Entry("two lengths", "PUT /p HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", "/p", 200, true),
		Entry("bare LF", "GET /p HTTP/1.1\nHost: x\n\n", "/p", 200, true),
		Entry("HEAD", "HEAD /p HTTP/1.1\r\nHost: x\r\n\r\n", "/p", 200, true),
		Entry("Expect", "GET /p HTTP/1.1\r\nHost: x\r\nExpect: more\r\n\r\n", "", 417, false),
		Entry("Connection: close", "GET /p HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "/p", 200, false),
		Entry("HTTP/1.0", "GET /p HTTP/1.0\r\nHost: x\r\n\r\n", "/p", 200, false),
		Entry("malformed", "GET /p\r\n\r\n", "", 400, false),
		Entry("no host", "GET /p HTTP/1.1\r\n\r\n", "", 400, false),
		Entry("large head", "GET /p HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("x", 20<<10)+"\r\n\r\n", "", 431, false),
	)

	// Guards against work for a caller that has left, in particular while bytes behind the running
	// requests hide the end of the connection from the standard server.
	DescribeTable("end with their connection", func(end func(*fixture)) {
		f := newFixture(8)
		f.send(get("/hold/a"), get("/hold/b"), get("/once"), get("/c"))
		f.expectStarted("/hold/a", "/hold/b")
		end(f)
		Eventually(func() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.ended) }, "100ms", "2ms").Should(Equal(2))
		Consistently(f.starts, "50ms", "5ms").Should(HaveLen(2))
	},
		Entry("closed", func(f *fixture) { f.conn.Close() }),
		Entry("reset", func(f *fixture) { Expect(f.conn.SetLinger(0)).To(Succeed()); f.conn.Close() }),
		Entry("closed in one direction", func(f *fixture) { f.conn.CloseWrite() }),
	)

	// Guards against contexts that outlive a connection that cannot be written to.
	It("end when a response cannot be written", func() {
		f := newFixture(8)
		f.send(get("/hold/a?do=large"), get("/hold/b"))
		f.expectStarted("/hold/a", "/hold/b")
		c := <-f.wrapped
		f.release("a")
		_, err := f.reader.ReadByte()
		Expect(err).NotTo(HaveOccurred())
		// The write of the first response fails; the connection can still be read.
		Expect(c.Conn.SetWriteDeadline(time.Now())).To(Succeed())
		Eventually(func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.ended["b"] }, "1s", "2ms").Should(BeTrue())
		Consistently(f.starts, "50ms", "5ms").Should(HaveLen(2))
	})

	// Guards against a panic that ends the process, or a response taken for that of another request.
	It("end with the connection when a handler panics", func() {
		f := newFixture(8)
		f.send(get("/hold/a"), get("/b?do=panic"))
		f.expectStarted("/hold/a", "/b")
		f.expectEnd()
	})

	// Guards against requests that were started and get no response because one in front of them closes
	// the connection, and against starting more.
	It("are answered when a response in front of them closes the connection", func() {
		f := newFixture(8)
		f.send(get("/hold/a?do=close"), get("/hold/b"), get("/hold/c"))
		f.expectStarted("/hold/a", "/hold/b", "/hold/c")
		f.release("a")
		Expect(f.expect(200, "/hold/a").Close).To(BeFalse())
		f.send(get("/d"))
		f.release("b")
		Expect(f.expect(200, "/hold/b").Close).To(BeFalse())
		f.release("c")
		Expect(f.expect(200, "/hold/c").Close).To(BeTrue())
		f.expectEnd()
		Expect(f.starts()).To(HaveLen(3))
	})

	// Guards against a reset that cuts off the response because requests behind it have not been read.
	DescribeTable("do not cut off a response that closes the connection", func(first string) {
		f := newFixture(8)
		go func() { _, _ = io.WriteString(f.conn, first+strings.Repeat(get("/once"), 8000)) }()
		time.Sleep(200 * time.Millisecond)
		resp, err := http.ReadResponse(f.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.CopyN(io.Discard, resp.Body, 6<<20)).To(BeEquivalentTo(6 << 20))
		time.Sleep(200 * time.Millisecond)
		Expect(io.Copy(io.Discard, resp.Body)).To(BeEquivalentTo(2 << 20))
		f.expectEnd()
		Expect(f.starts()).To(HaveLen(1))
	},
		Entry("alone", get("/a?do=close-large")),
		Entry("with a body", "POST /a?do=close-large HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb"))

	// Guards against requests that are lost in a shutdown, or taken after its beginning.
	It("are answered when the server shuts down", func() {
		f := newFixture(8)
		f.send(get("/hold/a"), get("/hold/b"))
		f.expectStarted("/hold/a", "/hold/b")
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Shutdown(context.Background()) }()
		c := <-f.wrapped
		Eventually(c.p.stopping.Load, "5s", "1ms").Should(BeTrue())
		f.send(get("/c"))
		time.Sleep(20 * time.Millisecond)
		f.release("a")
		Expect(f.expect(200, "/hold/a").Close).To(BeFalse())
		f.release("b")
		Expect(f.expect(200, "/hold/b").Close).To(BeTrue())
		f.expectEnd()
		Eventually(stopped, "5s").Should(Receive(BeNil()))
		Expect(f.starts()).To(HaveLen(2))
	})

	// Guards against one connection that occupies the instance or its memory, and against a server that
	// waits for a full buffer.
	It("are started up to the depth and read up to the bound", func() {
		f := newFixture(2)
		f.send(get("/hold/a"), get("/hold/b"), get("/hold/c"))
		f.expectStarted("/hold/a", "/hold/b")
		const count = 4000
		go func() { _, _ = io.WriteString(f.conn, strings.Repeat(get("/once"), count)) }()
		c := <-f.wrapped
		buffered := func() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.buf) }
		Eventually(buffered, "5s", "2ms").Should(Equal(maxReadAhead))
		Consistently(f.starts, "50ms", "5ms").Should(HaveLen(2))
		f.release("a")
		f.expect(200, "/hold/a")
		f.expectStarted("/hold/a", "/hold/b", "/hold/c")
		f.release("b")
		f.release("c")
		f.expect(200, "/hold/b")
		f.expect(200, "/hold/c")
		for range count {
			f.expect(200, "/once")
		}
	})

	// Guards against a write deadline that cuts off the response in front, or that runs while its own
	// response waits for its turn.
	It("get their own write deadlines", func() {
		f := newFixture(8)
		f.send(get("/hold/a?do=large"), get("/b?do=deadline"))
		f.expectStarted("/hold/a", "/b")
		f.release("a")
		// Longer than the deadline of 50 ms. The caller reads nothing meanwhile.
		time.Sleep(100 * time.Millisecond)
		f.expect(200, "xxx")
		f.expect(200, "/b")
	})

	// Guards against heads that are lost or joined when a read ends in the middle of them.
	It("may arrive byte by byte", func() {
		f := newFixture(4)
		Expect(f.conn.SetNoDelay(true)).To(Succeed())
		text := get("/a") + get("/b") + "PUT /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" + get("/c")
		go func() {
			for i := range text {
				_, _ = f.conn.Write([]byte{text[i]})
				time.Sleep(100 * time.Microsecond)
			}
		}()
		for _, body := range []string{"/a", "/b", "/p abc", "/c"} {
			f.expect(200, body)
		}
	})
})

var _ = Describe("a connection that does not pipeline", func() {
	var date = regexp.MustCompile(`Date: [^\r]*\r\n`)

	// Guards against differences from the standard server. Each part is sent when the previous one has
	// been answered; the last one ends with the idle time-out or the close of the server.
	DescribeTable("is served as by the standard server", func(parts ...string) {
		play := func(depth int) (string, time.Duration) {
			f := newFixture(depth)
			start := time.Now()
			for _, part := range parts {
				head, body, _ := strings.Cut(part, "|")
				f.send(head)
				if body != "" {
					line, err := textproto.NewReader(f.reader).ReadLine()
					Expect(err).NotTo(HaveOccurred())
					Expect(line).To(Equal("HTTP/1.1 100 Continue"))
					_, _ = f.reader.ReadString('\n')
					f.send(body)
				}
				time.Sleep(30 * time.Millisecond)
			}
			text, _ := io.ReadAll(f.reader)
			return date.ReplaceAllString(string(text), ""), time.Since(start)
		}
		want, wantTime := play(0)
		got, gotTime := play(8)
		Expect(want).NotTo(BeEmpty())
		Expect(got).To(Equal(want))
		Expect(gotTime).To(BeNumerically("~", wantTime, 150*time.Millisecond))
	},
		Entry("keep-alive and idle time-out", get("/a"), get("/b?do=empty"), get("/c")),
		Entry("HEAD", "HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n", get("/b")),
		Entry("bodies", "PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", get("/b"), "POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nd\r\n", get("/e")),
		Entry("chunked", "PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", get("/b")),
		Entry("100-continue", "PUT /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n|abc", get("/b")),
		Entry("HTTP/1.0 keep-alive", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", get("/b")),
		Entry("closing response", get("/a?do=close")),
		Entry("incomplete head", "GET /a HTTP/1.1\r\nHo"),
		Entry("large head", "GET /a HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("x", 20<<10)+"\r\n\r\n"),
	)
})

// holdHandler calls hold before it serves a request, and records the address of the request's caller.
type holdHandler struct {
	*scriptedHandler
	hold func(r *http.Request, holder membudget.ResponseHolder)
}

func (h holdHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	holder, _ := w.(membudget.ResponseHolder)
	defer h.hold(r, holder)
	h.scriptedHandler.ServeHTTP(w, r)
}

var _ = Describe("a response that its handler leaves in the buffer", func() {
	// released counts the calls of functions given to OnWritten, by path.
	var mu sync.Mutex
	var released map[string]int
	var addresses []string
	count := func(path string) func() int {
		return func() int {
			mu.Lock()
			defer mu.Unlock()
			return released[path]
		}
	}
	start := func() *fixture {
		GinkgoHelper()
		released, addresses = map[string]int{}, nil
		f := &fixture{scriptedHandler: newScriptedHandler()}
		f.noLength = true
		server, address, accepted := serve(holdHandler{f.scriptedHandler, func(r *http.Request, holder membudget.ResponseHolder) {
			mu.Lock()
			addresses = append(addresses, r.RemoteAddr)
			mu.Unlock()
			holder.OnWritten(func() {
				mu.Lock()
				defer mu.Unlock()
				released[r.URL.Path]++
			})
		}}, 8)
		DeferCleanup(server.Close)
		raw, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { raw.Close() })
		Expect(raw.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		f.server, f.conn, f.reader, f.wrapped = server, raw.(*net.TCPConn), bufio.NewReader(raw), accepted
		(<-accepted).p.stall = 200 * time.Millisecond
		return f
	}

	// Guards against memory that is free by the count while the response is still in it, and against a
	// connection's share that requests behind the first one escape by another address.
	It("is held until it has been written", func() {
		f := start()
		f.send(get("/hold/a"), get("/b"), get("/c?do=empty"))
		f.expectStarted("/hold/a", "/b", "/c")
		Consistently(count("/b"), "50ms", "5ms").Should(BeZero())
		Expect(count("/c")()).To(BeZero())
		f.release("a")
		f.expect(200, "/hold/a")
		f.expect(200, "/b")
		f.expect(204, "")
		for _, path := range []string{"/hold/a", "/b", "/c"} {
			Eventually(count(path), "1s", "2ms").Should(Equal(1))
		}
		Expect(addresses).To(HaveEach(f.conn.LocalAddr().String()))
	})

	// Guards against reservations that stay for good.
	DescribeTable("is released when the connection ends", func(end func(*fixture)) {
		f := start()
		f.send(get("/hold/a"), get("/b"))
		f.expectStarted("/hold/a", "/b")
		Consistently(count("/b"), "50ms", "5ms").Should(BeZero())
		end(f)
		Eventually(count("/b"), "1s", "2ms").Should(Equal(1))
		Eventually(count("/hold/a"), "1s", "2ms").Should(Equal(1))
	},
		Entry("by the caller", func(f *fixture) { f.conn.Close() }),
		Entry("by a panic behind it", func(f *fixture) { f.send(get("/z?do=panic")) }),
		Entry("by the server", func(f *fixture) { f.server.Close() }),
	)

	// Guards against a caller that holds the connection and its memory for good by reading nothing.
	DescribeTable("is given up when the caller takes nothing for the stall time", func(texts ...string) {
		f := start()
		f.send(texts...)
		Eventually(f.starts, "5s", "2ms").Should(HaveLen(len(texts)))
		f.release("a")
		begun := time.Now()
		Eventually(count("/b"), "5s", "5ms").Should(Equal(1))
		Expect(time.Since(begun)).To(BeNumerically(">", 150*time.Millisecond))
		_, err := io.Copy(io.Discard, f.conn)
		if err != nil {
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
	},
		Entry("as the last one", get("/hold/a"), get("/b?do=large")),
		Entry("in front of others", get("/hold/a"), get("/b?do=large"), get("/hold/a")),
	)
})

// noDeadlineListener accepts connections on which a write deadline cannot be set, like one that is closed
// between two writes.
type noDeadlineListener struct{ net.Listener }

func (l noDeadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return noDeadlineConn{c}, err
}

type noDeadlineConn struct{ net.Conn }

func (noDeadlineConn) SetWriteDeadline(time.Time) error { return net.ErrClosed }

// Guards against handlers behind a response that could not be finished, which wait for their turn forever.
var _ = Describe("a response whose write deadline cannot be set", func() {
	It("ends the connection and the requests behind it", func() {
		f := &fixture{scriptedHandler: newScriptedHandler()}
		f.noLength = true
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		p, server := New(f.scriptedHandler, 8), &http.Server{}
		p.Configure(server)
		DeferCleanup(server.Close)
		go server.Serve(p.Listen(noDeadlineListener{l}))
		raw, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { raw.Close() })
		Expect(raw.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		f.conn = raw.(*net.TCPConn)
		before := pipelinedInFlight.Get()
		f.send(get("/hold/a"), get("/b"))
		f.expectStarted("/hold/a", "/b")
		f.release("a")
		_, err = io.Copy(io.Discard, f.conn)
		if err != nil {
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
		Eventually(pipelinedInFlight.Get, "5s", "5ms").Should(Equal(before))
	})
})
