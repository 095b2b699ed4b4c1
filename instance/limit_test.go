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

// setLimit makes a target report a limit in its responses, in requests a second. 0 means no limit.
func (c *child) setLimit(perSecond float64) {
	GinkgoHelper()
	resp, err := http.PostForm("http://"+c.address+"/standin/limit", url.Values{"per-second": {fmt.Sprint(perSecond)}})
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// maxRequestsWithin returns the largest number of requests that a target got within any window of
// the given length, counting only those after the given time.
func (c *child) maxRequestsWithin(window time.Duration, after time.Time) int {
	GinkgoHelper()
	var starts []int64
	for _, r := range c.runs() {
		if r.StartedAt > after.UnixNano() {
			starts = append(starts, r.StartedAt)
		}
	}
	slices.Sort(starts)
	highest, first := 0, 0
	for i := range starts {
		for starts[i]-starts[first] > int64(window) {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// overload sends more requests than targets with a limit accept, through all instances, for the given
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

var _ = Describe("targets that report a limit for all instances together", func() {
	const (
		perSecond = 2.0
		// countingTime is how long requests are counted after LimitTolerance.
		countingTime = 6 * time.Second
	)

	limitAll := func(targets map[string]*child) (since time.Time) {
		GinkgoHelper()
		since = time.Now()
		for _, target := range targets {
			target.setLimit(perSecond)
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
		accepted := perSecond * float64(len(targets)) * (standin.LimitTolerance + countingTime).Seconds()
		Expect(float64(answered)).To(BeNumerically(">", accepted/2))
	}

	// Guards against instances that each count only their own requests.
	It("get at most their limit for requests with a key", func() {
		d := startDeployment()
		since := limitAll(d.targets)
		answered := overload(d, standin.LimitTolerance+countingTime, func(i, n int) int {
			return d.book(i, fmt.Sprint("key", n%bookingKeys), fmt.Sprint("limit-", n)).status
		})
		expectWithinLimit(d.targets, since)
		expectServed(answered, d.targets)
	})

	// Guards against a new keeper that starts to count anew.
	It("get at most their limit when an instance is killed", func() {
		d := startDeployment()
		since := limitAll(d.targets)
		time.AfterFunc(standin.LimitTolerance+time.Second, func() { _ = d.instances[1].cmd.Process.Signal(syscall.SIGKILL) })
		overload(d, standin.LimitTolerance+countingTime, func(i, n int) int {
			return d.book(i, fmt.Sprint("key", n%bookingKeys), fmt.Sprint("limit-", n)).status
		})
		expectWithinLimit(d.targets, since)
	})

	// Guards against a limit that applies to keyed services only.
	It("get at most their limit for requests without a key", func() {
		d := &deployment{platform: startChild("platform"), targets: map[string]*child{}}
		_, err := rulestore.Apply(context.Background(), platform.NewStore(d.platform.address), 0, rulestore.Record{Text: examples.Rules})
		Expect(err).NotTo(HaveOccurred())
		for _, id := range []string{"p1", "p2"} {
			d.targets[id] = startChild("crashing target", id, d.platform.address)
		}
		c := &crashingDeployment{deployment: d}
		c.startInstances()
		since := limitAll(d.targets)
		answered := overload(d, standin.LimitTolerance+countingTime, func(i, n int) int { return c.dispatch(i, fmt.Sprint("/dispatch/job-", n)) })
		expectWithinLimit(d.targets, since)
		expectServed(answered, d.targets)
	})

	// Guards against refusals for as long as one target has a limit.
	It("have their keys reassigned to targets with capacity", func() {
		d := startDeployment()
		request := func(i, n int) int { return d.book(i, fmt.Sprint("key", n%bookingKeys), fmt.Sprint("limit-", n)).status }
		overload(d, 2*time.Second, request)
		d.targets[d.ownerOf("key1")].setLimit(perSecond)
		overload(d, 4*time.Second, request)
		var sent atomic.Int64
		answered := overload(d, 2*time.Second, func(i, n int) int {
			sent.Add(1)
			return request(i, n)
		})
		Expect(float64(answered)).To(BeNumerically(">", 0.95*float64(sent.Load())))
	})

	// Guards against a limit that stays in force after its end.
	It("get all requests again when they report no limit any more", func() {
		d := startDeployment()
		limitAll(d.targets)
		request := func(i, n int) int { return d.book(i, fmt.Sprint("key", n%bookingKeys), fmt.Sprint("limit-", n)).status }
		overload(d, standin.LimitTolerance, request)
		for _, target := range d.targets {
			target.setLimit(0)
		}
		overload(d, 2*time.Second, request)
		Expect(overload(d, time.Second, request)).To(BeNumerically(">", 100))
	})
})
