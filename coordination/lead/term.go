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
	"lycheehall.example/lycheehall/coordination/view"
)

const (
	// tickEvery is the time between looks at what is due, beside answers that come in.
	tickEvery = 25 * time.Millisecond
	// darkAfter is how long the lease must not have been renewed for the store to count as
	// lost. Grants are then made as long as they may be: nobody can renew them once the
	// lease has run out, and nobody can take the lease while the store is away.
	// It is long enough for relays to say whether the store answers them, and leaves 0.5 s of the
	// lease for the renewals.
	darkAfter = 1350 * time.Millisecond
)

// term is one leadership.
type term struct {
	c      *Coordinator
	stored *stored
	begun  clock.Instant

	// mu guards the next three; it is a leaf but for the Board's lock.
	mu      sync.Mutex
	holder  lease.Holder
	members map[string]*member
	count   uint64
	// joined says that members have come since the list was last published.
	joined bool
	// knew says that the members of the former leading instance were known.
	knew bool
	// formerHeld is when everything granted in former terms has run out, if that is known.
	formerHeld clock.Instant
	// What follows belongs to the loop.
	managers map[string]*assign.Manager

	// committing says that a change is being stored; only the loop looks at it.
	committing bool
	nextRenew  clock.Instant
	retryAt    clock.Instant
	dark       bool
	// extend says that all grants are to have the longest hold, since this instance leaves.
	extend   bool
	ended    bool
	loadAt   clock.Instant
	done     chan func()
	stop     chan struct{}
	stopOnce sync.Once
	exited   chan struct{}
	seen     *view.Snapshot
}

func (t *term) valid(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Valid(now)
}

func (c *Coordinator) begin(s *stored, confirmed clock.Instant) *term {
	now := c.clock.Now()
	t := &term{
		c: c, stored: s, begun: now, managers: map[string]*assign.Manager{}, members: map[string]*member{},
		nextRenew: now, retryAt: now, loadAt: clock.Never, formerHeld: clock.Never,
		done: make(chan func(), 1024), stop: make(chan struct{}), exited: make(chan struct{}),
	}
	t.holder.Renewed(confirmed)
	c.mu.Lock()
	if c.former.successor == s.lease.Term {
		t.formerHeld = c.former.heldUntil
	}
	c.former = former{}
	c.heardLeader = true
	c.mu.Unlock()
	for _, i := range c.board.Load().Instances {
		t.members[i.ID] = &member{Instance: i, heardAt: now}
	}
	t.members[c.config.Self.ID] = &member{Instance: c.config.Self, heardAt: now}
	c.mu.Lock()
	if c.vacated.term != 0 && c.vacated.term == s.lease.Term-1 {
		t.formerHeld = c.vacated.heldUntil
	}
	c.term = t
	c.lost = ""
	c.setLeader(s.lease)
	c.observer.Observe(s.leaseVersion, false, now)
	c.mu.Unlock()
	c.quarantine.StartLeading(s.lease.Term)
	c.log("lease-taken", "term", s.lease.Term, "lease", s.leaseVersion)
	return t
}

// run leads until the lease is lost or given up.
func (t *term) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for !t.ended {
		select {
		case fn := <-t.done:
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
	t.holder.Release()
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
	if t.storeReturned() {
		t.noteReturned(now)
		return
	}
	t.refreshTargets(now)
	t.refreshLoad(now)
	t.checkDark(now, until)
	for _, m := range t.managers {
		for _, o := range m.Tick(now, t.dark) {
			t.send(ctx, o)
		}
	}
	t.checkMembers(now)
	t.handOver(ctx, now)
	if t.ended {
		return
	}
	t.commit(ctx, now)
}

// checkDark sees whether the store is lost, and has all grants renewed when it is.
func (t *term) checkDark(now, until clock.Instant) {
	since := now.Sub(until.Add(lease.SafetyMargin - lease.Duration))
	dark := since > darkAfter || t.extend
	if dark && !t.dark {
		t.c.log("holds-extended", "since_ms", since.Milliseconds(), "hold_ms", t.c.config.HoldMax.Milliseconds())
		for _, m := range t.managers {
			m.RenewAll()
		}
	}
	t.dark = dark
}

// refreshTargets gives the managers the targets as they are believed now.
func (t *term) refreshTargets(now clock.Instant) {
	snapshot := t.c.board.Load()
	if snapshot.Rules == nil || snapshot == t.seen && now.Sub(t.loadAt) < loadEvery {
		return
	}
	t.seen = snapshot
	leaving := t.c.leavingTargets(snapshot)
	for _, s := range snapshot.Rules.Services() {
		if !s.Keyed {
			continue
		}
		m := t.managers[s.Name]
		if m == nil {
			m = assign.NewManager(assign.Config{
				Service: s.Name, HoldMax: t.c.config.HoldMax, HeldUntil: t.formerHeld, Policy: t.c.policy(s.Imbalance),
			}, t.stored.maps[s.Name], now)
			t.managers[s.Name] = m
		}
		m.SetTargets(now, asPlaced(snapshot, snapshot.ByService[s.Name], leaving))
		m.SetColdRate(s.ColdRate, t.c.collector.MeanWork(s.Name))
	}
}

// asPlaced returns a list of targets as keys are placed among them. Those that have said themselves that
// they leave, and those of data centres that are evacuated, are draining: the first may not reach the
// registry, and would keep their keys, though requests for these are not sent to them any more.
func asPlaced(s *view.Snapshot, list []view.Target, leaving []string) []view.Target {
	list = slices.Clone(list)
	for i, t := range list {
		list[i].Draining = !s.AcceptsNewWork(t) || slices.Contains(leaving, t.ID)
		list[i].ColdUntil = s.ColdUntil(t)
	}
	return list
}

// policy is when a service's keys move for balance.
func (c *Coordinator) policy(imbalance float64) keyrange.Policy {
	policy := c.config.Policy
	policy.Imbalance = imbalance
	return policy
}

// loadEvery is the time between looks at the load.
const loadEvery = 250 * time.Millisecond

func (t *term) refreshLoad(now clock.Instant) {
	if t.loadAt != clock.Never && now.Sub(t.loadAt) < loadEvery {
		return
	}
	t.loadAt = now
	work, pace := t.c.collector.Drain()
	t.c.total.AddReport(work, pace, now)
	limits := t.c.total.Limits(now)
	for service, m := range t.managers {
		m.SetLoad(t.c.total.Load(service, now))
		m.SetLimits(limits)
	}
	targets := t.c.board.Load().Targets
	t.c.orders.RetainTargets(func(id string) bool { _, ok := targets[id]; return ok })
}

// send carries an order out beside the loop.
func (t *term) send(ctx context.Context, o assign.Order) {
	go func() {
		outcome, handover, sentAt := t.c.orders.Do(ctx, o)
		if outcome == assign.Done {
			o.SentAt = sentAt
		}
		result := func() { t.finished(o, outcome, handover) }
		select {
		case t.done <- result:
		case <-t.stop:
		case <-ctx.Done():
		}
	}()
}

func (t *term) finished(o assign.Order, outcome assign.Outcome, handover string) {
	m := t.managers[o.Service]
	if m == nil {
		return
	}
	m.RecordOutcome(t.c.clock.Now(), o, outcome, handover)
	if o.Kind != assign.Renew || outcome != assign.Done {
		t.c.log("order", "kind", string(o.Kind), "service", o.Service, "target", o.Target, "from", o.From, "to", o.To, "fence", o.Fence, "outcome", string(outcome))
	}
}
