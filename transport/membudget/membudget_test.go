package membudget

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
)

func TestMembudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Membudget")
}

var _ = DescribeTable("a decision",
	func(l Load, a Ask, want Decision) {
		l.Limit, l.ConnectionLimit = 1000, 200
		Expect(Decide(l, a)).To(Equal(want))
	},
	Entry("admits into an empty budget", Load{}, Ask{Known: 10, Expected: 20}, Decision{Admitted: true}),
	Entry("admits a small request beside large ones", Load{Held: 800}, Ask{Expected: 10}, Decision{Admitted: true}),
	Entry("refuses a large one there", Load{Held: 800, ReleaseRate: 100}, Ask{Expected: 100}, Decision{RetryAfter: 1500 * time.Millisecond}),
	Entry("tells a later time after other refusals", Load{Held: 800, ReleaseRate: 100, Promised: 200}, Ask{Expected: 100}, Decision{RetryAfter: 3500 * time.Millisecond}),
	Entry("tells the longest time while nothing is released", Load{Held: 1000}, Ask{Expected: 1}, Decision{RetryAfter: maxRetryAfter}),
	Entry("refuses beyond the share of the connection", Load{Held: 400, ConnectionHeld: 200, ReleaseRate: 1000}, Ask{Expected: 10}, Decision{RetryAfter: minRetryAfter}),
	Entry("admits the only request of a connection", Load{Held: 400}, Ask{Expected: 300}, Decision{Admitted: true}),
	Entry("admits an estimate above the limit alone", Load{}, Ask{Known: 10, Expected: 5000}, Decision{Admitted: true}),
	Entry("refuses an estimate above the limit beside others", Load{Held: 1, ReleaseRate: 1}, Ask{Expected: 5000}, Decision{RetryAfter: time.Second}),
	Entry("says that a body above the limit can never be admitted", Load{}, Ask{Known: 1001}, Decision{TooLarge: true}),
)

type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

var _ = Describe("a budget", func() {
	It("never refuses a correction, and counts it against further requests", func() {
		b := New(&manualClock{}, Limits{Held: 1000, Connection: 1000}, nil)
		r, d := b.Reserve("a", Ask{Expected: 10})
		Expect(d.Admitted).To(BeTrue())
		r.Resize(5000)
		_, d = b.Reserve("b", Ask{Expected: 1})
		Expect(d).To(Equal(Decision{RetryAfter: maxRetryAfter}))
		r.Release()
		r.Release()
		Expect(b.Held()).To(BeZero())
		Expect(b.byConnection).To(BeEmpty())
		_, d = b.Reserve("b", Ask{Expected: 1})
		Expect(d.Admitted).To(BeTrue())
	})

	// Guards against refusals of running requests, and against lost counts, when a reload of the
	// settings turns the budget off and on.
	It("admits everything while it is off", func() {
		b := New(&manualClock{}, Limits{Held: 1000, Connection: 1000}, nil)
		r, _ := b.Reserve("a", Ask{Known: 100})
		b.Configure(Limits{})
		Expect(r.Grow(Ask{Known: 5000}).Admitted).To(BeTrue())
		none, d := b.Reserve("a", Ask{Known: 5000})
		Expect(d.Admitted).To(BeTrue())
		Expect(none.Size()).To(BeZero())
		none.Release()
		r.Release()
		Expect(b.Held()).To(BeZero())
		Expect((*Budget)(nil).Enabled()).To(BeFalse())
	})

	// Guards against callers with bodies that can never be admitted who keep out others.
	It("leaves no room for a request that is too large", func() {
		b := New(&manualClock{}, Limits{Held: 1000, Connection: 1000}, nil)
		_, d := b.Reserve("a", Ask{Known: 5000})
		Expect(d).To(Equal(Decision{TooLarge: true}))
		promised, due := b.promised.sums()
		Expect(promised + due).To(BeZero())
	})

	// Guards against a returning request that grows and takes the room left for other callers.
	It("deducts a returning request that grows from the promises once", func() {
		b := New(&manualClock{}, Limits{Held: 1000, Connection: 1000}, nil)
		b.promised.add(0, 300)
		r, _ := b.Reserve("a", Ask{Known: 50, Returning: true})
		Expect(r.Grow(Ask{Known: 100, Returning: true}).Admitted).To(BeTrue())
		_, due := b.promised.sums()
		Expect(due).To(BeEquivalentTo(200))
	})

	// Guards against refusals where the rules do not ask for the limit, and against lost counts when
	// they change during a request.
	It("reserves and refuses nothing while it is not in effect", func() {
		inEffect := false
		b := New(&manualClock{}, Limits{Held: 1000, Connection: 1000}, func() bool { return inEffect })
		Expect(b.Enabled()).To(BeFalse())
		none, d := b.Reserve("a", Ask{Known: 5000})
		Expect(d.Admitted).To(BeTrue())
		Expect(none).To(BeNil())
		inEffect = true
		Expect(b.Enabled()).To(BeTrue())
		r, _ := b.Reserve("a", Ask{Known: 900})
		_, d = b.Reserve("a", Ask{Known: 900})
		Expect(d.Admitted).To(BeFalse())
		inEffect = false
		Expect(r.Grow(Ask{Known: 5000}).Admitted).To(BeTrue())
		r.Release()
		Expect(b.Held()).To(BeZero())
		b.Configure(Limits{})
		inEffect = true
		Expect(b.Enabled()).To(BeFalse())
	})
})

