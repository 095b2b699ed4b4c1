package node

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/state"
)

// targetState is what this instance knows about a target from its own grants.
type targetState struct {
	service  string
	inFlight bool
	next     clock.Instant
	// nonce came with the last answer, at nonceAt. Every grant sent with it has expired
	// at nonceAt+GrantTTL, however long it is held up on the way.
	nonce     uint64
	nonceAt   clock.Instant
	confirmed uint64
	needSlots bool
	lastOK    clock.Instant
	firstTry  clock.Instant
	failures  int
}

// duty is a target whose grant this instance has to renew.
type duty struct {
	service string
	target  state.Target
	fenced  bool
}

// grantTick renews the grants this instance is responsible for, and tries to reach the
// targets that others suspect. Without a session it grants nothing.
func (n *Node) grantTick(now clock.Instant) {
	if now >= n.holder.Until() {
		return
	}
	seen := map[string]bool{}
	for _, d := range n.duties() {
		seen[d.target.ID] = true
		n.grant(now, d)
	}
	for id, t := range n.targets {
		if !seen[id] && !t.inFlight {
			delete(n.targets, id)
		}
	}
}

// dutyCache holds the duties for one state of everything they depend on.
type dutyCache struct {
	working  *ownership.Map
	rules    uint64
	roster   uint64
	suspects uint64
	list     []duty
}

// duties returns the targets to look after, in order. The list is kept until something it
// depends on has changed: to hash every instance with every target at each step would cost
// more than all the rest.
func (n *Node) duties() []duty {
	c := &n.duty
	if c.working == n.working && c.rules == n.rules.Version && c.roster == n.rosterEpoch && c.suspects == n.suspects.Version {
		return c.list
	}
	n.duty = dutyCache{n.working, n.rules.Version, n.rosterEpoch, n.suspects.Version, n.listDuties()}
	return n.duty.list
}

func (n *Node) listDuties() []duty {
	var out []duty
	for _, service := range n.working.ServiceNames() {
		spec := n.specs[service]
		for _, t := range n.working.Services[service].Targets {
			if n.responsible(t.ID) || slices.Contains(n.suspects.Targets, t.ID) {
				out = append(out, duty{service, t, spec.Fenced})
			}
		}
	}
	return out
}

// responsible reports whether this instance is among the Renewers of the target: those
// whose hash with the target's id is highest, so that all agree without talking.
func (n *Node) responsible(target string) bool {
	mine := rendezvous(n.cfg.Self.ID, target)
	higher := 0
	for _, id := range n.known.Instances {
		if id != n.cfg.Self.ID && rendezvous(id, target) > mine {
			higher++
		}
	}
	return higher < n.cfg.Renewers
}

func rendezvous(instance, target string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + target)
}

func (n *Node) grant(now clock.Instant, d duty) {
	t := n.targets[d.target.ID]
	if t == nil {
		t = &targetState{service: d.service, lastOK: clock.Never, firstTry: now, next: clock.Never}
		n.targets[d.target.ID] = t
	}
	generation := ownership.Generation(d.target)
	// A change of the target's slots goes out at once.
	due := now >= t.next || d.fenced && t.failures == 0 && t.confirmed < generation
	if t.inFlight || !due {
		return
	}
	g := message.Grant{
		Target:     d.target.ID,
		Service:    d.service,
		Generation: generation,
		Nonce:      t.nonce,
		TTL:        n.grantTTL(t),
	}
	if t.needSlots || t.confirmed != generation {
		g.Full = true
		g.Slots = n.working.HeldBy(d.service, d.target.ID)
	}
	t.inFlight = true
	t.next = now.Add(n.cfg.GrantEvery)
	n.emit(Effect{SendGrant: &SendGrant{Address: d.target.Address, Fenced: d.fenced, Grant: g}})
}

// grantTTL makes the grant end with the session at the latest, both counted from when
// the nonce arrived.
func (n *Node) grantTTL(t *targetState) time.Duration {
	if t.nonce == 0 {
		return 0
	}
	return max(0, min(n.cfg.GrantTTL, n.holder.Until().Sub(t.nonceAt)))
}

// failureRetry is the pause before a target that did not answer is tried again.
const failureRetry = 50 * time.Millisecond

// busyRetry is the pause before a target is asked again whether old requests are done.
const busyRetry = 5 * time.Millisecond

// GrantDone takes a target's answer to a grant; ok is false when none came.
func (n *Node) GrantDone(now clock.Instant, target string, reply message.GrantReply, ok bool) []Effect {
	t := n.targets[target]
	if t == nil {
		return n.take()
	}
	t.inFlight = false
	if !ok {
		t.failures++
		t.next = now.Add(failureRetry)
		n.heartbeat.next = now
		return n.take()
	}
	t.failures = 0
	t.lastOK = now
	t.nonce = reply.Nonce
	t.nonceAt = now
	t.needSlots = reply.NeedSlots
	if reply.Accepted && !reply.Busy && reply.Generation > t.confirmed {
		t.confirmed = reply.Generation
		n.heartbeat.next = now
	}
	if !reply.Accepted || reply.Busy {
		t.next = now.Add(busyRetry)
	}
	return n.take()
}

// reports returns what the targets have confirmed and which can be reached from here.
func (n *Node) reports(now clock.Instant) (confirmed []message.Confirmation, reachable, unreachable []string) {
	ids := make([]string, 0, len(n.targets))
	for id := range n.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := n.targets[id]
		if t.confirmed > 0 && !ownership.IsResumed(t.confirmed) {
			confirmed = append(confirmed, message.Confirmation{Target: id, Generation: t.confirmed})
		}
		switch {
		case slices.Contains(n.failing, id), t.failures > 0:
			unreachable = append(unreachable, id)
		case t.lastOK.Add(n.cfg.TargetSilent) >= now:
			reachable = append(reachable, id)
		}
	}
	return confirmed, reachable, unreachable
}
