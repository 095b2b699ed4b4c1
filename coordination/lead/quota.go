package lead

import (
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
)

// Limits on all instances are divided into shares by the leader. Demand and shares are parts of the
// reports and replies, and are only sent while a rule in force has such a limit.

const (
	// ownShareInterval is the time between two grants of a leader to itself.
	ownShareInterval = 200 * time.Millisecond
	// newLimitReplyDelay is how long the reply to a report is delayed at most while the sender has no
	// share of a new limit. It refuses all requests of the rule until it has one.
	newLimitReplyDelay = 100 * time.Millisecond
)

// sharedLimits returns the rules in force whose limit applies to all instances together.
func (c *Coordinator) sharedLimits() []*rules.Rule {
	set := c.board.Snapshot().Rules
	if set == nil {
		return nil
	}
	return set.SharedLimits()
}

// addQuotaReport adds this instance's report about limits on all instances to a report to the
// leader.
func (c *Coordinator) addQuotaReport(args *peerapi.SyncArgs) {
	c.mu.Lock()
	term := c.leader.Term
	c.mu.Unlock()
	args.Quota = c.config.Quota.Report(c.sharedLimits(), term)
	if args.Quota != nil && c.config.Quota.LacksNew() {
		args.Wait = min(args.Wait, newLimitReplyDelay)
	}
}

// adoptQuota adopts the shares in a reply, and keeps those of the instances that report through this
// one until they are handed out.
func (c *Coordinator) adoptQuota(reply *peerapi.SyncReply) {
	c.config.Quota.Adopt(reply.Quota)
	if len(reply.MemberQuota) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, shares := range reply.MemberQuota {
		if d := c.downstreams[id]; d != nil {
			d.shares = shares
		}
	}
}

// takeSharesFor returns the shares that the leader has granted to an instance that reports through
// this one; nil if they have been handed out before. The caller must hold the lock.
func (c *Coordinator) takeSharesFor(instance string) *quota.Shares {
	d := c.downstreams[instance]
	if d == nil {
		return nil
	}
	shares := d.shares
	d.shares = nil
	return shares
}

// noteQuota notes a report about limits on all instances; nil if there is none.
func (d *downstream) noteQuota(r *quota.Report) {
	if r == nil || d.quota == nil || r.Number > d.quota.Number {
		d.quota = r
	}
}

// takeQuota returns the latest report about limits on all instances, and nil if it was forwarded
// before.
func (d *downstream) takeQuota() *quota.Report {
	if d.quota == nil || d.quota.Number <= d.forwardedQuota {
		return nil
	}
	d.forwardedQuota = d.quota.Number
	return d.quota
}

// grantShares adds shares to the reply to a report, for the sender and for the instances whose
// reports it forwards.
func (t *term) grantShares(args *peerapi.SyncArgs, reply *peerapi.SyncReply) {
	if args.Quota != nil {
		reply.Quota = t.allocate(args.Self.ID, args.Quota)
	}
	for _, m := range args.Members {
		if m.Quota == nil {
			continue
		}
		if shares := t.allocate(m.ID, m.Quota); shares != nil {
			if reply.MemberQuota == nil {
				reply.MemberQuota = map[string]*quota.Shares{}
			}
			reply.MemberQuota[m.ID] = shares
		}
	}
}

// grantOwnShares grants shares to this instance itself.
func (t *term) grantOwnShares(now clock.Instant) {
	if t.ownSharesAt != clock.Never && now.Sub(t.ownSharesAt) < ownShareInterval {
		return
	}
	t.ownSharesAt = now
	holder := t.c.config.Quota
	if r := holder.Report(t.c.sharedLimits(), t.stored.lease.Term); r != nil {
		holder.Adopt(t.allocate(t.c.config.Self.ID, r))
	}
}

// allocate grants shares to an instance. The lease is checked under the lock that is taken to give
// the lease up: after that, no share of this term is granted any more.
func (t *term) allocate(instance string, r *quota.Report) *quota.Shares {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The rules are read under the lock, so that a concurrent call does not set older limits again.
	set := t.c.board.Snapshot().Rules
	if set == nil {
		return nil
	}
	now := t.c.clock.Now()
	if !t.holder.Valid(now) {
		return nil
	}
	if set != t.quotaRules {
		t.quotaRules = set
		t.quota.SetLimits(quota.LimitsOf(set.SharedLimits()), now)
	}
	t.quota.SetMembers(len(t.members))
	return t.quota.Allocate(now, instance, r)
}
