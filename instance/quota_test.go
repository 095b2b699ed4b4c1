package instance_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/instance"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/state/rulestore"
)

const (
	sharedPerSecond  = 30
	sharedConcurrent = 6
)

var sharedLimitRules = fmt.Sprintf(`
[[service]]
name = "desk"
[[rule]]
name = "rate"
when = { path = "/rate" }
then = { route = "desk", limit = { per_second = %d.0, burst = 15, scope = "all" } }
[[rule]]
name = "concurrent"
when = { path = "/concurrent" }
then = { route = "desk", limit = { concurrent = %d, scope = "all" } }
`, sharedPerSecond, sharedConcurrent)

// sharedFleet is three instances in this process, with one target.
type sharedFleet struct {
	instances []*instance.Instance
	client    *http.Client

	mu               sync.Mutex
	running, highest int
}

// count counts the concurrent requests at the target.
func (f *sharedFleet) count(change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running += change
	f.highest = max(f.highest, f.running)
}

func startSharedFleet() *sharedFleet {
	GinkgoHelper()
	f := &sharedFleet{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	store := standin.NewStore()
	t := standin.NewTarget("t1", "desk", false)
	t.Slots = 1000
	handler := t.Handler()
	address := serveLocal(GinkgoTB(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/concurrent" {
			f.count(1)
			defer f.count(-1)
			time.Sleep(100 * time.Millisecond)
		}
		handler.ServeHTTP(w, r)
	}))
	Expect(store.Put(platform.TargetTable, "t1", t.Entry(address, "dc1", false))).To(Succeed())
	storeAddress := serveLocal(GinkgoTB(), store.Handler())
	_, err := rulestore.Apply(context.Background(), platform.NewStore(storeAddress), 0, rulestore.Record{Text: sharedLimitRules})
	Expect(err).NotTo(HaveOccurred())
	for n := range 3 {
		s := settings.Default()
		s.Name, s.Platform = fmt.Sprint("i", n), storeAddress
		s.Listen, s.Peer, s.Admin, s.Readiness = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.OperatorToken = testSecret
		i, err := instance.New(s, platform.NewWithStoredRules(storeAddress), io.Discard)
		Expect(err).NotTo(HaveOccurred())
		i.Start()
		DeferCleanup(i.Close)
		f.instances = append(f.instances, i)
	}
	for n := range f.instances {
		Eventually(func() int { status, _ := f.get(n, "/rate"); return status }, "15s", "50ms").Should(Equal(http.StatusOK))
	}
	return f
}

// get sends a request through an instance, and returns the status and the Retry-After.
func (f *sharedFleet) get(n int, path string) (int, time.Duration) {
	callers, _ := f.instances[n].Addresses()
	resp, err := f.client.Get("http://" + callers + path)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// load sends requests with the given number of callers through each of the instances for a time, and
// returns when requests were answered with 200. It checks that all others are refused as the limit
// says.
func (f *sharedFleet) load(path string, length time.Duration, callers int, instances ...int) (admitted []time.Time) {
	var mu sync.Mutex
	var running sync.WaitGroup
	end := time.Now().Add(length)
	for _, n := range instances {
		for range callers {
			running.Go(func() {
				defer GinkgoRecover()
				for time.Now().Before(end) {
					status, retryAfter := f.get(n, path)
					if status == http.StatusOK {
						mu.Lock()
						admitted = append(admitted, time.Now())
						mu.Unlock()
						continue
					}
					Expect(status).To(Equal(http.StatusTooManyRequests))
					Expect(retryAfter).To(BeNumerically(">", 0))
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	running.Wait()
	return admitted
}

var _ = Describe("a limit on all instances together", func() {
	// Guards against a sum that grows with the number of instances, and against shares that do not
	// follow the requests.
	It("bounds the rate over three instances, nearly all of which one of them may use", func() {
		f := startSharedFleet()
		// The shares adapt to the requests within the first seconds.
		f.load("/rate", 2*time.Second, 4, 0, 1, 2)
		const length = 4 * time.Second
		all := len(f.load("/rate", length, 4, 0, 1, 2))
		Expect(all).To(BeNumerically("<=", 15+sharedPerSecond*int(length.Seconds())+1))
		Expect(all).To(BeNumerically(">=", sharedPerSecond*int(length.Seconds())*3/4))
		f.load("/rate", 7*time.Second, 8, 1)
		one := len(f.load("/rate", length, 8, 1))
		Expect(one).To(BeNumerically("<=", 15+sharedPerSecond*int(length.Seconds())+1))
		Expect(one).To(BeNumerically(">=", sharedPerSecond*int(length.Seconds())*8/10))
		_, operators := f.instances[1].Addresses()
		_, text := callAdmin(operators, "POST", "/v1/explain", `{"method":"GET","path":"/rate"}`, testSecret)
		Expect(text).To(MatchRegexp(`share of this one: 2[5-9][.0-9]* of 30 requests a second`))
		AddReportEntry("admitted a second by three and by one", []float64{float64(all) / length.Seconds(), float64(one) / length.Seconds()})
	})

	// Guards against refusals while a new leader does not know the shares of the former one, and against
	// shares of both that exceed the limit together.
	It("is in force without a gap when the leader crashes", func() {
		f := startSharedFleet()
		f.load("/rate", 2*time.Second, 4, 0, 1, 2)
		var others []int
		for n, i := range f.instances {
			_, operators := i.Addresses()
			_, text := callAdmin(operators, "GET", "/v1/status", "", testSecret)
			if strings.Contains(text, `"leading": true`) {
				i.Close()
			} else {
				others = append(others, n)
			}
		}
		Expect(others).To(HaveLen(2))
		const length = 12 * time.Second
		begun := time.Now()
		admitted := f.load("/rate", length, 4, others...)
		Expect(len(admitted)).To(BeNumerically("<=", 15+sharedPerSecond*int(length.Seconds())+1))
		slices.SortFunc(admitted, time.Time.Compare)
		longest := time.Duration(0)
		for n := 1; n < len(admitted); n++ {
			longest = max(longest, admitted[n].Sub(admitted[n-1]))
		}
		late := slices.IndexFunc(admitted, func(at time.Time) bool { return at.Sub(begun) > length-2*time.Second })
		Expect(late).To(BeNumerically(">=", 0))
		Expect(len(admitted)-late).To(BeNumerically(">=", sharedPerSecond*2*3/4), "the lost instance's share is in use again")
		Expect(longest).To(BeNumerically("<", time.Second))
		AddReportEntry("longest time without an admitted request, admitted in 12 s", fmt.Sprint(longest, ", ", len(admitted)))
	})

	// Guards against more concurrent requests at the targets than the limit says.
	It("bounds the concurrent requests over three instances, nearly all of which one of them may use", func() {
		f := startSharedFleet()
		f.load("/concurrent", 4*time.Second, 8, 0, 1, 2)
		f.load("/concurrent", 7*time.Second, 20, 2)
		f.mu.Lock()
		Expect(f.highest).To(BeNumerically("<=", sharedConcurrent))
		f.highest = 0
		f.mu.Unlock()
		one := len(f.load("/concurrent", 3*time.Second, 20, 2))
		f.mu.Lock()
		Expect(f.highest).To(BeNumerically("<=", sharedConcurrent))
		Expect(f.highest).To(BeNumerically(">=", sharedConcurrent-1))
		f.mu.Unlock()
		AddReportEntry("admitted a second by one", float64(one)/3)
	})
})
