package placement

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lycheehall.example/lycheehall/state"
)

func TestPlacement(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		// The same cases on every run, unless others are asked for.
		if err := seed.Value.Set("1"); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Placement")
}

func targets(n int) []state.Target {
	var out []state.Target
	for i := range n {
		out = append(out, state.Target{ID: fmt.Sprintf("t%02d", i)})
	}
	return out
}

// apply carries the moves out at once.
func apply(slots []state.Slot, moves []Move) []state.Slot {
	out := append([]state.Slot(nil), slots...)
	for _, m := range moves {
		out[m.Slot] = state.Slot{Owner: m.To}
	}
	return out
}

func counts(slots []state.Slot) map[string]int {
	out := map[string]int{}
	for _, s := range slots {
		out[s.Owner]++
	}
	return out
}

var _ = Describe("a plan", func() {
	It("spreads new slots evenly", func() {
		slots := make([]state.Slot, 100)
		for _, n := range counts(apply(slots, Plan(Request{Slots: slots, Targets: targets(30)}))) {
			Expect(n).To(BeNumerically("~", 3.5, 0.5))
		}
	})

	It("moves nothing but the slots of the lost target", func() {
		all := targets(10)
		slots := apply(make([]state.Slot, 100), Plan(Request{Slots: make([]state.Slot, 100), Targets: all}))
		moves := Plan(Request{Slots: slots, Targets: all, Lost: map[string]bool{"t03": true}})
		Expect(moves).To(HaveLen(10))
		for _, m := range moves {
			Expect(slots[m.Slot].Owner).To(Equal("t03"))
			Expect(m.Lost).To(BeTrue())
		}
	})

	It("moves for balance within its budget only", func() {
		slots := apply(make([]state.Slot, 100), Plan(Request{Slots: make([]state.Slot, 100), Targets: targets(4)}))
		moves := Plan(Request{Slots: slots, Targets: targets(5), Imbalance: 1.1, Budget: 3})
		Expect(moves).To(HaveLen(3))
		Expect(Plan(Request{Slots: slots, Targets: targets(5), Imbalance: 1.1})).To(BeEmpty())
	})

	It("keeps slots where they are while the imbalance is small", func() {
		slots := apply(make([]state.Slot, 100), Plan(Request{Slots: make([]state.Slot, 100), Targets: targets(4)}))
		Expect(Plan(Request{Slots: slots, Targets: targets(4), Imbalance: 1.1, Budget: 100})).To(BeEmpty())
	})

	It("gives every slot a usable owner, whatever the start", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := targets(rapid.IntRange(1, 8).Draw(t, "targets"))
			lost := map[string]bool{}
			for i := range all {
				all[i].Draining = rapid.Bool().Draw(t, "draining")
				lost[all[i].ID] = rapid.Bool().Draw(t, "lost")
			}
			slots := make([]state.Slot, rapid.IntRange(1, 40).Draw(t, "slots"))
			for i := range slots {
				slots[i].Owner = rapid.SampledFrom([]string{"", "gone", "t00", "t01", "t02"}).Draw(t, "owner")
			}
			after := apply(slots, Plan(Request{Slots: slots, Targets: all, Lost: lost, Imbalance: 1.1, Budget: 5}))
			usable := map[string]bool{}
			for _, target := range all {
				if !target.Draining && !lost[target.ID] {
					usable[target.ID] = true
				}
			}
			for i, s := range after {
				if len(usable) > 0 && !usable[s.Owner] {
					t.Fatalf("slot %d is given to %q", i, s.Owner)
				}
			}
		})
	})
})
