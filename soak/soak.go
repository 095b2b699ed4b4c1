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

// Options of one soak.
type Options struct {
	Seed uint64
	Size
	// Length is how long faults are injected.
	Length time.Duration
	// ProgramDir is the folder with the built programs, Dir one for logs and records.
	ProgramDir string
	Dir        string
	// Progress is told what happens.
	Progress func(format string, args ...any)
}

// Result is what a soak has seen.
type Result struct {
	Counts     map[Outcome]int
	Faults     int
	Violations []string
}

const (
	// settleFor bounds the wait until everything is served, at the start and after the
	// faults: the longest hold, a change of the leading instance and a start.
	settleFor = 25 * time.Second
	// mostPause is the longest time between two faults.
	mostPause = 900 * time.Millisecond
	// stopFor bounds the wait for a process that was asked to end.
	stopFor = 10 * time.Second
)

// soak is one run.
type soak struct {
	Options
	fleet   *Fleet
	callers *Callers
	changes *Changes
	random  *rand.Rand
	// pending are the ends of faults.
	pending sync.WaitGroup
	faults  int
	// interrupted are the faults of processes.
	interrupted interruptions
	// outOfTouch are the times in which instances did not run or did not reach the store, by their addresses
	// for callers.
	outOfTouch spans
	// asked are the evacuations as operators want them.
	asked asked
}

// Run plays one seed.
func Run(o Options) (*Result, error) {
	fleet, err := NewFleet(o.ProgramDir, o.Dir, o.Size)
	defer fleet.Stop()
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(fleet.storeAt)
	if _, err := rulestore.Apply(context.Background(), store, 0, rulestore.Record{Author: "soak", Text: examples.Rules}); err != nil {
		return nil, err
	}
	s := &soak{Options: o, fleet: fleet, callers: NewCallers(fleet.callersAt), random: rand.New(rand.NewPCG(o.Seed, 0))}
	if err := s.settle("start"); err != nil {
		s.callers.Finish()
		return nil, err
	}
	changes, err := StartChanges(fleet, o.Seed)
	if err != nil {
		s.callers.Finish()
		return nil, err
	}
	s.changes = changes
	leaving := s.startLeaving()
	evacuations := s.startEvacuations()
	limits := s.startLimits()
	returns := s.startReturns()
	s.inject()
	s.pending.Wait()
	returns()
	limits()
	leaving()
	evacuated := evacuations()
	result := &Result{Faults: s.faults, Violations: changes.Stop()}
	for _, err := range []error{s.settle("recovery"), changes.settled()} {
		if err != nil {
			result.Violations = append(result.Violations, err.Error())
		}
	}
	result.Counts = s.callers.Count()
	told := s.callers.Finish()
	runs, err := fleet.Runs()
	if err != nil {
		return nil, err
	}
	result.Violations = append(result.Violations, Check(told, runs)...)
	result.Violations = append(result.Violations, checkLeaving(told, runs, s.interrupted.instances(fleet))...)
	result.Violations = append(result.Violations, checkEvacuations(told, runs, evacuated, s.outOfTouch.of)...)
	result.Violations = append(result.Violations, checkCold(runs)...)
	result.Violations = append(result.Violations, checkLimits(told, runs, s.interrupted.instances(fleet))...)
	return result, nil
}

// during runs a function beside others until the returned one is called, which waits for its end.
func during(run func(stop <-chan struct{})) (finish func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { run(stop) })
	return func() {
		close(stop)
		running.Wait()
	}
}

// settle waits until every instance serves every key.
func (s *soak) settle(when string) error {
	deadline := time.Now().Add(settleFor)
	for n, address := range s.fleet.callersAt {
		for key := 0; key < callerKeys; {
			id := fmt.Sprintf("%s-%d-%d-%d", when, n, key, time.Now().UnixNano())
			if s.callers.Ask(address, id, key, false).Outcome == Answered {
				key++
				continue
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s: instance %d does not serve household %d after %v", when, n+1, key, settleFor)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// inject lets faults come one after the other, each with an end of its own, so that they
// overlap.
func (s *soak) inject() {
	for end := time.Now().Add(s.Length); time.Now().Before(end); {
		s.faults++
		name := s.fault()
		s.Progress("seed %d, fault %d: %s, %v", s.Seed, s.faults, name, s.callers.Count())
		time.Sleep(s.upTo(mostPause))
	}
}

func (s *soak) upTo(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(most)))
}

// after ends a fault later.
func (s *soak) after(d time.Duration, end func()) {
	s.pending.Go(func() {
		time.Sleep(d)
		end()
	})
}

// fault injects one fault and returns its name.
func (s *soak) fault() string {
	instance := s.fleet.instances[s.random.IntN(len(s.fleet.instances))]
	target := s.fleet.targets[s.random.IntN(len(s.fleet.targets))]
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
		return s.cut("store of one instance", s.fleet.toStore[s.random.IntN(len(s.fleet.toStore))])
	case 7:
		return s.cut("store of all instances", s.fleet.toStore...)
	}
	return s.cut("a target", s.fleet.toTargets[s.random.IntN(len(s.fleet.toTargets))])
}

// restart starts a process again once it has ended.
func (s *soak) restart(p *process, most time.Duration) {
	back := s.loseTouch(p)
	s.after(s.upTo(2*time.Second), func() {
		p.end(most)
		if err := p.start(); err != nil {
			s.Progress("%v", err)
		}
		s.interrupted.note(p)
		back()
	})
}

// loseTouch notes that a process, if it is an instance, is out of touch until the returned function is
// called.
func (s *soak) loseTouch(p *process) (back func()) {
	n := slices.Index(s.fleet.instances, p)
	begun := time.Now()
	return func() {
		if n >= 0 {
			s.outOfTouch.note(s.fleet.callersAt[n], begun, time.Now())
		}
	}
}

func (s *soak) kill(p *process) string {
	s.interrupted.note(p)
	p.signal(syscall.SIGKILL)
	s.restart(p, stopFor)
	return "kill " + p.name
}

func (s *soak) terminate(p *process) string {
	s.interrupted.note(p)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	s.restart(p, stopFor)
	return "terminate " + p.name
}

func (s *soak) pause(p *process, most time.Duration) string {
	s.interrupted.note(p)
	p.signal(syscall.SIGSTOP)
	back := s.loseTouch(p)
	s.after(s.upTo(most), func() {
		p.signal(syscall.SIGCONT)
		s.interrupted.note(p)
		back()
	})
	return "pause " + p.name
}

func (s *soak) cut(what string, proxies ...*Proxy) string {
	fault := []Fault{Delayed, Reset, Silent, OneWay}[s.random.IntN(4)]
	var back []func()
	for _, p := range proxies {
		p.Set(fault)
		if n := slices.Index(s.fleet.toStore, p); n >= 0 {
			back = append(back, s.loseTouch(s.fleet.instances[n]))
		}
	}
	s.after(s.upTo(6*time.Second), func() {
		for _, p := range proxies {
			p.Set(Sound)
		}
		for _, done := range back {
			done()
		}
	})
	return fmt.Sprintf("%s: %s", what, fault)
}
