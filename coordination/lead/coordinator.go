package lead

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
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
	Do(ctx context.Context, o assign.Order) (outcome assign.Outcome, handover string)
	Forget(keep func(target string) bool)
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
}

// Rows of ours in the store. The lease and the maps share a part, so that each change of a
// map can be conditional on the lease.
const (
	table    = "lycheehall"
	part     = "coordination"
	leaseKey = "lease"
	mapKey   = "map/"
)

const (
	// syncHold is how long a leading instance holds a report back when there is nothing
	// new. It bounds the age of what followers know, and sets the cost of following.
	syncHold = 350 * time.Millisecond
	// syncTimeout is how long a follower waits for its report to be answered.
	syncTimeout = syncHold + 500*time.Millisecond
	// staleAfter is the age of knowledge from which on a follower reads the store itself.
	// It is above what a leading instance's waiting feeds make it, and leaves time for a
	// reading within the 2 s in which leaving targets and new rules must be known.
	staleAfter = 1200 * time.Millisecond
	// pollEvery is the time between such readings, and between a leading instance's
	// readings of the registry.
	pollEvery = 400 * time.Millisecond
	// leaseLookEvery is the time between a follower's looks at the lease's row while it
	// hears nothing from the leading instance.
	leaseLookEvery = 250 * time.Millisecond
	// fewInstances is the number of instances up to which each looks at the lease that often.
	// More of them look less often each: the first one that finds it free takes it, and calls
	// are paid for.
	fewInstances = 12
	// longestPoll bounds the time between readings of an instance that hears nothing.
	longestPoll = 800 * time.Millisecond
	// longestLook bounds the time between the looks at the lease of an instance to which the
	// store does not answer, so that it is noticed within the time after an outage in which
	// entries of the registry come back.
	longestLook = 2 * time.Second
	// rulesWait is how long a feed of the configuration waits for a change. Feeds may hear
	// nothing for a second while changes are made; the next reading shows them.
	rulesWait = 600 * time.Millisecond
	// failedFirst and failedMost bound the growing pause after a call to the store failed:
	// calls are paid for also while it is away, and it should be noticed soon when it is
	// back.
	failedFirst = 150 * time.Millisecond
	failedMost  = 700 * time.Millisecond
	// memberFor is how long an instance counts as present after its last report.
	memberFor = 1500 * time.Millisecond
	// bidSpread and longestBid hold back the bids of small instances for a free lease. Leading
	// 60 instances and 270 targets on a sixth of a core let the lease run out again and again
	// after all had been started anew.
	bidSpread  = 50 * time.Millisecond
	longestBid = 300 * time.Millisecond
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
	total     *demand.Total
	log       Log
	reader    *reader

	wake chan struct{}

	mu       sync.Mutex
	observer lease.Observer
	// leader is the last known holder of the lease.
	leader lease.Row
	// term is this instance's leadership, nil while it follows.
	term     *term
	leaving  bool
	storeOK  bool
	lastSync clock.Instant
	// lost is the holder that was found not to lead any more.
	lost string
	// leaderKnown is closed when the next leader is found.
	leaderKnown chan struct{}
	// lookedAt is when the lease's row was last read here.
	lookedAt clock.Instant
	started  clock.Instant
	// silent says when relays last failed to answer.
	silent map[string]clock.Instant
	// told is what this instance has told others, or been told.
	told told
}

// New returns a coordinator. Nothing happens before Run.
func New(config Config, c clock.Clock, s store.Store, board *view.Board, peers Peers, orders Orders, collector *demand.Collector, log Log) *Coordinator {
	return &Coordinator{
		config: config, clock: c, store: s, board: board, peers: peers, orders: orders,
		collector: collector, total: demand.NewTotal(), log: log,
		reader: newReader(c, s, config.Source, board, log),
		wake:   make(chan struct{}, 1), lastSync: clock.Never, storeOK: true,
		leaderKnown: make(chan struct{}), lookedAt: clock.Never, started: c.Now(),
		silent: map[string]clock.Instant{},
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
	running.Go(func() { c.readRules(ctx) })
	running.Go(func() { c.readTargets(ctx) })
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

// reads reports whether this instance has to read the store itself. While nobody leads
// relays do so for all. Another one whose knowledge is old reads too, but only when the
// store has answered the look at the lease: each refused call of 90 instances is paid for.
func (c *Coordinator) reads() bool {
	relay := c.isRelay()
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != nil || relay && c.lastSync == clock.Never {
		return true
	}
	return c.storeOK && now.Sub(c.board.KnownAt()) > staleAfter
}

// readRules keeps the configuration current while that is this instance's business.
func (c *Coordinator) readRules(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		if !c.reads() {
			sleep(ctx, pollEvery/4)
			continue
		}
		wait := rulesWait
		if c.reader.rulesNext == 0 {
			wait = 0
		}
		err := c.reader.readRules(ctx, wait)
		c.noteStore(err)
		sleep(ctx, pause.after(err, 0))
	}
}

// readTargets keeps the registry current while that is this instance's business.
func (c *Coordinator) readTargets(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		if !c.reads() {
			sleep(ctx, pollEvery/4)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.reader.readTargets(callCtx)
		cancel()
		c.noteStore(err)
		sleep(ctx, pause.after(err, c.pollPause()))
	}
}

// shared stretches a pause that many instances make beside each other.
func (c *Coordinator) shared(pause time.Duration) time.Duration {
	return pause * time.Duration(max(fewInstances, len(c.board.Load().Instances))) / fewInstances
}

// spared stretches the pause after a failed call of an instance that is no relay.
func (c *Coordinator) spared(pause time.Duration, err error) time.Duration {
	if err == nil || c.isRelay() {
		return pause
	}
	return min(longestLook, c.shared(pause))
}

// pollPause is the time until the next reading of the registry.
func (c *Coordinator) pollPause() time.Duration {
	c.mu.Lock()
	leading := c.term != nil
	c.mu.Unlock()
	if leading {
		return pollEvery
	}
	return min(longestPoll, c.shared(pollEvery))
}

// backoff is a pause that grows while calls fail.
type backoff struct{ next time.Duration }

func newBackoff() *backoff { return &backoff{failedFirst} }

// after returns the pause after a call: regular if it succeeded.
func (b *backoff) after(err error, regular time.Duration) time.Duration {
	if err == nil {
		b.next = failedFirst
		return regular
	}
	pause := b.next/2 + rand.N(b.next/2)
	b.next = min(2*b.next, failedMost)
	return pause
}

// noteStore logs when the store is lost and when it is back.
func (c *Coordinator) noteStore(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok := err == nil; ok != c.storeOK {
		c.storeOK = ok
		if ok {
			c.log("store-back")
		} else {
			c.log("store-lost", "error", err.Error())
		}
	}
}

// follow reports to the leading instance, and takes the lease when it is free.
func (c *Coordinator) follow(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		c.mu.Lock()
		address := c.leader.Address
		leaving := c.leaving
		c.mu.Unlock()
		if address != "" && address != c.config.Self.Address && c.report(ctx, address, leaving) {
			continue
		}
		if c.askRelay(ctx) {
			continue
		}
		t, err := c.lookAtLease(ctx, !leaving)
		if t == nil {
			look := c.shared(leaseLookEvery)
			sleep(ctx, c.spared(pause.after(err, look/2+rand.N(look/2)), err))
			continue
		}
		t.run(ctx)
		c.mu.Lock()
		c.term = nil
		c.leader = lease.Row{}
		c.lost = c.config.Self.ID
		c.mu.Unlock()
	}
}

