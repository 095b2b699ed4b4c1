package soak

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
)

// Guards against a check that does not notice requests that are taken too late in a shutdown.
var _ = DescribeTable("the check of stops", func(sent, received time.Duration, ran bool, violations int) {
	term := time.Now()
	at := func(d time.Duration) time.Time { return term.Add(d) }
	results := map[string]CallResult{"r": {Instance: "a", Sent: at(sent), Received: at(received)}}
	var runs []standin.Record
	if ran {
		runs = []standin.Record{{Request: "r"}}
	}
	stopped := []stop{{interval{term, at(5 * time.Second)}, "a"}}
	Expect(checkStops(results, runs, stopped)).To(HaveLen(violations))
},
	Entry("finds a request that ran although it was sent too late", 3500*time.Millisecond, 3600*time.Millisecond, true, 1),
	Entry("allows one that was refused", 3500*time.Millisecond, 3600*time.Millisecond, false, 0),
	Entry("allows one that was sent early", 2500*time.Millisecond, 4*time.Second, true, 0),
	Entry("leaves out one that the next process answered", 4900*time.Millisecond, 5200*time.Millisecond, true, 0),
)

var _ = It("notices a part of a response without a length", func() {
	header := http.Header{}
	header.Set(platform.Headers().Signature, "t.1")
	header.Set(standin.BodyLengthHeader, "8")
	whole, part := CallResult{Idempotent: true}, CallResult{Idempotent: true}
	whole.classify(&http.Response{StatusCode: 200, Header: header}, "12345678", "1")
	part.classify(&http.Response{StatusCode: 200, Header: header}, "1234", "1")
	began := part.Received.Add(-time.Second)
	runs := []standin.Record{{Request: "1", Target: "t1 started 5", StartedAt: began.UnixNano()}}
	check := func(r CallResult, target string, exit time.Time) []string {
		return checkParts(map[string]CallResult{"1": r}, runs, map[string][]time.Time{target: {exit}})
	}
	meanwhile := part.Received.Add(-time.Millisecond)
	Expect(check(whole, "t2", meanwhile)).To(BeEmpty())
	Expect(check(part, "t2", meanwhile)).To(ConsistOf(ContainSubstring("part of its response")))
	Expect(check(part, "t1", began.Add(-time.Second))).To(ConsistOf(ContainSubstring("part of its response")))
	Expect(check(part, "t1", meanwhile)).To(BeEmpty(), "the target itself has ended")
})
