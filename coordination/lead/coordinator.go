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
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/coordination/targetstatus"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/state/store"
)

// Log writes one line about a decision or a change of state: an event name, then alternating field
// names and values. It does not block.
type Log func(event string, fields ...any)

// PeerClient calls other instances.
type PeerClient interface {
	// Sync sends a report to the instance at the address, which is the host and port at which other
	// instances connect to it, and returns its reply. That instance may delay the reply by up to
	// args.Wait while it has no update.
	Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error)
}

// OrderSender sends orders to targets.
type OrderSender interface {
	// Do sends an order. It returns the outcome, the handover reference of the target's response to
	// a release (see assign.Order.Handover), and when the order was sent; clock.Never if it was not
	// sent.
	Do(ctx context.Context, o assign.Order) (outcome assign.Outcome, handover string, sentAt clock.Instant)
	// CloseIdleExcept closes the idle connections to all targets for which keep returns false.
	CloseIdleExcept(keep func(target string) bool)
}

// Config holds the settings of a Coordinator and the objects that it uses.
type Config struct {
	Self   view.Instance
	Source Source
	// Seeds are the addresses of instances to ask before any others are known.
	Seeds []string
	// HoldMax is the longest hold of a grant that targets accept.
	HoldMax time.Duration
	// Policy sets when keys are moved to balance the load. Its Imbalance is replaced by that of
	// each service's rules, and its MaxMoves by a number that assign.Manager computes.
	Policy keyrange.Policy
	// Quarantine holds the requests that have crashed targets. If nil, the coordinator creates a
	// tracker of its own.
	Quarantine *quarantine.Tracker
	// TargetStatus holds the status that targets have reported in responses to this instance. If
	// nil, the coordinator creates a tracker of its own.
	TargetStatus *targetstatus.Tracker
	// Quota has this instance's shares of limits on all instances. If nil, the coordinator creates a
	// holder of its own.
	Quota *quota.Holder
	// PlaceByLateness reports whether keys are placed by the effect of targets on lateness, see
	// keyrange.Allocation. If nil, they are not. It must not block.
	PlaceByLateness func() bool
}

// Rows of this package in the store. The lease and the maps share a part, so that each change of a
// map can be conditional on the lease.
const (
	table    = "lycheehall"
	part     = "coordination"
	leaseKey = "lease"
	// quarantineKey is the row that lists quarantined requests.
	quarantineKey = "quarantine"
	mapKeyPrefix  = "map/"
)

// Coordinator takes part in the coordination on behalf of one instance, as leader or follower.
type Coordinator struct {
	config     Config
	clock      clock.Clock
	store      store.Store
	board      *view.Board
	peers      PeerClient
	orders     OrderSender
	collector  *demand.Collector
	aggregator *demand.Aggregator
	log        Log
	reader     *reader
	// targetStatus holds all statuses that targets have reported in responses to this instance, and
	// the targets that other instances have reported as leaving. The leader moves the keys of
	// leaving targets away.
	targetStatus *targetstatus.Tracker
	// quarantine is synchronized between instances along with the reports.
	quarantine *quarantine.Tracker

	wake chan struct{}

	mu       sync.Mutex
	observer lease.Observer
	// leader is the last known holder of the lease.
	leader lease.Row
	// term is this instance's leadership; nil while it follows.
	term           *term
	shuttingDown   bool
	storeAvailable bool
	// storeUnavailableSince is when the store last became unavailable.
	storeUnavailableSince clock.Instant
	outage                outage
	// storeFailedAt is when a call to the store last failed.
	storeFailedAt clock.Instant
	lastSync      clock.Instant
	// rulesRefused says that the rules of the last reply could not be adopted.
	rulesRefused bool
	// lostLeader is the ID of the last leader that did not reply or replied that it does not lead,
	// or of this instance if its own term has ended since; empty while a leader replies to this
	// instance.
	lostLeader string
	// formerTerm is what this instance knew when the store was restored from a backup while it led.
	formerTerm formerTerm
	// heardFromLeader says that this instance has led, or that a leader has replied to it.
	heardFromLeader bool
	// leaderFound is closed and replaced when the next leader is found.
	leaderFound chan struct{}
	// becameCurrent is closed and replaced when this instance has read the lease, or has had a
	// reply from the leader, directly or through a relay.
	becameCurrent chan struct{}
	// leaseReadAt is when this instance last read the lease row.
	leaseReadAt clock.Instant
	startedAt   clock.Instant
	// leaseNeverHeld says that at the last read no instance had ever held the lease.
	leaseNeverHeld bool
	// mayReadStore is closed when this instance may read the store.
	mayReadStore chan struct{}
	// gaveUpToLargerAt is when this instance last gave the lease up to a larger instance.
	gaveUpToLargerAt clock.Instant
	// givenUpTerm is the newest term whose leader has announced that it gave it up.
	givenUpTerm givenUpTerm
	// storeAnsweredAt is when the store last answered a probe made for the leader.
	storeAnsweredAt clock.Instant
	// cachedDuties caches which instances have which duty.
	cachedDuties duties
	// unresponsive holds the time of the last failed call to each relay, by address.
	unresponsive map[string]clock.Instant
	// relaysRepliedAt is when a relay last replied to this instance while its snapshot was stale.
	relaysRepliedAt clock.Instant
	// refreshedAt is when this instance last asked relays because its snapshot was stale;
	// refreshFailed says that the snapshot stayed stale.
	refreshedAt   clock.Instant
	refreshFailed bool
	// leaderRepliedAt is when the leader itself last replied to a report of this instance.
	leaderRepliedAt clock.Instant
	// downstreams are the instances that report to the leader through this one, by ID.
	downstreams map[string]*downstream
	// delayedReplies is the number of reports whose replies this instance is delaying.
	delayedReplies atomic.Int64
	// history holds recent versions of the snapshot, from which replies with changes are made.
	history history
}