// report makes one report, and reports whether the other instance leads.
func (c *Coordinator) report(ctx context.Context, address string, leaving bool) bool {
	args := c.question()
	args.Leaving = leaving
	args.Work, args.Pace = c.collector.Drain()
	begun := c.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.peers.Sync(callCtx, address, args)
	cancel()
	if err != nil || !reply.Leading {
		c.noteLeaderLost(address, err)
		return false
	}
	c.followed()
	if !c.adopt(begun, reply) {
		// The leading instance has not read yet what is known here; it will, within pollEvery.
		sleep(ctx, pollEvery/4)
	}
	return true
}

// question asks for what is newer than what is known here.
func (c *Coordinator) question() *peerapi.SyncArgs {
	snapshot := c.board.Load()
	args := &peerapi.SyncArgs{
		Self: c.config.Self, RulesVersion: snapshot.RulesVersion, TargetsDigest: snapshot.TargetsDigest,
		InstancesVersion: snapshot.InstancesVersion, MapVersions: map[string]uint64{}, Wait: syncHold,
	}
	for service, m := range snapshot.Maps {
		args.MapVersions[service] = m.Version
	}
	return args
}

// followed notes that the leading instance answered.
func (c *Coordinator) followed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSync == clock.Never {
		c.log("leader-followed", "leader", c.leader.Holder, "term", c.leader.Term)
	}
	c.lastSync = c.clock.Now()
	c.lost = ""
}

// setLeader notes who holds the lease; the zero row: nobody that is known. The caller holds
// the lock.
func (c *Coordinator) setLeader(row lease.Row) {
	c.leader = row
	if tells(row, c.lost) {
		close(c.leaderKnown)
		c.leaderKnown = make(chan struct{})
	}
}

func (c *Coordinator) noteLeaderLost(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.leader.Holder
	c.leader = lease.Row{}
	if c.lastSync == clock.Never {
		return
	}
	c.lastSync = clock.Never
	reason := "does not lead any more"
	if err != nil {
		reason = err.Error()
	}
	c.log("leader-lost", "address", address, "reason", reason, "lease", c.observer.Version())
}

// adopt takes over what another instance told. It reports whether that was as new as what is
// known here.
func (c *Coordinator) adopt(begun clock.Instant, reply *peerapi.SyncReply) bool {
	now := c.clock.Now()
	c.mu.Lock()
	c.observer.Saw(reply.Lease, false, now)
	c.mu.Unlock()
	// What was confirmed had been read Age before the answer left. The way back may have
	// taken all of the time that was not spent waiting.
	travel := max(0, now.Sub(begun)-reply.Held)
	at := now.Add(-reply.Age - travel)
	c.adoptRules(reply, at)
	taken := c.adoptTargets(reply, at)
	for service, news := range reply.Maps {
		c.adoptMap(service, news)
	}
	if reply.Instances != nil {
		c.board.SetInstances(reply.InstancesVersion, reply.Instances)
	}
	c.told.remember(c.board.Load())
	return taken
}

func (c *Coordinator) adoptRules(reply *peerapi.SyncReply, at clock.Instant) {
	if reply.RulesText == nil {
		c.board.ConfirmRules(at)
		return
	}
	version, set, err := c.config.Source.DecodeRules(reply.RulesText)
	if err != nil {
		c.log("rules-refused", "error", err.Error(), "from", "leader")
		return
	}
	if c.board.SetRules(version, set, reply.RulesText, at) {
		c.log("rules-adopted", "rules", version, "from", "leader", "age_ms", c.clock.Now().Sub(at).Milliseconds())
	}
}
