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

	It("is the same for a request that comes again at another instance, with another id", func() {
		again := request("GET", "/a?b=1", "10.0.0.1:2000")
		again.Host = "10.9.0.2:8080"
		again.Header.Set("Request-Id", "other")
		Expect(quarantine.IdentifyRequest(again, []byte("body"))).To(Equal(first))
	})

	It("tells callers of the same apart", func() {
		other := quarantine.IdentifyRequest(request("GET", "/a?b=1", "10.0.0.2:1000"), []byte("body"))
		Expect(other.Fingerprint).To(Equal(first.Fingerprint))
		Expect(other.Caller).NotTo(Equal(first.Caller))
	})

	DescribeTable("differs where the request does", func(r *http.Request, body string) {
		Expect(quarantine.IdentifyRequest(r, []byte(body)).Fingerprint).NotTo(Equal(first.Fingerprint))
	},
		Entry("method", request("PUT", "/a?b=1", "10.0.0.1:1000"), "body"),
		Entry("path", request("GET", "/b?b=1", "10.0.0.1:1000"), "body"),
		Entry("query", request("GET", "/a?b=2", "10.0.0.1:1000"), "body"),
		Entry("body", request("GET", "/a?b=1", "10.0.0.1:1000"), "other"),
		Entry("no body", request("GET", "/a?b=1", "10.0.0.1:1000"), ""),
	)
})

// wallClock tells a time of day that tests set.
type wallClock struct{ now time.Time }

func (c *wallClock) Now() time.Time { return c.now }

func (c *wallClock) pass(d time.Duration) { c.now = c.now.Add(d) }

func newClock() *wallClock { return &wallClock{now: time.Unix(1_800_000_000, 0)} }

// by is a request of one caller's.
func by(caller uint64) quarantine.Identity {
	return quarantine.Identity{Fingerprint: 7, Caller: caller}
}

func quarantined(r *quarantine.Registry, id quarantine.Identity) bool {
	_, is := r.Quarantined(id)
	return is
}

