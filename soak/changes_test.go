package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("changes of the rules", func() {
	// watch looks at an instance that tells one version and then another; between them its process
	// is started anew, if so asked.
	watch := func(first, then int64, anew bool) []string {
		GinkgoHelper()
		var version atomic.Int64
		version.Store(first)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusGone)
			fmt.Fprintf(w, "version-%d\n", version.Load())
		}))
		defer server.Close()
		p := &process{name: "sleep", path: "/bin/sleep", args: []string{"60"}}
		Expect(p.start()).To(Succeed())
		defer func() { p.end(0) }()
		c := &Changes{
			fleet: &Fleet{instances: []*process{p}, callersAt: []string{server.Listener.Addr().String()}},
			http:  server.Client(), stop: make(chan struct{}),
		}
		c.wait.Go(func() { c.look(0) })
		time.Sleep(3 * askEvery)
		if anew {
			p.end(0)
			Expect(p.start()).To(Succeed())
		}
		version.Store(then)
		time.Sleep(3 * askEvery)
		return c.Stop()
	}

	It("notice a process that goes back to an older version", func() {
		Expect(watch(5, 4, false)).NotTo(BeEmpty())
	})

	It("accept a newer version, and an older one of a process that was started anew", func() {
		Expect(watch(5, 6, false)).To(BeEmpty())
		Expect(watch(5, 4, true)).To(BeEmpty())
	})
})
