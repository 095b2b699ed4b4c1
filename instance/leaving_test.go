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

// leavingNoticeTime is how long after an instance has passed on an answer with the leaving header
// that instance may still send requests to the target.
const leavingNoticeTime = 2 * time.Second

// announceLeaving makes a target announce in its answers that it leaves.
func (c *child) announceLeaving() {
	GinkgoHelper()
	resp, err := http.Post("http://"+c.address+"/standin/leave", "", nil)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

// passesOnLeaving reports whether an instance passes on an answer for a key with the leaving
// header.
func (d *deployment) passesOnLeaving(instance int, key string) bool {
	resp, err := caller.Post("http://"+d.instances[instance].address+"/bookings/"+key, "text/plain", nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Header.Get(platform.Headers().Leaving) != ""
}

var _ = Describe("a target that announces that it leaves", func() {
	// Guards against requests to a leaving target for as long as the store is unavailable. The
	// store stops; the target can announce in its answers that it leaves, but not in the registry,
	// and instances pass these answers on. Only the registry was evaluated; the header of an answer
	// went to the caller and no further. The target got requests at the same rate before and after
	// its first such answer, with keys and without, from all instances, until the store was back.
	It("gets no requests from an instance 2 s after its announcement, while the store is unavailable", func() {
		d := startDeployment()
		leaving := d.ownerOf("key1")
		d.platform.signal(syscall.SIGSTOP)
		DeferCleanup(d.platform.signal, syscall.SIGCONT)
		d.targets[leaving].announceLeaving()
		for i := range d.instances {
			Eventually(func() bool { return d.passesOnLeaving(i, "key1") }, "2s", "20ms").Should(BeTrue())
		}
		time.Sleep(leavingNoticeTime)
		for n := range 30 {
			begun := time.Now()
			b := d.book(n%len(d.instances), "key1", fmt.Sprint("late-", n))
			Expect(b.target).NotTo(Equal(leaving))
			Expect(b.outcome).To(Equal(notRun))
			Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond), "its keys cannot be reassigned")
		}
		for _, r := range d.targets[leaving].runs() {
			Expect(r.Body).NotTo(HavePrefix("late-"))
		}
	})

	// Guards against keys of a leaving target that no target serves. The store is available and the
	// target cannot reach the registry. Instances stop sending to the target by its answers, but
	// the leader went by the registry alone.
	It("has its keys reassigned although the registry does not list it as draining", func() {
		d := startDeployment()
		leaving := d.ownerOf("key1")
		d.targets[leaving].announceLeaving()
		Eventually(func() string { return d.book(0, "key1", "after-announcement").target }, "4s", "50ms").ShouldNot(BeElementOf("", leaving))
	})
})
