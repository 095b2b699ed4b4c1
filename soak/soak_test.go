package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
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

// regressions are seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1796249298, "an instance could not listen: its port had been given to an outgoing connection"},
	{1796249324, "the same"},
}

func build() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/lycheehalld", "../cmd/lycheehall-standin").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return dir
}

func play(programs string, seed uint64, length time.Duration, plant string) *Result {
	GinkgoHelper()
	result, err := Run(Options{
		Seed: seed, Size: Size{Instances: 3, Targets: 3, Defect: plant}, Length: length,
		ProgramDir: programs, Dir: GinkgoT().TempDir(),
		Progress: func(format string, args ...any) { GinkgoWriter.Printf(format+"\n", args...) },
	})
	Expect(err).NotTo(HaveOccurred())
	return result
}

var _ = Describe("a soak", func() {
	It("finds nothing wrong on a short run", func() {
		result := play(build(), 7, 6*time.Second, "")
		Expect(result.Violations).To(BeEmpty())
		Expect(result.Counts[Answered]).To(BeNumerically(">", 200))
	})

	// Symptom: an instance of the soak does not serve, its log says that its address is in use.
	// Sequence: a port of those for outgoing connections is chosen, and given to one before the
	// instance starts.
	It("chooses addresses that no outgoing connection is given", func() {
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

	// Symptom: processes are still there minutes after the soak has ended. Sequence: a target is
	// killed, and told to end before it has been started again; both faults start it. Cause: the
	// second process took the place of the first one, which ran on and was forgotten.
	It("starts a process once when two faults overlap", func() {
		p := &process{name: "sleep", path: "/bin/sleep", args: []string{"60"}}
		Expect(p.start()).To(Succeed())
		first := p.cmd.Process.Pid
		Expect(p.start()).To(Succeed())
		Expect(p.cmd.Process.Pid).To(Equal(first))
		p.signal(syscall.SIGKILL)
		p.end(time.Second)
		Expect(p.start()).To(Succeed())
		Expect(p.cmd.Process.Pid).NotTo(Equal(first))
		p.signal(syscall.SIGKILL)
		p.end(time.Second)
	})

	It("finds nothing wrong on seeds that have failed", func() {
		programs := build()
		for _, r := range regressions {
			Expect(play(programs, r.seed, 10*time.Second, "").Violations).To(BeEmpty(), "seed %d: %s", r.seed, r.cause)
		}
	})

	It("notices a planted fault in real processes", func() {
		Expect(play(build(), 7, time.Second, string(standin.Twice)).Violations).NotTo(BeEmpty())
	})
})

var _ = Describe("a check", func() {
	run := func(id string, key int, fence uint64, begun int64) standin.Record {
		return standin.Record{Request: id, Target: "t", Key: key, Fence: fence, Begun: begun}
	}

	It("finds nothing wrong where all is well", func() {
		told := map[string]Told{
			"a": {Outcome: Answered, Own: true}, "b": {Outcome: NotRun}, "c": {Outcome: Unknown}, "d": {Outcome: Answered, Own: true, Twice: true},
		}
		runs := []standin.Record{run("a", 1, 1, 1), run("c", 1, 1, 2), run("d", 1, 2, 3), run("d", 1, 2, 4)}
		Expect(Check(told, runs)).To(BeEmpty())
	})

	DescribeTable("notices",
		func(t Told, runs []standin.Record, want string) {
			Expect(Check(map[string]Told{"a": t}, runs)).To(ContainElement(ContainSubstring(want)))
		},
		Entry("a second run", Told{Outcome: Unknown}, []standin.Record{run("a", 1, 1, 1), run("a", 1, 1, 2)}, "ran 2 times"),
		Entry("a false refusal", Told{Outcome: NotRun, Status: 503}, []standin.Record{run("a", 1, 1, 1)}, "refused as not run"),
		Entry("an answer without a run", Told{Outcome: Answered, Own: true}, nil, "did not run"),
		Entry("another's answer", Told{Outcome: Answered}, []standin.Record{run("a", 1, 1, 1)}, "not its own"),
		Entry("a new process under the fence of the former one", Told{Outcome: Unknown}, []standin.Record{run("a", 1, 1, 1), {Request: "x", Target: "again", Key: 1, Fence: 1, Begun: 2}}, "under fence 1 after"),
		Entry("a former owner at work", Told{Outcome: Unknown}, []standin.Record{run("a", 1, 2, 1), run("x", 1, 1, 2)}, "under fence 1 after"),
	)
})

var _ = Describe("the check of targets that leave", func() {
	start := time.Unix(1000, 0)
	// passed is a request whose answer says that its target leaves; later another one, some time after.
	passed := Told{Outcome: Answered, Instance: "i1", Sent: start, Heard: start.Add(10 * time.Millisecond), Leaving: true}
	later := func(instance string, d time.Duration) Told {
		return Told{Outcome: Unknown, Instance: instance, Sent: passed.Heard.Add(d)}
	}
	runs := []standin.Record{{Request: "a", Target: "t started 1"}, {Request: "b", Target: "t started 1"}}

	DescribeTable("looks at who was told, and when", func(second Told, interrupted map[string][]time.Time, wrong int) {
		Expect(checkLeaving(map[string]Told{"a": passed, "b": second}, runs, interrupted)).To(HaveLen(wrong))
	},
		Entry("a request in time", later("i1", drainTime), nil, 0),
		Entry("a late one", later("i1", drainTime+time.Millisecond), nil, 1),
		Entry("through another instance", later("i2", time.Hour), nil, 0),
		Entry("after the instance was interrupted", later("i1", 3*time.Second), map[string][]time.Time{"i1": {start.Add(time.Second)}}, 0),
		Entry("after another one was", later("i1", 3*time.Second), map[string][]time.Time{"i2": {start.Add(time.Second)}}, 1),
		Entry("after it was interrupted before", later("i1", 3*time.Second), map[string][]time.Time{"i1": {start}}, 1),
	)

	It("looks at the life of a target", func() {
		again := []standin.Record{runs[0], {Request: "b", Target: "t started 2"}}
		Expect(checkLeaving(map[string]Told{"a": passed, "b": later("i1", time.Hour)}, again, nil)).To(BeEmpty())
	})
})

// echo answers what it gets.
func echo() string {
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

	say := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		return err
	}

	DescribeTable("does to an open connection what it is told, until that ends",
		func(f Fault, survives bool) {
			p, err := NewProxy()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(p.Close)
			p.PointTo(echo())
			conn := dial(p)
			Expect(say(conn)).To(Succeed())
			p.Set(f)
			if f == Delayed {
				begun := time.Now()
				Expect(say(conn)).To(Or(Succeed(), HaveOccurred()))
				Expect(time.Since(begun)).To(BeNumerically(">=", proxyDelay))
			} else {
				Expect(say(conn)).NotTo(Succeed())
			}
			p.Set(Sound)
			if survives {
				time.Sleep(2 * proxyDelay)
				Expect(say(conn)).To(Succeed())
			} else {
				Expect(say(conn)).NotTo(Succeed())
			}
			Expect(say(dial(p))).To(Succeed())
		},
		Entry("delay", Delayed, true),
		Entry("silence", Silent, true),
		Entry("one way", OneWay, true),
		Entry("reset", Reset, false),
	)
})

