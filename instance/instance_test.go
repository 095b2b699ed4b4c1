package instance_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/contention"
	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/instance"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/state/rulestore"
	"lycheehall.example/lycheehall/state/store"
	"lycheehall.example/lycheehall/transport/admin"
)

// callAdmin sends a request with a token to the operator API. It returns the status and the body.
func callAdmin(operators, method, path, body, token string) (int, string) {
	GinkgoHelper()
	req, err := http.NewRequest(method, "http://"+operators+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(text)
}

// applyBody returns the body of a request that changes the rules.
func applyBody(base uint64, id, text string) string {
	body, err := json.Marshal(admin.ApplyRequest{Base: base, ChangeID: id, Text: text})
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// unresponsiveStore answers no call and ignores contexts.
type unresponsiveStore struct{ unblock chan struct{} }

func (s unresponsiveStore) Commit(context.Context, store.Txn) (uint64, error) {
	<-s.unblock
	return 0, store.ErrOutcomeUnknown
}

func (s unresponsiveStore) Scan(context.Context, string, string) ([]store.Row, uint64, error) {
	<-s.unblock
	return nil, 0, store.ErrOutcomeUnknown
}

func (s unresponsiveStore) Feed(context.Context, string, uint64, time.Duration) ([]store.Row, uint64, error) {
	<-s.unblock
	return nil, 0, store.ErrOutcomeUnknown
}

var _ = Describe("an instance", func() {
	// Guards against changes of the rules by anyone who can reach the port.
	It("accepts only operators with the token", func() {
		operators := startLocal(GinkgoTB(), "").operators
		status, _ := callAdmin(operators, "GET", "/v1/status", "", "wrong")
		Expect(status).To(Equal(401))
		status, _ = callAdmin(operators, "GET", "/v1/status", "", testSecret)
		Expect(status).To(Equal(200))
		status, _ = callAdmin(operators, "GET", "/readyz", "", "")
		Expect(status).To(Equal(200))
	})

	// Guards against valid rules that are lost by an operator's mistake or by concurrent changes.
	It("keeps the rules in force when a change is invalid, conflicting or repeated", func() {
		operators := startLocal(GinkgoTB(), "").operators
		status, text := callAdmin(operators, "POST", "/v1/rules", applyBody(1, "a", "colour = 1"), testSecret)
		Expect(status).To(Equal(422))
		Expect(text).To(ContainSubstring("unknown field"))
		status, _ = callAdmin(operators, "POST", "/v1/rules", applyBody(1, "b", examples.Rules+"# b\n"), testSecret)
		Expect(status).To(Equal(200))
		status, text = callAdmin(operators, "POST", "/v1/rules", applyBody(1, "c", examples.Rules), testSecret)
		Expect(status).To(Equal(409))
		Expect(text).To(ContainSubstring(`"version": 2`))
		status, text = callAdmin(operators, "POST", "/v1/rules", applyBody(1, "b", examples.Rules+"# b\n"), testSecret)
		Expect(status).To(Equal(200))
		Expect(text).To(ContainSubstring(`"version": 2`))
		_, text = callAdmin(operators, "GET", "/v1/rules", "", testSecret)
		Expect(text).To(ContainSubstring("# b"))
	})

	It("explains the decision for a request and serves metrics and the timeline", func() {
		operators := startLocal(GinkgoTB(), "").operators
		_, text := callAdmin(operators, "POST", "/v1/explain", `{"method":"GET","path":"/plumbers/h-1"}`, testSecret)
		Expect(text).To(ContainSubstring(`"target": "t1"`))
		_, text = callAdmin(operators, "GET", "/v1/timeline", "", testSecret)
		Expect(text).To(ContainSubstring("map-stored"))
		_, text = callAdmin(operators, "GET", "/metrics", "", "")
		Expect(text).To(ContainSubstring("lycheehall_front_requests_total"))
	})

	// Guards against one caller's huge headers using up the memory.
	It("refuses headers that are too large", func() {
		callersAddress := startLocal(GinkgoTB(), "").callers
		conn, err := net.Dial("tcp", callersAddress)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprintf(conn, "GET /plumbers/h-1 HTTP/1.1\r\nHost: x\r\nX-Large: %s\r\n\r\n", strings.Repeat("x", 2*instance.MaxHeaderBytes))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(431))
	})

	// Guards against a caller that holds a request open for ever by sending its body byte by byte.
	// Here the header gives ten bytes, and one is sent.
	It("gives up a body that does not arrive within the deadline", func() {
		callersAddress := startLocal(GinkgoTB(), "").callers
		conn, err := net.Dial("tcp", callersAddress)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprint(conn, "POST /bookings/h-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx")
		Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(400))
	})

	// Guards against a shutdown that waits for the store or the log, so that the process is killed in
	// the middle of its work at the end of the grace period.
	It("shuts down within its grace period when the store does not answer and nobody reads the log", func() {
		s := settings.Default()
		s.Listen, s.Peer, s.Admin, s.Readiness = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.Grace = settings.Duration(3500 * time.Millisecond)
		p := platform.NewWithStoredRules("127.0.0.1:1")
		unblock := make(chan struct{})
		DeferCleanup(func() { close(unblock) })
		p.Store = unresponsiveStore{unblock}
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(reader.Close)
		i, err := instance.New(s, p, writer)
		Expect(err).NotTo(HaveOccurred())
		i.Start()
		start := time.Now()
		i.Stop(context.Background())
		Expect(time.Since(start)).To(BeNumerically("<", time.Duration(s.Grace)))
	})

	// Guards against requests that are taken until the end of a shutdown and broken off while a target works
	// on them, because the shutdown first waits for a store that does not answer.
	DescribeTable("stops taking requests at a fixed time when it leads and the store fails", func(faults standin.Faults) {
		d := startLocalWith(GinkgoTB(), "", settings.Default(), 0)
		conn, err := net.Dial("tcp", d.callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		reader := bufio.NewReader(conn)
		fmt.Fprint(conn, "GET /plumbers/h-1 HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		d.store.SetFaults(faults)
		start, stopped := time.Now(), make(chan struct{})
		go func() { d.instance.Stop(context.Background()); close(stopped) }()
		Expect(conn.SetReadDeadline(start.Add(10 * time.Second))).To(Succeed())
		_, err = reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		// The load balancer takes 2.7 s. Requests that are sent until 3 s may be at work at the end.
		Expect(time.Since(start)).To(BeNumerically("~", 2850*time.Millisecond, 150*time.Millisecond))
		Eventually(stopped, "6s").Should(BeClosed())
	},
		Entry("and does not answer", standin.Faults{Unresponsive: true}),
		Entry("and loses responses", standin.Faults{DropResponses: true}),
		Entry("and is slow", standin.Faults{Delay: time.Second}),
		Entry("not at all", standin.Faults{}),
	)

	// Guards against pipelined requests that get no response because the instance stops. The target
	// works on them when the instance stops taking requests, 2.7 s after the beginning.
	It("answers the pipelined requests that it has started before it stops", func() {
		s := settings.Default()
		s.Connections.PipelineDepth = 2
		d := startLocalWith(GinkgoTB(), "", s, 1500*time.Millisecond)
		conn, err := net.Dial("tcp", d.callers)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		stopped := make(chan struct{})
		go func() { d.instance.Stop(context.Background()); close(stopped) }()
		time.Sleep(1800 * time.Millisecond)
		start := time.Now()
		for key := range 3 {
			fmt.Fprintf(conn, "GET /plumbers/h-%d HTTP/1.1\r\nHost: x\r\n\r\n", key)
		}
		reader := bufio.NewReader(conn)
		for key := range 2 {
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(ContainSubstring(fmt.Sprintf("/plumbers/h-%d ", key)))
			Expect(resp.Close).To(Equal(key == 1))
		}
		Expect(time.Since(start)).To(BeNumerically("<", 2500*time.Millisecond), "one after the other")
		_, err = reader.ReadByte()
		Expect(err).To(HaveOccurred(), "the third request has not been started")
		Eventually(stopped, "5s").Should(BeClosed())
	})

	// Guards against unnoticed changes of the settings, and against a broken file that stops an
	// instance. The file is replaced without a signal, then broken and reloaded by signal.
	It("reloads its settings and keeps the last valid ones", func() {
		file := filepath.Join(GinkgoT().TempDir(), "s.toml")
		Expect(os.WriteFile(file, []byte("grace = \"7s\"\n"), 0o600)).To(Succeed())
		d := startLocal(GinkgoTB(), file)
		logged := func() string {
			text, err := os.ReadFile(d.log.Name())
			Expect(err).NotTo(HaveOccurred())
			return string(text)
		}
		Eventually(logged, "5s", "50ms").Should(ContainSubstring(`"message":"reload"`))
		Expect(os.WriteFile(file, []byte("grace = 7\n"), 0o600)).To(Succeed())
		d.instance.ReloadSettings()
		Eventually(logged, "5s", "50ms").Should(ContainSubstring(`"message":"reload-refused"`))
		resp, err := http.Get("http://" + d.callers + "/plumbers/h-1")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(200))
	})

	It("applies a memory limit that a reload turns on", func() {
		file := filepath.Join(GinkgoT().TempDir(), "s.toml")
		Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
		d := startLocal(GinkgoTB(), file)
		post := func() int {
			resp, err := http.Post("http://"+d.callers+"/bookings/h-1", "text/plain", strings.NewReader(strings.Repeat("x", 64<<10)))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		Eventually(post, "5s", "50ms").Should(Equal(200))
		// 0.1 MiB leave 25.6 KiB for bodies.
		Expect(os.WriteFile(file, []byte("[memory]\nlimit_mb = 0.1\n"), 0o600)).To(Succeed())
		d.instance.ReloadSettings()
		Eventually(post, "5s", "50ms").Should(Equal(413))
	})

	// Guards against a memory limit in a deployment whose rules do not ask for it, also for what a
	// change of the rules or a reload of the settings should have switched.
	It("limits the memory in mode auto only while the rules let kinds compete", func() {
		file := filepath.Join(GinkgoT().TempDir(), "s.toml")
		s := settings.Default()
		s.Memory.Mode, s.Memory.LimitMB, s.Contention.Mode = contention.ModeAuto, 0.1, contention.ModeAuto
		d := startLocalWith(GinkgoTB(), file, s, 0)
		store := platform.NewWithStoredRules(serveLocal(GinkgoTB(), d.store.Handler())).Store
		version := uint64(1)
		apply := func(text string) {
			var err error
			version, err = rulestore.Apply(context.Background(), store, version, rulestore.Record{Text: text})
			Expect(err).NotTo(HaveOccurred())
		}
		post := func() int {
			resp, err := http.Post("http://"+d.callers+"/bookings/h-1", "text/plain", strings.NewReader(strings.Repeat("x", 64<<10)))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		Consistently(post, "300ms", "50ms").Should(Equal(200))
		apply(examples.Rules + `
[[rule]]
name = "urgent"
when = { path = "/urgent/{household}" }
then = { route = "bookings", key = "path:household", priority = 0, aim = "500ms" }
[[rule]]
name = "patient"
when = { path = "/patient/{household}" }
then = { route = "bookings", key = "path:household", priority = 1, aim = "2s" }
`)
		Eventually(post, "5s", "50ms").Should(Equal(413))
		apply(examples.Rules)
		Eventually(post, "5s", "50ms").Should(Equal(200))
		Expect(os.WriteFile(file, []byte("[memory]\nlimit_mb = 0.1\n"), 0o600)).To(Succeed())
		d.instance.ReloadSettings()
		Eventually(post, "5s", "50ms").Should(Equal(413))
		Expect(os.WriteFile(file, []byte("[memory]\nmode = \"auto\"\nlimit_mb = 0.1\n"), 0o600)).To(Succeed())
		d.instance.ReloadSettings()
		Eventually(post, "5s", "50ms").Should(Equal(200))
	})
})
