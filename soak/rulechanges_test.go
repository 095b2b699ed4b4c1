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

var _ = Describe("the check of rule versions", func() {
	// watch returns the violations found at an instance that answers with the version first and later
	// with second. If restart is set, its process is restarted in between.
	watch := func(first, second int64, restart bool) []string {
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
		defer func() { p.awaitExit(0) }()
		c := &RuleChanges{
			deployment: &Deployment{instances: []*process{p}, callerAddresses: []string{server.Listener.Addr().String()}},
			http:       server.Client(), stop: make(chan struct{}),
		}
		c.running.Go(func() { c.watchInstance(0) })
		time.Sleep(3 * pollInterval)
		if restart {
			p.awaitExit(0)
			Expect(p.start()).To(Succeed())
		}
		version.Store(second)
		time.Sleep(3 * pollInterval)
		return c.Stop()
	}

	It("finds a process that returns to an older version", func() {
		Expect(watch(5, 4, false)).NotTo(BeEmpty())
	})

	It("accepts a newer version, and an older one of a restarted process", func() {
		Expect(watch(5, 6, false)).To(BeEmpty())
		Expect(watch(5, 4, true)).To(BeEmpty())
	})
})
