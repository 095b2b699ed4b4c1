package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/state/rulestore"
)

// Options are the options of one soak run.
type Options struct {
	Seed uint64
	DeploymentOptions
	// Only, if not empty, is the only kind of events that is played: one of Kinds. How callers are served
	// during partitions is checked only where they are the only kind: others have effects of their own.
	Only Kind
	// Length is how long faults are injected.
	Length time.Duration
	// ProgramDir is the directory of the built programs. Dir is the directory for logs and records.
	ProgramDir string
	Dir        string
	// Progress is called with messages about faults and other events.
	Progress func(format string, args ...any)
}

// Kind is a kind of events that can be played alone.
type Kind string

// The kinds of events.
const (
	// Partitions of instances from all targets.
	Partitions Kind = "partitions"
	// LateResponses: targets refuse requests, and send responses once more, late, or malformed ones.
	LateResponses Kind = "late-responses"
	// KilledPeers: instances are killed that forward responses without a length to others.
	KilledPeers Kind = "killed-peers"
	// Stops of the leader while the store does not answer.
	Stops Kind = "stops"
)

// Kinds are all kinds of events.
var Kinds = []Kind{Partitions, LateResponses, KilledPeers, Stops}

// Result is the result of a soak run: the number of requests by outcome, the number of faults, and
// the violations of guarantees.
type Result struct {
	Counts     map[Outcome]int
	Faults     int
	Violations []string
}

const (
	// settleTimeout limits the wait until everything is served, at the start and after the faults. It
	// covers the longest hold of a grant of keys, a change of the leader and the start of a process.
	settleTimeout = 25 * time.Second
	// maxRestartDelay is the longest time from the exit of a process to its restart.
	maxRestartDelay = 2 * time.Second
	// maxFaultPause is the longest time between two faults.
	maxFaultPause = 900 * time.Millisecond
	// stopTimeout limits the wait for a terminated process to exit before it is killed.
	stopTimeout = 10 * time.Second
)

// soak is a run in progress.
type soak struct {
	Options
	deployment *Deployment
	callers    *Callers
	changes    *RuleChanges
	random     *rand.Rand
	// unfinishedFaults counts the faults that have not ended yet.
	unfinishedFaults sync.WaitGroup
	faults           int
	// interrupted has the times of faults of processes.
	interrupted interruptions
	// disconnected has the periods in which instances were not running or could not reach the store
	// reliably, by their addresses for callers.
	disconnected intervals
	// evacuations has the evacuations that operators have requested.
	evacuations requestedEvacuations
	partitions  partitions
	stops       stops
}

// Run runs one seed and returns what it has found. An error means that the run itself failed.
func Run(o Options) (*Result, error) {
	deployment, err := NewDeployment(o.ProgramDir, o.Dir, o.DeploymentOptions)
	defer deployment.Stop()
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(deployment.storeAddress)
	if _, err := rulestore.Apply(context.Background(), store, 0, rulestore.Record{Author: "soak", Text: examples.Rules}); err != nil {
		return nil, err
	}
	s := &soak{Options: o, deployment: deployment, callers: NewCallers(deployment.callerAddresses), random: rand.New(rand.NewPCG(o.Seed, 0))}
	if err := s.awaitServed("start"); err != nil {
		s.callers.Finish()
		return nil, err
	}
	changes, err := StartRuleChanges(deployment, o.Seed)
	if err != nil {
		s.callers.Finish()
		return nil, err
	}
	s.changes = changes
	switch o.Only {
	case Partitions:
		return s.runPartitions()
	case LateResponses:
		return s.runOnly(s.startLateResponses)
	case KilledPeers:
		return s.runOnly(s.startKilledPeers)
	case Stops:
		return s.runOnly(s.startStops)
	}
	stopPartitions := s.startPartitions()
	stopLateResponses := s.startLateResponses()
	stopKilledPeers := s.startKilledPeers()
	stopStops := s.startStops()
	stopLeaving := s.startLeaving()
	stopEvacuations := s.startEvacuations()
	stopLimits := s.startLimits()
	stopStoreRestores := s.startStoreRestores()
	s.injectFaults()
	stopStops()
	stopKilledPeers()
	stopLateResponses()
	s.unfinishedFaults.Wait()
	stopPartitions()
	stopStoreRestores()
	stopLimits()
	stopLeaving()
	evacuated := stopEvacuations()
	result := &Result{Faults: s.faults, Violations: changes.Stop()}
	for _, err := range []error{s.awaitServed("recovery"), changes.awaitNewestVersion()} {
		if err != nil {
			result.Violations = append(result.Violations, err.Error())
		}
	}
	result.Counts = s.callers.Count()
	results := s.callers.Finish()
	runs, err := deployment.Runs()
	if err != nil {
		return nil, err
	}
	result.Violations = append(result.Violations, Check(results, runs)...)
	result.Violations = append(result.Violations, checkLeaving(results, runs, s.interrupted.byInstance(deployment))...)
	result.Violations = append(result.Violations, checkEvacuations(results, runs, evacuated, s.disconnected.byInstance)...)
	result.Violations = append(result.Violations, checkColdRate(runs)...)
	result.Violations = append(result.Violations, checkStops(results, runs, s.stops.list)...)
	result.Violations = append(result.Violations, checkParts(results, runs, s.deployment.targetExits())...)
	result.Violations = append(result.Violations, checkLimits(results, runs, s.interrupted.byInstance(deployment))...)
	return result, nil
}

