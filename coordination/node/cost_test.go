package node

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/state"
)

// cost counts what a process of the harness spends on control. A nil cost counts nothing.
type cost struct {
	bytes      counter
	encoder    *gob.Encoder
	messages   int
	grants     int
	tableCalls int
	busy       time.Duration
	depth      int
}

// counter counts the bytes written to it.
type counter int

func (c *counter) Write(b []byte) (int, error) {
	*c += counter(len(b))
	return len(b), nil
}

func newCost() *cost {
	c := &cost{}
	// As in net/rpc one encoder serves a connection, so that types are described once.
	c.encoder = gob.NewEncoder(&c.bytes)
	return c
}

// rpcHeader is about what net/rpc adds to a call or an answer, in bytes.
const rpcHeader = 30

func (c *cost) sent(msg any) {
	if c == nil {
		return
	}
	c.messages++
	c.bytes += rpcHeader
	if err := c.encoder.Encode(msg); err != nil {
		panic(err)
	}
}

// httpHeader is about what a grant over HTTP costs beside its body, in bytes.
const httpHeader = 180

func (c *cost) sentGrant(g message.Grant) {
	if c == nil {
		return
	}
	c.grants++
	body, _ := json.Marshal(g)
	c.bytes += counter(len(body) + httpHeader)
}

func (c *cost) table() {
	if c != nil {
		c.tableCalls++
	}
}

// timed adds the processor time until the returned function is called.
func (c *cost) timed() func() {
	if c == nil || c.depth > 0 {
		return func() {}
	}
	c.depth++
	start := time.Now()
	return func() {
		c.depth--
		c.busy += time.Since(start)
	}
}

// idle runs a deployment without any event and returns its cost and that of its leader.
func idle(instances, targets int, slots int, d time.Duration) (h *harness, leader, follower *cost) {
	h = newHarness(1, ownership.ServiceSpec{Name: "bookings", Slots: slots, Fenced: true, Imbalance: 1.2})
	for i := range instances {
		h.addInstance(fmt.Sprintf("dc%d", i%3+1))
	}
	for range targets {
		h.addTarget()
	}
	h.run(5 * time.Second)
	for _, p := range h.procs {
		p.cost = newCost()
	}
	h.table.writes, h.table.calls = 0, 0
	h.run(d)
	follower = &cost{}
	for _, p := range h.procs {
		if p == h.leader() {
			leader = p.cost
			continue
		}
		follower.bytes += p.cost.bytes / counter(instances-1)
		follower.messages += p.cost.messages
		follower.grants += p.cost.grants
		follower.busy += p.cost.busy / time.Duration(instances-1)
	}
	return h, leader, follower
}

const idleTime = 20 * time.Second

// BenchmarkControl measures what control costs each second when nothing happens: bytes
// sent and processor time, for the leader and the mean of the others, and table calls of
// the whole deployment.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ instances, targets, slots int }{
		{3, 36, 1024}, {12, 36, 1024}, {50, 36, 1024}, {12, 9, 1024}, {12, 144, 1024}, {12, 36, 256}, {12, 36, 4096},
	} {
		b.Run(fmt.Sprintf("instances=%d/targets=%d/slots=%d", size.instances, size.targets, size.slots), func(b *testing.B) {
			for b.Loop() {
				h, leader, follower := idle(size.instances, size.targets, size.slots, idleTime)
				seconds := idleTime.Seconds()
				b.ReportMetric(float64(leader.bytes)/seconds, "leader-B/s")
				b.ReportMetric(float64(follower.bytes)/seconds, "other-B/s")
				b.ReportMetric(float64(leader.busy.Microseconds())/seconds, "leader-us/s")
				b.ReportMetric(float64(follower.busy.Microseconds())/seconds, "other-us/s")
				b.ReportMetric(float64(h.table.writes)/seconds, "table-writes/s")
				b.ReportMetric(float64(h.table.calls-h.table.writes)/seconds, "table-reads/s")
			}
		})
	}
}

// BenchmarkMapBytes measures the stored and the sent size of a map, for each slot.
func BenchmarkMapBytes(b *testing.B) {
	const slots = 4096
	for b.Loop() {
		h, _, _ := idle(3, 36, slots, time.Second)
		service := h.leader().node.owned.Services["bookings"]
		b.ReportMetric(float64(len(state.Encode(service)))/slots, "stored-B/slot")
		var sent counter
		if err := gob.NewEncoder(&sent).Encode(h.leader().node.owned); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(sent)/slots, "sent-B/slot")
	}
}

var _ = Describe("a deployment in which nothing happens", func() {
	It("writes at most two rows a second to the table", func() {
		h, _, _ := idle(12, 36, 256, idleTime)
		Expect(float64(h.table.writes) / idleTime.Seconds()).To(BeNumerically("<=", 2))
	})
})
