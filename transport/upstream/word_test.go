package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("what a target says of itself", func() {
	// said returns the word beside an answer with some headers, each ending its line.
	said := func(status int, headers string) TargetStatus {
		GinkgoHelper()
		t := startTarget(func(conn net.Conn, r *http.Request, _ int) {
			fmt.Fprintf(conn, "HTTP/1.1 %d Any\r\nId: %s\r\nContent-Length: 0\r\n%s\r\n", status, r.Header.Get("Id"), headers)
		})
		answer, err := newClient().Do(within(time.Second), t.Target, get("1"))
		if err == nil {
			return answer.TargetStatus
		}
		var refused *NotExecutedError
		Expect(errors.As(err, &refused)).To(BeTrue(), err.Error())
		return refused.TargetStatus
	}

	DescribeTable("is read", func(status int, headers string, expected TargetStatus) {
		Expect(said(status, headers)).To(Equal(expected))
	},
		Entry("nothing", 200, "Signed: yes\r\n", TargetStatus{Known: true}),
		Entry("it leaves, with an answer", 200, "Signed: yes\r\nLeaving: 1\r\n", TargetStatus{Known: true, Leaving: true}),
		Entry("it leaves, with a failure", 500, "Signed: yes\r\nLeaving: 1\r\n", TargetStatus{Known: true, Leaving: true}),
		Entry("it leaves, with a refusal", 503, "Not-Run: 1\r\nLeaving: 1\r\n", TargetStatus{Known: true, Leaving: true}),
		Entry("it leaves and does not hold the key", 421, "Not-Run: 1\r\nLeaving: 1\r\nTarget-Is: t1\r\n", TargetStatus{Known: true, Leaving: true}),
		Entry("another at its address leaves", 421, "Not-Run: 1\r\nLeaving: 1\r\nTarget-Is: t2\r\n", TargetStatus{}),
		Entry("it is as fast as usual", 200, "Signed: yes\r\nLoad: 2,0,3,100\r\n", TargetStatus{Known: true, Slowness: 1}),
		Entry("it is slow now", 200, "Signed: yes\r\nLoad: 3, 4, 3, 300\r\n", TargetStatus{Known: true, Slowness: 3}),
		Entry("it is slow, with a refusal", 503, "Not-Run: 1\r\nLoad: 3,12,3,250\r\n", TargetStatus{Known: true, Slowness: 2.5}),
		Entry("a load without how slow it is", 200, "Signed: yes\r\nLoad: 2,0,3\r\n", TargetStatus{Known: true}),
		Entry("a load that is none", 200, "Signed: yes\r\nLoad: a,b,c,d\r\n", TargetStatus{Known: true}),
		Entry("a load below zero", 200, "Signed: yes\r\nLoad: 1,1,3,-5\r\n", TargetStatus{Known: true}),
		Entry("a slowness beyond all bounds", 200, "Signed: yes\r\nLoad: 1,1,3,1e300\r\n", TargetStatus{Known: true, Slowness: mostSlowness}),
		Entry("it names a limit", 200, "Signed: yes\r\nLimit: 1.9\r\n", TargetStatus{Known: true, Limit: 1.9}),
		Entry("it names a limit, with a refusal", 421, "Not-Run: 1\r\nLimit: 0.125\r\n", TargetStatus{Known: true, Limit: 0.125}),
		Entry("another at its address names a limit", 421, "Not-Run: 1\r\nLimit: 2\r\nTarget-Is: t2\r\n", TargetStatus{}),
		Entry("a limit of nothing", 200, "Signed: yes\r\nLimit: 0\r\n", TargetStatus{Known: true, Limit: leastLimit}),
		Entry("a limit that is none", 200, "Signed: yes\r\nLimit: few\r\n", TargetStatus{Known: true}),
		Entry("a limit below zero", 200, "Signed: yes\r\nLimit: -1\r\n", TargetStatus{Known: true}),
		Entry("a limit beyond all bounds", 200, "Signed: yes\r\nLimit: 1e300\r\n", TargetStatus{Known: true, Limit: mostLimit}),
		Entry("it wants nothing for a time", 503, "Not-Run: 1\r\nRetry-After: 2.5\r\n", TargetStatus{Known: true, Pause: 2500 * time.Millisecond}),
		Entry("a time that is none", 503, "Not-Run: 1\r\nRetry-After: soon\r\n", TargetStatus{Known: true}),
		Entry("a time below zero", 503, "Not-Run: 1\r\nRetry-After: -1\r\n", TargetStatus{Known: true}),
		Entry("no number", 503, "Not-Run: 1\r\nRetry-After: NaN\r\n", TargetStatus{Known: true}),
		Entry("a time beyond all bounds", 503, "Not-Run: 1\r\nRetry-After: 1e300\r\n", TargetStatus{Known: true, Pause: longestPause}),
		Entry("a time with an answer that is no refusal", 200, "Signed: yes\r\nRetry-After: 2\r\n", TargetStatus{Known: true}),
	)
})
