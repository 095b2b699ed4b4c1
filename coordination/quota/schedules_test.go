package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/protocol/rules"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quota")
}

const (
	simTick      = 10 * time.Millisecond
	simReporting = 350 * time.Millisecond
	// maxClockError is the largest deviation of one clock from the true time: two clocks differ by
	// less than lease.ClockTolerance.
	maxClockError = 0.0098
)

// simClock runs at a constant rate and began at an arbitrary instant.
type simClock struct {
	sim    *simulation
	offset time.Duration
	rate   float64
}

func (c *simClock) Now() clock.Instant {
	return clock.Instant(c.offset + time.Duration(float64(c.sim.now)*c.rate))
}

// simInstance is an instance with its requests.
type simInstance struct {
	id       string
	clock    *simClock
	holder   *quota.Holder
	alive    bool
	cutOff   bool
	demand   float64
	attempts float64
	reportAt time.Duration
	admitted int
}

// event is something that happens at a point of the true time.
type event struct {
	at time.Duration
	do func()
}

// simulation runs instances and a leader whose messages may be lost, delayed and duplicated, and
// checks the limit at each admission.
type simulation struct {
	now         time.Duration
	random      *rand.Rand
	rule        *rules.Rule
	instances   []*simInstance
	leader      *quota.Allocator
	leaderClock *simClock
	term        uint64
	events      []event
	loss        float64
	maxDelay    time.Duration
	running     int
	// steady says that all requests take half of the deadline, so that the rate of admissions does not
	// vary by chance.
	steady bool
	// level is the fill of a leaky bucket with the limit's rate, as of levelAt.
	level     float64
	levelAt   time.Duration
	violation string
}

func newSimulation(seed uint64, limit rules.Limit, deadline time.Duration, count int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), maxDelay: 20 * time.Millisecond}
	s.rule = &rules.Rule{Name: "r", Then: rules.Then{Limit: &limit, Deadline: rules.Duration(deadline)}}
	for range count {
		s.start()
	}
	s.lead(false)
	return s
}

func (s *simulation) newClock() *simClock {
	return &simClock{sim: s, offset: time.Duration(s.random.Int64N(int64(time.Hour))), rate: 1 + maxClockError*(2*s.random.Float64()-1)}
}

func (s *simulation) start() *simInstance {
	c := s.newClock()
	i := &simInstance{id: fmt.Sprint("i", len(s.instances)), clock: c, holder: quota.NewHolder(c), alive: true, reportAt: s.now}
	s.instances = append(s.instances, i)
	return i
}

// lead begins the term of a new leader.
func (s *simulation) lead(afterOthers bool) {
	s.term++
	s.leaderClock = s.newClock()
	s.leader = quota.NewAllocator(s.term, afterOthers, s.leaderClock.Now())
	s.leader.SetLimits(quota.LimitsOf([]*rules.Rule{s.rule}), s.leaderClock.Now())
}

// send delivers a message never, once or twice.
func (s *simulation) send(deliver func()) {
	copies := 1
	if s.loss > 0 && s.random.Float64() < s.loss/2 {
		copies = 2
	}
	for range copies {
		if s.random.Float64() >= s.loss {
			delay := simTick
			if s.random.Float64() < 0.3 {
				delay = s.maxDelay
			}
			s.at(s.now+time.Duration(s.random.Int64N(int64(delay))), deliver)
		}
	}
}

func (s *simulation) at(at time.Duration, do func()) { s.events = append(s.events, event{at, do}) }

func (s *simulation) report(i *simInstance) {
	r := i.holder.Report([]*rules.Rule{s.rule}, s.term)
	s.send(func() {
		if s.leader == nil || i.cutOff {
			return
		}
		if shares := s.leader.Allocate(s.leaderClock.Now(), i.id, r); shares != nil {
			s.send(func() {
				if i.alive && !i.cutOff {
					i.holder.Adopt(shares)
				}
			})
		}
	})
}

func (s *simulation) request(i *simInstance) {
	release, retryAfter, ok := i.holder.Admit(s.rule)
	if !ok {
		if retryAfter <= 0 {
			s.violation = "a refusal without a Retry-After"
		}
		return
	}
	i.admitted++
	s.running++
	took := s.rule.Deadline() / 2
	if !s.steady {
		took = time.Duration(s.random.Int64N(int64(s.rule.Deadline())))
	}
	s.at(s.now+took, func() {
		s.running--
		release()
	})
	limit := s.rule.Then.Limit
	if limit.PerSecond > 0 {
		s.level = max(0, s.level-(s.now-s.levelAt).Seconds()*limit.PerSecond*(1+maxClockError)) + 1
		s.levelAt = s.now
		if s.level > float64(limit.Burst)+1e-6 {
			s.violation = fmt.Sprintf("%v: a burst of %v with a limit of %d", s.now, s.level, limit.Burst)
		}
	}
	if limit.Concurrent > 0 && s.running > limit.Concurrent {
		s.violation = fmt.Sprintf("%v: %d concurrent requests with a limit of %d", s.now, s.running, limit.Concurrent)
	}
}

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simTick {
		var due []event
		s.events = slices.DeleteFunc(s.events, func(e event) bool {
			if e.at <= s.now {
				due = append(due, e)
			}
			return e.at <= s.now
		})
		for _, e := range due {
			e.do()
		}
		for _, i := range s.instances {
			if !i.alive {
				continue
			}
			if s.now >= i.reportAt {
				i.reportAt = s.now + simReporting
				s.report(i)
			}
			for i.attempts += i.demand * simTick.Seconds(); i.attempts >= 1; i.attempts-- {
				s.request(i)
			}
		}
	}
}

