package lead

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReplyDelay is how long a leader delays its reply to a report when it has nothing new. It
	// limits the age of followers' snapshots, and determines the number of reports and replies.
	maxReplyDelay = 350 * time.Millisecond
	// syncTimeout is how long a follower waits for a reply to its report.
	syncTimeout = maxReplyDelay + 500*time.Millisecond
	// staleAfter is the age of the snapshot above which a follower reads the store itself. It is
	// more than the age that snapshots reach because the leader's feeds wait for changes, and
	// leaves time for a read within the 2 s in which leaving targets and new rules must be known.
	staleAfter = 1200 * time.Millisecond
	// relayStaleAfter is the age of the snapshot above which a relay reads the store, so that it
	// can reply to the others before they have to read. A relay that reports to the leader directly
	// has a snapshot at most 0.75 s old: the wait of a feed and the delay of a reply to a relay.
	relayStaleAfter = 950 * time.Millisecond
	// pollInterval is the time between a leader's reads of the registry. In a small fleet it is
	// also the time between those of a follower that reads the registry because its snapshot is
	// stale.
	pollInterval = 400 * time.Millisecond
	// leaseReadInterval is the time between a follower's reads of the lease row while the leader
	// does not reply.
	leaseReadInterval = 250 * time.Millisecond
	// smallFleet is the number of instances up to which each reads the lease row every
	// leaseReadInterval while the leader does not reply. In a larger fleet each reads it less
	// often: the first one that finds the lease free takes it, and each call to the store costs
	// money.
	smallFleet = 12
	// maxPollInterval limits the time between reads of the registry by an instance that gets no
	// replies.
	maxPollInterval = 800 * time.Millisecond
	// maxLeaseReadInterval limits the time between reads of the lease while the store does not
	// answer this instance. It is no longer than it takes after an outage until the registry lists
	// the targets again, so that an instance notices in that time that the store is available.
	maxLeaseReadInterval = 2 * time.Second
	// rulesFeedWait is how long a feed of the rules, a read that waits for a change, waits at most.
	// A feed may miss changes for up to a second while they are being made; the next read shows
	// them.
	rulesFeedWait = 600 * time.Millisecond
	// minBackoff and maxBackoff limit the growing pause after a failed call to the store. Calls
	// cost money also while the store is unavailable, but an instance should notice soon that it is
	// available again.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// memberTimeout is how long an instance counts as present after its last report.
	memberTimeout = 1500 * time.Millisecond
	// bidDelayStep and maxBidDelay delay the bids of small instances for a free lease. A small
	// leader (a sixth of a CPU core with 60 instances and 270 targets) cannot renew the lease in
	// time after all instances have been restarted, and loses it again and again.
	bidDelayStep = 50 * time.Millisecond
	maxBidDelay  = 300 * time.Millisecond
	// retainingBidDelay delays the bid of an instance that retains targets which the registry does
	// not list. It may have missed that they left; an instance that has read the registry without
	// interruption has the correct list, and has bid by then.
	retainingBidDelay = 500 * time.Millisecond
)

// scaleToFleet lengthens a pause that all instances make, in proportion to their number if there
// are more than smallFleet.
func (c *Coordinator) scaleToFleet(pause time.Duration) time.Duration {
	return pause * time.Duration(max(smallFleet, len(c.board.Snapshot().Instances))) / smallFleet
}

// pauseAfterFailure lengthens the pause after a failed call of an instance that is not a relay.
func (c *Coordinator) pauseAfterFailure(pause time.Duration, err error) time.Duration {
	if err == nil || c.isStoreRelay() {
		return pause
	}
	return min(maxLeaseReadInterval, c.scaleToFleet(pause))
}

// pollPause returns the time until the next read of the registry.
func (c *Coordinator) pollPause() time.Duration {
	c.mu.Lock()
	leading := c.term != nil
	c.mu.Unlock()
	if leading {
		return pollInterval
	}
	return min(maxPollInterval, c.scaleToFleet(pollInterval))
}

// backoff is a pause that grows while calls fail.
type backoff struct{ next time.Duration }

func newBackoff() *backoff { return &backoff{minBackoff} }

// after returns the pause after a call: regular if the call succeeded.
func (b *backoff) after(err error, regular time.Duration) time.Duration {
	if err == nil {
		b.next = minBackoff
		return regular
	}
	pause := b.next/2 + rand.N(b.next/2)
	b.next = min(2*b.next, maxBackoff)
	return pause
}
