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

// respondWithStatus is an attempt whose response reports the given target status.
func respondWithStatus(status upstream.ReportedStatus) func(context.Context) (*upstream.Response, error) {
	return func(context.Context) (*upstream.Response, error) {
		return &upstream.Response{Status: 200, Header: http.Header{"Signed": {"yes"}}, Body: []byte("whole"), TargetStatus: status}, nil
	}
}

// refuseWithPause is an attempt that the target refuses, reporting a pause.
func refuseWithPause(d time.Duration) func(context.Context) (*upstream.Response, error) {
	return failWith(&upstream.NotExecutedError{Status: 503, TargetStatus: upstream.ReportedStatus{Pause: d}})
}

// advance moves the clock of the target status tracker forward.
func (f *fixture) advance(d time.Duration) { f.statusClock.offset += d }

// What a target reports about itself applies on all paths to the target.
var _ = Describe("a target that has reported that it is leaving", func() {
	const drainTime = 2 * time.Second

	It("gets requests for its keys until its drain time is over, and none after that", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true})}
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		f.advance(drainTime)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(HaveLen(2))
	})

	It("gets no request that waited for a slot until after its drain time", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true})}
		f.do("POST", "/k/a")
		f.permits.beforeGrant = func() { f.advance(drainTime) }
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(HaveLen(1))
	})

	It("gets no second attempt of a request that it refused, after its drain time", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true}), targetRefuses}
		f.do("POST", "/k/a")
		f.permits.beforeGrant = func() {
			if len(f.upstream.requests) == 2 {
				f.advance(drainTime)
			}
		}
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(HaveLen(2))
	})

	It("is excluded from requests without a key from then on", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true})}
		f.do("GET", "/p")
		f.do("GET", "/p")
		Expect(f.permits.asks[1].Exclude).To(ContainElement("p1"))
	})

	It("gets no request without a key after its drain time, even with a permit", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true})}
		f.do("GET", "/p")
		f.advance(drainTime)
		Expect(f.do("GET", "/p").Code).To(Equal(503))
		Expect(f.upstream.requests).To(HaveLen(1))
	})

	It("is remembered when it is no longer listed in the registry", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true})}
		f.do("POST", "/k/a")
		f.h.config.TargetStatus.Prune(func(string) bool { return false })
		f.advance(drainTime)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
	})

	It("is reported to the leader", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true})}
		f.do("POST", "/k/a")
		Expect(f.h.config.TargetStatus.Leaving(func(string) bool { return true })).To(ConsistOf("k1"))
	})

	// While the store is unavailable the target's keys cannot be reassigned, so that there is
	// nothing to wait for.
	It("has requests for its keys refused at once when the snapshot is stale", func() {
		f := newFixture()
		f.upstream.script = script{respondWithStatus(upstream.ReportedStatus{Leaving: true})}
		f.do("POST", "/k/a")
		f.advance(drainTime)
		time.Sleep(noReassignAfter)
		start := time.Now()
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})
})

var _ = Describe("a target that reports a pause", func() {
	It("gets no request during the pause, and Retry-After is the rest of it", func() {
		f := newFixture()
		f.upstream.script = script{refuseWithPause(3 * time.Second)}
		w := f.do("POST", "/k/a")
		Expect(w.Code).To(Equal(503))
		Expect(w.Header().Get("Retry-After")).To(MatchRegexp(`^(3\.0|2\.9)`))
		for range 3 {
			w = f.do("POST", "/k/a")
			Expect(w.Code).To(Equal(503))
			Expect(w.Header().Get("Retry-After")).To(MatchRegexp(`^(3\.0|2\.\d)`))
		}
		Expect(f.upstream.requests).To(HaveLen(1))
		f.advance(3 * time.Second)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
	})

	It("is waited for when the pause is short", func() {
		f := newFixture()
		f.upstream.script = script{refuseWithPause(100 * time.Millisecond)}
		start := time.Now()
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(time.Since(start)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	It("gets no request that was waiting for a slot when the pause began", func() {
		f := newFixture()
		f.permits.beforeGrant = func() { f.h.config.TargetStatus.RecordStatus("k1", false, 3*time.Second) }
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(BeEmpty())
		Expect(f.permits.reports[0].Result).To(Equal(permit.ResultDropped))
	})

	It("gets no requests without a key", func() {
		f := newFixture()
		f.upstream.script = script{refuseWithPause(3 * time.Second)}
		f.do("GET", "/p")
		Expect(f.permits.asks[len(f.permits.asks)-1].Exclude).To(ContainElement("p1"))
		Expect(f.do("GET", "/p").Code).To(Equal(503))
		Expect(f.upstream.requests).To(HaveLen(1))
	})
})

// The drain time counts from the operator's request, whatever requests are doing at that time.
var _ = Describe("a target in an evacuated data centre", func() {
	const afterDrain = 2100 * time.Millisecond
	evacuate := func(f *fixture) { f.board.SetEvacuations(2, []string{""}) }

	It("gets requests for its keys until its drain time is over, and none after that", func() {
		f := newFixture()
		evacuate(f)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		time.Sleep(afterDrain)
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.do("GET", "/p").Code).To(Equal(503))
		Expect(f.upstream.requests).To(HaveLen(1))
	})

	// Guards against a permit that was requested before the evacuation.
	It("gets no request that waited for a slot until after its drain time", func() {
		f := newFixture()
		f.permits.beforeGrant = func() {
			evacuate(f)
			time.Sleep(afterDrain)
		}
		Expect(f.do("POST", "/k/a").Code).To(Equal(503))
		Expect(f.upstream.requests).To(BeEmpty())
	})

	It("gets requests again when the evacuation ends", func() {
		f := newFixture()
		evacuate(f)
		time.Sleep(afterDrain)
		f.board.SetEvacuations(3, nil)
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
	})
})

var _ = Describe("a target that reports a limit for all instances together", func() {
	limit := respondWithStatus(upstream.ReportedStatus{FromTarget: true, Limit: 1.5})
	none := respondWithStatus(upstream.ReportedStatus{FromTarget: true})

	DescribeTable("has its limit reported to the keeper of its pool, after each response and with each permit request, until it reports none", func(method, path, target string) {
		f := newFixture()
		f.upstream.script = script{limit, none}
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
		Entry("a target of a service that is not keyed", "GET", "/p", "p1"),
	)

	It("has its limit reported after a refusal too, and with the next permit request", func() {
		f := newFixture()
		f.upstream.script = script{failWith(&upstream.NotExecutedError{Status: 503, TargetStatus: upstream.ReportedStatus{FromTarget: true, Limit: 1.5}})}
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
		Expect(f.permits.reports[0].Limit).To(Equal(1.5))
		Expect(f.permits.asks[1].Limits).To(HaveLen(1))
	})

	It("keeps its limit when it did not answer", func() {
		f := newFixture()
		f.upstream.script = script{limit, outcomeUnknown}
		f.do("POST", "/k/a")
		f.do("POST", "/k/a")
		Expect(f.permits.reports[1].Heard).To(BeFalse())
		f.do("POST", "/k/a")
		Expect(f.permits.asks[2].Limits).To(HaveLen(1))
	})

	It("has each change of the limit logged once", func() {
		f := newFixture()
		f.upstream.script = script{limit, limit, none}
		for range 3 {
			f.do("POST", "/k/a")
		}
		changes := slices.DeleteFunc(f.logLines, func(line string) bool { return !strings.HasPrefix(line, "target-limit") })
		Expect(changes).To(HaveLen(2))
	})
})
