package lead

import (
	"context"
	"slices"
	"sync"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/assign"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/rules"
)

const (
	// tickInterval is the time between checks of what is due; results of calls are handled at once.
	tickInterval = 25 * time.Millisecond
	// storeUnavailableAfter is the time since the last renewal of the lease after which the store
	// counts as unavailable. Grants are then given the longest hold: nobody can renew them once the
	// lease has expired, and nobody can take the lease while the store is unavailable. It is long
	// enough for relays to report whether the store answers them, and leaves 0.5 s of the lease for
	// the renewals.
	storeUnavailableAfter = 1350 * time.Millisecond
)

// term is one leadership of this instance.
type term struct {
	c       *Coordinator
	stored  *storedRows
	begunAt clock.Instant

	// mu guards the fields from holder to quotaRules. No lock but the Board's is taken while it is
	// held.
	mu              sync.Mutex
	holder          lease.OwnLease
	members         map[string]*member
	memberListCount uint64
	// membersJoined says that members have joined since the list was last published.
	membersJoined bool
	// knewMembers says that the members of the former leader were known.
	knewMembers bool
	// quota grants shares of the limits on all instances in quotaRules.
	quota      *quota.Allocator
	quotaRules *rules.Set
	// formerGrantsUntil is when all grants of former terms have expired; Never if that is not
	// known.
	formerGrantsUntil clock.Instant
	// The fields below belong to the term's loop.
	managers map[string]*assign.Manager

	// committing says that a change is being stored; only the loop reads it.
	committing       bool
	renewAt          clock.Instant
	retryAt          clock.Instant
	storeUnavailable bool
	// extendHolds says that all grants get the longest hold because this instance gives the lease
	// up while the store does not answer.
	extendHolds  bool
	ended        bool
	loadReadAt   clock.Instant
	ownSharesAt  clock.Instant
	actions      chan func()
	stop         chan struct{}
	stopOnce     sync.Once
	exited       chan struct{}
	lastSnapshot *view.Snapshot
}

func (t *term) valid(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Valid(now)
}

func (c *Coordinator) beginTerm(s *storedRows, confirmed clock.Instant) *term {
	now := c.clock.Now()
	t := &term{
		c: c, stored: s, begunAt: now, managers: map[string]*assign.Manager{}, members: map[string]*member{},
		renewAt: now, retryAt: now, loadReadAt: clock.Never, ownSharesAt: clock.Never, formerGrantsUntil: clock.Never,
		actions: make(chan func(), 1024), stop: make(chan struct{}), exited: make(chan struct{}),
	}
	t.holder.Renewed(confirmed)
	// In the first term of all there are no shares of a former leader.
	t.quota = quota.NewAllocator(s.lease.Term, s.lease.Term > 1, now)
	c.mu.Lock()
	if c.formerTerm.nextTerm == s.lease.Term {
		t.formerGrantsUntil = c.formerTerm.grantsUntil
	}
	c.formerTerm = formerTerm{}
	c.heardFromLeader = true
	c.mu.Unlock()
	for _, i := range c.board.Snapshot().Instances {
		t.members[i.ID] = &member{Instance: i, reportedAt: now}
	}
	t.members[c.config.Self.ID] = &member{Instance: c.config.Self, reportedAt: now}
	c.mu.Lock()
	if c.givenUpTerm.term != 0 && c.givenUpTerm.term == s.lease.Term-1 {
		t.formerGrantsUntil = c.givenUpTerm.grantsUntil
	}
	c.term = t
	c.lostLeader = ""
	c.setLeader(s.lease)
	c.observer.Observe(s.leaseVersion, false, now)
	c.mu.Unlock()
	c.quarantine.StartLeading(s.lease.Term)
	c.log("lease-taken", "term", s.lease.Term, "lease", s.leaseVersion)
	return t
}

// run leads until the lease is lost or given up.
func (t *term) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !t.ended {
		select {
		case fn := <-t.actions:
			fn()
		case <-ticker.C:
		case <-t.c.wake:
		case <-t.stop:
			t.ended = true
		case <-ctx.Done():
			t.ended = true
		}
		if !t.ended {
			t.tick(ctx)
		}
	}
	t.mu.Lock()
	t.holder.GivenUp()
	t.mu.Unlock()
	t.c.quarantine.StopLeading()
	t.c.log("lease-ended", "term", t.stored.lease.Term)
	close(t.exited)
}

func (t *term) tick(ctx context.Context) {
	now := t.c.clock.Now()
	t.mu.Lock()
	until := t.holder.Until()
	t.mu.Unlock()
	if now >= until {
		t.c.log("lease-expired", "term", t.stored.lease.Term)
		t.ended = true
		return
	}
	if t.storeRestored() {
		t.endAfterRestore(now)
		return
	}
	t.refreshTargets(now)
	t.refreshLoad(now)
	t.grantOwnShares(now)
	t.checkStoreAvailable(now, until)
	for _, m := range t.managers {
		for _, o := range m.DueOrders(now, t.storeUnavailable) {
			t.sendOrder(ctx, o)
		}
	}
	t.updateMembers(now)
	t.giveUpToLarger(ctx, now)
	if t.ended {
		return
	}
	t.commit(ctx, now)
}

