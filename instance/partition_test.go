package instance_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/soak"
)

// linkFault is a fault of all links of an instance to targets.
type linkFault string

const (
	// linksSound: connections work.
	linksSound linkFault = "sound"
	// linksHang: open connections go silent and new ones are not established.
	linksHang linkFault = "hang"
	// linksReset: open connections are reset and new ones refused.
	linksReset linkFault = "reset"
	// linksRefuse: open connections work and new ones are refused.
	linksRefuse linkFault = "refuse"
)

// targetLinks are the links of an instance to targets, with a proxy in front of each target. A target that
// has exited resets connections there instead of refusing them.
type targetLinks struct {
	mu      sync.Mutex
	fault   linkFault
	proxies map[string]*soak.Proxy
}

func newTargetLinks() *targetLinks {
	return &targetLinks{fault: linksSound, proxies: map[string]*soak.Proxy{}}
}

// proxy returns the proxy in front of an address, and the present fault.
func (l *targetLinks) proxy(address string) (*soak.Proxy, linkFault, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proxies[address] == nil {
		p, err := soak.NewProxy()
		if err != nil {
			return nil, l.fault, err
		}
		p.SetTarget(address)
		l.proxies[address] = p
	}
	return l.proxies[address], l.fault, nil
}

// dial is the instance's function for connections to targets.
func (l *targetLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	proxy, fault, err := l.proxy(address)
	if err != nil {
		return nil, err
	}
	switch fault {
	case linksHang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case linksReset, linksRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, proxy.Address())
}

// ServeHTTP sets the fault that the path names.
func (l *targetLinks) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = linkFault(strings.TrimPrefix(r.URL.Path, "/"))
	forOpen := map[linkFault]soak.ProxyFault{linksHang: soak.Stalled, linksReset: soak.Reset}[l.fault]
	if forOpen == "" {
		forOpen = soak.NoFault
	}
	for _, p := range l.proxies {
		p.SetFault(forOpen)
	}
}

// setLinks sets the fault of an instance's links to all targets.
func (c *child) setLinks(fault linkFault) {
	GinkgoHelper()
	resp, err := http.Post("http://"+c.linkControl+"/"+string(fault), "", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

const (
	// detectionTime is how long after a cut the instances may take until they serve as usual.
	detectionTime = 3 * time.Second
	// partitionTime is how long a partition lasts; longer than a hold of keys.
	partitionTime = 9 * time.Second
	// callersPerInstance is the number of callers of each instance, firstTriesPause the time between
	// two requests of a caller.
	callersPerInstance = 12
	firstTriesPause    = 100 * time.Millisecond
)

// firstTries are the results of callers that do not retry, by instance.
type firstTries struct {
	mu             sync.Mutex
	served, failed map[int]int
	outcomes       map[string]booking
}

// callWhile sends bookings to all instances while the function runs. Requests sent before from do not
// count.
func (d *deployment) callWhile(from time.Time, run func()) *firstTries {
	f := &firstTries{served: map[int]int{}, failed: map[int]int{}, outcomes: map[string]booking{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range callersPerInstance * len(d.instances) {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(firstTriesPause):
				}
				id, at := fmt.Sprintf("first-%d-%d", n, i), time.Now()
				instance := n % len(d.instances)
				b := d.book(instance, fmt.Sprint("key", (n*7+i)%bookingKeys), id)
				f.add(instance, id, b, at.After(from))
			}
		})
	}
	run()
	close(stop)
	callers.Wait()
	return f
}

func (f *firstTries) add(instance int, id string, b booking, counts bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[id] = b
	switch {
	case !counts:
	case b.outcome == answered:
		f.served[instance]++
	default:
		f.failed[instance]++
	}
}

// expectServed checks that at most 10 and a fiftieth of the first tries at an instance failed.
func (f *firstTries) expectServed(instance int) {
	GinkgoHelper()
	all := f.served[instance] + f.failed[instance]
	Expect(f.failed[instance]).To(BeNumerically("<=", 10+all/50), "first tries that failed at instance %d, of %d", instance+1, all)
	Expect(all).To(BeNumerically(">", 100), "too few requests to compare")
}

// expectOutcomes checks that no booking ran twice, and that outcomes are true.
func (d *deployment) expectOutcomes(f *firstTries) {
	GinkgoHelper()
	ran := map[string]int{}
	for _, target := range d.targets {
		for _, r := range target.runs() {
			ran[r.Body]++
		}
	}
	for id, b := range f.outcomes {
		Expect(ran[id]).To(BeNumerically("<=", 1), "booking %s ran more than once", id)
		if b.outcome == notExecuted {
			Expect(ran[id]).To(BeZero(), "booking %s was refused as not executed, and ran", id)
		}
	}
}

// expectServedWhileCut cuts the links of the chosen instance to all targets, and checks that the callers
// of all instances are served meanwhile and afterwards.
func expectServedWhileCut(fault linkFault, choose func(d *deployment) int) {
	GinkgoHelper()
	d := startDeploymentOf("instance with link faults")
	cut := d.instances[choose(d)]
	f := d.callWhile(time.Now().Add(detectionTime), func() {
		cut.setLinks(fault)
		time.Sleep(partitionTime)
		cut.setLinks(linksSound)
		time.Sleep(time.Second)
	})
	for i := range d.instances {
		f.expectServed(i)
	}
	d.expectOutcomes(f)
}

var _ = Describe("instances that are partitioned from all targets", func() {
	leader := func(d *deployment) int { return d.leader() }
	follower := func(d *deployment) int { return (d.leader() + 1) % len(d.instances) }

	// Guards against callers that are not served because their instance cannot connect to targets itself,
	// while the other instances can.
	DescribeTable("serve their callers through other instances",
		func(fault linkFault) { expectServedWhileCut(fault, follower) },
		Entry("while connections hang", linksHang),
		Entry("while connections are reset", linksReset),
		Entry("while only new connections are refused", linksRefuse),
	)

	// Guards against keys that nobody serves any more because the leader cannot renew the grants.
	DescribeTable("keep all keys served if the leader is one of them",
		func(fault linkFault) { expectServedWhileCut(fault, leader) },
		Entry("while connections hang", linksHang),
		Entry("while connections are reset", linksReset),
	)
})