// New returns a coordinator. It does nothing until Run is called.
func New(config Config, c clock.Clock, s store.Store, board *view.Board, peers PeerClient, orders OrderSender, collector *demand.Collector, log Log) *Coordinator {
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewTracker(time.Now)
	}
	if config.TargetStatus == nil {
		config.TargetStatus = targetstatus.NewTracker(c, 0)
	}
	if config.Quota == nil {
		config.Quota = quota.NewHolder(c)
	}
	return &Coordinator{
		config: config, clock: c, store: s, board: board, peers: peers, orders: orders,
		collector: collector, aggregator: demand.NewAggregator(), log: log,
		reader: newReader(c, s, config.Source, board, log), quarantine: config.Quarantine, targetStatus: config.TargetStatus,
		wake: make(chan struct{}, 1), lastSync: clock.Never, storeAvailable: true,
		leaderFound: make(chan struct{}), becameCurrent: make(chan struct{}), leaseReadAt: clock.Never, storeAnsweredAt: clock.Never, startedAt: c.Now(),
		unresponsive: map[string]clock.Instant{}, downstreams: map[string]*downstream{}, leaderRepliedAt: clock.Never, relaysRepliedAt: clock.Never, refreshedAt: clock.Never, outage: newOutage(), gaveUpToLargerAt: clock.Never, mayReadStore: make(chan struct{}),
	}
}

// Leading reports whether this instance may act as leader at this moment.
func (c *Coordinator) Leading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term != nil && c.term.valid(c.clock.Now())
}

// Speeds returns the speeds of targets by target ID, where 1 is average; nil if this instance does not
// lead.
func (c *Coordinator) Speeds() map[string]float64 {
	if !c.Leading() {
		return nil
	}
	return c.aggregator.Speeds()
}

// Leader returns the last known holder of the lease.
func (c *Coordinator) Leader() lease.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Run coordinates until ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.follow(ctx) })
	for _, read := range []func(context.Context){c.pollRules, c.pollTargets} {
		running.Go(func() {
			select {
			case <-c.mayReadStore:
				read(ctx)
			case <-ctx.Done():
			}
		})
	}
	running.Wait()
}

// PrepareShutdown gives the lease up if this instance leads. From then on its reports say that it
// is shutting down, and it neither takes the lease nor replies as a relay.
func (c *Coordinator) PrepareShutdown(ctx context.Context) {
	c.mu.Lock()
	c.shuttingDown = true
	t := c.term
	c.mu.Unlock()
	if t != nil {
		t.giveUp(ctx)
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
