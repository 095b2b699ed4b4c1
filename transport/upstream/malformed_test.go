package upstream

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// claim is what a response says: its usual status, its headers and its body as it is framed.
type claim struct{ name, status, headers, framed string }

const (
	chunkedBody = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	emptyBody   = "Content-Length: 0\r\n\r\n"
)

var claims = []claim{
	{"success", "200", "Id: 1\r\nSigned: yes\r\nLeaving: 1\r\n", chunkedBody + "\r\n"},
	{"success without a length", "200", "Id: 1\r\nSigned: yes\r\nLeaving: 1\r\n", "\r\nbody"},
	{"refusal", "503", "Id: 1\r\nNot-Run: 1\r\nLeaving: 1\r\n", emptyBody},
	{"refusal without an ID", "503", "Not-Run: 1\r\nLeaving: 1\r\n", emptyBody},
	{"refusal by another target", "421", "Id: 1\r\nTarget-Is: t2\r\n", emptyBody},
	{"response to another request", "200", "Id: 2\r\nSigned: yes\r\n", emptyBody},
}

// malformed returns a response with this claim that has another status, or a header in addition.
func (c claim) malformed(status, header string) string {
	if status == "" {
		status = c.status
	}
	return "HTTP/1.1 " + status + " X\r\n" + c.headers + header + c.framed
}

// malformedResponses returns all claims in responses that are malformed in each way.
func malformedResponses() []TableEntry {
	entries := []TableEntry{
		Entry("success, space in the name of a trailer", "HTTP/1.1 200 X\r\n"+claims[0].headers+chunkedBody+"X Y: 1\r\n\r\n"),
		Entry("success, control character in the name of a trailer", "HTTP/1.1 200 X\r\n"+claims[0].headers+chunkedBody+"X\x01: 1\r\n\r\n"),
	}
	for _, c := range claims {
		entries = append(entries,
			Entry(c.name+", status 000", c.malformed("000", "")),
			Entry(c.name+", status 999", c.malformed("999", "")),
			Entry(c.name+", unasked switch of protocols", c.malformed("101", "")),
			Entry(c.name+", space in a name", c.malformed("", "X Y: 1\r\n")),
			Entry(c.name+", space in front of a colon", c.malformed("", "X : 1\r\n")),
			Entry(c.name+", control character in a name", c.malformed("", "X\x01: 1\r\n")),
			Entry(c.name+", folded line", c.malformed("", "X: 1\r\n Y: 2\r\n")),
			Entry(c.name+", chunks and a length", c.malformed("", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n")),
		)
	}
	return entries
}

// Guards against callers that get bytes that are no response as one, and against a promise that a request
// was not executed in such bytes.
var _ = DescribeTable("nothing in a malformed response is believed",
	func(response string) {
		t := startTarget(func(conn net.Conn, r *http.Request, n int) {
			if r.Header.Get("Id") != "1" {
				echo(conn, r, n)
				return
			}
			fmt.Fprint(conn, response)
			// A valid response behind the malformed one is not one to the request.
			writeResponse(conn, "1", "x")
			conn.Close()
		})
		c := newClient()
		resp, err := c.Do(within(5*time.Second), t.Target, post("1", "x"))
		Expect(err).To(MatchError(ErrOutcomeUnknown), "%+v", resp)
		Expect(err).NotTo(MatchError(ErrNotExecuted))
		Expect(err).NotTo(MatchError(ErrTargetExited))
		resp, err = c.Do(within(5*time.Second), t.Target, get("3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal("for 3"))
	},
	malformedResponses(),
)
