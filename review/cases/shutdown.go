package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

// The load and the disruption of the case shutdown.
const (
	haulTargets = 6
	haulSlots   = 6
	haulWork    = 820 * time.Millisecond
	haulTimeout = 6 * time.Second
	// Each of keptConnections sends a request after the SIGTERM, keptInterval after the former one.
	keptConnections = 54
	keptInterval    = 90 * time.Millisecond
	// outage is how long the store is down, and outageLead how long before the SIGTERM it begins.
	outage     = 4500 * time.Millisecond
	outageLead = 300 * time.Millisecond
	// calmTime is the time without any disruption before the outage.
	calmTime = 4 * time.Second
	// excusedUntil is how long after the SIGTERM a request may be sent that is excused if its target
	// is still at work in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
)

// keptRequest is a request on a connection that was opened before the SIGTERM.
type keptRequest struct {
	id     string
	answer answer
}

// playShutdown: the instance that last wrote to the store gets SIGTERM while the store is down. No
// request that a target works on may be broken off.
func playShutdown(d *deployment, trouble bool) (int, error) {
	s := service{name: "hauls", prefix: "/haul/", kind: "unsafe", timeout: "6000ms", aim: "2000ms", maxAttempts: 2}
	if err := d.configure(s); err != nil {
		return 0, err
	}
	if err := d.addTargets(s, haulTargets, haulSlots, haulWork, 1); err != nil {
		return 0, err
	}
	if err := d.startInstances(3, false); err != nil {
		return 0, err
	}
	if err := d.awaitService(s); err != nil {
		return 0, err
	}
	time.Sleep(calmTime)
	i, err := d.lastWriter()
	if err != nil {
		return 0, err
	}
	conns, err := d.openKept(i)
	if err != nil {
		return 0, err
	}
	if trouble {
		d.record.note("the store is down")
		d.store.SetFaults(standin.Faults{Unresponsive: true})
		defer time.AfterFunc(outage, func() {
			d.store.SetFaults(standin.Faults{})
			d.record.note("the store is back")
		}).Stop()
	}
	time.Sleep(outageLead)
	term := time.Now()
	d.record.note("SIGTERM to %s", i.name)
	if err := i.command.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	killed := time.AfterFunc(grace, i.kill)
	defer killed.Stop()
	requests := d.useKept(conns, i)
	<-i.exited
	d.record.note("%s exited %.3f s after the SIGTERM", i.name, time.Since(term).Seconds())
	return d.countBrokenOff(requests, term), nil
}

// openKept opens connections to an instance, each with a first request.
func (d *deployment) openKept(i *instance) ([]*callerConn, error) {
	var conns []*callerConn
	var first sync.WaitGroup
	for n := range keptConnections {
		c, err := dialCaller(i.front)
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
		first.Go(func() {
			id := fmt.Sprintf("first-%d", n)
			a := c.send(callerRequest{id: id, path: "/haul/first", key: -1, timeout: haulTimeout, body: "bins"})
			d.record.note("sent %s to %s at %.3f: %v", id, i.name, a.sentAt.Sub(d.record.start).Seconds(), a)
		})
		time.Sleep(keptInterval / 2)
	}
	first.Wait()
	return conns, nil
}

// useKept sends a request on each of the connections, one after the other.
func (d *deployment) useKept(conns []*callerConn, i *instance) []keptRequest {
	requests := make([]keptRequest, len(conns))
	var sent sync.WaitGroup
	for n, c := range conns {
		time.Sleep(keptInterval)
		sent.Go(func() {
			id := fmt.Sprintf("kept-%d", n)
			a := c.send(callerRequest{id: id, path: "/haul/next", key: -1, timeout: haulTimeout, body: "bins"})
			c.Close()
			d.record.note("sent %s to %s at %.3f: %v", id, i.name, a.sentAt.Sub(d.record.start).Seconds(), a)
			requests[n] = keptRequest{id, a}
		})
	}
	sent.Wait()
	return requests
}

// countBrokenOff counts the requests that were broken off while a target was at work.
func (d *deployment) countBrokenOff(requests []keptRequest, term time.Time) int {
	broken := 0
	for _, r := range requests {
		for _, run := range d.runsOf(r.id) {
			sent := r.answer.sentAt.Sub(term)
			excused := sent <= excusedUntil && run.ended.Sub(term) >= grace*5/6 || run.ended.Sub(r.answer.sentAt) >= haulTimeout-time.Second/2
			if !run.droppedAtWork || r.answer.signed || excused {
				continue
			}
			broken++
			d.record.note("LOST: %s was sent %.3f s after the SIGTERM and broken off %.3f s after it, when its target was at work: %v",
				r.id, sent.Seconds(), run.ended.Sub(term).Seconds(), r.answer)
		}
	}
	return broken
}
