package lead

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/store"
)

// writtenRules is the stored form of the rules in these tests.
type writtenRules struct {
	Version uint64
	Weight  int
	Rules   []rules.Rule
}

// rulesStore holds rules, and counts scans and decodings.
type rulesStore struct {
	tableStore
	scans, decodes int
}

func newRulesStore() *rulesStore {
	return &rulesStore{tableStore: tableStore{rows: map[string]string{}}}
}

func (s *rulesStore) Scan(ctx context.Context, table, part string) ([]store.Row, uint64, error) {
	s.scans++
	return s.tableStore.Scan(ctx, table, part)
}

func (s *rulesStore) source() Source {
	return Source{
		RulesTable: "rules",
		IsRules:    func(row store.Row) bool { return row.Key == "rules" },
		DecodeRules: func(value []byte) (uint64, *rules.Set, error) {
			s.decodes++
			var w writtenRules
			if err := json.Unmarshal(value, &w); err != nil {
				return 0, nil, err
			}
			set, err := rules.Build("rules", []rules.Service{{Name: "plain"}, {Name: "other"}}, w.Rules)
			return w.Version, set, err
		},
	}
}

// write stores a version of the rules with the given number of rules after the first; weight is a
// weight in the first rule.
func (s *rulesStore) write(version uint64, count, weight int) {
	GinkgoHelper()
	w := writtenRules{Version: version, Rules: []rules.Rule{{
		Name: "shared", When: rules.When{Prefix: "/shared/"},
		Then: rules.Then{Backends: []rules.Backend{{Service: "plain", Weight: weight}, {Service: "other", Weight: 100 - weight}}},
	}}}
	for i := range count {
		w.Rules = append(w.Rules, rules.Rule{
			Name: fmt.Sprint("r-", i), When: rules.When{Host: []string{"a.example"}, Prefix: fmt.Sprintf("/added%d/", i)}, Then: rules.Then{Route: "plain"},
		})
	}
	text, err := json.Marshal(w)
	Expect(err).NotTo(HaveOccurred())
	s.put("rules", string(text))
}

func (s *rulesStore) coordinator() *Coordinator {
	return New(Config{Source: s.source()}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, discardLog)
}

// sizeOf returns the encoded size of a reply in bytes.
func sizeOf(reply *peerapi.SyncReply) int {
	GinkgoHelper()
	var b bytes.Buffer
	Expect(gob.NewEncoder(&b).Encode(reply)).To(Succeed())
	return b.Len()
}

var _ = Describe("a large set of rules", func() {
	const count = 4200
	var (
		s                *rulesStore
		leader, follower *Coordinator
	)

	read := func(c *Coordinator) {
		GinkgoHelper()
		_, err := c.reader.readRules(context.Background(), 0)
		Expect(err).NotTo(HaveOccurred())
	}

	weight := func(c *Coordinator) int {
		return c.board.Snapshot().Rules.Rules()[0].Then.Backends[0].Weight
	}

	BeforeEach(func() {
		s = newRulesStore()
		leader, follower = s.coordinator(), s.coordinator()
		s.write(1, count, 50)
		read(leader)
		syncOnce(leader, follower)
	})

	// Guards against sending all rules for each change. When one of 4,200 routes changed, all
	// instances received all of them: the leader of 61 instances sent 30 MB for two changes, and
	// instances with small links got the change 2.9 s late.
	It("is sent as the changes since the follower's version", func() {
		s.write(2, count, 60)
		read(leader)
		Expect(sizeOf(syncOnce(leader, follower))).To(BeNumerically("<", 4<<10))
		Expect(follower.board.Snapshot().RulesVersion).To(Equal(uint64(2)))
		Expect(weight(follower)).To(Equal(60))
	})

	// Guards against reads of the store by all small instances whenever the rules change. A
	// follower is busy decoding a version that it has received; its snapshot becomes older than 1.2
	// s; it reads the store. That read was one of the whole table and decoded the current version
	// again, which delayed the change even more.
	It("is not read again by an instance that has received it", func() {
		decodes, scans := s.decodes, s.scans
		read(follower)
		Expect(s.decodes).To(Equal(decodes))
		Expect(s.scans).To(Equal(scans))
		Expect(follower.board.Snapshot().RulesVersion).To(Equal(uint64(1)))
	})
})

// waitingStore answers a feed when there is a change or the feed's wait is over.
type waitingStore struct {
	mu sync.Mutex
	rulesStore
}

