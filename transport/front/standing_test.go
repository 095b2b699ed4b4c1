package front

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/transport/upstream"
)

// says is a try that is answered with a word of the target's.
func says(w upstream.TargetStatus) func(context.Context) (*upstream.Response, error) {
	return func(context.Context) (*upstream.Response, error) {
		return &upstream.Response{Status: 200, Header: http.Header{"Signed": {"yes"}}, Body: []byte("whole"), TargetStatus: w}, nil
	}
}

// pauses is a try that the target turns away, wanting nothing for a time.
func pauses(d time.Duration) func(context.Context) (*upstream.Response, error) {
	return fails(&upstream.NotExecutedError{Status: 503, TargetStatus: upstream.TargetStatus{Pause: d}})
}

// later makes time pass for what targets have said.
func (f *fixture) later(d time.Duration) { f.said.ahead += d }

// A target's word binds by every way that a request can take to it.
var _ = Describe("a target that has said that it leaves", func() {
	const drainTime = 2 * time.Second

	It("gets requests for its keys for a while, and none after that", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true})}
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		f.later(drainTime)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(HaveLen(2))
	})

	It("gets none that waited for a slot until then", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true})}
		f.do("POST", "/k/a")
		f.permits.before = func() { f.later(drainTime) }
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(HaveLen(1))
	})

	It("gets none that it has turned away before", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true}), shed}
		f.do("POST", "/k/a")
		f.permits.before = func() {
			if len(f.up.tries) == 2 {
				f.later(drainTime)
			}
		}
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(HaveLen(2))
	})

	It("gets none without a key from then on, where there are others", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true})}
		f.do("GET", "/p")
		f.do("GET", "/p")
		Expect(f.permits.asks[1].Exclude).To(ContainElement("p1"))
	})

	It("gets none without a key after a while, whoever hands out its slots", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true})}
		f.do("GET", "/p")
		f.later(drainTime)
		Expect(f.do("GET", "/p").Code).To(Equal(503))
		Expect(f.up.tries).To(HaveLen(1))
	})

	It("is remembered while the registry has lost it", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true})}
		f.do("POST", "/k/a")
		f.h.config.TargetStatus.Prune(func(string) bool { return false })
		f.later(drainTime)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
	})

	It("is told to the leading instance", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true})}
		f.do("POST", "/k/a")
		Expect(f.h.config.TargetStatus.Leaving(func(string) bool { return true })).To(ConsistOf("k1"))
	})

	// Its keys cannot be given on while the store is away: waiting for that is of no use.
	It("has requests for its keys refused at once when what is known is old", func() {
		f := newFixture()
		f.up.next = play{says(upstream.TargetStatus{Leaving: true})}
		f.do("POST", "/k/a")
		f.later(drainTime)
		time.Sleep(cannotMoveAfter)
		begun := time.Now()
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
	})
})

var _ = Describe("a target that wants nothing for a time", func() {
	It("gets nothing until then, and its callers are told when", func() {
		f := newFixture()
		f.up.next = play{pauses(3 * time.Second)}
		w := f.do("POST", "/k/a")
		Expect(w.Code).To(Equal(503))
		Expect(w.Header().Get("Retry-After")).To(MatchRegexp(`^(3\.0|2\.9)`))
		for range 3 {
			w = f.do("POST", "/k/a")
			Expect(w.Code).To(Equal(503))
			Expect(w.Header().Get("Retry-After")).To(MatchRegexp(`^(3\.0|2\.\d)`))
		}
		Expect(f.up.tries).To(HaveLen(1))
		f.later(3 * time.Second)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
	})

	It("is waited for when the time is short", func() {
		f := newFixture()
		f.up.next = play{pauses(100 * time.Millisecond)}
		begun := time.Now()
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(time.Since(begun)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	It("gets nothing that waited for a slot meanwhile", func() {
		f := newFixture()
		f.permits.before = func() { f.h.config.TargetStatus.RecordStatus("k1", false, 3*time.Second) }
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(BeEmpty())
		Expect(f.permits.reports[0].Result).To(Equal(permit.Dropped))
	})

	It("gets nothing without a key", func() {
		f := newFixture()
		f.up.next = play{pauses(3 * time.Second)}
		f.do("GET", "/p")
		Expect(f.permits.asks[len(f.permits.asks)-1].Exclude).To(ContainElement("p1"))
		Expect(f.do("GET", "/p").Code).To(Equal(503))
		Expect(f.up.tries).To(HaveLen(1))
	})
})

// Operators count from when they asked for it, whatever a request was doing then.
var _ = Describe("a target in an evacuated data centre", func() {
	const closed = 2100 * time.Millisecond
	evacuate := func(f *fixture) { f.board.SetEvacuations(2, []string{""}) }

	It("gets requests for its keys for a while, and none after that", func() {
		f := newFixture()
		evacuate(f)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		time.Sleep(closed)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.do("GET", "/p").Code).To(Equal(503))
		Expect(f.up.tries).To(HaveLen(1))
	})

	It("gets none that waited for a slot until then (guards against a permit of before)", func() {
		f := newFixture()
		f.permits.before = func() {
			evacuate(f)
			time.Sleep(closed)
		}
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.up.tries).To(BeEmpty())
	})

	It("gets requests again when it is taken back", func() {
		f := newFixture()
		evacuate(f)
		time.Sleep(closed)
		f.board.SetEvacuations(3, nil)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
	})
})

var _ = Describe("a target that names a limit for all instances together", func() {
	limit := says(upstream.TargetStatus{Known: true, Limit: 1.5})
	none := says(upstream.TargetStatus{Known: true})

	DescribeTable("has it told to the keeper of its slots, with its answer and with each ask until it names none", func(method, path, target string) {
		f := newFixture()
		f.up.next = play{limit, none}
		for range 3 {
			Expect(f.do(method, path).Code).To(Equal(200))
		}
		Expect(f.permits.asks[0].Limits).To(BeEmpty())
		Expect(f.permits.reports[0].Heard).To(BeTrue())
		Expect(f.permits.reports[0].Limit).To(Equal(1.5))
		Expect(f.permits.asks[1].Limits).To(ConsistOf(HaveField("Target", target)))
		Expect(f.permits.reports[1].Limit).To(BeZero())
		Expect(f.permits.asks[2].Limits).To(BeEmpty())
	},
		Entry("the owner of a key", "POST", "/k/a", "k1"),
		Entry("one without keys", "GET", "/p", "p1"),
	)

	It("has it told with a refusal too, and with the try after that", func() {
		f := newFixture()
		f.up.next = play{fails(&upstream.NotExecutedError{Status: 503, TargetStatus: upstream.TargetStatus{Known: true, Limit: 1.5}})}
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(f.permits.reports[0].Limit).To(Equal(1.5))
		Expect(f.permits.asks[1].Limits).To(HaveLen(1))
	})

	It("is not taken for one that names none when it did not answer", func() {
		f := newFixture()
		f.up.next = play{limit, broken}
		f.do("POST", "/k/a")
		f.do("POST", "/k/a")
		Expect(f.permits.reports[1].Heard).To(BeFalse())
		f.do("POST", "/k/a")
		Expect(f.permits.asks[2].Limits).To(HaveLen(1))
	})

	It("is told in the log once for each change", func() {
		f := newFixture()
		f.up.next = play{limit, limit, none}
		for range 3 {
			f.do("POST", "/k/a")
		}
		told := slices.DeleteFunc(f.lines, func(line string) bool { return !strings.HasPrefix(line, "target-limit") })
		Expect(told).To(HaveLen(2))
	})
})
