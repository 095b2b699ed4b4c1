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
		Expect(f.up.requests).To(BeEmpty())
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
		Expect(f.up.requests).To(BeEmpty())
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
		Expect(f.up.requests).To(BeEmpty())
	})

	// The request has reached a target and may have been executed, so it must not get a 503.
	It("is not sent again once it is quarantined, and not refused as not executed", func() {
		f := newFixture()
		f.up.script = script{targetExits, respondOK}
		f.permits.beforeGrant = func() {
			if len(f.up.requests) > 0 {
				f.quarantine("/k/a")
			}
		}
		Expect(f.do("GET", "/k/a").Code).To(Equal(502))
		Expect(f.up.requests).To(HaveLen(1))
	})

	It("is not sent to a third target by one call, whatever the rule allows", func() {
		f := newFixture()
		f.up.script = script{targetExits, targetExits, respondOK}
		Expect(f.do("GET", "/k/a").Code).To(Equal(502))
		Expect(f.up.requests).To(HaveLen(2))
	})

	It("is accepted again after a single crash, which is reported to others", func() {
		f := newFixture()
		f.up.script = script{targetExits}
		Expect(f.do("POST", "/k/a").Code).To(Equal(502))
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(f.h.config.Quarantine.Unreported()).To(HaveLen(1))
	})

	It("is named to the keeper of slots after a single crash until it is answered (guards against many that crash a second target at once)", func() {
		f := newFixture()
		f.up.script = script{targetExits}
		f.do("POST", "/k/a")
		f.do("POST", "/k/b")
		f.do("POST", "/k/a")
		f.do("POST", "/k/a")
		Expect(f.permits.asks[0].Suspect).To(BeZero())
		Expect(f.permits.asks[1].Suspect).To(BeZero(), "another request")
		Expect(f.permits.asks[2].Suspect).NotTo(BeZero())
		Expect(f.permits.asks[3].Suspect).To(BeZero(), "it was answered")
	})

	It("is named to the keeper of slots with its next attempt", func() {
		f := newFixture()
		f.up.script = script{targetExits, respondOK}
		f.do("GET", "/k/a")
		Expect(f.permits.asks[1].Suspect).NotTo(BeZero())
	})

	// Guards against quarantining requests whose target exited for another reason: the next target
	// answers them, so they did not cause the crash.
	It("is not quarantined if another target has answered it", func() {
		f := newFixture()
		for range 3 {
			f.up.script = script{targetExits, respondOK}
			Expect(f.do("GET", "/k/a").Code).To(Equal(200))
		}
		Expect(f.h.config.Quarantine.Empty()).To(BeTrue())
	})

	It("is logged", func() {
		f := newFixture()
		f.up.script = script{targetExits}
		f.do("POST", "/k/a")
		Expect(f.logLines[0]).To(And(HavePrefix("target-ended"), ContainSubstring("/k/a"), ContainSubstring("k1")))
	})
})