func (s *waitingStore) Scan(ctx context.Context, table, part string) ([]store.Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rulesStore.Scan(ctx, table, part)
}

func (s *waitingStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	for end := time.Now().Add(wait); ; sleep(ctx, 5*time.Millisecond) {
		s.mu.Lock()
		rows, next, err := s.rulesStore.Feed(ctx, table, after, wait)
		s.mu.Unlock()
		if len(rows) > 0 || err != nil || ctx.Err() != nil || time.Now().After(end) {
			return rows, next, err
		}
	}
}

var _ = Describe("an instance that reads the rules for others", func() {
	// Guards against followers that read the store whenever the rules change, and decode what they
	// receive a moment later. If a change ends a feed after half a second, the result counts as
	// read when the feed began. If the next feed then waits for 0.6 s, the snapshot is almost 1.2 s
	// old, from which on followers read the store themselves.
	It("has a fresh snapshot, also after a change", func() {
		s := &waitingStore{rulesStore: *newRulesStore()}
		s.write(1, 1, 50)
		c := New(Config{Source: s.source()}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, discardLog)
		ctx, cancel := context.WithCancel(context.Background())
		var reading sync.WaitGroup
		reading.Go(func() { c.pollRules(ctx) })
		DeferCleanup(func() {
			cancel()
			reading.Wait()
		})
		age := func() time.Duration {
			now := c.clock.Now()
			c.board.ConfirmTargets(now)
			return now.Sub(c.board.CurrentAsOf())
		}
		Eventually(age, "2s", "1ms").Should(BeNumerically("<", time.Second))
		for change := range 4 {
			// Make the change late in the wait of a feed.
			Eventually(age, "2s", "1ms").Should(BeNumerically(">", rulesFeedWait*5/6))
			s.mu.Lock()
			s.write(uint64(2+change), 1, 60)
			s.mu.Unlock()
			Eventually(func() uint64 { return c.board.Snapshot().RulesVersion }, "2s", "1ms").Should(Equal(uint64(2 + change)))
			Consistently(age, "1s", "5ms").Should(BeNumerically("<", rulesFeedWait+350*time.Millisecond))
		}
	})
})

// unresponsiveStore does not answer while unresponsive is set, and counts the calls that wait for
// it.
type unresponsiveStore struct {
	waitingStore
	unresponsive atomic.Bool
	waiting      atomic.Int64
}

func (s *unresponsiveStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	if err := s.waitWhileUnresponsive(ctx); err != nil {
		return nil, 0, err
	}
	return s.waitingStore.Feed(ctx, table, after, wait)
}

func (s *unresponsiveStore) Scan(ctx context.Context, table, part string) ([]store.Row, uint64, error) {
	if err := s.waitWhileUnresponsive(ctx); err != nil {
		return nil, 0, err
	}
	return s.waitingStore.Scan(ctx, table, part)
}

// waitWhileUnresponsive makes a call that arrives while unresponsive is set wait until its context
// is done.
func (s *unresponsiveStore) waitWhileUnresponsive(ctx context.Context) error {
	if !s.unresponsive.Load() {
		return nil
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	<-ctx.Done()
	return store.ErrOutcomeUnknown
}

var _ = Describe("a read that the store does not answer", func() {
	// Guards against a change that the store acknowledged after an outage and that no instance
	// knows for another 1.6 s. An instance hears that the store is available again and leads, but
	// its read of the rules began during the outage, will not be answered, and was ended only by
	// its own timeout.
	It("is repeated when another call shows that the store is available again", func() {
		s := &unresponsiveStore{waitingStore: waitingStore{rulesStore: *newRulesStore()}}
		s.write(1, 1, 50)
		s.unresponsive.Store(true)
		c := New(Config{Source: s.source()}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, discardLog)
		ctx, cancel := context.WithCancel(context.Background())
		var reading sync.WaitGroup
		DeferCleanup(func() {
			cancel()
			reading.Wait()
		})
		c.noteStoreResult(ctx, store.ErrOutcomeUnknown)
		c.storeUnavailableSince = c.storeUnavailableSince.Add(-minOutage)
		reading.Go(func() { c.pollRules(ctx) })
		Eventually(s.waiting.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		s.unresponsive.Store(false)
		c.noteStoreResult(ctx, nil)
		Eventually(func() uint64 { return c.board.Snapshot().RulesVersion }, "500ms", "5ms").Should(Equal(uint64(1)))
	})
})
