package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/state/rulestore"
	"lycheehall.example/lycheehall/transport/admin"
)

const (
	// crashPath is the path of the request that crashes each target that begins to run it.
	crashPath = "/dispatch/crash"
	crashCode = 3
	// restartDelay is the time from the crash of a target to the start of a new process in its
	// place.
	restartDelay = 200 * time.Millisecond
	// quarantineDelay is how long after its third crash a request may still reach targets.
	quarantineDelay = 3 * time.Second
	// maxLaterCrashes is how many more targets it may crash after that.
	maxLaterCrashes = 3
)

// crashingDeployment is a platform, instances, and targets that crash on one request.
type crashingDeployment struct {
	*deployment
	crashes atomic.Int64
}

func startCrashingDeployment() *crashingDeployment {
	GinkgoHelper()
	d := &crashingDeployment{deployment: &deployment{platform: startChild("platform")}}
	_, err := rulestore.Apply(context.Background(), platform.NewStore(d.platform.address), 0, rulestore.Record{Text: examples.Rules})
	Expect(err).NotTo(HaveOccurred())
	for n := range 4 {
		s := &targetSupervisor{name: fmt.Sprint("t", n), platform: d.platform.address, crashes: &d.crashes}
		s.running.Go(s.run)
		DeferCleanup(s.stop)
	}
	d.startInstances()
	return d
}

// targetSupervisor runs a target, and starts a new process when the target has crashed.
type targetSupervisor struct {
	name, platform string
	crashes        *atomic.Int64
	running        sync.WaitGroup

	mu      sync.Mutex
	process *os.Process
	stopped bool
}

func (s *targetSupervisor) run() {
	defer GinkgoRecover()
	for n := 1; ; n++ {
		cmd := childCommand("crashing target", fmt.Sprint(s.name, "-", n), s.platform)
		if !s.start(cmd) {
			return
		}
		// Wait returns an error for the exit code of a crash.
		_ = cmd.Wait()
		s.crashes.Add(1)
		time.Sleep(restartDelay)
	}
}

// start starts a process unless the supervisor was stopped. It reports whether it did.
func (s *targetSupervisor) start(cmd *exec.Cmd) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	Expect(cmd.Start()).To(Succeed())
	s.process = cmd.Process
	return true
}

func (s *targetSupervisor) stop() {
	s.mu.Lock()
	s.stopped = true
	// The process may have exited by itself.
	_ = s.process.Kill()
	s.mu.Unlock()
	s.running.Wait()
}

func (d *crashingDeployment) startInstances() {
	GinkgoHelper()
	d.instances = nil
	for _, name := range []string{"e1", "e2", "e3"} {
		d.instances = append(d.instances, startChild("instance", name, d.platform.address))
	}
	for i := range d.instances {
		Eventually(func() int { return d.dispatch(i, "/dispatch/warm-up") }, "20s", "50ms").Should(Equal(200))
	}
}

// dispatch sends a non-idempotent request and returns the response status, or 0 if there was no
// response.
func (d *crashingDeployment) dispatch(instance int, path string) int {
	resp, err := caller.Post("http://"+d.instances[instance].address+path, "text/plain", strings.NewReader("crew"))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// sendCrashing sends the crashing request through each instance in turn, with pauses in which
// crashed targets restart. It returns how many targets crashed.
func (d *crashingDeployment) sendCrashing(times int) int64 {
	GinkgoHelper()
	before := d.crashes.Load()
	for n := range times {
		status := d.dispatch(n%len(d.instances), crashPath)
		Expect(status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout))
		time.Sleep(2 * restartDelay)
	}
	return d.crashes.Load() - before
}

// otherRequests are requests that are sent while another request crashes targets.
type otherRequests struct {
	stop         chan struct{}
	running      sync.WaitGroup
	sent, failed atomic.Int64
}

// startOtherRequests sends requests through all instances until finish is called.
func (d *crashingDeployment) startOtherRequests() *otherRequests {
	o := &otherRequests{stop: make(chan struct{})}
	for n := range callerCount {
		o.running.Go(func() {
			for i := n; ; i++ {
				select {
				case <-o.stop:
					return
				default:
				}
				o.sent.Add(1)
				if d.dispatch(i%len(d.instances), fmt.Sprint("/dispatch/sound-", n, "-", i)) != http.StatusOK {
					o.failed.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return o
}

// finish returns how many requests were sent and how many of them failed.
func (o *otherRequests) finish() (sent, failed int64) {
	close(o.stop)
	o.running.Wait()
	return o.sent.Load(), o.failed.Load()
}

var _ = Describe("a request that crashes each target that runs it", func() {
	// Guards against a request that crashes one target each time it is sent, while other requests fail:
	// each instance counts only the crashes that it has observed itself. The log then has target-ended
	// lines with one fingerprint from several instances.
	It("crashes at most maxLaterCrashes further targets through any instance once it has crashed three", func() {
		d := startCrashingDeployment()
		d.sendCrashing(4)
		time.Sleep(quarantineDelay)
		others := d.startOtherRequests()
		Expect(d.sendCrashing(9)).To(BeNumerically("<=", maxLaterCrashes))
		sent, failed := others.finish()
		Expect(sent).To(BeNumerically(">", minAnswered))
		Expect(failed).To(BeZero(), "of %d other requests", sent)
	})

	// An operator who has repaired the targets need not wait for the quarantine to end, which lasts
	// a day.
	It("is accepted again by all instances when an operator releases it", func() {
		d := startCrashingDeployment()
		d.sendCrashing(3)
		time.Sleep(quarantineDelay)
		Expect(d.sendCrashing(3)).To(BeZero())
		var list []admin.QuarantinedRequest
		_, text := callAdmin(d.instances[0].admin, "GET", "/v1/quarantine", "", testSecret)
		Expect(json.Unmarshal([]byte(text), &list)).To(Succeed())
		Expect(list).To(HaveLen(1))
		release := `{"fingerprint":"` + list[0].Fingerprint + `"}`
		status, _ := callAdmin(d.instances[0].admin, "POST", "/v1/quarantine/release", release, testSecret)
		Expect(status).To(Equal(200))
		status, _ = callAdmin(d.instances[0].admin, "POST", "/v1/quarantine/release", release, testSecret)
		Expect(status).To(Equal(404))
		status, _ = callAdmin(d.instances[0].admin, "POST", "/v1/quarantine/release", `{"fingerprint":"no"}`, testSecret)
		Expect(status).To(Equal(400))
		time.Sleep(time.Second)
		Expect(d.dispatch(2, crashPath)).To(Equal(http.StatusBadGateway))
	})

	// Guards against a quarantine that is only in the instances' memory: all instances are killed
	// at once after the crashes, and started again.
	It("crashes at most maxLaterCrashes further targets after all instances were killed and restarted", func() {
		d := startCrashingDeployment()
		d.sendCrashing(4)
		time.Sleep(quarantineDelay)
		for _, i := range d.instances {
			i.signal(syscall.SIGKILL)
		}
		d.startInstances()
		time.Sleep(quarantineDelay)
		Expect(d.sendCrashing(9)).To(BeNumerically("<=", maxLaterCrashes))
		for i := range d.instances {
			Expect(d.dispatch(i, "/dispatch/sound")).To(Equal(200))
		}
	})
})