// checkStoreAvailable checks whether the store is unavailable, and has all grants renewed when it
// becomes so.
func (t *term) checkStoreAvailable(now, until clock.Instant) {
	since := now.Sub(until.Add(lease.SafetyMargin - lease.Duration))
	unavailable := since > storeUnavailableAfter || t.extendHolds
	if unavailable && !t.storeUnavailable {
		t.c.log("holds-extended", "since_ms", since.Milliseconds(), "hold_ms", t.c.config.HoldMax.Milliseconds())
		for _, m := range t.managers {
			m.RenewAll()
		}
	}
	t.storeUnavailable = unavailable
}

// refreshTargets passes the known targets to the managers.
func (t *term) refreshTargets(now clock.Instant) {
	snapshot := t.c.board.Snapshot()
	if snapshot.Rules == nil || snapshot == t.lastSnapshot && now.Sub(t.loadReadAt) < loadInterval {
		return
	}
	t.lastSnapshot = snapshot
	leaving := t.c.leavingTargets(snapshot)
	for _, s := range snapshot.Rules.Services() {
		if !s.Keyed {
			continue
		}
		m := t.managers[s.Name]
		if m == nil {
			m = assign.NewManager(assign.Config{
				Service: s.Name, HoldMax: t.c.config.HoldMax, HeldUntil: t.formerGrantsUntil, Policy: t.c.policy(s.Imbalance),
			}, t.stored.maps[s.Name], now)
			t.managers[s.Name] = m
		}
		m.SetTargets(now, placementTargets(snapshot, snapshot.ByService[s.Name], leaving))
		m.SetColdRateAndWork(s.ColdRate, t.c.collector.MeanWork(s.Name))
	}
}

// placementTargets returns a list of targets as the managers need it. Targets that have reported
// that they are leaving, and those of evacuated data centres, count as draining. A leaving target
// may be unable to write to the registry. It would then keep its keys although no requests for them
// are sent to it any more.
func placementTargets(s *view.Snapshot, list []view.Target, leaving []string) []view.Target {
	list = slices.Clone(list)
	for i, t := range list {
		list[i].Draining = !s.AcceptsNewWork(t) || slices.Contains(leaving, t.ID)
		list[i].ColdUntil = s.ColdUntil(t)
	}
	return list
}

// policy returns the policy by which a service's keys move for balance.
func (c *Coordinator) policy(imbalance float64) keyrange.Policy {
	policy := c.config.Policy
	policy.Imbalance = imbalance
	return policy
}

// loadInterval is the time between updates of the load.
const loadInterval = 250 * time.Millisecond

func (t *term) refreshLoad(now clock.Instant) {
	if t.loadReadAt != clock.Never && now.Sub(t.loadReadAt) < loadInterval {
		return
	}
	t.loadReadAt = now
	work, stats := t.c.collector.TakeMeasurements()
	t.c.aggregator.AddReport(work, stats, now)
	limits := t.c.aggregator.Limits(now)
	byLateness := t.c.config.PlaceByLateness != nil && t.c.config.PlaceByLateness()
	for service, m := range t.managers {
		m.SetByLateness(byLateness)
		m.SetLoad(t.c.aggregator.Load(service, now))
		m.SetLimits(limits)
	}
	targets := t.c.board.Snapshot().Targets
	t.c.orders.CloseIdleExcept(func(id string) bool { _, ok := targets[id]; return ok })
}

// sendOrder sends an order outside the loop, and passes the outcome to the loop.
func (t *term) sendOrder(ctx context.Context, o assign.Order) {
	go func() {
		outcome, handover, sentAt := t.c.orders.Do(ctx, o)
		if outcome == assign.OutcomeDone {
			o.SentAt = sentAt
		}
		result := func() { t.recordOutcome(o, outcome, handover) }
		select {
		case t.actions <- result:
		case <-t.stop:
		case <-ctx.Done():
		}
	}()
}

func (t *term) recordOutcome(o assign.Order, outcome assign.Outcome, handover string) {
	m := t.managers[o.Service]
	if m == nil {
		return
	}
	m.RecordOutcome(t.c.clock.Now(), o, outcome, handover)
	if o.Kind != assign.Renew || outcome != assign.OutcomeDone {
		t.c.log("order", "kind", string(o.Kind), "service", o.Service, "target", o.Target, "from", o.From, "to", o.To, "fence", o.Fence, "outcome", string(outcome))
	}
}
