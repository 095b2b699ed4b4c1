package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/state"
)

var (
	schedules    = flag.Int("schedules", 12, "random schedules of faults")
	scheduleSeed = flag.Uint64("schedule-seed", 1, "seed of the first random schedule")
)

// mishap is one thing that goes wrong, or is done by an operator, in a random schedule.
type mishap struct {
	name string
	do   func(h *harness, r *rand.Rand)
}

func someProc(h *harness, r *rand.Rand) *proc { return h.procs[r.IntN(len(h.procs))] }

func someTarget(h *harness, r *rand.Rand) *fakeTarget { return h.targets[r.IntN(len(h.targets))] }

func someTime(r *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(longest)))
}

var mishaps = []mishap{
	{"freeze instance", func(h *harness, r *rand.Rand) { someProc(h, r).freeze(someTime(r, 8*time.Second)) }},
	{"freeze target", func(h *harness, r *rand.Rand) { someTarget(h, r).freeze(someTime(r, 8*time.Second)) }},
	{"replace instance", func(h *harness, r *rand.Rand) {
		h.end(someProc(h, r))
		h.addInstance(fmt.Sprintf("dc%d", r.IntN(3)+1))
	}},
	{"replace target", func(h *harness, r *rand.Rand) {
		h.end(&someTarget(h, r).proc)
		h.addTarget()
	}},
	{"target leaves", func(h *harness, r *rand.Rand) { h.lifecycle(someTarget(h, r).id, state.Leaving) }},
	{"target stays", func(h *harness, r *rand.Rand) { h.lifecycle(someTarget(h, r).id, state.Live) }},
	{"cut instances", func(h *harness, r *rand.Rand) {
		a, b := someProc(h, r).id, someProc(h, r).id
		h.block(a, b)
		h.after(someTime(r, 10*time.Second), func() { h.mend(a, b) })
	}},
	{"cut one way", func(h *harness, r *rand.Rand) {
		a, b := someProc(h, r).id, someProc(h, r).id
		h.blocked[[2]string{a, b}] = true
		h.after(someTime(r, 10*time.Second), func() { h.mend(a, b) })
	}},
	{"cut instance from table", func(h *harness, r *rand.Rand) {
		a := someProc(h, r).id
		h.block(a, "table")
		h.after(someTime(r, 10*time.Second), func() { h.mend(a, "table") })
	}},
	{"cut instance from target", func(h *harness, r *rand.Rand) {
		a, b := someProc(h, r).id, someTarget(h, r).id
		h.block(a, b)
		h.after(someTime(r, 10*time.Second), func() { h.mend(a, b) })
	}},
	{"table down", func(h *harness, r *rand.Rand) {
		h.table.down = true
		h.after(someTime(r, 15*time.Second), func() { h.table.down = false })
	}},
	{"table loses answers", func(h *harness, r *rand.Rand) {
		h.table.loseAnswers = true
		h.after(someTime(r, 5*time.Second), func() { h.table.loseAnswers = false })
	}},
	{"table slow", func(h *harness, r *rand.Rand) {
		h.table.delay = someTime(r, 800*time.Millisecond)
		h.after(someTime(r, 8*time.Second), func() { h.table.delay = 0 })
	}},
	{"messages lost and repeated", func(h *harness, r *rand.Rand) {
		h.lossy, h.repeated = 0.2*r.Float64(), 0.2*r.Float64()
		h.after(someTime(r, 8*time.Second), func() { h.lossy, h.repeated = 0, 0 })
	}},
	{"move a slot", func(h *harness, r *rand.Rand) {
		if l := h.leader(); l != nil {
			l.propose(message.Proposal{Kind: message.MoveSlot, Service: h.service.Name, Slot: r.IntN(h.service.Slots), Target: someTarget(h, r).id})
		}
	}},
	{"change rules", func(h *harness, r *rand.Rand) {
		if l := h.leader(); l != nil {
			l.propose(message.Proposal{Kind: message.ApplyRules, Base: l.node.rules.Version, ChangeID: fmt.Sprint(r.Uint64()), Text: "x"})
		}
	}},
}

