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

// drainTime is how long after an instance has passed on an answer that says that its target leaves a
// caller's request may still reach that target through it.
const drainTime = 2 * time.Second

// tellLeaving makes a target say in its answers that it leaves.
func (c *child) tellLeaving() {
	GinkgoHelper()
	resp, err := http.Post("http://"+c.address+"/standin/leave", "", nil)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

// saysLeaving reports whether an instance passes on an answer for a key that says that its target leaves.
func (d *deployment) saysLeaving(instance int, key string) bool {
	resp, err := caller.Post("http://"+d.instances[instance].address+"/bookings/"+key, "text/plain", nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Header.Get(platform.Headers().Leaving) != ""
}

var _ = Describe("a target that says that it leaves", func() {
	// Symptom: a target that has said that it leaves gets requests for as long as the store is away.
	// Sequence: the store stops; the target says so in its answers, since it cannot in the registry;
	// instances pass these answers on. Cause: only the registry was heeded; what a target said in an
	// answer went to the caller and no further. Evidence: requests to it at the same pace before and
	// after the first such answer, with keys and without, at all instances, until the store was back.
	It("gets nothing through an instance 2 s after it has told it so, while the store is away", func() {
		d := startDeployment()
		leaver := d.ownerOf("key1")
		d.platform.signal(syscall.SIGSTOP)
		DeferCleanup(d.platform.signal, syscall.SIGCONT)
		d.targets[leaver].tellLeaving()
		for i := range d.instances {
			Eventually(func() bool { return d.saysLeaving(i, "key1") }, "2s", "20ms").Should(BeTrue())
		}
		time.Sleep(drainTime)
		for n := range 30 {
			begun := time.Now()
			b := d.book(n%len(d.instances), "key1", fmt.Sprint("late-", n))
			Expect(b.target).NotTo(Equal(leaver))
			Expect(b.outcome).To(Equal(notRun))
			Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond), "nobody can give its keys on")
		}
		for _, r := range d.targets[leaver].runs() {
			Expect(r.Body).NotTo(HavePrefix("late-"))
		}
	})

	// Symptom: the keys of a target that leaves are served by nobody. Sequence: the store is well, and the
	// target cannot reach the registry; instances heed what it tells them. Cause: the leading instance
	// goes by the registry alone.
	It("has its keys given on by its word alone", func() {
		d := startDeployment()
		leaver := d.ownerOf("key1")
		d.targets[leaver].tellLeaving()
		Eventually(func() string { return d.book(0, "key1", "after-word").target }, "4s", "50ms").ShouldNot(BeElementOf("", leaver))
	})
})
