package rules_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/protocol/rules"
)

var _ = Describe("kinds that compete for a service", func() {
	parse := func(kinds ...string) *rules.Set {
		text := "[[service]]\nname = \"desk\"\n\n[[service]]\nname = \"hub\"\n"
		for i, then := range kinds {
			text += "\n[[rule]]\nname = \"kind-" + string(rune('a'+i)) + "\"\nwhen = { prefix = \"/" + string(rune('a'+i)) + "/\" }\nthen = { deadline = \"10s\", " + then + " }\n"
		}
		set, err := rules.Parse("test", strings.TrimSpace(text))
		Expect(err).NotTo(HaveOccurred())
		return set
	}

	DescribeTable("are found by urgency and aim (guards against treating a deployment as contended whose kinds cannot wait for each other)",
		func(expected bool, kinds ...string) {
			Expect(parse(kinds...).Contended()).To(Equal(expected))
		},
		Entry("one kind", false, `route = "desk", priority = 1, aim = "1s"`),
		Entry("the less urgent one can wait", true, `route = "desk", priority = 2, aim = "2s"`, `route = "desk", priority = 0, aim = "500ms"`),
		Entry("exactly twice the aim", true, `route = "desk", priority = 0, aim = "500ms"`, `route = "desk", priority = 1, aim = "1s"`),
		Entry("less than twice the aim", false, `route = "desk", priority = 0, aim = "501ms"`, `route = "desk", priority = 1, aim = "1s"`),
		Entry("the less urgent one has the shorter aim", false, `route = "desk", priority = 0, aim = "2s"`, `route = "desk", priority = 1, aim = "500ms"`),
		Entry("equally urgent", false, `route = "desk", priority = 1, aim = "500ms"`, `route = "desk", priority = 1, aim = "2s"`),
		Entry("other services", false, `route = "desk", priority = 0, aim = "500ms"`, `route = "hub", priority = 1, aim = "2s"`),
		Entry("by a share of its requests", true, `route = "desk", priority = 0, aim = "500ms"`, `backends = [{ service = "hub", weight = 9 }, { service = "desk", weight = 1 }], priority = 1, aim = "2s"`),
		Entry("by a share of nothing", false, `route = "desk", priority = 0, aim = "500ms"`, `backends = [{ service = "hub", weight = 9 }, { service = "desk", weight = 0 }], priority = 1, aim = "2s"`),
	)
})