var _ = Describe("the check of limits", func() {
	start := time.Unix(1000, 0)
	const perSecond = 2.0
	// play is a target that names a limit, and gets so many requests a second through some instances, each of
	// which was told with its first one.
	play := func(rate int, interrupted map[string][]time.Time, instances ...string) []string {
		told := map[string]Told{}
		var runs []standin.Record
		for n := range 8 * rate {
			at := start.Add(time.Duration(n) * time.Second / time.Duration(rate))
			id := strconv.Itoa(n)
			told[id] = Told{Outcome: Answered, Instance: instances[n%len(instances)], Sent: at, Heard: at.Add(time.Millisecond), Limited: true}
			runs = append(runs, standin.Record{Request: id, Target: "t started 1", Begun: at.UnixNano(), Limit: perSecond, Limited: int64(at.Sub(start))})
		}
		return checkLimits(told, runs, interrupted)
	}

	It("finds a target that gets more than it named through all instances together", func() {
		Expect(play(2, nil, "i1")).To(BeEmpty())
		Expect(play(4, nil, "i1")).To(BeEmpty())
		Expect(play(6, nil, "i1", "i2")).To(HaveLen(1))
	})

	It("counts no instance that was interrupted after it was told", func() {
		all := map[string][]time.Time{}
		for n := range 80 {
			all["i1"] = append(all["i1"], start.Add(time.Duration(n)*100*time.Millisecond))
		}
		Expect(play(6, all, "i1")).To(BeEmpty())
		Expect(play(6, map[string][]time.Time{"i1": {start.Add(time.Second)}}, "i1")).To(HaveLen(1))
	})
})

var _ = Describe("a caller", func() {
	It("sends each request once, also when a kept connection breaks (guards against an answer that is taken for that of another try)", func() {
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
			c.Ask(address, "first", 1, booking)
			Expect(c.Ask(address, fmt.Sprint("broken-", booking), 1, booking).Outcome).To(Equal(Unknown))
		}
		Expect(got).To(HaveKeyWithValue("broken-true", 1))
		Expect(got).To(HaveKeyWithValue("broken-false", 1))
	})
})
