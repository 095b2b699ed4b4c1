package lead

import (
	"math/rand/v2"
	"time"
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
	// relayStaleAfter is the age from which on a relay does, so that it can tell the others before
	// they have to. What the leading instance tells relays directly is 0.75 s old at most: a feed's
	// wait and the hold of a report.
	relayStaleAfter = 950 * time.Millisecond
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
	// keepingBid holds back the bid of an instance that keeps targets which the registry lacks.
	// It may have missed that they left; one that has read all the while tells better, and is
	// through with its bid by then.
	keepingBid = 500 * time.Millisecond
)

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
