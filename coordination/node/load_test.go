package node

import (
	"fmt"
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
)

// load sends requests for every slot through every instance, in the way the request path
// does: check the session and the map, note the request, and only then send. Between the
// check and the sending the instance may be frozen.
type load struct {
	h       *harness
	every   time.Duration
	next    int
	answers map[int][]clock.Instant
	results map[string]int
	started clock.Instant
}

// requestDeadline is the time that a target is told for a request.
const requestDeadline = time.Second

// startLoad sends one request for each slot every so often, each through another instance.
func (h *harness) startLoad(every time.Duration) *load {
	l := &load{h: h, every: every, answers: map[int][]clock.Instant{}, results: map[string]int{}, started: h.now}
	h.after(every, l.round)
	return l
}

func (l *load) round() {
	// The balancer sends nothing to instances that are gone.
	open := slices.DeleteFunc(slices.Clone(l.h.procs), func(p *proc) bool { return p.dead || p.closed })
	for slot := range l.h.service.Slots {
		p := open[(l.next+slot)%len(open)]
		p.step(func() { l.send(p, slot) })
	}
	l.next++
	l.h.after(l.every, l.round)
}

// send makes one attempt of a request that must not run twice.
func (l *load) send(p *proc, slot int) {
	service := p.view.Map
	if service == nil || service.Services[l.h.service.Name] == nil || p.clock() >= p.view.Until {
		l.results["refused"]++
		return
	}
	s := service.Services[l.h.service.Name].Slots[slot]
	if s.Moving() || s.Owner == "" {
		l.results["refused"]++
		return
	}
	p.nextID++
	id := p.nextID
	request := fmt.Sprintf("%s-%d", p.id, id)
	f := &flight{slot: slot, since: s.Since, version: service.Version}
	p.flights[id] = f
	left := min(requestDeadline, p.view.Until.Sub(p.clock()))
	// All clocks of people agree well enough here; see docs/GUARANTEES.md.
	deadline := l.h.now.Add(left)
	f.giveUp = func() { l.finish(p, id, request, "unknown") }
	l.h.at(deadline, func() { p.step(func() { l.finish(p, id, request, "unknown") }) })
	// The bytes leave a little after the check.
	l.h.after(50*time.Microsecond, func() {
		p.step(func() { l.transmit(p, id, request, slot, s.Owner, s.Fence, deadline) })
	})
}

func (l *load) transmit(p *proc, id int, request string, slot int, owner string, fence uint64, deadline clock.Instant) {
	t := l.h.target(owner)
	if l.h.lost(p.id, owner) {
		return
	}
	if t.dead {
		l.h.after(2*netDelay, func() { p.step(func() { l.finish(p, id, request, "not-run") }) })
		return
	}
	l.h.after(netDelay, func() {
		t.step(func() { l.serve(p, t, id, request, slot, fence, deadline) })
	})
}

// serve is the target's part. A target that checks looks at its grant when the request
// comes and again when its work takes effect. One that does not check honours the
// deadline only, which is a point in time: one that was counted from the arrival would let
// a target that was frozen run everything it finds when it wakes.
func (l *load) serve(p *proc, t *fakeTarget, id int, request string, slot int, fence uint64, deadline clock.Instant) {
	reply := func(result string) {
		if !l.h.lost(t.id, p.id) {
			l.h.after(netDelay, func() { p.step(func() { l.finish(p, id, request, result) }) })
		}
	}
	if t.deaf {
		return
	}
	if t.fenced && !t.holdings.Owns(t.clock(), slot, fence) {
		reply("not-run")
		return
	}
	l.h.after(workTime, func() {
		t.step(func() {
			if t.fenced && !t.holdings.Owns(t.clock(), slot, fence) || !t.fenced && l.h.now > deadline {
				reply("unknown")
				return
			}
			l.h.check.ran(t, slot, fence, request)
			reply("answered")
		})
	})
}

// finish ends a request at its instance, once.
func (l *load) finish(p *proc, id int, request, result string) {
	f := p.flights[id]
	if f == nil || f.finished {
		return
	}
	f.finished = true
	delete(p.flights, id)
	l.results[result]++
	switch result {
	case "answered":
		l.answers[f.slot] = append(l.answers[f.slot], l.h.now)
	case "not-run":
		l.h.check.refused(request)
	}
	if p.view.Map != nil {
		p.settle()
	}
}

// gaps returns, for each slot, the longest time without an answer since the start, less
// the time between two requests.
func (l *load) gaps(slots []int) (median, worst time.Duration) {
	var all []time.Duration
	for _, slot := range slots {
		longest := time.Duration(0)
		last := l.started
		for _, at := range append(l.answers[slot], l.h.now) {
			longest = max(longest, at.Sub(last))
			last = at
		}
		all = append(all, max(0, longest-l.every))
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// pace changes how often requests are sent, and starts the measurement anew.
func (l *load) pace(every time.Duration) {
	// The next round still comes at the former pace.
	former := l.every
	l.every = every
	l.h.run(2 * former)
	l.mark()
}

// mark starts the measurement anew.
func (l *load) mark() {
	l.answers = map[int][]clock.Instant{}
	l.results = map[string]int{}
	l.started = l.h.now
}

// slotsOf returns the slots that a target owns, and those it does not.
func (h *harness) slotsOf(target string) (owned, others []int) {
	for _, p := range h.procs {
		if p.dead || p.view.Map == nil || p.view.Map.Services[h.service.Name] == nil {
			continue
		}
		for i, s := range p.view.Map.Services[h.service.Name].Slots {
			if s.Owner == target {
				owned = append(owned, i)
			} else {
				others = append(others, i)
			}
		}
		return owned, others
	}
	return nil, nil
}
