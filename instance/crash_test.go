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
	// maxLaterCrashes is how many targets it may crash after that.
	maxLaterCrashes = 3
)

// crashingDeployment is a platform, instances, and targets that crash on one request.
type crashingDeployment struct {
	*deployment
	crashes atomic.Int64
}

func startCrashingDeployment() *crashingDeployment {
	GinkgoHelper()
	f := &crashingDeployment{deployment: &deployment{platform: startChild("platform")}}
	_, err := rulestore.Apply(context.Background(), platform.NewStore(f.platform.address), 0, rulestore.Record{Text: examples.Rules})
	Expect(err).NotTo(HaveOccurred())
	for n := range 4 {
		k := &targetSupervisor{name: fmt.Sprint("t", n), platform: f.platform.address, crashes: &f.crashes}
		k.running.Go(k.run)
		DeferCleanup(k.stop)
	}
	f.startInstances()
	return f
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

func (k *targetSupervisor) run() {
	defer GinkgoRecover()
	for n := 1; ; n++ {
		cmd := childCommand("crashing target", fmt.Sprint(k.name, "-", n), k.platform)
		if !k.start(cmd) {
			return
		}
		// Wait returns an error for the exit code of a crash.
		_ = cmd.Wait()
		k.crashes.Add(1)
		time.Sleep(restartDelay)
	}
}

// start starts a process unless the supervisor was stopped. It reports whether it did.
func (k *targetSupervisor) start(cmd *exec.Cmd) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return false
	}
	Expect(cmd.Start()).To(Succeed())
	k.process = cmd.Process
	return true
}

func (k *targetSupervisor) stop() {
	k.mu.Lock()
	k.stopped = true
	// The process may have ended by itself.
	_ = k.process.Kill()
	k.mu.Unlock()
	k.running.Wait()
}

func (f *crashingDeployment) startInstances() {
	GinkgoHelper()
	f.instances = nil
	for _, name := range []string{"e1", "e2", "e3"} {
		f.instances = append(f.instances, startChild("instance", name, f.platform.address))
	}
	for i := range f.instances {
		Eventually(func() int { return f.dispatch(i, "/dispatch/warm-up") }, "20s", "50ms").Should(Equal(200))
	}
}

// dispatch sends a non-idempotent request and returns the response status, or 0 if there was no
// response.
func (f *crashingDeployment) dispatch(instance int, path string) int {
	resp, err := caller.Post("http://"+f.instances[instance].address+path, "text/plain", strings.NewReader("crew"))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// sendCrashing sends the crashing request through each instance in turn, with pauses in which
// crashed targets restart. It returns how many targets crashed.
func (f *crashingDeployment) sendCrashing(times int) int64 {
	GinkgoHelper()
	before := f.crashes.Load()
	for n := range times {
		status := f.dispatch(n%len(f.instances), crashPath)
		Expect(status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout))
		time.Sleep(2 * restartDelay)
	}
	return f.crashes.Load() - before
}

// otherRequests are requests that run while another request crashes targets.
type otherRequests struct {
	stop         chan struct{}
	running      sync.WaitGroup
	sent, failed atomic.Int64
}

// startOtherRequests sends requests through all instances until finish is called.
func (f *crashingDeployment) startOtherRequests() *otherRequests {
	b := &otherRequests{stop: make(chan struct{})}
	for n := range callerCount {
		b.running.Go(func() {
			for i := n; ; i++ {
				select {
				case <-b.stop:
					return
				default:
				}
				b.sent.Add(1)
				if f.dispatch(i%len(f.instances), fmt.Sprint("/dispatch/sound-", n, "-", i)) != http.StatusOK {
					b.failed.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return b
}

// finish returns how many requests were sent and how many of them failed.
func (b *otherRequests) finish() (sent, failed int64) {
	close(b.stop)
	b.running.Wait()
	return b.sent.Load(), b.failed.Load()
}

var _ = Describe("a request that crashes each target that runs it", func() {
	// Guards against a request that crashes one target after the other for as long as it is
	// repeated, while other requests fail. It is sent four times through different instances, and
	// again three seconds later. Each instance judged each arrival by itself, and none knew that
	// targets had ended under the same request before: as many targets ended as the request was
	// sent times, whichever instance it came through, and several instances logged target-ended
	// lines with one fingerprint.
	It("reaches hardly any more targets through any instance once it has crashed three", func() {
		f := startCrashingDeployment()
		f.sendCrashing(4)
		time.Sleep(quarantineDelay)
		others := f.startOtherRequests()
		Expect(f.sendCrashing(9)).To(BeNumerically("<=", maxLaterCrashes))
		sent, failed := others.finish()
		Expect(sent).To(BeNumerically(">", minAnswers))
		Expect(failed).To(BeZero(), "of %d other requests", sent)
	})

	// An operator who has repaired the targets need not wait for the quarantine to end, which lasts
	// a day.
	It("is accepted again by all instances when an operator releases it", func() {
		f := startCrashingDeployment()
		f.sendCrashing(3)
		time.Sleep(quarantineDelay)
		Expect(f.sendCrashing(3)).To(BeZero())
		var list []admin.QuarantinedRequest
		_, text := callAdmin(f.instances[0].admin, "GET", "/v1/quarantine", "", testSecret)
		Expect(json.Unmarshal([]byte(text), &list)).To(Succeed())
		Expect(list).To(HaveLen(1))
		release := `{"fingerprint":"` + list[0].Fingerprint + `"}`
		status, _ := callAdmin(f.instances[0].admin, "POST", "/v1/quarantine/release", release, testSecret)
		Expect(status).To(Equal(200))
		status, _ = callAdmin(f.instances[0].admin, "POST", "/v1/quarantine/release", release, testSecret)
		Expect(status).To(Equal(404))
		status, _ = callAdmin(f.instances[0].admin, "POST", "/v1/quarantine/release", `{"fingerprint":"no"}`, testSecret)
		Expect(status).To(Equal(400))
		time.Sleep(time.Second)
		Expect(f.dispatch(2, crashPath)).To(Equal(http.StatusBadGateway))
	})

	// Guards against a quarantine that is only in the instances' memory: all instances are killed
	// at once after the crashes, and started again.
	It("reaches hardly any more targets after all instances were killed and restarted", func() {
		f := startCrashingDeployment()
		f.sendCrashing(4)
		time.Sleep(quarantineDelay)
		for _, i := range f.instances {
			i.signal(syscall.SIGKILL)
		}
		f.startInstances()
		time.Sleep(quarantineDelay)
		Expect(f.sendCrashing(9)).To(BeNumerically("<=", maxLaterCrashes))
		for i := range f.instances {
			Expect(f.dispatch(i, "/dispatch/sound")).To(Equal(200))
		}
	})
})