var _ = Describe("a registry", func() {
	var (
		c *wallClock
		r *quarantine.Registry
	)
	BeforeEach(func() {
		c = newClock()
		r = quarantine.NewRegistry(c.Now)
	})

	It("quarantines a request under which two targets have ended, for its caller only", func() {
		Expect(r.RecordCrash(by(1), "t1")).To(BeFalse())
		c.pass(4 * time.Second)
		Expect(r.RecordCrash(by(1), "t2")).To(BeTrue())
		Expect(quarantined(r, by(1))).To(BeTrue())
		Expect(quarantined(r, by(2))).To(BeFalse())
		Expect(quarantined(r, quarantine.Identity{Fingerprint: 8, Caller: 1})).To(BeFalse())
	})

	It("counts a target that ends under two tries of a request once", func() {
		r.RecordCrash(by(1), "t1")
		Expect(r.RecordCrash(by(1), "t1")).To(BeFalse())
	})

	// A caller behind several gateways has another address each time.
	It("quarantines for all what crashed targets for two callers", func() {
		r.RecordCrash(by(1), "t1")
		Expect(r.RecordCrash(by(2), "t2")).To(BeTrue())
		Expect(quarantined(r, by(3))).To(BeTrue())
	})

	It("stays quarantined however many callers lose the last target at once (guards against the targets before it being forgotten)", func() {
		r.RecordCrash(by(1), "t1")
		c.pass(4 * time.Second)
		for caller := range uint64(9) {
			c.pass(time.Millisecond)
			r.RecordCrash(by(10+caller), "t2")
			Expect(quarantined(r, by(3))).To(BeTrue())
		}
		c.pass(4 * time.Second)
		for caller := range uint64(9) {
			r.RecordCrash(by(30+caller), "t3")
		}
		Expect(quarantined(r, by(3))).To(BeTrue())
		next := quarantine.NewRegistry(c.Now)
		next.Merge(r.Unreported())
		Expect(quarantined(next, by(3))).To(BeTrue())
	})

	// Symptom: what many callers ask for all the time is refused. Sequence: two targets end for some
	// other reason while they run it, and others go on to answer it.
	It("does not quarantine what was answered in between", func() {
		r.RecordCrash(by(1), "t1")
		c.pass(time.Second)
		r.RecordAnswer(by(1))
		Expect(r.RecordCrash(by(1), "t2")).To(BeFalse())
		r.RecordAnswer(by(3))
		Expect(r.RecordCrash(by(2), "t3")).To(BeFalse())
	})

	It("takes an answer to one caller for no answer to another", func() {
		r.RecordCrash(by(1), "t1")
		r.RecordAnswer(by(2))
		Expect(r.RecordCrash(by(1), "t2")).To(BeTrue())
		Expect(quarantined(r, by(2))).To(BeFalse())
	})

	It("takes an answer for later than a crash that was seen by a clock that is ahead", func() {
		ahead := &wallClock{now: c.now.Add(5 * time.Second)}
		other := quarantine.NewRegistry(ahead.Now)
		other.RecordCrash(by(1), "t1")
		r.Merge(other.Unreported())
		r.RecordAnswer(by(1))
		ahead.pass(time.Second)
		r.Merge(other.Unreported())
		Expect(r.RecordCrash(by(1), "t2")).To(BeFalse())
	})

	It("is told to operators, who may end it", func() {
		r.RecordCrash(by(1), "t1")
		Expect(r.List()).To(BeEmpty())
		Expect(r.Release(7)).To(BeFalse())
		r.RecordCrash(by(1), "t2")
		r.RecordCrash(by(2), "t3")
		list := r.List()
		Expect(list).To(HaveLen(1))
		Expect(list[0].Fingerprint).To(Equal(quarantine.Fingerprint(7)))
		Expect(list[0].Targets).To(Equal(3))
		Expect(list[0].Callers).To(Equal(2))
		Expect(quarantine.ParseFingerprint(list[0].Fingerprint.String())).To(Equal(quarantine.Fingerprint(7)))
		Expect(r.Release(7)).To(BeTrue())
		Expect(r.List()).To(BeEmpty())
		for caller := range uint64(4) {
			Expect(quarantined(r, by(caller))).To(BeFalse())
		}
		c.pass(time.Second)
		r.RecordCrash(by(1), "t4")
		Expect(r.RecordCrash(by(1), "t5")).To(BeTrue())
	})

	It("forgets in the end", func() {
		r.RecordCrash(by(1), "t1")
		c.pass(11 * time.Minute)
		Expect(r.RecordCrash(by(1), "t2")).To(BeFalse())
		Expect(r.RecordCrash(by(1), "t3")).To(BeTrue())
		c.pass(23 * time.Hour)
		Expect(quarantined(r, by(1))).To(BeTrue())
		c.pass(2 * time.Hour)
		Expect(quarantined(r, by(1))).To(BeFalse())
	})

	// Symptom: a request that crashes targets is let in again. Sequence: a data centre is lost, and
	// thousands of requests are noted that were running there.
	It("keeps what is quarantined when there is much else to be known", func() {
		r.RecordCrash(by(1), "t1")
		r.RecordCrash(by(1), "t2")
		for n := range 2000 {
			c.pass(time.Millisecond)
			r.RecordCrash(quarantine.Identity{Fingerprint: quarantine.Fingerprint(100 + n), Caller: 9}, "t3")
		}
		Expect(quarantined(r, by(1))).To(BeTrue())
		Expect(len(r.Unreported())).To(BeNumerically("<=", 256))
	})

	It("does not count again what was answered, however many others are answered too", func() {
		r.RecordCrash(by(1), "t1")
		r.RecordAnswer(by(1))
		for caller := uint64(10); caller < 60; caller++ {
			c.pass(time.Second)
			r.RecordCrash(by(caller), "t2")
			r.RecordAnswer(by(caller))
			r.RecordAnswer(by(caller + 100))
		}
		Expect(r.RecordCrash(by(1), "t3")).To(BeFalse())
	})

	// Symptom: the lease is lost. Sequence: so much is quarantined that the store does not take the row,
	// which is written along with the lease.
	It("fits the store whatever is quarantined", func() {
		for n := range uint64(1000) {
			for target := range uint64(4) {
				r.RecordCrash(quarantine.Identity{Fingerprint: quarantine.Fingerprint(1<<63 + n), Caller: 1<<63 + n}, fmt.Sprint("t", n, "-", target))
			}
		}
		text, err := r.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(text)).To(And(BeNumerically(">", 10_000), BeNumerically("<", 60_000)))
	})

	It("is what it was after all is lost but the row in the store", func() {
		r.RecordCrash(by(1), "t1")
		text, err := r.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(BeNil(), "one crash is no quarantine")
		r.RecordCrash(by(1), "t2")
		text, err = r.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		r.MarkStored(text)
		again, err := r.PendingWrite()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeNil(), "the store has it already")

		next := quarantine.NewRegistry(c.Now)
		Expect(next.LoadStored(text)).To(Succeed())
		Expect(quarantined(next, by(1))).To(BeTrue())
		Expect(next.LoadStored([]byte("{"))).NotTo(Succeed())
		Expect(quarantined(next, by(1))).To(BeTrue())
	})
})

