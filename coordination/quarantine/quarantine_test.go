package quarantine

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quarantine")
}

func request(method, uri, from string) *http.Request {
	r := httptest.NewRequest(method, uri, nil)
	r.RemoteAddr = from
	return r
}

var _ = Describe("a fingerprint", func() {
	first := FingerprintOf(request("GET", "/a?b=1", "10.0.0.1:1000"), []byte("body"))

	It("is the same for a request that comes again over another connection, with another id", func() {
		again := request("GET", "/a?b=1", "10.0.0.1:2000")
		again.Header.Set("Request-Id", "other")
		Expect(FingerprintOf(again, []byte("body"))).To(Equal(first))
	})

	DescribeTable("differs where the request does", func(r *http.Request, body string) {
		Expect(FingerprintOf(r, []byte(body))).NotTo(Equal(first))
	},
		Entry("method", request("PUT", "/a?b=1", "10.0.0.1:1000"), "body"),
		Entry("path", request("GET", "/b?b=1", "10.0.0.1:1000"), "body"),
		Entry("query", request("GET", "/a?b=2", "10.0.0.1:1000"), "body"),
		Entry("host", request("GET", "http://elsewhere/a?b=1", "10.0.0.1:1000"), "body"),
		Entry("caller", request("GET", "/a?b=1", "10.0.0.2:1000"), "body"),
		Entry("body", request("GET", "/a?b=1", "10.0.0.1:1000"), "other"),
		Entry("where the path ends", request("GET", "/a?b=1", "10.0.0.1:1000"), ""),
	)
})
