package node

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/ownership"
)

var update = flag.Bool("update", false, "write the golden files anew")

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Node")
}

// keyed is the service of most sessions.
var keyed = ownership.ServiceSpec{Name: "bookings", Slots: 24, Fenced: true, MovesPerMinute: 60, Imbalance: 1.2}

// started returns a harness with three instances in three data centres and four targets,
// after the start has settled, under load.
func started(seed uint64, service ownership.ServiceSpec) (*harness, *load) {
	h := newHarness(seed, service)
	for i := range 3 {
		h.addInstance(fmt.Sprintf("dc%d", i+1))
	}
	for range 4 {
		h.addTarget()
	}
	h.run(3 * time.Second)
	l := h.startLoad(10 * time.Millisecond)
	h.run(time.Second)
	l.mark()
	return h, l
}

// record collects what a golden file holds.
type record struct {
	text strings.Builder
	seen int
	h    *harness
}

func (h *harness) startRecord() *record { return &record{h: h, seen: len(h.timeline())} }

// note writes a line about what is done to the deployment.
func (s *record) note(format string, args ...any) {
	s.events()
	fmt.Fprintf(&s.text, "== "+format+"\n", args...)
}

// events writes the events since the last call.
func (s *record) events() {
	all := s.h.timeline()
	for _, e := range all[min(s.seen, len(all)):] {
		s.text.WriteString(e.String() + "\n")
	}
	s.seen = len(all)
}

// matches compares the session with its golden file.
func (s *record) matches(name string) {
	GinkgoHelper()
	s.events()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(s.text.String()), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred(), "run the test with -update to write it")
	Expect(s.text.String()).To(Equal(string(want)))
}

// measured writes the unavailable time of some slots.
func (s *record) measured(l *load, what string, slots []int) (median, worst time.Duration) {
	s.events()
	median, worst = l.gaps(slots)
	fmt.Fprintf(&s.text, "-- %s: without an answer for %v (median), %v (worst)\n", what, median, worst)
	return median, worst
}

// expectServed asserts that no slot was without an answer for longer than it takes a dead
// instance's turn in the load to pass.
func (s *record) expectServed(l *load, what string, slots []int) {
	GinkgoHelper()
	_, worst := s.measured(l, what, slots)
	Expect(worst).To(BeNumerically("<=", 3*l.every))
	l.mark()
}

func (h *harness) expectNoViolation() {
	GinkgoHelper()
	Expect(h.check.violations).To(BeEmpty())
}
