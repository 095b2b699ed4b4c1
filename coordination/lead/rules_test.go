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

// writtenRules is a configuration as the store of these tests holds it.
type writtenRules struct {
	Version uint64
	Weight  int
	Rules   []rules.Rule
}

// rulesStore holds a configuration, and counts what is done with it.
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

// write puts a configuration with many rules into the store; weight is that of the first.
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
	return New(Config{Source: s.source()}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, quiet)
}

// sizeOf returns how many bytes a reply has on the network.
func sizeOf(reply *peerapi.SyncReply) int {
	GinkgoHelper()
	var b bytes.Buffer
	Expect(gob.NewEncoder(&b).Encode(reply)).To(Succeed())
	return b.Len()
}

var _ = Describe("a large configuration", func() {
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
		return c.board.Load().Rules.Rules()[0].Then.Backends[0].Weight
	}

	BeforeEach(func() {
		s = newRulesStore()
		leader, follower = s.coordinator(), s.coordinator()
		s.write(1, count, 50)
		read(leader)
		tell(leader, follower)
	})

	// Symptom: a change of one weight comes into force 2.9 s late on small links, and the
	// leading instance of 61 sends 30 MB for two changes.
	// Sequence: the operators change one of 4,200 routes; all others are told all of them.
	// Cause: a configuration was passed on as the store holds it, whatever the other had.
	// Evidence: bytes sent grew with versions, instances and the size of the configuration.
	It("is told by what has changed", func() {
		s.write(2, count, 60)
		read(leader)
		Expect(sizeOf(tell(leader, follower))).To(BeNumerically("<", 4<<10))
		Expect(follower.board.Load().RulesVersion).To(Equal(uint64(2)))
		Expect(weight(follower)).To(Equal(60))
	})

	// Symptom: all small instances read the store while the configuration changes, and come
	// into force even later. Sequence: an instance hears of a version from the leading one and
	// is busy with it; what it knows grows older than 1.2 s; it reads the store.
	// Cause: a reading began with the whole table and decoded what it found, also the version
	// that was in force.
	// Evidence: calls to the store by each small instance, and by none at other times; one
	// adoption for two decodings.
	It("is not read again by an instance that was told it", func() {
		decodes, scans := s.decodes, s.scans
		read(follower)
		Expect(s.decodes).To(Equal(decodes))
		Expect(s.scans).To(Equal(scans))
		Expect(follower.board.Load().RulesVersion).To(Equal(uint64(1)))
	})
})

// waitingStore answers a feed when there is a change, or its time to wait is over.
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

var _ = Describe("an instance that reads the configuration for others", func() {
	// Symptom: some followers read the store whenever the configuration changes, and decode what
	// they are told a moment later. Sequence: a change ends a feed that has waited for half a
	// second; what was read counts as known since the feed began, and the next feed waits for
	// 0.6 s. Cause: together that is nearly the 1.2 s from which on a follower reads itself.
	It("knows it as of a moment ago, also after a change", func() {
		s := &waitingStore{rulesStore: *newRulesStore()}
		s.write(1, 1, 50)
		c := New(Config{Source: s.source()}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, quiet)
		ctx, cancel := context.WithCancel(context.Background())
		var reading sync.WaitGroup
		reading.Go(func() { c.readRules(ctx) })
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
			// Late in the wait of a feed.
			Eventually(age, "2s", "1ms").Should(BeNumerically(">", rulesWait*5/6))
			s.mu.Lock()
			s.write(uint64(2+change), 1, 60)
			s.mu.Unlock()
			Eventually(func() uint64 { return c.board.Load().RulesVersion }, "2s", "1ms").Should(Equal(uint64(2 + change)))
			Consistently(age, "1s", "5ms").Should(BeNumerically("<", rulesWait+350*time.Millisecond))
		}
	})
})

// silentStore does not answer while it is silent, and counts what waits for it.
type silentStore struct {
	waitingStore
	silent  atomic.Bool
	waiting atomic.Int64
}

func (s *silentStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]store.Row, uint64, error) {
	if err := s.hang(ctx); err != nil {
		return nil, 0, err
	}
	return s.waitingStore.Feed(ctx, table, after, wait)
}

func (s *silentStore) Scan(ctx context.Context, table, part string) ([]store.Row, uint64, error) {
	if err := s.hang(ctx); err != nil {
		return nil, 0, err
	}
	return s.waitingStore.Scan(ctx, table, part)
}

// hang never returns to a call that came while the store was silent, until that is given up.
func (s *silentStore) hang(ctx context.Context) error {
	if !s.silent.Load() {
		return nil
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	<-ctx.Done()
	return store.ErrOutcomeUnknown
}

var _ = Describe("a reading that hangs", func() {
	// Symptom: a change that was acknowledged when the store was back after some seconds is known
	// nowhere for another 1.6 s. Sequence: the store is silent; an instance hears that it is back
	// and leads; its reading of the configuration began a moment before and waits for an answer
	// that will not come. Cause: each call had only its own time limit, whatever others had shown.
	It("is begun anew when another call shows that the store is back", func() {
		s := &silentStore{waitingStore: waitingStore{rulesStore: *newRulesStore()}}
		s.write(1, 1, 50)
		s.silent.Store(true)
		c := New(Config{Source: s.source()}, clock.System{}, s, view.NewBoard(clock.System{}), nil, nil, nil, quiet)
		ctx, cancel := context.WithCancel(context.Background())
		var reading sync.WaitGroup
		DeferCleanup(func() {
			cancel()
			reading.Wait()
		})
		c.noteStore(ctx, store.ErrOutcomeUnknown)
		c.lostAt = c.lostAt.Add(-shortOutage)
		reading.Go(func() { c.readRules(ctx) })
		Eventually(s.waiting.Load, "2s", "5ms").Should(BeEquivalentTo(1))
		s.silent.Store(false)
		c.noteStore(ctx, nil)
		Eventually(func() uint64 { return c.board.Load().RulesVersion }, "500ms", "5ms").Should(Equal(uint64(1)))
	})
})
