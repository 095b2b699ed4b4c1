package front

import (
	"fmt"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/transport/upstream"
)

// targetExits is an attempt during which the target's process exits.
var targetExits = failWith(fmt.Errorf("%w: %w: EOF", upstream.ErrTargetExited, upstream.ErrOutcomeUnknown))

// quarantine makes the instance learn from others that a GET of the path has crashed two targets.
func (f *fixture) quarantine(path string) {
	id := quarantine.IdentifyRequest(httptest.NewRequest("GET", path, nil), nil)
	f.h.config.Quarantine.RecordCrash(id, "other-1")
	f.h.config.Quarantine.RecordCrash(id, "other-2")
}

// A request that crashes targets must not reach a target on any of the paths to one.
var _ = Describe("a request that has crashed targets", func() {
	It("reaches no target, and is refused as not executed", func() {
		f := newFixture()
		f.quarantine("/k/a")
		w := f.do("GET", "/k/a")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(Equal("quarantined\n"))
		Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.upstream.requests).To(BeEmpty())
	})

	It("does not affect requests with another path, body or caller", func() {
		f := newFixture()
		f.quarantine("/k/a")
		Expect(f.do("GET", "/k/b").Code).To(Equal(200))
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		r := httptest.NewRequest("GET", "/k/a", nil)
		r.RemoteAddr = "10.0.0.9:5"
		w := httptest.NewRecorder()
		f.h.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(200))
	})

	It("reaches no target either if it is quarantined while it waits for a slot, and releases the slot", func() {
		f := newFixture()
		f.permits.beforeGrant = func() { f.quarantine("/k/a") }
		Expect(f.do("GET", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(BeEmpty())
		Expect(f.permits.reports).To(HaveLen(1))
	})

	It("reaches no target either if it is quarantined while it waits for its key", func() {
		f := newFixture()
		f.setOwner("k1", "k2", false)
		time.AfterFunc(30*time.Millisecond, func() {
			f.quarantine("/k/a")
			f.setOwner("k1", "", false)
		})
		Expect(f.do("GET", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(BeEmpty())
	})

	// The request has reached a target and may have been executed, so it must not get a 503.
	It("gets 502 and no further attempt once it is quarantined", func() {
		f := newFixture()
		f.upstream.script = script{targetExits, respondOK}
		f.permits.beforeGrant = func() {
			if len(f.upstream.requests) > 0 {
				f.quarantine("/k/a")
			}
		}
		Expect(f.do("GET", "/k/a").Code).To(Equal(502))
		Expect(f.upstream.requests).To(HaveLen(1))
	})

	It("is not sent to a third target by one call, whatever the rule allows", func() {
		f := newFixture()
		f.upstream.script = script{targetExits, targetExits, respondOK}
		Expect(f.do("GET", "/k/a").Code).To(Equal(502))
		Expect(f.upstream.requests).To(HaveLen(2))
	})

	It("is accepted again after a single crash, which is reported to others", func() {
		f := newFixture()
		f.upstream.script = script{targetExits}
		Expect(f.do("POST", "/k/a").Code).To(Equal(502))
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(f.h.config.Quarantine.Unreported()).To(HaveLen(1))
	})

	// Guards against many copies of the request that crash a second target at once.
	It("is marked as suspect in permit requests after a single crash, until it gets a response", func() {
		f := newFixture()
		f.upstream.script = script{targetExits}
		f.do("POST", "/k/a")
		f.do("POST", "/k/b")
		f.do("POST", "/k/a")
		f.do("POST", "/k/a")
		Expect(f.permits.asks[0].Suspect).To(BeZero())
		Expect(f.permits.asks[1].Suspect).To(BeZero(), "another request")
		Expect(f.permits.asks[2].Suspect).NotTo(BeZero())
		Expect(f.permits.asks[3].Suspect).To(BeZero(), "it got a response")
	})

	It("is marked as suspect in the permit request of its next attempt", func() {
		f := newFixture()
		f.upstream.script = script{targetExits, respondOK}
		f.do("GET", "/k/a")
		Expect(f.permits.asks[1].Suspect).NotTo(BeZero())
	})

	// Guards against quarantining requests whose target exited for another reason: the next target
	// responds to them, so they did not cause the crash.
	It("is not quarantined if another target has responded to it", func() {
		f := newFixture()
		for range 3 {
			f.upstream.script = script{targetExits, respondOK}
			Expect(f.do("GET", "/k/a").Code).To(Equal(200))
		}
		Expect(f.h.config.Quarantine.Empty()).To(BeTrue())
	})

	It("is logged", func() {
		f := newFixture()
		f.upstream.script = script{targetExits}
		f.do("POST", "/k/a")
		Expect(f.logLines[0]).To(And(HavePrefix("target-ended"), ContainSubstring("/k/a"), ContainSubstring("k1")))
	})
})
