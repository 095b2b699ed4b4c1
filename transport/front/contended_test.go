package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/protocol/rules"
)

var _ = Describe("asks for permits", func() {
	// Guards against a change for deployments in which kinds of requests do not compete.
	It("have Contended and the whole aim set only while kinds of requests compete", func() {
		f := newFixture()
		contended := true
		f.h.config.Contended = func(*rules.Set) bool { return contended }
		f.do("GET", "/k/1")
		contended = false
		f.do("GET", "/p")
		Expect(f.permits.asks[0].Contended).To(BeTrue())
		Expect(f.permits.asks[0].Aim).To(Equal(500 * time.Millisecond))
		Expect(f.permits.asks[1].Contended).To(BeFalse())
		Expect(f.permits.asks[1].Aim).To(BeZero())
		Expect(f.logLines[0]).To(ContainSubstring("contendedtruepriority"))
		Expect(f.logLines[1]).NotTo(ContainSubstring("contended"))
	})
})
