package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
)

const (
	// lastTaken is how long after its SIGTERM an instance may take requests. A load balancer takes 2.7 s
	// to send new connections elsewhere.
	lastTaken = 3 * time.Second
	// outageLead is the time from the beginning of an outage of the store to the SIGTERM of the leader,
	// outageTime that from the SIGTERM to the end of the outage.
	outageLead = 300 * time.Millisecond
	outageTime = 4200 * time.Millisecond
	// maxStopPause is the longest time between two stops of leaders.
	maxStopPause = 4 * time.Second
)

// stop is the time from the SIGTERM of an instance to its exit.
type stop struct {
	interval
	address string
}

// stops holds the stops of instances. It is safe for concurrent use.
type stops struct {
	mu   sync.Mutex
	list []stop
}

func (s *stops) add(address string, from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, stop{interval{from, to}, address})
}

// startStops stops one leader after another with SIGTERM while the store does not answer. The returned
// function ends that.
func (s *soak) startStops() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 7))
		for sleep(stop, time.Duration(random.Int64N(int64(maxStopPause)))) {
			s.stopLeader([]ProxyFault{Stalled, Stalled, OneWay, Reset}[random.IntN(4)], time.Duration(random.Int64N(int64(maxRestartDelay))))
		}
	})
}

// stopLeader cuts all instances off from the store and stops the leader. It is started again after a delay.
func (s *soak) stopLeader(fault ProxyFault, restartDelay time.Duration) {
	leader := s.leader()
	if leader < 0 {
		return
	}
	for _, p := range s.deployment.storeProxies {
		p.SetFault(fault)
	}
	var reconnected []func()
	for _, p := range s.deployment.instances {
		reconnected = append(reconnected, s.markDisconnected(p))
	}
	time.Sleep(outageLead)
	s.Progress("seed %d: %s, store of all instances: %s", s.Seed, s.terminateFor(s.deployment.instances[leader], restartDelay), fault)
	time.Sleep(outageTime)
	for _, p := range s.deployment.storeProxies {
		p.SetFault(NoFault)
	}
	for _, done := range reconnected {
		done()
	}
}

// leader returns the number of the instance that holds the lease; -1 if none is known to.
func (s *soak) leader() int {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	rows, _, err := platform.NewStore(s.deployment.storeAddress).Scan(ctx, "lycheehall", "coordination")
	if err != nil {
		return -1
	}
	for _, row := range rows {
		if row.Key != "lease" {
			continue
		}
		held, err := lease.Decode(row.Value)
		if err != nil || held.Vacant {
			return -1
		}
		for n, p := range s.deployment.instances {
			if strings.HasPrefix(held.Holder, p.name+".") {
				return n
			}
		}
	}
	return -1
}

// terminateFor ends a process by SIGTERM, and starts it again after a delay. It returns a description. The
// stop of an instance is recorded, unless its process is interrupted until it exits.
func (s *soak) terminateFor(p *process, restartDelay time.Duration) string {
	s.interrupted.add(p)
	from := time.Now()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if n := slices.Index(s.deployment.instances, p); n >= 0 {
		s.noteStop(p, s.deployment.callerAddresses[n], from)
	}
	s.scheduleRestartAfter(p, restartDelay, stopTimeout)
	return "terminate " + p.name
}

func (s *soak) noteStop(p *process, address string, from time.Time) {
	s.unfinishedFaults.Go(func() {
		p.awaitExit(stopTimeout)
		to := time.Now()
		if !s.interrupted.between(p, from, to) {
			s.stops.add(address, from, to)
		}
	})
}

// checkStops returns a violation for each request that was sent to an instance too late after its SIGTERM
// and has run.
func checkStops(results map[string]CallResult, runs []standin.Record, stopped []stop) []string {
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.Request] = true
	}
	var violations []string
	for id, r := range results {
		for _, s := range stopped {
			if r.Instance == s.address && ran[id] && r.Sent.After(s.from.Add(lastTaken)) && r.Sent.Before(s.to) && (r.Received.IsZero() || r.Received.Before(s.to)) {
				violations = append(violations, fmt.Sprintf("%s ran, but was sent to %s %v after its SIGTERM", id, s.address, r.Sent.Sub(s.from).Round(time.Millisecond)))
			}
		}
	}
	return violations
}

// between reports whether a process was interrupted between two times.
func (i *interruptions) between(p *process, from, to time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return anyBetween(i.byProcess[p], from, to)
}
