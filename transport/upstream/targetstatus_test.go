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

var _ = Describe("the status that a target reports", func() {
	// reportedStatus returns the target status for a response with the given status and headers,
	// each header ending in CRLF.
	reportedStatus := func(status int, headers string) ReportedStatus {
		GinkgoHelper()
		t := startTarget(func(conn net.Conn, r *http.Request, _ int) {
			fmt.Fprintf(conn, "HTTP/1.1 %d Any\r\nId: %s\r\nContent-Length: 0\r\n%s\r\n", status, r.Header.Get("Id"), headers)
		})
		resp, err := newClient().Do(within(time.Second), t.Target, get("1"))
		if err == nil {
			return resp.TargetStatus
		}
		var refused *NotExecutedError
		Expect(errors.As(err, &refused)).To(BeTrue(), err.Error())
		return refused.TargetStatus
	}

	DescribeTable("is read from the response headers", func(status int, headers string, expected ReportedStatus) {
		Expect(reportedStatus(status, headers)).To(Equal(expected))
	},
		Entry("nothing", 200, "Signed: yes\r\n", ReportedStatus{FromTarget: true}),
		Entry("leaving, with a response", 200, "Signed: yes\r\nLeaving: 1\r\n", ReportedStatus{FromTarget: true, Leaving: true}),
		Entry("leaving, with a failure", 500, "Signed: yes\r\nLeaving: 1\r\n", ReportedStatus{FromTarget: true, Leaving: true}),
		Entry("leaving, with a refusal", 503, "Not-Run: 1\r\nLeaving: 1\r\n", ReportedStatus{FromTarget: true, Leaving: true}),
		Entry("leaving, does not own the key", 421, "Not-Run: 1\r\nLeaving: 1\r\nTarget-Is: t1\r\n", ReportedStatus{FromTarget: true, Leaving: true}),
		Entry("another target at its address is leaving", 421, "Not-Run: 1\r\nLeaving: 1\r\nTarget-Is: t2\r\n", ReportedStatus{}),
		Entry("as fast as usual", 200, "Signed: yes\r\nLoad: 2,0,3,100\r\n", ReportedStatus{FromTarget: true, Slowness: 1}),
		Entry("slow", 200, "Signed: yes\r\nLoad: 3, 4, 3, 300\r\n", ReportedStatus{FromTarget: true, Slowness: 3}),
		Entry("slow, with a refusal", 503, "Not-Run: 1\r\nLoad: 3,12,3,250\r\n", ReportedStatus{FromTarget: true, Slowness: 2.5}),
		Entry("a load header without slowness", 200, "Signed: yes\r\nLoad: 2,0,3\r\n", ReportedStatus{FromTarget: true}),
		Entry("a load that is not numeric", 200, "Signed: yes\r\nLoad: a,b,c,d\r\n", ReportedStatus{FromTarget: true}),
		Entry("a negative slowness", 200, "Signed: yes\r\nLoad: 1,1,3,-5\r\n", ReportedStatus{FromTarget: true}),
		Entry("a slowness above the maximum", 200, "Signed: yes\r\nLoad: 1,1,3,1e300\r\n", ReportedStatus{FromTarget: true, Slowness: maxSlowness}),
		Entry("a limit", 200, "Signed: yes\r\nLimit: 1.9\r\n", ReportedStatus{FromTarget: true, Limit: 1.9}),
		Entry("a limit, with a refusal", 421, "Not-Run: 1\r\nLimit: 0.125\r\n", ReportedStatus{FromTarget: true, Limit: 0.125}),
		Entry("another target at its address reports a limit", 421, "Not-Run: 1\r\nLimit: 2\r\nTarget-Is: t2\r\n", ReportedStatus{}),
		Entry("a limit of zero", 200, "Signed: yes\r\nLimit: 0\r\n", ReportedStatus{FromTarget: true, Limit: minLimit}),
		Entry("a limit that is not a number", 200, "Signed: yes\r\nLimit: few\r\n", ReportedStatus{FromTarget: true}),
		Entry("a negative limit", 200, "Signed: yes\r\nLimit: -1\r\n", ReportedStatus{FromTarget: true}),
		Entry("a limit above the maximum", 200, "Signed: yes\r\nLimit: 1e300\r\n", ReportedStatus{FromTarget: true, Limit: maxLimit}),
		Entry("a pause", 503, "Not-Run: 1\r\nRetry-After: 2.5\r\n", ReportedStatus{FromTarget: true, Pause: 2500 * time.Millisecond}),
		Entry("a pause that is not a number", 503, "Not-Run: 1\r\nRetry-After: soon\r\n", ReportedStatus{FromTarget: true}),
		Entry("a negative pause", 503, "Not-Run: 1\r\nRetry-After: -1\r\n", ReportedStatus{FromTarget: true}),
		Entry("a pause of NaN", 503, "Not-Run: 1\r\nRetry-After: NaN\r\n", ReportedStatus{FromTarget: true}),
		Entry("a pause above the maximum", 503, "Not-Run: 1\r\nRetry-After: 1e300\r\n", ReportedStatus{FromTarget: true, Pause: maxPause}),
		Entry("Retry-After with a response that is no refusal", 200, "Signed: yes\r\nRetry-After: 2\r\n", ReportedStatus{FromTarget: true}),
	)
})