// runPartitions injects partitions of instances from all targets, and returns the result of the run.
func (s *soak) runPartitions() (*Result, error) {
	result, results, period, err := s.play(s.startPartitions)
	if err != nil {
		return nil, err
	}
	counts := countDuringPartitions(results, period, &s.partitions, s.deployment.callerAddresses)
	s.Progress("seed %d: %v", s.Seed, counts)
	if counts.violated() {
		result.Violations = append(result.Violations, counts.String())
	}
	return result, nil
}

// runOnly plays one kind of events, and returns the result of the run.
func (s *soak) runOnly(start func() (finish func())) (*Result, error) {
	result, _, _, err := s.play(start)
	return result, err
}

// play plays one kind of events, and returns the result of the run, those of the callers' requests, and
// when the events were played.
func (s *soak) play(start func() (finish func())) (*Result, map[string]CallResult, interval, error) {
	period := interval{from: time.Now()}
	finish := start()
	time.Sleep(s.Length)
	finish()
	period.to = time.Now()
	s.unfinishedFaults.Wait()
	result := &Result{Violations: s.changes.Stop()}
	if err := s.awaitServed("recovery"); err != nil {
		result.Violations = append(result.Violations, err.Error())
	}
	result.Counts = s.callers.Count()
	results := s.callers.Finish()
	runs, err := s.deployment.Runs()
	if err != nil {
		return nil, nil, period, err
	}
	result.Violations = append(result.Violations, Check(results, runs)...)
	result.Violations = append(result.Violations, checkStops(results, runs, s.stops.list)...)
	result.Violations = append(result.Violations, checkParts(results, runs, s.deployment.targetExits())...)
	return result, results, period, nil
}

// runInBackground runs a function in a goroutine. The returned function closes stop and waits until
// the goroutine has ended.
func runInBackground(run func(stop <-chan struct{})) (finish func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { run(stop) })
	return func() {
		close(stop)
		running.Wait()
	}
}

