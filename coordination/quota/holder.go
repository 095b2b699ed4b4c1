package quota

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/protocol/rules"
)

const (
	// averagingTime is the time over which the rate of requests is averaged.
	averagingTime = 2 * time.Second
	// idleAfter is the time without a request after which an instance counts as having none. The
	// average alone would take 20 s to fall from 600 requests a second to none, and keep a share for
	// that long.
	idleAfter = 5 * time.Second
	// assumedDuration is the assumed duration of a request until one of the rule has ended.
	assumedDuration = 250 * time.Millisecond
	// noShareRetryAfter is the Retry-After without a share when the leader has not said how long that
	// will probably last. A share arrives with the next reply, after 0.35 s, or 0.8 s through a relay.
	noShareRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
	// maxPromised limits how far ahead callers are told to come back in addition to the wait of the
	// first of them. Without it, callers that do not come back would make it ever longer.
	maxPromised = 2 * time.Second
	// remembered is the number of reports of which the time of sending is remembered.
	remembered = 32
	// newFor is how long a limit counts as new. While it has no share, reports are answered sooner.
	newFor = time.Second
)

// Holder has the shares of one instance and admits its requests. It is safe for concurrent use.
type Holder struct {
	clock clock.Clock

	mu     sync.Mutex
	limits map[string]*heldLimit
	// number is that of the latest report, sentAt when the latest reports were sent, by number modulo
	// remembered.
	number uint64
	sentAt [remembered]clock.Instant
	// version is that of the shares, which are valid until until.
	version Version
	until   clock.Instant
	// noneUntil is when the leader will grant shares.
	noneUntil clock.Instant
}

// heldLimit is one limit, with the share of the instance.
type heldLimit struct {
	share Amount
	// tokens is the number of requests that can be admitted at updatedAt by the rate.
	tokens    float64
	updatedAt clock.Instant
	running   int
	// wait is when the instance will probably have a share.
	wait clock.Instant
	// promised is the latest time that a caller was told to come back at.
	promised clock.Instant
	// begun is when this instance learned of the limit.
	begun clock.Instant

	// arrivals are the requests since countedAt; rate is the average before, in requests a second.
	arrivals  int
	countedAt clock.Instant
	// arrivedAt is when the latest request arrived.
	arrivedAt clock.Instant
	rate      float64
	// duration is the mean duration of the requests; 0 before the first one has ended.
	duration time.Duration

	shareRate, shareConcurrent *metrics.Gauge
	admitted, refused          *metrics.Counter
}

// NewHolder returns a holder without shares.
func NewHolder(c clock.Clock) *Holder {
	return &Holder{clock: c, limits: map[string]*heldLimit{}, until: clock.Never, noneUntil: clock.Never}
}

// Report returns the next report to the leader of the given term about the given rules, which are
// those in force with a limit on all instances. It must be called before the report is sent. It
// returns nil if there are no such rules.
func (h *Holder) Report(list []*rules.Rule, term uint64) *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(list) == 0 && len(h.limits) == 0 {
		return nil
	}
	now := h.clock.Now()
	h.expire(now)
	inForce := map[string]bool{}
	for _, r := range list {
		inForce[r.Name] = true
		l := h.limit(r.Name, now)
		if limit := amountOf(r); l.share.min(limit) != l.share {
			// The limit has been lowered.
			l.refill(now)
			l.setShare(l.share.min(limit))
		}
	}
	for name, l := range h.limits {
		if !inForce[name] && l.running == 0 {
			l.setShare(Amount{})
			delete(h.limits, name)
		}
	}
	if len(list) == 0 {
		return nil
	}
	h.number++
	h.sentAt[h.number%remembered] = now
	r := &Report{Number: h.number, Held: h.version}
	for _, rule := range list {
		l := h.limits[rule.Name]
		d := l.demand(now)
		if h.version.Term != term {
			d.Held = l.share
		}
		if d.Rate >= activeRate || d.Running > 0 || d.Held != (Amount{}) {
			d.Rule = rule.Name
			r.Demands = append(r.Demands, d)
		}
	}
	return r
}

// LacksNew reports whether a new limit has no share yet. Its first share should not have to wait
// until a reply is due.
func (h *Holder) LacksNew() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, l := range h.limits {
		if l.share == (Amount{}) && now.Sub(l.begun) < newFor {
			return true
		}
	}
	return false
}

// Adopt takes over the shares of a reply, unless they have expired or newer ones are known.
func (h *Holder) Adopt(s *Shares) {
	if s == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if s.Report > h.number || h.number-s.Report >= remembered {
		return
	}
	until := h.sentAt[s.Report%remembered].Add(s.Valid)
	if now >= until {
		return
	}
	if s.Version == (Version{}) {
		h.noneUntil = now.Add(s.Wait)
		return
	}
	if !s.Version.Newer(h.version) {
		return
	}
	h.expire(now)
	if s.Extends != (Version{}) {
		if s.Extends == h.version && h.until != clock.Never {
			h.version, h.until = s.Version, until
		}
		return
	}
	h.version, h.until, h.noneUntil = s.Version, until, clock.Never
	listed := map[string]*Share{}
	for i := range s.List {
		listed[s.List[i].Rule] = &s.List[i]
		h.limit(s.List[i].Rule, now)
	}
	for name, l := range h.limits {
		l.refill(now)
		l.wait = clock.Never
		if share := listed[name]; share != nil {
			l.setShare(share.Amount)
			if share.Wait > 0 {
				l.wait = now.Add(share.Wait)
			}
		} else {
			l.setShare(Amount{})
		}
	}
}

