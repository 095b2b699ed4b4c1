package instance_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the status of an instance", func() {
	It("shows the speeds of targets that the leader places keys by", func() {
		local := startLocal(GinkgoTB(), "")
		Eventually(func() string {
			resp, err := http.Get("http://" + local.callers + "/plumbers/h-1")
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			_, text := callAdmin(local.operators, "GET", "/v1/status", "", testSecret)
			return text
		}, "10s", "50ms").Should(MatchRegexp(`"speed": \d`))
	})
})
