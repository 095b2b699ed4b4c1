package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/settings"
)

// Guards against pipelined requests that get what a target sent in place of a response, or none: the
// connection was ended for all of them.
var _ = It("an instance answers each pipelined request whose target sends no valid response", func() {
	s := settings.Default()
	s.Connections.PipelineDepth = 4
	d := startLocalWith(GinkgoTB(), "", s, 0)
	resp, err := http.PostForm("http://"+d.target+"/standin/garble", url.Values{
		"late": {"0"}, "refused": {"0"}, "unframed": {"0"}, "malformed": {"1"},
	})
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(200))
	conn, err := net.Dial("tcp", d.callers)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	reader := bufio.NewReader(conn)
	const requests = 10
	for key := range requests {
		fmt.Fprintf(conn, "GET /plumbers/h-%d HTTP/1.1\r\nHost: x\r\n\r\n", key)
	}
	for range requests {
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Close).To(BeFalse())
	}
})
