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
	set, err := rules.Parse("test", `
[[service]]
name = "desk"
[[service]]
name = "hub"
[[rule]]
name = "pay"
when = { prefix = "/pay/" }
then = { route = "desk", priority = 0, aim = "500ms" }
[[rule]]
name = "archive"
when = { prefix = "/archive/" }
then = { route = "desk", priority = 1, aim = "1500ms" }
`)

	DescribeTable("is on where the mode and the rules say so (guards against changed decisions in a deployment that did not ask for them)",
		func(mode contention.Mode, desk, hub, deployment, withoutRules bool) {
			Expect(err).NotTo(HaveOccurred())
			var s contention.Switch
			if mode != "" {
				s.Set(mode)
			}
			Expect(s.Service(set, "desk")).To(Equal(desk))
			Expect(s.Service(set, "hub")).To(Equal(hub))
			Expect(s.Deployment(set)).To(Equal(deployment))
			Expect(s.Service(nil, "desk")).To(Equal(withoutRules))
			Expect(s.Deployment(nil)).To(Equal(withoutRules))
		},
		Entry("no mode set", contention.Mode(""), false, false, false, false),
		Entry("off", contention.ModeOff, false, false, false, false),
		Entry("auto", contention.ModeAuto, true, false, true, false),
		Entry("on", contention.ModeOn, true, true, true, true),
	)
})
