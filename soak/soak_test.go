package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

// regressions are seeds that have failed before, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1796249298, "an instance could not listen: its port was assigned to an outgoing connection"},
	{1796249324, "an instance could not listen: its port was assigned to an outgoing connection"},
}

// buildPrograms builds the programs of a deployment and returns their directory.
func buildPrograms() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/lycheehalld", "../cmd/lycheehall-standin").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return dir
}

// runSeed runs one seed with three instances and three targets.
func runSeed(programs string, seed uint64, length time.Duration, injectedFault string) *Result {
	GinkgoHelper()
	result, err := Run(Options{
		Seed: seed, DeploymentOptions: DeploymentOptions{Instances: 3, Targets: 3, InjectedFault: injectedFault}, Length: length,
		ProgramDir: programs, Dir: GinkgoT().TempDir(),
		Progress: func(format string, args ...any) { GinkgoWriter.Printf(format+"\n", args...) },
	})
	Expect(err).NotTo(HaveOccurred())
	return result
}

var _ = Describe("a soak", func() {
	It("finds no violation in a short run", func() {
		result := runSeed(buildPrograms(), 7, 6*time.Second, "")
		Expect(result.Violations).To(BeEmpty())
		Expect(result.Counts[Answered]).To(BeNumerically(">", 200))
	})

	// Guards against callers that are not served because their instances are partitioned from all targets.
	It("finds callers served through all partitions of instances from targets", func() {
		result, err := Run(Options{
			Seed: 7004, DeploymentOptions: DeploymentOptions{Instances: 5, Targets: 3}, Only: Partitions, Length: 15 * time.Second,
			ProgramDir: buildPrograms(), Dir: GinkgoT().TempDir(),
			Progress: func(format string, args ...any) { GinkgoWriter.Printf(format+"\n", args...) },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Violations).To(BeEmpty())
	})

	// Guards against callers that get a part of a response as a whole one, that are told that a request did
	// not run which ran, or whose requests are taken until the end of a shutdown.
	DescribeTable("finds no violation in a short run of one kind of events", func(only Kind) {
		result, err := Run(Options{
			Seed: 3, DeploymentOptions: DeploymentOptions{Instances: 4, Targets: 4}, Only: only, Length: 9 * time.Second,
			ProgramDir: buildPrograms(), Dir: GinkgoT().TempDir(),
			Progress: func(format string, args ...any) { GinkgoWriter.Printf(format+"\n", args...) },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Violations).To(BeEmpty())
		Expect(result.Counts[Answered]).To(BeNumerically(">", 200))
	},
		Entry("late responses", LateResponses),
		Entry("killed peers", KilledPeers),
		Entry("stops without the store", Stops),
	)

	// Guards against requests that were refused for want of memory and ran, and against instances that
	// do not release the memory of requests that end in a fault.
	It("finds no violation with little memory for callers that read slowly", func() {
		dir := GinkgoT().TempDir()
		result, err := Run(Options{
			Seed: 8, DeploymentOptions: DeploymentOptions{Instances: 3, Targets: 3, MemoryMB: 2}, Length: 6 * time.Second,
			ProgramDir: buildPrograms(), Dir: dir, Progress: func(string, ...any) {},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Violations).To(BeEmpty())
		Expect(result.Counts[Answered]).To(BeNumerically(">", 200))
		log, err := os.ReadFile(filepath.Join(dir, "instance1.log"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(log)).To(ContainSubstring(`"outcome":"memory"`))
	})

	// Guards against a port that the system assigns to an outgoing connection before the process listens
	// on it. The process then does not serve, with "address in use" in its log.
	It("chooses ports that are not assigned to outgoing connections", func() {
		seen := map[string]bool{}
		for range 200 {
			address, err := freeAddress()
			Expect(err).NotTo(HaveOccurred())
			_, port, err := net.SplitHostPort(address)
			Expect(err).NotTo(HaveOccurred())
			Expect(strconv.Atoi(port)).To(BeNumerically("<", endPort))
			Expect(seen[address]).To(BeFalse())
			seen[address] = true
		}
	})

	// Guards against processes that still run after the soak: when two faults overlap, such as a kill and
	// a termination of a target that has not been restarted yet, both restart the process, and the first
	// of the two new processes is never ended.
	It("starts a process once when two faults overlap", func() {
		p := &process{name: "sleep", path: "/bin/sleep", args: []string{"60"}}
		Expect(p.start()).To(Succeed())
		first := p.cmd.Process.Pid
		Expect(p.start()).To(Succeed())
		Expect(p.cmd.Process.Pid).To(Equal(first))
		p.signal(syscall.SIGKILL)
		p.awaitExit(time.Second)
		Expect(p.start()).To(Succeed())
		Expect(p.cmd.Process.Pid).NotTo(Equal(first))
		p.signal(syscall.SIGKILL)
		p.awaitExit(time.Second)
	})

	It("finds no violation with seeds that have failed before", func() {
		programs := buildPrograms()
		for _, r := range regressions {
			Expect(runSeed(programs, r.seed, 10*time.Second, "").Violations).To(BeEmpty(), "seed %d: %s", r.seed, r.cause)
		}
	})

	It("finds an injected fault of real processes", func() {
		Expect(runSeed(buildPrograms(), 7, time.Second, string(standin.RecordTwice)).Violations).NotTo(BeEmpty())
	})
})

var _ = Describe("a caller that pipelines", func() {
	// respond serves one connection with responses signed for the IDs, and returns the results of as
	// many requests, a, b and c.
	respond := func(close string, ids ...string) []CallResult {
		GinkgoHelper()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for _, id := range ids {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s: s.%s\r\n%s\r\n", platform.Headers().Signature, id, close)
			}
			// Closing with unread requests would reset the connection and lose responses.
			_, _ = io.Copy(io.Discard, conn)
		}()
		return callPipelined(l.Addr().String(), []pipelinedRequest{{id: "a"}, {id: "b"}, {id: "c"}}, false)
	}

	// Guards against a check that accepts responses out of order.
	It("takes responses in the order of its requests for its own", func() {
		for _, result := range respond("", "a", "b", "c") {
			Expect(result.Outcome).To(Equal(Answered))
			Expect(result.OwnResponse).To(BeTrue())
		}
		swapped := respond("", "a", "c", "b")
		Expect([]bool{swapped[0].OwnResponse, swapped[1].OwnResponse, swapped[2].OwnResponse}).To(Equal([]bool{true, false, false}))
	})

	// Guards against a check that accepts runs of requests behind a response that closes the connection.
	It("takes requests behind a closing response for not executed", func() {
		results := respond("Connection: close\r\n", "a")
		Expect([]Outcome{results[0].Outcome, results[1].Outcome, results[2].Outcome}).To(Equal([]Outcome{Answered, NotExecuted, NotExecuted}))
	})
})

var _ = Describe("the check of partitions", func() {
	// results are requests at two instances, of which the first is partitioned, each some seconds after
	// the start.
	count := func(start time.Time, servedCut, failedCut, servedOther, failedOther int) partitionCounts {
		p := &partitions{periods: map[int][]interval{0: {{start, start.Add(10 * time.Second)}}}}
		results := map[string]CallResult{}
		add := func(instance string, after time.Duration, outcome Outcome, n int) {
			for range n {
				results[fmt.Sprint(len(results))] = CallResult{Outcome: outcome, Instance: instance, Sent: start.Add(after)}
			}
		}
		add("a", time.Second, Unknown, 500)
		add("a", 11*time.Second, Unknown, 500)
		add("b", -time.Second, Unknown, 500)
		add("a", 5*time.Second, Answered, servedCut)
		add("a", 5*time.Second, NotExecuted, failedCut)
		add("b", 5*time.Second, Answered, servedOther)
		add("b", 5*time.Second, NotExecuted, failedOther)
		return countDuringPartitions(results, interval{start, start.Add(time.Minute)}, p, []string{"a", "b"})
	}

	DescribeTable("compares instances that have been partitioned for a while with the others",
		func(servedCut, failedCut, servedOther, failedOther int, violated bool) {
			c := count(time.Now(), servedCut, failedCut, servedOther, failedOther)
			Expect(c).To(Equal(partitionCounts{servedCut, servedCut + failedCut, servedOther, servedOther + failedOther}))
			Expect(c.violated()).To(Equal(violated))
		},
		Entry("served as often", 300, 100, 300, 100, false),
		Entry("served half as often", 150, 150, 300, 0, true),
		Entry("few failures", 2, 10, 300, 0, false),
		Entry("one more", 2, 11, 300, 0, true),
	)
})

var _ = Describe("the check of requests", func() {
	run := func(id string, key int, fence uint64, startedAt int64) standin.Record {
		return standin.Record{Request: id, Target: "t", Key: key, Fence: fence, StartedAt: startedAt}
	}

	It("accepts results that keep the guarantees", func() {
		results := map[string]CallResult{
			"a": {Outcome: Answered, OwnResponse: true}, "b": {Outcome: NotExecuted}, "c": {Outcome: Unknown}, "d": {Outcome: Answered, OwnResponse: true, Idempotent: true},
		}
		runs := []standin.Record{run("a", 1, 1, 1), run("c", 1, 1, 2), run("d", 1, 2, 3), run("d", 1, 2, 4)}
		Expect(Check(results, runs)).To(BeEmpty())
	})

	DescribeTable("finds",
		func(t CallResult, runs []standin.Record, want string) {
			Expect(Check(map[string]CallResult{"a": t}, runs)).To(ContainElement(ContainSubstring(want)))
		},
		Entry("a second run", CallResult{Outcome: Unknown}, []standin.Record{run("a", 1, 1, 1), run("a", 1, 1, 2)}, "ran 2 times"),
		Entry("a run of a request refused as not executed", CallResult{Outcome: NotExecuted, Status: 503}, []standin.Record{run("a", 1, 1, 1)}, "refused as not executed"),
		Entry("a response without a run", CallResult{Outcome: Answered, OwnResponse: true}, nil, "did not run"),
		Entry("a response to another request", CallResult{Outcome: Answered}, []standin.Record{run("a", 1, 1, 1)}, "not its own"),
		Entry("a restarted target with the fence of its previous process", CallResult{Outcome: Unknown}, []standin.Record{run("a", 1, 1, 1), {Request: "x", Target: "again", Key: 1, Fence: 1, StartedAt: 2}}, "under fence 1 after"),
		Entry("a previous owner that begins work after the next one", CallResult{Outcome: Unknown}, []standin.Record{run("a", 1, 2, 1), run("x", 1, 1, 2)}, "under fence 1 after"),
	)
})

var _ = Describe("the check of leaving targets", func() {
	start := time.Unix(1000, 0)
	// reported is a request whose response reports that the target is leaving. later returns a request
	// that is sent a time d after that response.
	reported := CallResult{Outcome: Answered, Instance: "i1", Sent: start, Received: start.Add(10 * time.Millisecond), Leaving: true}
	later := func(instance string, d time.Duration) CallResult {
		return CallResult{Outcome: Unknown, Instance: instance, Sent: reported.Received.Add(d)}
	}
	runs := []standin.Record{{Request: "a", Target: "t started 1"}, {Request: "b", Target: "t started 1"}}

	DescribeTable("depends on the instance and on the time of the second request", func(second CallResult, interrupted map[string][]time.Time, violations int) {
		Expect(checkLeaving(map[string]CallResult{"a": reported, "b": second}, runs, interrupted)).To(HaveLen(violations))
	},
		Entry("within the allowed delay", later("i1", leavingDelay), nil, 0),
		Entry("after the allowed delay", later("i1", leavingDelay+time.Millisecond), nil, 1),
		Entry("through another instance", later("i2", time.Hour), nil, 0),
		Entry("after the instance was interrupted", later("i1", 3*time.Second), map[string][]time.Time{"i1": {start.Add(time.Second)}}, 0),
		Entry("after another instance was interrupted", later("i1", 3*time.Second), map[string][]time.Time{"i2": {start.Add(time.Second)}}, 1),
		Entry("after an interruption before the report", later("i1", 3*time.Second), map[string][]time.Time{"i1": {start}}, 1),
	)

	It("accepts requests to the target once it has been restarted", func() {
		again := []standin.Record{runs[0], {Request: "b", Target: "t started 2"}}
		Expect(checkLeaving(map[string]CallResult{"a": reported, "b": later("i1", time.Hour)}, again, nil)).To(BeEmpty())
	})
})

// startEchoServer starts a TCP server that returns what it receives, and returns its address.
func startEchoServer() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return l.Addr().String()
}

var _ = Describe("a proxy", func() {
	dial := func(p *Proxy) net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", p.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}

	exchange := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		return err
	}

	DescribeTable("applies a fault to an open connection until the fault ends",
		func(fault ProxyFault, survives bool) {
			p, err := NewProxy()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(p.Close)
			p.SetTarget(startEchoServer())
			conn := dial(p)
			Expect(exchange(conn)).To(Succeed())
			p.SetFault(fault)
			if fault == Delayed {
				start := time.Now()
				Expect(exchange(conn)).To(Or(Succeed(), HaveOccurred()))
				Expect(time.Since(start)).To(BeNumerically(">=", proxyDelay))
			} else {
				Expect(exchange(conn)).NotTo(Succeed())
			}
			p.SetFault(NoFault)
			if survives {
				time.Sleep(2 * proxyDelay)
				Expect(exchange(conn)).To(Succeed())
			} else {
				Expect(exchange(conn)).NotTo(Succeed())
			}
			Expect(exchange(dial(p))).To(Succeed())
		},
		Entry("delay", Delayed, true),
		Entry("stall", Stalled, true),
		Entry("one way", OneWay, true),
		Entry("reset", Reset, false),
	)
})

var _ = Describe("the check of limits", func() {
	start := time.Unix(1000, 0)
	const perSecond = 2.0
	// violations returns those found for a target that reports a limit and gets rate requests a second
	// through the instances in turn. Each instance receives the limit with its first response.
	violations := func(rate int, interrupted map[string][]time.Time, instances ...string) []string {
		results := map[string]CallResult{}
		var runs []standin.Record
		for n := range 8 * rate {
			at := start.Add(time.Duration(n) * time.Second / time.Duration(rate))
			id := strconv.Itoa(n)
			results[id] = CallResult{Outcome: Answered, Instance: instances[n%len(instances)], Sent: at, Received: at.Add(time.Millisecond), Limited: true}
			runs = append(runs, standin.Record{Request: id, Target: "t started 1", StartedAt: at.UnixNano(), Limit: perSecond, LimitAge: int64(at.Sub(start))})
		}
		return checkLimits(results, runs, interrupted)
	}

	It("finds a target that gets more than its limit through all instances together", func() {
		Expect(violations(2, nil, "i1")).To(BeEmpty())
		Expect(violations(4, nil, "i1")).To(BeEmpty())
		Expect(violations(6, nil, "i1", "i2")).To(HaveLen(1))
	})

	It("ignores an instance that was interrupted after it had received the limit", func() {
		all := map[string][]time.Time{}
		for n := range 80 {
			all["i1"] = append(all["i1"], start.Add(time.Duration(n)*100*time.Millisecond))
		}
		Expect(violations(6, all, "i1")).To(BeEmpty())
		Expect(violations(6, map[string][]time.Time{"i1": {start.Add(time.Second)}}, "i1")).To(HaveLen(1))
	})
})

var _ = Describe("a caller", func() {
	// Guards against a result that is taken for that of another attempt: the HTTP client retries a
	// look-up by itself when an idle connection breaks.
	It("sends each request once, also when an idle connection breaks", func() {
		var mu sync.Mutex
		got := map[string]int{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(platform.Headers().RequestID)
			mu.Lock()
			got[id]++
			mu.Unlock()
			if id != "first" {
				panic(http.ErrAbortHandler)
			}
		}))
		DeferCleanup(server.Close)
		c := &Callers{client: &http.Client{Timeout: callerTimeout}}
		address := strings.TrimPrefix(server.URL, "http://")
		for _, booking := range []bool{true, false} {
			c.Call(address, "first", 1, booking)
			Expect(c.Call(address, fmt.Sprint("broken-", booking), 1, booking).Outcome).To(Equal(Unknown))
		}
		Expect(got).To(HaveKeyWithValue("broken-true", 1))
		Expect(got).To(HaveKeyWithValue("broken-false", 1))
	})
})
