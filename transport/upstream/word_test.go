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
	said := func(status int, headers string) Word {
		GinkgoHelper()
		t := startTarget(func(conn net.Conn, r *http.Request, _ int) {
			fmt.Fprintf(conn, "HTTP/1.1 %d Any\r\nId: %s\r\nContent-Length: 0\r\n%s\r\n", status, r.Header.Get("Id"), headers)
		})
		answer, err := newClient().Do(within(time.Second), t.Target, get("1"))
		if err == nil {
			return answer.Word
		}
		var refused *NotRunError
		Expect(errors.As(err, &refused)).To(BeTrue(), err.Error())
		return refused.Word
	}

	DescribeTable("is read", func(status int, headers string, expected Word) {
		Expect(said(status, headers)).To(Equal(expected))
	},
		Entry("nothing", 200, "Signed: yes\r\n", Word{}),
		Entry("it leaves, with an answer", 200, "Signed: yes\r\nLeaving: 1\r\n", Word{Leaving: true}),
		Entry("it leaves, with a failure", 500, "Signed: yes\r\nLeaving: 1\r\n", Word{Leaving: true}),
		Entry("it leaves, with a refusal", 503, "Not-Run: 1\r\nLeaving: 1\r\n", Word{Leaving: true}),
		Entry("it leaves and does not hold the key", 421, "Not-Run: 1\r\nLeaving: 1\r\nTarget-Is: t1\r\n", Word{Leaving: true}),
		Entry("another at its address leaves", 421, "Not-Run: 1\r\nLeaving: 1\r\nTarget-Is: t2\r\n", Word{}),
		Entry("it is as fast as usual", 200, "Signed: yes\r\nLoad: 2,0,3,100\r\n", Word{Slowness: 1}),
		Entry("it is slow now", 200, "Signed: yes\r\nLoad: 3, 4, 3, 300\r\n", Word{Slowness: 3}),
		Entry("it is slow, with a refusal", 503, "Not-Run: 1\r\nLoad: 3,12,3,250\r\n", Word{Slowness: 2.5}),
		Entry("a load without how slow it is", 200, "Signed: yes\r\nLoad: 2,0,3\r\n", Word{}),
		Entry("a load that is none", 200, "Signed: yes\r\nLoad: a,b,c,d\r\n", Word{}),
		Entry("a load below zero", 200, "Signed: yes\r\nLoad: 1,1,3,-5\r\n", Word{}),
		Entry("a slowness beyond all bounds", 200, "Signed: yes\r\nLoad: 1,1,3,1e300\r\n", Word{Slowness: mostSlowness}),
		Entry("it wants nothing for a time", 503, "Not-Run: 1\r\nRetry-After: 2.5\r\n", Word{Pause: 2500 * time.Millisecond}),
		Entry("a time that is none", 503, "Not-Run: 1\r\nRetry-After: soon\r\n", Word{}),
		Entry("a time below zero", 503, "Not-Run: 1\r\nRetry-After: -1\r\n", Word{}),
		Entry("no number", 503, "Not-Run: 1\r\nRetry-After: NaN\r\n", Word{}),
		Entry("a time beyond all bounds", 503, "Not-Run: 1\r\nRetry-After: 1e300\r\n", Word{Pause: longestPause}),
		Entry("a time with an answer that is no refusal", 200, "Signed: yes\r\nRetry-After: 2\r\n", Word{}),
	)
})
