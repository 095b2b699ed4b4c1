package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the Content-Length of a response", func() {
	// answer makes a request to a target that announces a length, sends a body and closes the
	// connection. It returns the sizes of the buffers that were reported.
	answer := func(method string, length int, body string) (resp *Response, sizes []int64, err error) {
		t := startTarget(func(conn net.Conn, _ *http.Request, _ int) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", length, body)
			conn.Close()
		})
		r := get("1")
		r.Method = method
		r.OnBuffer = func(size int64) { sizes = append(sizes, size) }
		resp, err = newClient().Do(within(2*time.Second), t.Target, r)
		return resp, sizes, err
	}

	It("is the size of the only buffer", func() {
		body := strings.Repeat("x", 90_000)
		resp, sizes, err := answer("GET", len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Body)).To(Equal(body))
		Expect(sizes).To(Equal([]int64{90_000}))
	})

	// Guards against a target that makes an instance allocate 64 MB for a short response.
	It("does not by itself allocate a large buffer", func() {
		_, sizes, err := answer("GET", maxResponseBytes, strings.Repeat("x", 300<<10))
		Expect(err).To(MatchError(ErrOutcomeUnknown))
		Expect(sizes).To(Equal([]int64{256 << 10, 1 << 20}))
	})

	It("above the size limit ends the attempt at once", func() {
		_, sizes, err := answer("GET", maxResponseBytes+1, "")
		Expect(err).To(MatchError(ContainSubstring("exceeds the size limit")))
		Expect(sizes).To(BeEmpty())
	})

	It("of a response to HEAD is not that of a body", func() {
		resp, sizes, err := answer("HEAD", maxResponseBytes+1, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body).To(BeEmpty())
		Expect(sizes).To(BeEmpty())
	})
})

// Guards against a long request whose body is lost, or sent twice, where the first write ends.
var _ = DescribeTable("a request is sent whole", func(bodyBytes int) {
	t := startTarget(func(conn net.Conn, r *http.Request, _ int) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		writeResponse(conn, r.Header.Get("Id"), string(body))
	})
	body := strings.Repeat("0123456789abcdef", bodyBytes/16)
	resp, err := newClient().Do(within(2*time.Second), t.Target, post("1", body))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(resp.Body)).To(Equal(body))
},
	Entry("with a short body", 64),
	Entry("with a body that ends in the first write", maxSyncWriteBytes-256),
	Entry("with a body beyond it", maxSyncWriteBytes),
	Entry("with a long body", 1<<20),
)