// Admit decides about a request of a rule whose limit applies to all instances together. If the
// request is admitted, release must be called when it has ended. If not, retryAfter is the time
// until there is probably capacity.
func (h *Holder) Admit(r *rules.Rule) (release func(), retryAfter time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.expire(now)
	l := h.limit(r.Name, now)
	l.arrivals++
	l.arrivedAt = now
	l.refill(now)
	limit := amountOf(r)
	if limit.Rate > 0 && l.tokens < 1 || limit.Concurrent > 0 && l.running >= min(l.share.Concurrent, limit.Concurrent) {
		l.refused.Inc()
		return nil, h.retryAfter(l, limit, now), false
	}
	if limit.Rate > 0 {
		l.tokens--
	}
	l.running++
	l.admitted.Inc()
	return func() { h.release(l, now) }, 0, true
}

// Share returns the instance's share of a rule's limit at this moment.
func (h *Holder) Share(rule string) Amount {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(h.clock.Now())
	if l := h.limits[rule]; l != nil {
		return l.share
	}
	return Amount{}
}

func (h *Holder) release(l *heldLimit, begun clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.running--
	took := h.clock.Now().Sub(begun)
	if l.duration == 0 {
		l.duration = took
	}
	l.duration += (took - l.duration) / 16
}

// limit returns the state of a limit, and creates it if needed.
func (h *Holder) limit(rule string, now clock.Instant) *heldLimit {
	l := h.limits[rule]
	if l == nil {
		l = &heldLimit{
			updatedAt: now, countedAt: now, begun: now, arrivedAt: clock.Never, wait: clock.Never, promised: clock.Never,
			shareRate:       metrics.GetOrCreateGauge(fmt.Sprintf(`lycheehall_quota_share_per_second{rule=%q}`, rule), nil),
			shareConcurrent: metrics.GetOrCreateGauge(fmt.Sprintf(`lycheehall_quota_share_concurrent{rule=%q}`, rule), nil),
			admitted:        metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_quota_admitted_total{rule=%q}`, rule)),
			refused:         metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_quota_refused_total{rule=%q}`, rule)),
		}
		h.limits[rule] = l
	}
	return l
}

// expire ends all shares when they are not valid any more. Their unused tokens end too: another
// instance may get the burst.
func (h *Holder) expire(now clock.Instant) {
	if h.until == clock.Never || now < h.until {
		return
	}
	h.until = clock.Never
	for _, l := range h.limits {
		l.setShare(Amount{})
		l.updatedAt = now
	}
}

// setShare replaces the share. A new share brings no tokens with it: those of the former holder of
// its part may have been used a moment ago.
func (l *heldLimit) setShare(a Amount) {
	l.share = a
	l.tokens = min(l.tokens, float64(a.Burst))
	l.shareRate.Set(a.Rate)
	l.shareConcurrent.Set(float64(a.Concurrent))
}

// refill adds the tokens since the last time.
func (l *heldLimit) refill(now clock.Instant) {
	l.tokens = min(float64(l.share.Burst), l.tokens+l.share.Rate*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
}

// demand updates and returns the demand.
func (l *heldLimit) demand(now clock.Instant) Demand {
	if passed := now.Sub(l.countedAt); passed > 0 {
		weight := 1 - math.Exp(-passed.Seconds()/averagingTime.Seconds())
		l.rate += weight * (float64(l.arrivals)/passed.Seconds() - l.rate)
		l.arrivals, l.countedAt = 0, now
	}
	if now.Sub(l.arrivedAt) > idleAfter {
		l.rate = 0
	}
	d := Demand{Rate: float32(l.rate), Running: l.running}
	if l.rate >= activeRate || l.running > 0 {
		d.Concurrent = float32(max(l.rate*l.meanDuration().Seconds(), float64(l.running)))
	}
	return d
}

func (l *heldLimit) meanDuration() time.Duration {
	if l.duration == 0 {
		return assumedDuration
	}
	return l.duration
}

// retryAfter returns the time until there is capacity for a refused caller, and for all that were
// refused before it.
func (h *Holder) retryAfter(l *heldLimit, limit Amount, now clock.Instant) time.Duration {
	if !l.share.usableFor(limit) {
		if next := l.wait.Later(h.noneUntil); next > now {
			return max(minRetryAfter, next.Sub(now))
		}
		return noShareRetryAfter
	}
	// wait is the time until the first caller can be admitted, interval that between two callers.
	var wait, interval time.Duration
	if limit.Rate > 0 {
		wait = seconds((1 - l.tokens) / l.share.Rate)
		interval = seconds(1 / l.share.Rate)
	}
	if limit.Concurrent > 0 {
		perEnd := l.meanDuration() / time.Duration(l.share.Concurrent)
		if l.running >= l.share.Concurrent {
			wait = max(wait, perEnd)
		}
		interval = max(interval, perEnd)
	}
	at := now.Add(wait).Later(l.promised.Add(interval))
	if latest := now.Add(wait + maxPromised); at > latest {
		at = latest
	}
	l.promised = at
	return max(minRetryAfter, at.Sub(now))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), time.Hour.Seconds()) * float64(time.Second))
}
