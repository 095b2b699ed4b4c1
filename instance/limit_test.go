package instance_test

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/state/rulestore"
)

// announceLimit makes a target announce a limit in its answers, in requests a second. 0 ends it.
func (c *child) announceLimit(perSecond float64) {
	GinkgoHelper()
	resp, err := http.PostForm("http://"+c.address+"/standin/limit", url.Values{"per-second": {fmt.Sprint(perSecond)}})
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// maxRequestsWithin returns the largest number of requests that a target got within any window of
// the given length, counting only those after the given time.
func (c *child) maxRequestsWithin(window time.Duration, after time.Time) int {
	GinkgoHelper()
	var begun []int64
	for _, r := range c.runs() {
		if r.StartedAt > after.UnixNano() {
			begun = append(begun, r.StartedAt)
		}
	}
	slices.Sort(begun)
	highest, first := 0, 0
	for i := range begun {
		for begun[i]-begun[first] > int64(window) {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// overload sends more requests than targets with a limit take, through all instances, for the given
// time. It returns how many were answered with status 200.
func overload(d *deployment, length time.Duration, request func(instance int, n int) int) (answered int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	end := time.Now().Add(length)
	for n := range callerCount {
		running.Go(func() {
			for i := n; time.Now().Before(end); i += callerCount {
				status := request(i%len(d.instances), i)
				mu.Lock()
				if status == http.StatusOK {
					answered++
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return answered
}

var _ = Describe("targets that announce a limit for all instances together", func() {
	const (
		perSecond = 2.0
		// countingTime is how long requests are counted after LimitGrace.
		countingTime = 6 * time.Second
	)

	announceAll := func(targets map[string]*child) (since time.Time) {
		GinkgoHelper()
		since = time.Now()
		for _, target := range targets {
			target.announceLimit(perSecond)
		}
		return since
	}

	expectWithinLimit := func(targets map[string]*child, since time.Time) {
		GinkgoHelper()
		for id, target := range targets {
			Expect(float64(target.maxRequestsWithin(standin.LimitWindow, since.Add(standin.LimitTolerance)))).To(BeNumerically("<=", standin.MaxRequestsInLimitWindow(perSecond)), id)
		}
	}

	// expectServed checks that at least half of what the targets accept is served.
	expectServed := func(answered int, targets map[string]*child) {
		GinkgoHelper()
		taken := perSecond * float64(len(targets)) * (standin.LimitTolerance + countingTime).Seconds()
		Expect(float64(answered)).To(BeNumerically(">", taken/2))
	}

	It("get no more requests than that with keys (guards against each instance counting for itself)", func() {
		d := startDeployment()
		since := announceAll(d.targets)
		answered := overload(d, standin.LimitTolerance+countingTime, func(i, n int) int {
			return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status
		})
		expectWithinLimit(d.targets, since)
		expectServed(answered, d.targets)
	})

	It("get no more requests than that when an instance is lost (guards against a next keeper that starts to count anew)", func() {
		d := startDeployment()
		since := announceAll(d.targets)
		time.AfterFunc(standin.LimitTolerance+time.Second, func() { _ = d.instances[1].cmd.Process.Signal(syscall.SIGKILL) })
		overload(d, standin.LimitTolerance+countingTime, func(i, n int) int {
			return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status
		})
		expectWithinLimit(d.targets, since)
	})

	It("get no more requests than that without keys (guards against a limit that applies to keyed services only)", func() {
		d := &deployment{platform: startChild("platform"), targets: map[string]*child{}}
		_, err := rulestore.Apply(context.Background(), platform.NewStore(d.platform.address), 0, rulestore.Record{Text: examples.Rules})
		Expect(err).NotTo(HaveOccurred())
		for _, id := range []string{"p1", "p2"} {
			d.targets[id] = startChild("crashing target", id, d.platform.address)
		}
		f := &crashingDeployment{deployment: d}
		f.startInstances()
		since := announceAll(d.targets)
		answered := overload(d, standin.LimitTolerance+countingTime, func(i, n int) int { return f.dispatch(i, fmt.Sprint("/dispatch/job-", n)) })
		expectWithinLimit(d.targets, since)
		expectServed(answered, d.targets)
	})

	It("have their keys reassigned to targets with capacity (guards against refusals for as long as one target has a limit)", func() {
		d := startDeployment()
		request := func(i, n int) int { return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status }
		overload(d, 2*time.Second, request)
		d.targets[d.ownerOf("key1")].announceLimit(perSecond)
		overload(d, 4*time.Second, request)
		var sent atomic.Int64
		answered := overload(d, 2*time.Second, func(i, n int) int {
			sent.Add(1)
			return request(i, n)
		})
		Expect(float64(answered)).To(BeNumerically(">", 0.95*float64(sent.Load())))
	})

	It("get all requests again when they withdraw the limit (guards against a limit that outlives its end)", func() {
		d := startDeployment()
		announceAll(d.targets)
		request := func(i, n int) int { return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status }
		overload(d, standin.LimitTolerance, request)
		for _, target := range d.targets {
			target.announceLimit(0)
		}
		overload(d, 2*time.Second, request)
		Expect(overload(d, time.Second, request)).To(BeNumerically(">", 100))
	})
})
