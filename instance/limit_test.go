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

// nameLimit makes a target name a limit in its answers, in requests a second; 0 ends that.
func (c *child) nameLimit(perSecond float64) {
	GinkgoHelper()
	resp, err := http.PostForm("http://"+c.address+"/standin/limit", url.Values{"per-second": {fmt.Sprint(perSecond)}})
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// mostWithin returns the largest number of requests that a target got within a time, after a moment.
func (c *child) mostWithin(window time.Duration, after time.Time) int {
	GinkgoHelper()
	var begun []int64
	for _, r := range c.runs() {
		if r.Begun > after.UnixNano() {
			begun = append(begun, r.Begun)
		}
	}
	slices.Sort(begun)
	most, first := 0, 0
	for i := range begun {
		for begun[i]-begun[first] > int64(window) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// press makes more requests than targets with a limit take, through all instances, for a time. It returns
// how many were answered well.
func press(d *deployment, length time.Duration, request func(instance int, n int) int) (answered int) {
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

var _ = Describe("targets that name a limit for all instances together", func() {
	const (
		perSecond = 2.0
		// counted is how long after LimitAfter requests are counted.
		counted = 6 * time.Second
	)

	limited := func(targets map[string]*child) (since time.Time) {
		GinkgoHelper()
		since = time.Now()
		for _, target := range targets {
			target.nameLimit(perSecond)
		}
		return since
	}

	expectWithin := func(targets map[string]*child, since time.Time) {
		GinkgoHelper()
		for id, target := range targets {
			Expect(float64(target.mostWithin(standin.LimitWindow, since.Add(standin.LimitGrace)))).To(BeNumerically("<=", standin.MaxRequestsInLimitWindow(perSecond)), id)
		}
	}

	// expectServed sees that what targets take is still served.
	expectServed := func(answered int, targets map[string]*child) {
		GinkgoHelper()
		taken := perSecond * float64(len(targets)) * (standin.LimitGrace + counted).Seconds()
		Expect(float64(answered)).To(BeNumerically(">", taken/2))
	}

	It("get no more than that with keys (guards against each instance counting for itself)", func() {
		d := startDeployment()
		since := limited(d.targets)
		answered := press(d, standin.LimitGrace+counted, func(i, n int) int {
			return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status
		})
		expectWithin(d.targets, since)
		expectServed(answered, d.targets)
	})

	It("get no more than that while an instance is lost (guards against a next keeper that starts anew)", func() {
		d := startDeployment()
		since := limited(d.targets)
		time.AfterFunc(standin.LimitGrace+time.Second, func() { _ = d.instances[1].cmd.Process.Signal(syscall.SIGKILL) })
		press(d, standin.LimitGrace+counted, func(i, n int) int {
			return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status
		})
		expectWithin(d.targets, since)
	})

	It("get no more than that without keys (guards against a limit that is kept by owners of keys only)", func() {
		d := &deployment{platform: startChild("platform"), targets: map[string]*child{}}
		_, err := rulestore.Apply(context.Background(), platform.NewStore(d.platform.address), 0, rulestore.Record{Text: examples.Rules})
		Expect(err).NotTo(HaveOccurred())
		for _, id := range []string{"p1", "p2"} {
			d.targets[id] = startChild("fragile target", id, d.platform.address)
		}
		f := &fragile{deployment: d}
		f.startInstances()
		since := limited(d.targets)
		answered := press(d, standin.LimitGrace+counted, func(i, n int) int { return f.dispatch(i, fmt.Sprint("/dispatch/job-", n)) })
		expectWithin(d.targets, since)
		expectServed(answered, d.targets)
	})

	It("have their keys given on where others have room (guards against callers refused for as long as one is in need)", func() {
		d := startDeployment()
		request := func(i, n int) int { return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status }
		press(d, 2*time.Second, request)
		d.targets[d.ownerOf("key1")].nameLimit(perSecond)
		press(d, 4*time.Second, request)
		var asked atomic.Int64
		answered := press(d, 2*time.Second, func(i, n int) int {
			asked.Add(1)
			return request(i, n)
		})
		Expect(float64(answered)).To(BeNumerically(">", 0.95*float64(asked.Load())))
	})

	It("get all that they take again when they name none (guards against a limit that outlives its end)", func() {
		d := startDeployment()
		limited(d.targets)
		request := func(i, n int) int { return d.book(i, fmt.Sprint("key", n%keyCount), fmt.Sprint("limit-", n)).status }
		press(d, standin.LimitGrace, request)
		for _, target := range d.targets {
			target.nameLimit(0)
		}
		press(d, 2*time.Second, request)
		Expect(press(d, time.Second, request)).To(BeNumerically(">", 100))
	})
})