// step makes one random change and lets some time pass.
func (s *simulation) step(t *rapid.T) {
	pick := func() *simInstance {
		return s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "instance")]
	}
	switch rapid.SampledFrom([]string{"demand", "demand", "faults", "leader", "gap", "start", "death", "cut-off", "cut-off", "calm"}).Draw(t, "change") {
	case "demand":
		pick().demand = rapid.SampledFrom([]float64{0, 1, 20, 200}).Draw(t, "demand")
	case "faults":
		s.loss = rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "loss")
		s.maxDelay = rapid.SampledFrom([]time.Duration{20 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "delay")
	case "calm":
		s.loss, s.maxDelay = 0, 20*time.Millisecond
	case "leader":
		s.lead(true)
	case "gap":
		s.leader = nil
		s.at(s.now+time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap"))*time.Millisecond, func() {
			if s.leader == nil {
				s.lead(true)
			}
		})
	case "start":
		s.start().demand = 20
	case "cut-off":
		i := pick()
		i.cutOff = !i.cutOff
	case "death":
		pick().alive = false
	}
	s.run(time.Duration(rapid.IntRange(1, 250).Draw(t, "pause")) * simTick)
}

func drawLimit(t *rapid.T) rules.Limit {
	l := rules.Limit{Scope: rules.ScopeAll}
	kind := rapid.IntRange(1, 3).Draw(t, "kind")
	if kind&1 != 0 {
		l.PerSecond = rapid.SampledFrom([]float64{0.3, 1.5, 10, 60}).Draw(t, "rate")
		l.Burst = rapid.SampledFrom([]int{1, 3, 20, 60}).Draw(t, "burst")
	}
	if kind&2 != 0 {
		l.Concurrent = rapid.SampledFrom([]int{1, 4, 30}).Draw(t, "concurrent")
	}
	return l
}

// usableRate returns the rate of admissions, with the whole limit, of an instance with the given rate
// of requests.
func usableRate(r *rules.Rule, demand float64) float64 {
	l, interval := r.Then.Limit, 0.0
	if l.PerSecond > 0 {
		interval = 1 / l.PerSecond
		if l.Burst == 1 {
			// The next token is counted from when the former one is used, up to a request or a tick
			// after it was there.
			interval += max(1/demand, simTick.Seconds())
		}
	}
	if l.Concurrent > 0 {
		interval = max(interval, r.Deadline().Seconds()/2/float64(l.Concurrent))
	}
	return 1 / interval
}

var _ = Describe("shares of a limit", func() {
	// Guards against shares in use that exceed the limit together, whatever happens to messages,
	// leaders and instances, and against a part of the limit that stays unused afterwards although
	// there is demand for it.
	It("never exceed it, and are all where the requests are once there is no trouble", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := drawLimit(t)
			deadline := rapid.SampledFrom([]time.Duration{800 * time.Millisecond, 4 * time.Second}).Draw(t, "deadline")
			s := newSimulation(rapid.Uint64().Draw(t, "seed"), limit, deadline, rapid.IntRange(1, 6).Draw(t, "instances"))
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				s.step(t)
			}
			s.loss, s.maxDelay, s.steady = 0, 20*time.Millisecond, true
			if s.leader == nil {
				s.lead(true)
			}
			busy := s.start()
			for _, i := range s.instances {
				i.demand, i.cutOff = 0, false
			}
			busy.demand = 5 + 10*limit.PerSecond
			if limit.Concurrent > 0 {
				busy.demand = max(busy.demand, 400)
			}
			s.run(20 * time.Second)
			before := busy.admitted
			s.run(80 * time.Second)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
			// Idle instances hold a tenth of a rate and up to a quarter of the concurrent requests.
			part := 0.85
			if limit.Concurrent > 0 {
				part = 0.75
			}
			if perSecond, usable := float64(busy.admitted-before)/80, usableRate(s.rule, busy.demand); perSecond < part*usable {
				t.Fatalf("%v requests a second of %v are admitted, with %+v", perSecond, usable, limit)
			}
		})
	})
})
