package quarantine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lycheehall.example/lycheehall/coordination/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quarantine")
}

func request(method, uri, from string) *http.Request {
	r := httptest.NewRequest(method, uri, nil)
	r.RemoteAddr = from
	return r
}

var _ = Describe("an identity", func() {
	first := quarantine.IdentifyRequest(request("GET", "/a?b=1", "10.0.0.1:1000"), []byte("body"))

	It("is the same for a request that is repeated through another instance, with another request ID", func() {
		again := request("GET", "/a?b=1", "10.0.0.1:2000")
		again.Host = "10.9.0.2:8080"
		again.Header.Set("Request-Id", "other")
		Expect(quarantine.IdentifyRequest(again, []byte("body"))).To(Equal(first))
	})

	It("distinguishes callers of the same request", func() {
		other := quarantine.IdentifyRequest(request("GET", "/a?b=1", "10.0.0.2:1000"), []byte("body"))
		Expect(other.Fingerprint).To(Equal(first.Fingerprint))
		Expect(other.Caller).NotTo(Equal(first.Caller))
	})

	DescribeTable("has another fingerprint if the request differs", func(r *http.Request, body string) {
		Expect(quarantine.IdentifyRequest(r, []byte(body)).Fingerprint).NotTo(Equal(first.Fingerprint))
	},
		Entry("method", request("PUT", "/a?b=1", "10.0.0.1:1000"), "body"),
		Entry("path", request("GET", "/b?b=1", "10.0.0.1:1000"), "body"),
		Entry("query", request("GET", "/a?b=2", "10.0.0.1:1000"), "body"),
		Entry("body", request("GET", "/a?b=1", "10.0.0.1:1000"), "other"),
		Entry("no body", request("GET", "/a?b=1", "10.0.0.1:1000"), ""),
	)
})

// wallClock is a manually driven time of day.
type wallClock struct{ now time.Time }

func (c *wallClock) Now() time.Time { return c.now }