func (h *harness) mend(a, b string) {
	delete(h.blocked, [2]string{a, b})
	delete(h.blocked, [2]string{b, a})
}

// runSchedule runs a random schedule of mishaps and returns what was done.
func runSchedule(seed uint64, service ownership.ServiceSpec) (*harness, string) {
	h, _ := started(seed, service)
	r := rand.New(rand.NewPCG(seed, 2))
	var done []string
	for range 12 {
		m := mishaps[r.IntN(len(mishaps))]
		done = append(done, fmt.Sprintf("%v %s", time.Duration(h.now), m.name))
		m.do(h, r)
		h.run(someTime(r, 3*time.Second))
	}
	return h, strings.Join(done, "\n")
}

// recover mends everything and lets the deployment settle.
func (h *harness) recover() {
	h.blocked = map[[2]string]bool{}
	h.table.down, h.table.loseAnswers, h.table.delay, h.table.failEvery = false, false, 0, 0
	h.lossy, h.repeated = 0, 0
	for _, p := range h.procs {
		p.wakeAt = h.now
	}
	for _, t := range h.targets {
		t.wakeAt = h.now
	}
	h.run(40 * time.Second)
}

var unfenced = ownership.ServiceSpec{Name: "bookings", Slots: 24, MovesPerMinute: 60, Imbalance: 1.2}

var _ = Describe("random schedules of faults", func() {
	DescribeTable("break no promise, and everything is served in the end",
		func(service ownership.ServiceSpec) {
			for n := range *schedules {
				seed := *scheduleSeed + uint64(n)
				h, done := runSchedule(seed, service)
				Expect(h.check.violations).To(BeEmpty(), "seed %d:\n%s", seed, done)
				h.recover()
				Expect(h.check.violations).To(BeEmpty(), "after recovery, seed %d:\n%s", seed, done)
				Expect(h.leader()).NotTo(BeNil(), "nobody leads after recovery, seed %d:\n%s", seed, done)
				for i, s := range h.leader().view.Map.Services[service.Name].Slots {
					owner := h.target(s.Owner)
					Expect(owner != nil && !owner.dead && !s.Moving()).To(BeTrue(), "slot %d is %+v after recovery, seed %d:\n%s", i, s, seed, done)
				}
			}
		},
		Entry("with targets that check grants", keyed),
		Entry("with targets that check nothing", unfenced),
	)
})

// Each entry plants a fault that no code of ours has. The checker has to see it.
var _ = DescribeTable("the checker notices",
	func(plant func(h *harness), want string) {
		h, _ := started(30, keyed)
		plant(h)
		h.run(20 * time.Millisecond)
		Expect(strings.Join(h.check.violations, "\n")).To(ContainSubstring(want))
	},
	Entry("two owners of a slot", func(h *harness) {
		owned, _ := h.slotsOf("t1")
		t2 := h.target("t2")
		t2.holdings.Slots()[owned[0]] = 1
	}, "is owned by"),
	Entry("a request that runs twice", func(h *harness) {
		h.check.ran(h.targets[0], 0, 100, "r")
		h.check.ran(h.targets[0], 0, 100, "r")
	}, "ran 2 times"),
	Entry("a request that runs after it was refused", func(h *harness) {
		h.check.refused("r")
		h.check.ran(h.targets[0], 0, 100, "r")
	}, "was refused as not run, and ran"),
	Entry("a request refused after it has run", func(h *harness) {
		h.check.ran(h.targets[0], 0, 100, "r")
		h.check.refused("r")
	}, "ran, and was refused"),
	Entry("a fence that shrinks", func(h *harness) {
		h.check.ran(h.targets[0], 0, 100, "r")
		h.check.ran(h.targets[0], 0, 99, "s")
	}, "under fence 99 after fence 100"),
	Entry("two targets under one fence", func(h *harness) {
		h.check.ran(h.targets[0], 0, 100, "r")
		h.check.ran(h.targets[1], 0, 100, "s")
	}, "under fence 100"),
	Entry("a version that goes back", func(h *harness) {
		p := h.procs[0]
		v := p.view
		v.Map = ownership.Empty()
		h.check.view(p, v)
	}, "went back"),
)
