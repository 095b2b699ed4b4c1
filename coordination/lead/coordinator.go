package lead

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/targetstatus"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/state/store"
)

// Log writes one line about a decision or a change of belief: its name, then names and
// values in turn. It does not block.
type Log func(event string, fields ...any)

// Peers calls other instances.
type Peers interface {
	Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error)
}

// Orders carries orders to targets.
type Orders interface {
	Do(ctx context.Context, o assign.Order) (outcome assign.Outcome, handover string, sentAt clock.Instant)
	RetainTargets(keep func(target string) bool)
}

// Config of a Coordinator.
type Config struct {
	Self   view.Instance
	Source Source
	// Seeds are the addresses of instances to ask before any others are known.
	Seeds []string
	// HoldMax is the longest hold of a grant that targets accept.
	HoldMax time.Duration
	Policy  keyrange.Policy
	// Quarantine is what this instance knows of requests under which targets have ended; nil: nothing
	// that others of its process have to do with.
	Quarantine *quarantine.Registry
	// TargetStatus is what targets have said of themselves to this instance; nil: nothing is heard here.
	TargetStatus *targetstatus.Registry
}

// Rows of ours in the store. The lease and the maps share a part, so that each change of a
// map can be conditional on the lease.
const (
	table    = "lycheehall"
	part     = "coordination"
	leaseKey = "lease"
	// quarantineKey is the row of the requests that are to reach no target.
	quarantineKey = "quarantine"
	mapKey        = "map/"
)

// Coordinator is one instance's part in acting together.
type Coordinator struct {
	config    Config
	clock     clock.Clock
	store     store.Store
	board     *view.Board
	peers     Peers
	orders    Orders
	collector *demand.Collector
	total     *demand.Aggregator
	log       Log
	reader    *reader
	// standing is what targets have said that they leave; the leading instance empties them.
	standing *targetstatus.Registry
	// quarantine is told and collected along with the reports.
	quarantine *quarantine.Registry

	wake chan struct{}

	mu       sync.Mutex
	observer lease.Observer
	// leader is the last known holder of the lease.
	leader lease.Row
	// term is this instance's leadership, nil while it follows.
	term    *term
	leaving bool
	storeOK bool
	// lostAt is when the store was last lost.
	lostAt clock.Instant
	outage outage
	// failedAt is when a call to the store failed last.
	failedAt clock.Instant
	lastSync clock.Instant
	// rulesRefused says that rules which another instance told could not be taken over.
	rulesRefused bool
	// lost is the holder that was found not to lead any more.
	lost string
	// former is what this instance knew when the store came back from a copy while it led.
	former former
	// heardLeader says that this instance has led, or an instance that leads has answered it.
	heardLeader bool
	// leaderKnown is closed when the next leader is found.
	leaderKnown chan struct{}
	// heard is closed when this instance has heard of the lease, from the store or its holder.
	heard chan struct{}
	// lookedAt is when the lease's row was last read here.
	lookedAt clock.Instant
	started  clock.Instant
	// neverLed says that the last look found that no instance has ever held the lease.
	neverLed bool
	// mayRead is closed when this instance may read the store.
	mayRead chan struct{}
	// handedOver is when this instance last gave the lease up for a larger one.
	handedOver clock.Instant
	// vacated is the newest term that was given up by word.
	vacated vacated
	// answeredAt is when the store answered a call made for the leading instance.
	answeredAt clock.Instant
	// ranked is who had which duty when that was last looked for.
	ranked duties
	// silent says when relays last failed to answer.
	silent map[string]clock.Instant
	// relaysAnsweredAt is when a relay last answered this instance, whose knowledge had become old.
	relaysAnsweredAt clock.Instant
	// refreshAt is when it last asked relays for that reason, relaysFailed that this did not help.
	refreshAt    clock.Instant
	relaysFailed bool
	// leaderAnsweredAt is when the leading instance itself last answered a report of this one.
	leaderAnsweredAt clock.Instant
	// below are the instances that report through this one, by ID.
	below map[string]*downstream
	// asking is the number of reports that are held here.
	asking atomic.Int64
	// told is what this instance has told others, or been told.
	told told
}

// New returns a coordinator. Nothing happens before Run.
func New(config Config, c clock.Clock, s store.Store, board *view.Board, peers Peers, orders Orders, collector *demand.Collector, log Log) *Coordinator {
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewRegistry(time.Now)
	}
	if config.TargetStatus == nil {
		config.TargetStatus = targetstatus.NewRegistry(c, 0)
	}
	return &Coordinator{
		config: config, clock: c, store: s, board: board, peers: peers, orders: orders,
		collector: collector, total: demand.NewAggregator(), log: log,
		reader: newReader(c, s, config.Source, board, log), quarantine: config.Quarantine, standing: config.TargetStatus,
		wake: make(chan struct{}, 1), lastSync: clock.Never, storeOK: true,
		leaderKnown: make(chan struct{}), heard: make(chan struct{}), lookedAt: clock.Never, answeredAt: clock.Never, started: c.Now(),
		silent: map[string]clock.Instant{}, below: map[string]*downstream{}, leaderAnsweredAt: clock.Never, relaysAnsweredAt: clock.Never, refreshAt: clock.Never, outage: newOutage(), handedOver: clock.Never, mayRead: make(chan struct{}),
	}
}

// Leading reports whether this instance may act as the leading one at this moment.
func (c *Coordinator) Leading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term != nil && c.term.valid(c.clock.Now())
}

// Leader returns the last known holder of the lease.
func (c *Coordinator) Leader() lease.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Run coordinates until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.follow(ctx) })
	for _, read := range []func(context.Context){c.readRules, c.readTargets} {
		running.Go(func() {
			select {
			case <-c.mayRead:
				read(ctx)
			case <-ctx.Done():
			}
		})
	}
	running.Wait()
}

// Leave ends this instance's leadership and tells the others that it takes no duties.
func (c *Coordinator) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	t := c.term
	c.mu.Unlock()
	if t != nil {
		t.resign(ctx)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