func (c *wallClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newClock() *wallClock { return &wallClock{now: time.Unix(1_800_000_000, 0)} }

// requestBy returns the identity of a test request of a caller.
func requestBy(caller uint64) quarantine.Identity {
	return quarantine.Identity{Fingerprint: 7, Caller: caller}
}

func quarantined(tr *quarantine.Tracker, id quarantine.Identity) bool {
	_, is := tr.Quarantined(id)
	return is
}

var _ = Describe("a tracker", func() {
	var (
		c  *wallClock
		tr *quarantine.Tracker
	)
	BeforeEach(func() {
		c = newClock()
		tr = quarantine.NewTracker(c.Now)
	})

	It("quarantines a request during which two targets have crashed, for its caller only", func() {
		Expect(tr.RecordCrash(requestBy(1), "t1")).To(BeFalse())
		c.advance(4 * time.Second)
		Expect(tr.RecordCrash(requestBy(1), "t2")).To(BeTrue())
		Expect(quarantined(tr, requestBy(1))).To(BeTrue())
		Expect(quarantined(tr, requestBy(2))).To(BeFalse())
		Expect(quarantined(tr, quarantine.Identity{Fingerprint: 8, Caller: 1})).To(BeFalse())
	})

	It("counts a target that crashes during two attempts of a request once", func() {
		tr.RecordCrash(requestBy(1), "t1")
		Expect(tr.RecordCrash(requestBy(1), "t1")).To(BeFalse())
	})

	// A caller behind several gateways has another address each time.
	It("quarantines for all callers a request that has crashed targets for two callers", func() {
		tr.RecordCrash(requestBy(1), "t1")
		Expect(tr.RecordCrash(requestBy(2), "t2")).To(BeTrue())
		Expect(quarantined(tr, requestBy(3))).To(BeTrue())
	})

	It("keeps a quarantine however many callers lose the last target at once (guards against forgetting previous targets)", func() {
		tr.RecordCrash(requestBy(1), "t1")
		c.advance(4 * time.Second)
		for caller := range uint64(9) {
			c.advance(time.Millisecond)
			tr.RecordCrash(requestBy(10+caller), "t2")
			Expect(quarantined(tr, requestBy(3))).To(BeTrue())
		}
		c.advance(4 * time.Second)
		for caller := range uint64(9) {
			tr.RecordCrash(requestBy(30+caller), "t3")
		}
		Expect(quarantined(tr, requestBy(3))).To(BeTrue())
		next := quarantine.NewTracker(c.Now)
		next.Merge(tr.Unreported())
		Expect(quarantined(next, requestBy(3))).To(BeTrue())
	})

	// Guards against refusing a common request because two targets exited for some other reason
	// while they ran it, although other targets continue to respond to it.
	It("does not quarantine a request that was answered between crashes", func() {
		tr.RecordCrash(requestBy(1), "t1")
		c.advance(time.Second)
		tr.RecordResponse(requestBy(1))
		Expect(tr.RecordCrash(requestBy(1), "t2")).To(BeFalse())
		tr.RecordResponse(requestBy(3))
		Expect(tr.RecordCrash(requestBy(2), "t3")).To(BeFalse())
	})

	It("does not count a response to one caller as a response to another", func() {
		tr.RecordCrash(requestBy(1), "t1")
		tr.RecordResponse(requestBy(2))
		Expect(tr.RecordCrash(requestBy(1), "t2")).To(BeTrue())
		Expect(quarantined(tr, requestBy(2))).To(BeFalse())
	})

	It("treats a response as later than a crash that was recorded by a clock that is ahead", func() {
		ahead := &wallClock{now: c.now.Add(5 * time.Second)}
		other := quarantine.NewTracker(ahead.Now)
		other.RecordCrash(requestBy(1), "t1")
		tr.Merge(other.Unreported())
		tr.RecordResponse(requestBy(1))
		ahead.advance(time.Second)
		tr.Merge(other.Unreported())
		Expect(tr.RecordCrash(requestBy(1), "t2")).To(BeFalse())
	})

	It("lists quarantined requests and releases them", func() {
		tr.RecordCrash(requestBy(1), "t1")
		Expect(tr.List()).To(BeEmpty())
		Expect(tr.Release(7)).To(BeFalse())
		tr.RecordCrash(requestBy(1), "t2")
		tr.RecordCrash(requestBy(2), "t3")
		list := tr.List()
		Expect(list).To(HaveLen(1))
		Expect(list[0].Fingerprint).To(Equal(quarantine.Fingerprint(7)))
		Expect(list[0].Targets).To(Equal(3))
		Expect(list[0].Callers).To(Equal(2))
		Expect(quarantine.ParseFingerprint(list[0].Fingerprint.String())).To(Equal(quarantine.Fingerprint(7)))
		Expect(tr.Release(7)).To(BeTrue())
		Expect(tr.List()).To(BeEmpty())
		for caller := range uint64(4) {
			Expect(quarantined(tr, requestBy(caller))).To(BeFalse())
		}
		c.advance(time.Second)
		tr.RecordCrash(requestBy(1), "t4")
		Expect(tr.RecordCrash(requestBy(1), "t5")).To(BeTrue())
	})

	It("forgets crashes and quarantines after their time", func() {
		tr.RecordCrash(requestBy(1), "t1")
		c.advance(11 * time.Minute)
		Expect(tr.RecordCrash(requestBy(1), "t2")).To(BeFalse())
		Expect(tr.RecordCrash(requestBy(1), "t3")).To(BeTrue())
		c.advance(23 * time.Hour)
		Expect(quarantined(tr, requestBy(1))).To(BeTrue())
		c.advance(2 * time.Hour)
		Expect(quarantined(tr, requestBy(1))).To(BeFalse())
	})

	// Guards against losing a quarantine when all targets of a data centre exit, and crashes are
	// recorded for the thousands of requests that were running there.
	It("keeps quarantined requests when many other crashes are recorded", func() {
		tr.RecordCrash(requestBy(1), "t1")
		tr.RecordCrash(requestBy(1), "t2")
		for n := range 2000 {
			c.advance(time.Millisecond)
			tr.RecordCrash(quarantine.Identity{Fingerprint: quarantine.Fingerprint(100 + n), Caller: 9}, "t3")
		}
		Expect(quarantined(tr, requestBy(1))).To(BeTrue())
		Expect(len(tr.Unreported())).To(BeNumerically("<=", 256))
	})

	It("keeps the response to a caller however many other callers get responses", func() {
		tr.RecordCrash(requestBy(1), "t1")
		tr.RecordResponse(requestBy(1))
		for caller := uint64(10); caller < 60; caller++ {
			c.advance(time.Second)
			tr.RecordCrash(requestBy(caller), "t2")
			tr.RecordResponse(requestBy(caller))
			tr.RecordResponse(requestBy(caller + 100))
		}
		Expect(tr.RecordCrash(requestBy(1), "t3")).To(BeFalse())
	})

	// Guards against losing the lease: the row is written together with it, so the store must not
	// refuse the row when much is quarantined.
	It("stays within the size that the store accepts", func() {
		for n := range uint64(1000) {
			for target := range uint64(4) {
				tr.RecordCrash(quarantine.Identity{Fingerprint: quarantine.Fingerprint(1<<63 + n), Caller: 1<<63 + n}, fmt.Sprint("t", n, "-", target))
			}
		}
		text, err := tr.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(text)).To(And(BeNumerically(">", 10_000), BeNumerically("<", 60_000)))
	})

	It("loads quarantined requests from the row in the store", func() {
		tr.RecordCrash(requestBy(1), "t1")
		text, err := tr.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(BeNil(), "one crash does not quarantine a request")
		tr.RecordCrash(requestBy(1), "t2")
		text, err = tr.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		tr.MarkStored(text)
		again, err := tr.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeNil(), "the row is up to date")

		next := quarantine.NewTracker(c.Now)
		Expect(next.LoadStored(text)).To(Succeed())
		Expect(quarantined(next, requestBy(1))).To(BeTrue())
		Expect(next.LoadStored([]byte("{"))).NotTo(Succeed())
		Expect(quarantined(next, requestBy(1))).To(BeTrue())
	})
})

