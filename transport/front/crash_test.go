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

// ends is a try during which the target's process ends.
var ends = fails(fmt.Errorf("%w: %w: EOF", upstream.ErrTargetExited, upstream.ErrOutcomeUnknown))

// learn makes the instance learn from others that two targets have ended under a look-up.
func (f *fixture) learn(path string) {
	id := quarantine.IdentifyRequest(httptest.NewRequest("GET", path, nil), nil)
	f.h.config.Quarantine.RecordCrash(id, "other-1")
	f.h.config.Quarantine.RecordCrash(id, "other-2")
}

// A request that crashes targets must reach none by any way that a request can take to one.
var _ = Describe("a request under which targets have ended", func() {
	It("reaches no target, and its caller is told that it did not run", func() {
		f := newFixture()
		f.learn("/k/a")
		w := f.do("GET", "/k/a")
		Expect(w.Code).To(Equal(503))
		Expect(w.Body.String()).To(Equal("quarantined\n"))
		Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.up.tries).To(BeEmpty())
	})

	It("leaves others alone: another path, another body, another caller", func() {
		f := newFixture()
		f.learn("/k/a")
		Expect(f.do("GET", "/k/b").Code).To(Equal(200))
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		r := httptest.NewRequest("GET", "/k/a", nil)
		r.RemoteAddr = "10.0.0.9:5"
		w := httptest.NewRecorder()
		f.h.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(200))
	})

	It("reaches none either that waited for a slot meanwhile, and gives the slot back", func() {
		f := newFixture()
		f.permits.before = func() { f.learn("/k/a") }
		Expect(f.do("GET", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(BeEmpty())
		Expect(f.permits.reports).To(HaveLen(1))
	})

	It("reaches none either that waited for its key meanwhile", func() {
		f := newFixture()
		f.own("k1", "k2", false)
		time.AfterFunc(30*time.Millisecond, func() {
			f.learn("/k/a")
			f.own("k1", "", false)
		})
		Expect(f.do("GET", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(BeEmpty())
	})

	// One that has reached a target may have run: nobody is told otherwise.
	It("is not sent again once it is known, and not said not to have run", func() {
		f := newFixture()
		f.up.next = play{ends, ok}
		f.permits.before = func() {
			if len(f.up.tries) > 0 {
				f.learn("/k/a")
			}
		}
		Expect(f.do("GET", "/k/a").Code).To(Equal(502))
		Expect(f.up.tries).To(HaveLen(1))
	})

	It("is not sent to a third target by one call, whatever its rule allows", func() {
		f := newFixture()
		f.up.next = play{ends, ends, ok}
		Expect(f.do("GET", "/k/a").Code).To(Equal(502))
		Expect(f.up.tries).To(HaveLen(2))
	})

	It("is let in again after a single one, of which others are told", func() {
		f := newFixture()
		f.up.next = play{ends}
		Expect(f.do("POST", "/k/a").Code).To(Equal(502))
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(f.h.config.Quarantine.Unreported()).To(HaveLen(1))
	})

	It("is told to the keeper of slots after a single one, until it is answered (guards against many that end a second target at once)", func() {
		f := newFixture()
		f.up.next = play{ends}
		f.do("POST", "/k/a")
		f.do("POST", "/k/b")
		f.do("POST", "/k/a")
		f.do("POST", "/k/a")
		Expect(f.permits.asks[0].Suspect).To(BeZero())
		Expect(f.permits.asks[1].Suspect).To(BeZero(), "another request")
		Expect(f.permits.asks[2].Suspect).NotTo(BeZero())
		Expect(f.permits.asks[3].Suspect).To(BeZero(), "it was answered")
	})

	It("is told to the keeper of slots with its next try", func() {
		f := newFixture()
		f.up.next = play{ends, ok}
		f.do("GET", "/k/a")
		Expect(f.permits.asks[1].Suspect).NotTo(BeZero())
	})

	// Symptom: callers are refused whose targets happened to end. Sequence: a target ends with their
	// request; the next one answers it. Cause: each crash counted, whatever became of the request.
	It("is not one that another target has answered", func() {
		f := newFixture()
		for range 3 {
			f.up.next = play{ends, ok}
			Expect(f.do("GET", "/k/a").Code).To(Equal(200))
		}
		Expect(f.h.config.Quarantine.Empty()).To(BeTrue())
	})

	It("is told in the log", func() {
		f := newFixture()
		f.up.next = play{ends}
		f.do("POST", "/k/a")
		Expect(f.lines[0]).To(And(HavePrefix("target-ended"), ContainSubstring("/k/a"), ContainSubstring("k1")))
	})
})
