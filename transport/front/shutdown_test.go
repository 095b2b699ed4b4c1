package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a handler that shuts down", func() {
	// Guards against requests that are taken so late in a shutdown that they are broken off while a target
	// works on them.
	It("refuses requests that arrive after it has stopped taking them", func() {
		f := newFixture()
		f.h.RefuseNew()
		w := f.do("POST", "/k/1")
		Expect(w.Code).To(Equal(503))
		Expect(w.Header().Get("Retry-After")).To(Equal("0.050"))
		Expect(f.upstream.requests).To(BeEmpty())
	})

	It("sends no request that is not expected to end before running requests are aborted", func() {
		f := newFixture()
		f.h.StopSendingBy(time.Now().Add(50 * time.Millisecond))
		Expect(f.do("POST", "/k/1").Code).To(Equal(503), "a request takes 100 ms before the first response")
		Expect(f.upstream.requests).To(BeEmpty())
		f.h.StopSendingBy(time.Now().Add(time.Second))
		Expect(f.do("POST", "/k/1").Code).To(Equal(200))
	})

	It("gives a permit back that it gets too late", func() {
		f := newFixture()
		f.permits.beforeGrant = func() { f.h.StopSendingBy(time.Now()) }
		Expect(f.do("POST", "/k/1").Code).To(Equal(503))
		Expect(f.upstream.requests).To(BeEmpty())
		Expect(f.permits.reports).To(HaveLen(1))
	})

	// Guards against an attempt that is sent at the end of the shutdown and broken off at once.
	It("sends nothing after running requests have been aborted", func() {
		f := newFixture()
		f.h.StopSendingBy(time.Now().Add(time.Second))
		f.h.RefuseWaiting()
		f.h.AbortRunning()
		Expect(f.do("POST", "/k/1").Code).To(Equal(503))
		Expect(f.upstream.requests).To(BeEmpty())
	})

	// Guards against a late response to one attempt that is taken for that to another.
	It("lets no two attempts of a request share a connection", func() {
		f := newFixture()
		f.upstream.script = append(f.upstream.script, targetRefuses, targetRefuses)
		Expect(f.do("POST", "/k/1").Code).To(Equal(200))
		Expect(f.do("POST", "/k/1").Code).To(Equal(200))
		r := f.upstream.requests
		Expect(r).To(HaveLen(4))
		Expect(r[0].Attempts).NotTo(BeNil())
		Expect(r[1].Attempts).To(BeIdenticalTo(r[0].Attempts))
		Expect(r[2].Attempts).To(BeIdenticalTo(r[0].Attempts))
		Expect(r[3].Attempts).NotTo(BeIdenticalTo(r[0].Attempts))
	})
})
