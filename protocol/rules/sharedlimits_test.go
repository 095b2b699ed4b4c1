package rules_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/protocol/rules"
)

var _ = Describe("limits on all instances together", func() {
	// Guards against limits that count on each instance by default being shared, and against a
	// shared one that is left out. A rule that refuses needs no limit.
	It("are those whose scope is all", func() {
		set, err := rules.Parse("f", `
[[service]]
name = "s"
[[rule]]
name = "c"
when = { path = "/c" }
then = { route = "s", limit = { per_second = 1.5, scope = "all" } }
[[rule]]
name = "b"
when = { path = "/b" }
then = { route = "s", limit = { concurrent = 3, scope = "instance" } }
[[rule]]
name = "refused"
when = { path = "/r" }
then = { refuse = { status = 403 }, limit = { concurrent = 3, scope = "all" } }
[[rule]]
name = "a"
then = { route = "s", limit = { concurrent = 3, scope = "all" } }
`)
		Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, r := range set.SharedLimits() {
			names = append(names, r.Name)
		}
		Expect(names).To(Equal([]string{"a", "c"}))
		Expect(set.SharedLimits()[1].Then.Limit.Burst).To(Equal(1))
	})
})
