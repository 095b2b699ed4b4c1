package quota

import (
	"time"

	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/protocol/rules"
)

// Validity is how long a share is valid. After a crash of the leader the next one begins within 2.6 s
// and extends shares within 2 s more. With 3 s, all of 120 instances had none for 3 s meanwhile; with
// 5 s three did. An instance of another build relies on this value when it becomes the leader: it must
// not grow.
const Validity = 5 * time.Second

// expiry is how long after it was granted the allocator counts a share as expired.
const expiry = time.Duration(float64(Validity) * (1 + lease.ClockTolerance))

// Version orders the replies with shares of all leaders.
type Version struct {
	// Term is the leader's term, Count the number of the reply in that term.
	Term, Count uint64
}

// Newer reports whether v is newer than other.
func (v Version) Newer(other Version) bool {
	return v.Term > other.Term || v.Term == other.Term && v.Count > other.Count
}

// Demand describes the requests of one rule at one instance.
type Demand struct {
	Rule string
	// Rate is the recent number of requests a second, including refused ones.
	Rate float32
	// Concurrent is the expected number of concurrent requests if none were refused.
	Concurrent float32
	// Running is the number of running requests.
	Running int
	// Held is the instance's share. It is only set for a leader that has not granted it.
	Held Amount
}

// Report is the part of an instance's report to the leader that concerns limits on all instances.
type Report struct {
	// Number grows with each report of the instance.
	Number uint64
	// Held is the version of the shares that the instance has. It uses no older ones any more.
	Held Version
	// Demands lists the rules that have had requests recently, or of which Held is set.
	Demands []Demand
}

// Amount is a part of a limit.
type Amount struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the number of requests that can be admitted at once.
	Burst int
	// Concurrent is the number of requests that may run at the same time.
	Concurrent int
}

// Share is an instance's share of the limit of a rule. Wait is the expected time until the instance
// has a share; it is only set if this one is zero.
type Share struct {
	Rule string
	Amount
	Wait time.Duration
}

// Shares is the leader's answer to a Report. It replaces all shares of older versions.
type Shares struct {
	// Report is the number of the report that is answered.
	Report uint64
	// Version is zero if the leader grants no shares yet. Wait is then the time until it will.
	Version Version
	Wait    time.Duration
	// Extends, if set, is the version of shares of the instance that stay in force unchanged under the
	// new version; List is empty. They must not have expired.
	Extends Version
	// Valid is how long the shares are valid, counted from when the report was sent.
	Valid time.Duration
	// List holds the shares; a limit that is not listed has none.
	List []Share
}

// Limit is a limit on all instances together.
type Limit struct {
	Rule string
	Amount
	// Deadline is the longest time that a request of the rule runs.
	Deadline time.Duration
}

// LimitsOf returns the limits of the given rules.
func LimitsOf(list []*rules.Rule) []Limit {
	limits := make([]Limit, len(list))
	for i, r := range list {
		limits[i] = Limit{Rule: r.Name, Deadline: r.Deadline(), Amount: amountOf(r)}
	}
	return limits
}

// amountOf returns the whole limit of a rule.
func amountOf(r *rules.Rule) Amount {
	l := r.Then.Limit
	a := Amount{Rate: l.PerSecond, Concurrent: l.Concurrent}
	if l.PerSecond > 0 {
		a.Burst = l.Burst
	}
	return a
}

// usableFor reports whether any request can be admitted with this share of a limit.
func (a Amount) usableFor(limit Amount) bool {
	return (limit.Rate == 0 || a.Rate > 0 && a.Burst > 0) && (limit.Concurrent == 0 || a.Concurrent > 0)
}

// max returns the larger of each part.
func (a Amount) max(b Amount) Amount {
	return Amount{max(a.Rate, b.Rate), max(a.Burst, b.Burst), max(a.Concurrent, b.Concurrent)}
}

// min returns the smaller of each part.
func (a Amount) min(b Amount) Amount {
	return Amount{min(a.Rate, b.Rate), min(a.Burst, b.Burst), min(a.Concurrent, b.Concurrent)}
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.Rate + b.Rate, a.Burst + b.Burst, a.Concurrent + b.Concurrent}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.Rate - b.Rate, a.Burst - b.Burst, a.Concurrent - b.Concurrent}
}