var _ = Describe("a listener", func() {
	// Guards against slower connections where the budget is not in effect, and against a connection
	// whose buffer changes during its life.
	It("limits the send buffers of the connections accepted while the budget is on", func() {
		var inEffect atomic.Bool
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(plain.Close)
		l := NewListener(plain, New(&manualClock{}, Limits{Held: 1000, Connection: 1000}, inEffect.Load))
		accept := func(l net.Listener) net.Conn {
			caller, err := net.Dial("tcp", plain.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(caller.Close)
			conn, err := l.Accept()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			return conn
		}
		usual := sendBuffer(accept(plain))
		before := accept(l)
		Expect(sendBuffer(before)).To(Equal(usual))
		inEffect.Store(true)
		// The kernel doubles the size.
		Expect(sendBuffer(accept(l))).To(Equal(2 * writeBufferBytes))
		Expect(usual).NotTo(Equal(2 * writeBufferBytes))
		Expect(sendBuffer(before)).To(Equal(usual))
		inEffect.Store(false)
		Expect(sendBuffer(accept(l))).To(Equal(usual))
	})
})

func sendBuffer(conn net.Conn) (size int) {
	GinkgoHelper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var optionErr error
	Expect(raw.Control(func(fd uintptr) {
		size, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
	})).To(Succeed())
	Expect(optionErr).NotTo(HaveOccurred())
	return size
}

// loadKind is a kind of request of the seeded load.
type loadKind struct {
	perSecond       float64
	mean, max       int64
	running, writes time.Duration
}

// loadResult counts the requests of a kind. retried counts the requests that came back at the time
// that their refusal named, cameInTime those of them that were admitted then.
type loadResult struct {
	requests, admitted, retried, cameInTime int
}

// loadEvent is something that happens at a time of the load.
type loadEvent struct {
	at  time.Duration
	run func()
}

// simulateLoad runs kinds of requests against a budget for 60 s. Responses have exponentially
// distributed sizes, which are known when the request has run; then they are written. A refused
// caller comes back once, at the time that it was told. It returns the results and the largest share
// of the limit that was held.
func simulateLoad(seed uint64, limit int64, kinds ...loadKind) (results []loadResult, highest float64) {
	c := &manualClock{}
	b := New(c, Limits{Held: limit, Connection: limit / 4}, nil)
	random := rand.New(rand.NewPCG(seed, 0))
	var events []loadEvent
	after := func(d time.Duration, run func()) {
		e := loadEvent{time.Duration(c.now) + d, run}
		n, _ := slices.BinarySearchFunc(events, e, func(a, b loadEvent) int { return cmp.Compare(a.at, b.at) })
		events = slices.Insert(events, n, e)
	}
	results = make([]loadResult, len(kinds))
	connection := 0
	for n, k := range kinds {
		count := &results[n]
		var send func(retry bool)
		send = func(retry bool) {
			connection++
			r, d := b.Reserve(string(rune(connection)), Ask{Expected: k.mean, Returning: retry})
			if d.Admitted {
				count.admitted++
				if retry {
					count.cameInTime++
				}
				size := min(k.max, int64(random.ExpFloat64()*float64(k.mean)))
				after(k.running, func() { r.Resize(size) })
				after(k.running+k.writes, r.Release)
			} else if !retry {
				count.retried++
				after(d.RetryAfter, func() { send(true) })
			}
		}
		var arrive func()
		arrive = func() {
			count.requests++
			send(false)
			after(time.Duration(random.ExpFloat64()/k.perSecond*float64(time.Second)), arrive)
		}
		arrive()
	}
	for len(events) > 0 && events[0].at < time.Minute {
		e := events[0]
		events = events[1:]
		c.now = clock.Instant(e.at)
		e.run()
		highest = max(highest, float64(b.Held())/float64(limit))
	}
	return results, highest
}

var _ = Describe("a seeded load of many small requests beside large ones near the limit", func() {
	small := loadKind{perSecond: 100, mean: 21 << 10, max: 40 << 10, running: 100 * time.Millisecond, writes: 5 * time.Millisecond}
	large := func(writes time.Duration) loadKind {
		return loadKind{perSecond: 30, mean: 106 << 10, max: 556 << 10, running: 200 * time.Millisecond, writes: writes}
	}

	// Guards against large responses to slow callers that use up the memory of small requests, and
	// against a Retry-After at which new requests have taken the room that it promised.
	DescribeTable("admits the small ones, and large ones as far as there is room", func(writes time.Duration, largeShare, inTimeShare float64) {
		for seed := range uint64(3) {
			results, highest := simulateLoad(seed, 8<<20, small, large(writes))
			Expect(results[0].retried).To(BeZero())
			Expect(highest).To(BeNumerically("<=", 1))
			Expect(float64(results[1].admitted) / float64(results[1].requests)).To(BeNumerically(">", largeShare))
			Expect(float64(results[1].cameInTime)).To(BeNumerically(">=", inTimeShare*float64(results[1].retried)))
		}
	},
		Entry("with fast callers", 500*time.Millisecond, 0.99, 0.0),
		Entry("with slow callers, near the limit", 1500*time.Millisecond, 0.9, 0.6),
		Entry("with slow callers and 1.2 times the load", 3*time.Second, 0.5, 0.4),
		Entry("with slower callers and twice the load", 5*time.Second, 0.3, 0.2),
	)
})

var _ = Describe("a body", func() {
	// The specs of upstream cover bodies of known length.
	It("of unknown length is read up to the limit", func() {
		read := func(length int) (body []byte, largest int64, err error) {
			body, err = ReadBody(strings.NewReader(strings.Repeat("x", length)), -1, 10_000, func(size int64) error {
				largest = max(largest, size)
				return nil
			})
			return body, largest, err
		}
		for _, length := range []int{0, 1, 4096, 9999, 10_000} {
			body, _, err := read(length)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(HaveLen(length))
		}
		_, largest, err := read(10_001)
		Expect(err).To(MatchError(ErrTooLarge))
		Expect(largest).To(BeEquivalentTo(10_001))
	})
})
