package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/transport/upstream"
)

// Guards against repeats that another service gets while the registry still lists a target that has ended:
// each request of its keys went twice to the target that has its address now.
var _ = Describe("a target whose address another one has", func() {
	otherResponds := failWith(&upstream.NotExecutedError{Status: 421, Replaced: true})

	It("gets no second attempt of a request, and no other request", func() {
		f := newFixture()
		f.upstream.script = script{otherResponds}
		start := time.Now()
		for _, path := range []string{"/k/a", "/k/b"} {
			w := f.do("POST", path)
			Expect(w.Code).To(Equal(503))
			Expect(w.Body.String()).To(Equal("owner-lost\n"))
		}
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond), "nobody waits for the keys")
		Expect(f.upstream.requests).To(HaveLen(1))
	})

	It("is left out where any target can serve the request", func() {
		f := newFixture()
		f.upstream.script = script{otherResponds}
		f.do("GET", "/p")
		f.do("GET", "/p")
		Expect(f.permits.asks[len(f.permits.asks)-1].Exclude).To(ContainElement("p1"))
	})

	It("gets requests again at another address", func() {
		f := newFixture()
		f.upstream.script = script{otherResponds}
		f.do("POST", "/k/a")
		f.board.SetTargets(2, map[string]view.Target{"k1": {ID: "k1", Service: "keyed", Address: "moved", Slots: 2}}, f.h.clock.Now())
		Expect(f.do("POST", "/k/a").Code).To(Equal(200))
	})
})
