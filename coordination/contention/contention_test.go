package contention_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/contention"
	"lycheehall.example/lycheehall/protocol/rules"
)

func TestContention(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Contention")
}

var _ = Describe("the switch", func() {
	parse := func(archiveAim string) *rules.Set {
		GinkgoHelper()
		set, err := rules.Parse("test", `
[[service]]
name = "desk"
[[rule]]
name = "pay"
when = { prefix = "/pay/" }
then = { route = "desk", priority = 0, aim = "500ms" }
[[rule]]
name = "archive"
when = { prefix = "/archive/" }
then = { route = "desk", priority = 1, aim = "`+archiveAim+`" }
`)
		Expect(err).NotTo(HaveOccurred())
		return set
	}

	DescribeTable("is on where the mode and the rules say so (guards against changed decisions in a deployment that did not ask for them)",
		func(mode contention.Mode, contended, uncontended, withoutRules bool) {
			set, other := parse("1500ms"), parse("600ms")
			var s contention.Switch
			if mode != "" {
				s.Set(mode)
			}
			Expect(s.Deployment(set)).To(Equal(contended))
			Expect(s.Deployment(other)).To(Equal(uncontended))
			Expect(s.Deployment(nil)).To(Equal(withoutRules))
		},
		Entry("no mode set", contention.Mode(""), false, false, false),
		Entry("off", contention.ModeOff, false, false, false),
		Entry("auto", contention.ModeAuto, true, false, false),
		Entry("on", contention.ModeOn, true, true, true),
	)
})