// exchange sends a follower's report to the leader and adopts the leader's table.
func exchange(follower, leader *quarantine.Tracker) {
	report := follower.Unreported()
	since := follower.Version()
	leader.Merge(report)
	follower.MarkReported(report)
	follower.Adopt(leader.UpdateSince(since))
}

var _ = Describe("trackers of several instances", func() {
	c := newClock()
	var a, b, d *quarantine.Tracker
	BeforeEach(func() {
		a, b, d = quarantine.NewTracker(c.Now), quarantine.NewTracker(c.Now), quarantine.NewTracker(c.Now)
		a.StartLeading(1)
	})

	It("combine what each has seen in part", func() {
		b.RecordCrash(requestBy(1), "t1")
		d.RecordCrash(requestBy(1), "t2")
		exchange(b, a)
		exchange(d, a)
		exchange(b, a)
		for _, tr := range []*quarantine.Tracker{a, b, d} {
			Expect(quarantined(tr, requestBy(1))).To(BeTrue())
		}
		Expect(b.Unreported()).To(BeEmpty())
		Expect(d.Unreported()).To(BeEmpty())
	})

	// Guards against losing a crash when the leader is lost before it has distributed it, and the
	// next leader has not received it.
	It("report to the next leader what it lacks", func() {
		b.RecordCrash(requestBy(1), "t1")
		exchange(b, a)
		a = nil
		d.StartLeading(2)
		exchange(b, d)
		exchange(b, d)
		Expect(d.RecordCrash(requestBy(1), "t2")).To(BeTrue())
	})

	It("keep reporting a crash that was recorded while a report was in progress", func() {
		b.RecordCrash(requestBy(1), "t1")
		report := b.Unreported()
		b.RecordCrash(requestBy(1), "t2")
		a.Merge(report)
		b.MarkReported(report)
		exchange(b, a)
		Expect(quarantined(a, requestBy(1))).To(BeTrue())
	})

	It("send no update when nothing has changed", func() {
		b.RecordCrash(requestBy(1), "t1")
		exchange(b, a)
		exchange(b, a)
		version := a.Version()
		exchange(b, a)
		a.Merge(quarantine.Table{})
		Expect(a.Version()).To(Equal(version))
		table, _ := a.UpdateSince(version)
		Expect(table).To(BeNil())
	})
})

// TestMerging checks that reports may arrive in any order and more than once.
func TestMerging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		var reports []quarantine.Table
		for range rapid.IntRange(1, 4).Draw(t, "reports") {
			e := quarantine.Entry{}
			for range rapid.IntRange(0, 3).Draw(t, "crashes") {
				e.Crashes = append(e.Crashes, quarantine.Crash{
					Target: rapid.Uint64Range(1, 4).Draw(t, "target"), Caller: rapid.Uint64Range(1, 2).Draw(t, "caller"),
					At: c.now.UnixMilli() + rapid.Int64Range(0, 3).Draw(t, "at"),
				})
			}
			if rapid.Bool().Draw(t, "answered") {
				e.Answers = []quarantine.Response{{Caller: 1, At: c.now.UnixMilli() + rapid.Int64Range(0, 3).Draw(t, "answer")}}
			}
			reports = append(reports, quarantine.Table{7: e})
		}
		first, second := quarantine.NewTracker(c.Now), quarantine.NewTracker(c.Now)
		for _, report := range reports {
			first.Merge(report)
		}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, len(reports)-1), 0, 6).Draw(t, "order") {
			second.Merge(reports[n])
		}
		for n := len(reports) - 1; n >= 0; n-- {
			second.Merge(reports[n])
		}
		for caller := range uint64(3) {
			if quarantined(first, requestBy(caller)) != quarantined(second, requestBy(caller)) {
				t.Fatalf("caller %d: %v and %v after %v", caller, first.Unreported(), second.Unreported(), reports)
			}
		}
	})
}
