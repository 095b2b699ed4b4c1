package rules_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/protocol/rules"
)

// sendChanges encodes the changes from one set to another, then decodes and applies them as a
// receiving instance does. It returns the resulting set and the encoded size in bytes.
func sendChanges(from, to *rules.Set) (*rules.Set, int) {
	GinkgoHelper()
	text, err := to.ChangesFrom(from).Encode()
	Expect(err).NotTo(HaveOccurred())
	changes, err := rules.DecodeChanges(text)
	Expect(err).NotTo(HaveOccurred())
	got, err := changes.Apply(from)
	Expect(err).NotTo(HaveOccurred())
	return got, len(text)
}

// manyRules builds a set of rules that route to service s, except that the last one routes to last.
func manyRules(count int, last string) *rules.Set {
	GinkgoHelper()
	var list []rules.Rule
	for i := range count {
		list = append(list, rules.Rule{Name: fmt.Sprint("r", i), When: rules.When{Host: []string{"a"}, Prefix: fmt.Sprintf("/p%d/", i)}, Then: rules.Then{Route: "s"}})
	}
	list[count-1].Then.Route = last
	set, err := rules.Build("f", []rules.Service{{Name: "s"}, {Name: "t"}}, list)
	Expect(err).NotTo(HaveOccurred())
	return set
}

var _ = Describe("changes between sets", func() {
	It("reproduce the set that they were computed for, with all its fields", func() {
		set, err := rules.Parse("example", examples.Rules)
		Expect(err).NotTo(HaveOccurred())
		set.AddWarnings(rules.Mistake{File: "f", Where: "rule 3", Message: "m"})
		got, _ := sendChanges(nil, set)
		Expect(got.Rules()).To(Equal(set.Rules()))
		Expect(got.Services()).To(Equal(set.Services()))
		Expect(got.Warnings()).To(Equal(set.Warnings()))
		Expect(got.Decide(request("GET", "/plumbers/h-1")).Key).To(Equal("h-1"))
	})

	It("are small if few rules have changed", func() {
		got, size := sendChanges(manyRules(2000, "s"), manyRules(2000, "t"))
		Expect(size).To(BeNumerically("<", 2<<10))
		Expect(got.Decide(request("GET", "/p1999/x")).Rule).To(BeNil(), "another host")
		Expect(got.Rules()[1999].Then.Route).To(Equal("t"))
	})

	It("reproduce the order of rules after any additions, removals, changes and moves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			draw := func(label string) *rules.Set {
				var list []rules.Rule
				for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 6, rapid.ID).Draw(t, label) {
					list = append(list, rules.Rule{Name: name, When: rules.When{Prefix: rapid.SampledFrom([]string{"/", "/x/"}).Draw(t, "prefix")}, Then: rules.Then{Route: "s"}})
				}
				set, err := rules.Build("f", []rules.Service{{Name: "s"}}, list)
				if err != nil {
					t.Fatal(err)
				}
				return set
			}
			from, to := draw("from"), draw("to")
			got, _ := sendChanges(from, to)
			Expect(got.Rules()).To(Equal(to.Rules()))
			Expect(got.Decide(request("GET", "/x/1")).Index).To(Equal(to.Decide(request("GET", "/x/1")).Index))
		})
	})

	It("are rejected if they were computed from another set, or are truncated", func() {
		changes := manyRules(20, "t").ChangesFrom(manyRules(20, "s"))
		_, err := changes.Apply(manyRules(3, "s"))
		Expect(err).To(HaveOccurred())
		_, err = changes.Apply(nil)
		Expect(err).To(HaveOccurred())
		text, err := changes.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = rules.DecodeChanges(text[:len(text)/2])
		Expect(err).To(HaveOccurred())
	})
})