// awaitServed waits until every instance has served every key. The phase of the run is part of the
// request IDs and of the error.
func (s *soak) awaitServed(phase string) error {
	deadline := time.Now().Add(settleTimeout)
	for n, address := range s.deployment.callerAddresses {
		for key := 0; key < keyCount; {
			id := fmt.Sprintf("%s-%d-%d-%d", phase, n, key, time.Now().UnixNano())
			if s.callers.Call(address, id, key, false).Outcome == Answered {
				key++
				continue
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s: instance %d does not serve key %d after %v", phase, n+1, key, settleTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// injectFaults injects one fault after another for the length of the run. Each ends at a time of its
// own, so that faults overlap.
func (s *soak) injectFaults() {
	for end := time.Now().Add(s.Length); time.Now().Before(end); {
		s.faults++
		name := s.injectFault()
		s.Progress("seed %d, fault %d: %s, %v", s.Seed, s.faults, name, s.callers.Count())
		time.Sleep(s.randomUpTo(maxFaultPause))
	}
}

// randomUpTo returns a random duration below the longest.
func (s *soak) randomUpTo(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

// scheduleEnd ends a fault after a delay.
func (s *soak) scheduleEnd(d time.Duration, end func()) {
	s.unfinishedFaults.Go(func() {
		time.Sleep(d)
		end()
	})
}

// injectFault injects one random fault and returns its description.
func (s *soak) injectFault() string {
	instance := s.deployment.instances[s.random.IntN(len(s.deployment.instances))]
	target := s.deployment.targets[s.random.IntN(len(s.deployment.targets))]
	switch s.random.IntN(9) {
	case 0:
		return s.kill(instance)
	case 1:
		return s.pause(instance, 5*time.Second)
	case 2:
		return s.terminate(instance)
	case 3:
		return s.kill(target)
	case 4:
		return s.pause(target, 7*time.Second)
	case 5:
		return s.terminate(target)
	case 6:
		return s.disruptConnections("store of one instance", s.deployment.storeProxies[s.random.IntN(len(s.deployment.storeProxies))])
	case 7:
		return s.disruptConnections("store of all instances", s.deployment.storeProxies...)
	}
	return s.disruptConnections("a target", s.deployment.targetProxies[s.random.IntN(len(s.deployment.targetProxies))])
}

// scheduleRestart starts a process again after a random delay, once it has exited.
func (s *soak) scheduleRestart(p *process, exitTimeout time.Duration) {
	s.scheduleRestartAfter(p, s.randomUpTo(maxRestartDelay), exitTimeout)
}

func (s *soak) scheduleRestartAfter(p *process, delay, exitTimeout time.Duration) {
	reconnected := s.markDisconnected(p)
	s.scheduleEnd(delay, func() {
		p.awaitExit(exitTimeout)
		if err := p.start(); err != nil {
			s.Progress("%v", err)
		}
		s.interrupted.add(p)
		reconnected()
	})
}

// markDisconnected records that a process, if it is an instance, is disconnected from now until the
// returned function is called.
func (s *soak) markDisconnected(p *process) (reconnected func()) {
	n := slices.Index(s.deployment.instances, p)
	start := time.Now()
	return func() {
		if n >= 0 {
			s.disconnected.add(s.deployment.callerAddresses[n], start, time.Now())
		}
	}
}

func (s *soak) kill(p *process) string {
	s.interrupted.add(p)
	p.signal(syscall.SIGKILL)
	s.scheduleRestart(p, stopTimeout)
	return "kill " + p.name
}

func (s *soak) terminate(p *process) string {
	return s.terminateFor(p, s.randomUpTo(maxRestartDelay))
}

func (s *soak) pause(p *process, longest time.Duration) string {
	s.interrupted.add(p)
	p.signal(syscall.SIGSTOP)
	reconnected := s.markDisconnected(p)
	s.scheduleEnd(s.randomUpTo(longest), func() {
		p.signal(syscall.SIGCONT)
		s.interrupted.add(p)
		reconnected()
	})
	return "pause " + p.name
}

// disruptConnections sets a random fault on proxies for a random time.
func (s *soak) disruptConnections(what string, proxies ...*Proxy) string {
	fault := []ProxyFault{Delayed, Reset, Stalled, OneWay}[s.random.IntN(4)]
	var reconnected []func()
	for _, p := range proxies {
		p.SetFault(fault)
		if n := slices.Index(s.deployment.storeProxies, p); n >= 0 {
			reconnected = append(reconnected, s.markDisconnected(s.deployment.instances[n]))
		}
	}
	s.scheduleEnd(s.randomUpTo(6*time.Second), func() {
		for _, p := range proxies {
			p.SetFault(NoFault)
		}
		for _, done := range reconnected {
			done()
		}
	})
	return fmt.Sprintf("%s: %s", what, fault)
}
