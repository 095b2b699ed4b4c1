package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The load and the disruption of the case not-executed.
const (
	bookingTargets = 5
	bookingSlots   = 6
	bookingWork    = 100 * time.Millisecond
	bookingCallers = 24
	// bookingPause is the mean pause of a caller between two requests.
	bookingPause   = 80 * time.Millisecond
	bookingTimeout = 4 * time.Second
	// bookingRetries is how often a caller comes back, unless it has less than minTimeLeft.
	bookingRetries = 2
	minTimeLeft    = 500 * time.Millisecond

	// disturbedTargets is a share of 0.6 of the targets.
	disturbedTargets = 3
	lateExtraShare   = 0.03
	extraTime        = 5 * time.Second
	// shedShare is the share of requests that all targets reject for shedTime, which begins shedLead
	// before the extra responses.
	shedShare   = 0.25
	shedTime    = 8 * time.Second
	shedLead    = time.Second
	windowPause = 2 * time.Second
	windows     = 9
	seed        = 1
)

// playNotExecuted: targets reject some requests as not executed, and some send a response once more.
// A request that was answered with a promise that it is not executed must not run.
func playNotExecuted(d *deployment, trouble bool) (int, error) {
	s := service{name: "bookings", prefix: "/book/", kind: "unsafe", keyed: true, timeout: "4000ms", aim: "600ms", maxAttempts: 2}
	if err := d.configure(s); err != nil {
		return 0, err
	}
	if err := d.addTargets(s, bookingTargets, bookingSlots, bookingWork, seed); err != nil {
		return 0, err
	}
	if err := d.startInstances(3, false); err != nil {
		return 0, err
	}
	if err := d.awaitService(s); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	answers := make([]map[string]answer, bookingCallers)
	for n := range bookingCallers {
		answers[n] = map[string]answer{}
		callers.Go(func() { d.bookUntil(stop, n, answers[n]) })
	}
	for range windows {
		time.Sleep(windowPause)
		d.disturb(trouble, false)
		time.Sleep(shedLead)
		d.disturb(trouble, trouble)
		time.Sleep(extraTime)
		d.disturb(trouble, false)
		time.Sleep(shedTime - shedLead - extraTime)
		d.disturb(false, false)
	}
	close(stop)
	callers.Wait()
	// A request that was refused may run later.
	time.Sleep(bookingTimeout)
	return d.countFalsePromises(answers), nil
}

// disturb sets whether all targets reject requests, and whether some send responses once more.
func (d *deployment) disturb(shed, extra bool) {
	d.record.note("rejections: %t, extra responses: %t", shed, extra)
	for n, t := range d.targets {
		var f faults
		if shed {
			f.shed = shedShare
		}
		if extra && n < disturbedTargets {
			f.lateExtra = lateExtraShare
		}
		t.setFaults(f)
	}
}

// awaitService waits until a request is served through each instance.
func (d *deployment) awaitService(s service) error {
	until := time.Now().Add(startTimeout)
	for n, i := range d.instances {
		for attempt := 0; ; attempt++ {
			a, err := d.sendOnce(i, callerRequest{id: fmt.Sprintf("start-%d-%d", n, attempt), path: s.prefix + "start", key: n, timeout: bookingTimeout})
			if err == nil && a.status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("no request is served through %s", i.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// sendOnce sends a request on a connection of its own.
func (d *deployment) sendOnce(i *instance, r callerRequest) (answer, error) {
	c, err := dialCaller(i.front)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	a := c.send(r)
	d.record.note("sent %s to %s at %.3f: %v", r.id, i.name, a.sentAt.Sub(d.record.start).Seconds(), a)
	return a, nil
}

// bookUntil makes bookings one after the other, each through instances chosen at random.
func (d *deployment) bookUntil(stop <-chan struct{}, caller int, answers map[string]answer) {
	random := rand.New(rand.NewSource(int64(seed + 100 + caller)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int63n(int64(2 * bookingPause)))):
		}
		d.book(random, fmt.Sprintf("b-%d-%d", caller, n), answers)
	}
}

// book makes one booking. After a promise that the request is not executed, the caller comes back as it
// is told, with a new ID and on a new connection.
func (d *deployment) book(random *rand.Rand, household string, answers map[string]answer) {
	end := time.Now().Add(bookingTimeout)
	key := random.Intn(1 << 16)
	for attempt := range 1 + bookingRetries {
		i := d.instances[random.Intn(len(d.instances))]
		r := callerRequest{id: fmt.Sprintf("%s-%d", household, attempt), path: "/book/slot", key: key, timeout: time.Until(end), body: "household " + household}
		a, err := d.sendOnce(i, r)
		if err != nil {
			return
		}
		answers[r.id] = a
		if !promisesNotExecuted(a.status) || time.Until(end) < minTimeLeft {
			return
		}
		time.Sleep(min(a.retryAfter, time.Until(end)/3))
	}
}

// promisesNotExecuted says whether a status promises that a request has not run and never will.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// countFalsePromises counts the requests that have run twice, or in spite of a promise.
func (d *deployment) countFalsePromises(answers []map[string]answer) int {
	sent, served, refused, denied, twice := 0, 0, 0, 0, 0
	runsOfHousehold := map[string]int{}
	for _, list := range answers {
		for id, a := range list {
			runs := len(d.runsOf(id))
			sent++
			household := id[:strings.LastIndex(id, "-")]
			runsOfHousehold[household] += runs
			if a.status == http.StatusOK {
				served++
			}
			if promisesNotExecuted(a.status) {
				refused++
			}
			if promisesNotExecuted(a.status) && runs > 0 {
				denied++
				d.record.note("REFUSED: %s was answered %d and has run %d times", id, a.status, runs)
			}
			if runs > 1 {
				twice++
				d.record.note("TWICE: %s has run %d times and was answered: %v", id, runs, a)
			}
		}
	}
	for household, runs := range runsOfHousehold {
		if runs > 1 {
			d.record.note("household %s was booked %d times", household, runs)
		}
	}
	d.record.note("sent %d served %d refused %d; refused and run %d; run twice %d", sent, served, refused, denied, twice)
	return denied + twice
}
