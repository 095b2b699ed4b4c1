package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// refuse writes a response that says that the request was not executed.
func refuse(conn net.Conn, id string) {
	fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

var _ = Describe("the attempts of a request", func() {
	// refusingFirst is a target that refuses the first request of all, and sends that response once more
	// where the next one of the connection is due.
	refusingFirst := func() *target {
		var refused atomic.Bool
		return startTarget(func(conn net.Conn, r *http.Request, n int) {
			if refused.CompareAndSwap(false, true) {
				refuse(conn, r.Header.Get("Id"))
				return
			}
			if n == 2 {
				refuse(conn, r.Header.Get("Id"))
			}
			echo(conn, r, n)
		})
	}
	retry := func(t *target) (*Response, error) {
		GinkgoHelper()
		c, r := newClient(), post("1", "b")
		r.Attempts = &Attempts{}
		_, err := c.Do(within(time.Second), t.Target, r)
		Expect(err).To(MatchError(ErrNotExecuted))
		return c.Do(within(time.Second), t.Target, r)
	}

	// Guards against a request that is refused as not executed while its target runs it: a late copy of
	// the response to the first attempt has the ID of the second one too.
	It("do not share a connection, on which a late response to one is taken for that to another", func() {
		t := refusingFirst()
		resp, err := retry(t)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal("for 1"))
		Expect(t.connections.Load()).To(Equal(int64(2)))
	})

	// Guards against requests that are refused because the only connection allowed carried an attempt.
	It("make room for a connection of their own where the number of connections is limited", func() {
		t := refusingFirst()
		t.MaxConnections = 1
		resp, err := retry(t)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal("for 1"))
	})

	It("leave their connections to other requests", func() {
		var refused atomic.Bool
		t := startTarget(func(conn net.Conn, r *http.Request, n int) {
			if refused.CompareAndSwap(false, true) {
				refuse(conn, r.Header.Get("Id"))
				return
			}
			echo(conn, r, n)
		})
		c, r := newClient(), post("1", "b")
		r.Attempts = &Attempts{}
		_, err := c.Do(within(time.Second), t.Target, r)
		Expect(err).To(MatchError(ErrNotExecuted))
		_, err = c.Do(within(time.Second), t.Target, post("2", "b"))
		Expect(err).NotTo(HaveOccurred())
		Expect(t.connections.Load()).To(Equal(int64(1)))
	})
})

// Guards against a late response to another request that is taken for the one to this request, because it
// does not say which request it belongs to.
var _ = DescribeTable("a response without the ID of a request",
	func(requests int, matcher func(error)) {
		t := startTarget(func(conn net.Conn, r *http.Request, n int) {
			if n < requests {
				echo(conn, r, n)
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		})
		c := newClient()
		var err error
		for n := range requests {
			_, err = c.Do(within(time.Second), t.Target, post(fmt.Sprint(n), "b"))
		}
		matcher(err)
	},
	Entry("belongs to the only request of its connection", 1, func(err error) { Expect(err).To(MatchError(ErrNotExecuted)) }),
	Entry("is not known to belong to a later one", 2, func(err error) { Expect(err).To(MatchError(ErrOutcomeUnknown)) }),
)

// Guards against a response of a target that has another one's address and is taken for that one's own.
var _ = DescribeTable("a refusal with status 421", func(who string, replaced bool) {
	t := startTarget(func(conn net.Conn, r *http.Request, _ int) {
		fmt.Fprintf(conn, "HTTP/1.1 421 X\r\nId: 1\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n", who)
	})
	_, err := newClient().Do(within(time.Second), t.Target, post("1", "b"))
	var refused *NotExecutedError
	Expect(errors.As(err, &refused)).To(BeTrue())
	Expect(refused.Replaced).To(Equal(replaced))
},
	Entry("from another target", "Target-Is: t2\r\n", true),
	Entry("from the target itself", "Target-Is: t1\r\n", false),
	Entry("that does not say whom it is from", "", false),
)
