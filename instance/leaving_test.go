package instance_test

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/platform"
)

// leavingDelay is how long after an instance has forwarded a response with the leaving header that
// instance may still send requests to the target.
const leavingDelay = 2 * time.Second

// setLeaving makes a target report in its responses that it is leaving.
func (c *child) setLeaving() {
	GinkgoHelper()
	resp, err := http.Post("http://"+c.address+"/standin/leave", "", nil)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

// forwardsLeaving reports whether an instance forwards a response for a key with the leaving header.
func (d *deployment) forwardsLeaving(instance int, key string) bool {
	resp, err := caller.Post("http://"+d.instances[instance].address+"/bookings/"+key, "text/plain", nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Header.Get(platform.Headers().Leaving) != ""
}

var _ = Describe("a target that reports that it is leaving", func() {
	// Guards against requests to a leaving target for as long as the store is unavailable: the target
	// can then report that it is leaving only in its responses, not in the registry.
	It("gets no requests from an instance 2 s after its report, while the store is unavailable", func() {
		d := startDeployment()
		leaving := d.ownerOf("key1")
		d.platform.signal(syscall.SIGSTOP)
		DeferCleanup(d.platform.signal, syscall.SIGCONT)
		d.targets[leaving].setLeaving()
		for i := range d.instances {
			Eventually(func() bool { return d.forwardsLeaving(i, "key1") }, "2s", "20ms").Should(BeTrue())
		}
		time.Sleep(leavingDelay)
		for n := range 30 {
			start := time.Now()
			b := d.book(n%len(d.instances), "key1", fmt.Sprint("late-", n))
			Expect(b.target).NotTo(Equal(leaving))
			Expect(b.outcome).To(Equal(notExecuted))
			Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond), "its keys cannot be reassigned")
		}
		for _, r := range d.targets[leaving].runs() {
			Expect(r.Body).NotTo(HavePrefix("late-"))
		}
	})

	// Guards against keys of a leaving target that no target serves. The store is available and the
	// target cannot reach the registry. Instances stop sending to the target because of its responses,
	// so the leader must not go by the registry alone.
	It("has its keys reassigned although the registry does not list it as draining", func() {
		d := startDeployment()
		leaving := d.ownerOf("key1")
		d.targets[leaving].setLeaving()
		Eventually(func() string { return d.book(0, "key1", "after-report").target }, "4s", "50ms").ShouldNot(BeElementOf("", leaving))
	})
})