// exchange lets one registry report to another that leads, and be told.
func exchange(from, leading *quarantine.Registry) {
	report := from.Unreported()
	since := from.Version()
	leading.Merge(report)
	from.MarkReported(report)
	from.Adopt(leading.UpdateSince(since))
}

var _ = Describe("registries of several instances", func() {
	c := newClock()
	var a, b, d *quarantine.Registry
	BeforeEach(func() {
		a, b, d = quarantine.NewRegistry(c.Now), quarantine.NewRegistry(c.Now), quarantine.NewRegistry(c.Now)
		a.StartLeading(1)
	})

	It("know together what each has seen in part", func() {
		b.RecordCrash(by(1), "t1")
		d.RecordCrash(by(1), "t2")
		exchange(b, a)
		exchange(d, a)
		exchange(b, a)
		for _, r := range []*quarantine.Registry{a, b, d} {
			Expect(quarantined(r, by(1))).To(BeTrue())
		}
		Expect(b.Unreported()).To(BeEmpty())
		Expect(d.Unreported()).To(BeEmpty())
	})

	// Symptom: a quarantined request is let in again. Sequence: the leading instance is lost before it
	// has told of a crash; one leads that has not heard of it.
	It("tell the next leading instance what it lacks", func() {
		b.RecordCrash(by(1), "t1")
		exchange(b, a)
		a = nil
		d.StartLeading(2)
		exchange(b, d)
		exchange(b, d)
		Expect(d.RecordCrash(by(1), "t2")).To(BeTrue())
	})

	It("go on to report what was on its way when something else was seen", func() {
		b.RecordCrash(by(1), "t1")
		report := b.Unreported()
		b.RecordCrash(by(1), "t2")
		a.Merge(report)
		b.MarkReported(report)
		exchange(b, a)
		Expect(quarantined(a, by(1))).To(BeTrue())
	})

	It("say nothing when there is nothing new", func() {
		b.RecordCrash(by(1), "t1")
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

// TestMerging checks that reports may come in any order and more than once.
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
				e.Answers = []quarantine.Answer{{Caller: 1, At: c.now.UnixMilli() + rapid.Int64Range(0, 3).Draw(t, "answer")}}
			}
			reports = append(reports, quarantine.Table{7: e})
		}
		first, second := quarantine.NewRegistry(c.Now), quarantine.NewRegistry(c.Now)
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
			if quarantined(first, by(caller)) != quarantined(second, by(caller)) {
				t.Fatalf("caller %d: %v and %v after %v", caller, first.Unreported(), second.Unreported(), reports)
			}
		}
	})
}
