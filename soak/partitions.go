package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// partitionDetection is how long after the start of a partition the instances may take until they
	// serve their callers as the others do.
	partitionDetection = 3 * time.Second
	// minPartition and maxPartition limit the length of a partition, maxPartitionPause the time from the
	// start of one to that of the next.
	minPartition      = 2 * time.Second
	maxPartition      = 8 * time.Second
	maxPartitionPause = 6 * time.Second
	// maxRefusedShare is the reciprocal of the share of first tries that may fail at partitioned
	// instances, beside maxRefused, whatever the others serve.
	maxRefused      = 10
	maxRefusedShare = 50
)

// targetSource returns the local address of the i-th instance's connections to targets.
func targetSource(i int) string { return net.IPv4(127, 0, 1, byte(i+1)).String() }

// partitions holds the periods in which instances are partitioned from all targets, by instance. The
// partitions of one instance may overlap. It is safe for concurrent use.
type partitions struct {
	mu      sync.Mutex
	active  map[int]int
	since   map[int]time.Time
	periods map[int][]interval
}

// begin counts a partition of an instance. It returns false if no instance would be left without one.
func (p *partitions) begin(instance, instances int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active == nil {
		p.active, p.since, p.periods = map[int]int{}, map[int]time.Time{}, map[int][]interval{}
	}
	if p.active[instance] == 0 && len(p.since) >= instances-1 {
		return false
	}
	if p.active[instance] == 0 {
		p.since[instance] = time.Now()
	}
	p.active[instance]++
	return true
}

// end ends a partition of an instance, and reports whether it was the last one that was in effect.
func (p *partitions) end(instance int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[instance]--
	if p.active[instance] > 0 {
		return false
	}
	p.periods[instance] = append(p.periods[instance], interval{p.since[instance], time.Now()})
	delete(p.since, instance)
	return true
}

// state returns whether an instance is partitioned at a time, and for how long it has been. The time
// just after a partition counts as partitioned for no time.
func (p *partitions) state(instance int, at time.Time) (partitioned bool, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.periods[instance] {
		switch {
		case i.overlaps(at, at.Add(1)):
			return true, at.Sub(i.from)
		case i.overlaps(at.Add(-partitionDetection), at):
			return true, 0
		}
	}
	return false, 0
}

// startPartitions partitions some instances after others from all targets: single ones, and those of a
// data centre. The returned function stops that. It uses a random generator of its own, so that it does
// not alter the other faults of a seed.
func (s *soak) startPartitions() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 6))
		var running sync.WaitGroup
		defer running.Wait()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(random.Int64N(int64(maxPartitionPause)))):
			}
			first, whole := random.IntN(len(s.deployment.instances)), random.IntN(2) == 0
			open := []ProxyFault{NoFault, Stalled, Reset}[random.IntN(3)]
			length := minPartition + time.Duration(random.Int64N(int64(maxPartition-minPartition)))
			running.Go(func() { s.partition(first, whole, open, length) })
		}
	})
}

// partition partitions an instance, or all instances of its data centre, from all targets for a while.
// Their new connections are reset, and their open ones get the given fault.
func (s *soak) partition(first int, whole bool, open ProxyFault, length time.Duration) {
	var cut []int
	for i := range s.deployment.instances {
		same := i == first || whole && dataCentreName(i) == dataCentreName(first)
		if same && s.partitions.begin(i, len(s.deployment.instances)) {
			cut = append(cut, i)
		}
	}
	s.Progress("seed %d: instances %v partitioned from all targets for %v, open connections: %s", s.Seed, cut, length, open)
	for _, i := range cut {
		for _, p := range s.deployment.targetProxies {
			p.CutSource(targetSource(i), open)
		}
	}
	time.Sleep(length)
	for _, i := range cut {
		if s.partitions.end(i) {
			for _, p := range s.deployment.targetProxies {
				p.HealSource(targetSource(i))
			}
		}
	}
}

// partitionCounts are the first tries of callers at instances that had been partitioned for
// partitionDetection, and at instances that were not partitioned.
type partitionCounts struct{ cutServed, cutAll, otherServed, otherAll int }

func (c partitionCounts) String() string {
	return fmt.Sprintf("partitioned instances served %d of %d requests, the others %d of %d", c.cutServed, c.cutAll, c.otherServed, c.otherAll)
}

// violated reports whether callers of the partitioned instances were served too rarely.
func (c partitionCounts) violated() bool {
	return c.cutAll-c.cutServed > maxRefused+c.cutAll/maxRefusedShare && 3*c.cutServed*c.otherAll < 2*c.otherServed*c.cutAll
}

// countDuringPartitions counts the results, at the instances with the given addresses, of requests that
// were sent in the given period.
func countDuringPartitions(results map[string]CallResult, period interval, partitioned *partitions, addresses []string) partitionCounts {
	index := map[string]int{}
	for i, a := range addresses {
		index[a] = i
	}
	var c partitionCounts
	for _, r := range results {
		cut, since := partitioned.state(index[r.Instance], r.Sent)
		served := 0
		if r.Outcome == Answered {
			served = 1
		}
		switch {
		case !period.overlaps(r.Sent, r.Sent.Add(1)):
		case !cut:
			c.otherServed += served
			c.otherAll++
		case since >= partitionDetection:
			c.cutServed += served
			c.cutAll++
		}
	}
	return c
}
