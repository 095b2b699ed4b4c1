package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/state"
)

// attempt sends the request to a target once, and passes the answer on if there is one.
func (c *call) attempt(target state.Target, slot int) result {
	gate := c.h.targets.gate(target.ID, c.service.Concurrency)
	if err := gate.enter(c.ctx); err != nil {
		if errors.Is(err, errOverloaded) {
			return result{outcome: wire.NotRun, reason: "overloaded"}
		}
		return result{outcome: wire.NotRun, reason: reasonDeadline}
	}
	defer gate.leave()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	f := flight{cancel: cancel, under: under{service: c.service.Name, slot: slot, target: target.ID, version: c.state.Map.Version}}
	if slot < 0 {
		return c.checkAndSend(ctx, f, target)
	}
	f.since = c.state.Map.Services[f.service].Slots[slot].Since
	done := c.h.inflight.add(f)
	res := c.checkAndSend(ctx, f, target)
	c.over(f, done, res)
	return res
}

func (c *call) checkAndSend(ctx context.Context, f flight, target state.Target) result {
	if refused := c.recheck(f); refused != "" {
		return result{outcome: wire.NotRun, reason: refused}
	}
	return c.send(ctx, target, f.slot)
}

// over ends the note of a request, and tells when an old assignment was waiting for it.
//
// A target that checks nothing may still run a request that was given up here. The note
// stays until the deadline that the target was told: only then may the key move on.
func (c *call) over(f flight, done func(), res result) {
	end := func() {
		done()
		if f.stale(c.h.publisher.Load().Map) {
			c.h.settled()
		}
	}
	deadline, _ := c.ctx.Deadline()
	if res.outcome == wire.Unknown && c.service.Fencing == rules.FencingNone {
		time.AfterFunc(time.Until(deadline), end)
		return
	}
	end()
}

// recheck looks at the state again after the request has been noted: time has passed in
// the queue, and a change published meanwhile may not have seen the note.
func (c *call) recheck(f flight) string {
	now := c.h.publisher.Load()
	if c.h.clock.Now() >= now.Until {
		return "no-session"
	}
	if f.slot >= 0 && f.stale(now.Map) {
		return wire.NotRunFence
	}
	return ""
}

func (c *call) send(ctx context.Context, target state.Target, slot int) result {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	req, err := c.request(ctx, target, slot)
	if err != nil {
		return result{outcome: wire.NotRun, reason: "request"}
	}
	end := c.h.targets.begin(target.ID, c.service.Concurrency)
	res := c.h.forwarder.do(req, c.service.Connections)
	end(res.outcome != wire.Unknown && res.reason != reasonUnreachable)
	if res.outcome == wire.Answered {
		relay(c.w, res.response, c.ruleName(), target.ID)
	}
	return res
}

// bound ends the attempt with the session when the target checks nothing: nothing else
// would stop a request of this instance after another may have begun to send.
func (c *call) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.service.Fencing != rules.FencingNone || !c.decision.Keyed {
		return context.WithCancel(ctx)
	}
	left := c.state.Until.Sub(c.h.clock.Now()) - wire.MaxClockSkew*time.Millisecond
	return context.WithTimeout(ctx, left)
}

// request makes the request for the target out of the caller's.
func (c *call) request(ctx context.Context, target state.Target, slot int) (*http.Request, error) {
	url := *c.r.URL
	url.Scheme = "http"
	url.Host = target.Address
	req, err := http.NewRequestWithContext(ctx, c.r.Method, url.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Host = c.r.Host
	req.Header = c.r.Header.Clone()
	dropHopByHop(req.Header)
	c.setBody(req)
	h := req.Header
	h.Set(wire.HeaderService, c.service.Name)
	h.Set(wire.HeaderCaller, c.caller)
	h.Set(wire.HeaderRequestID, c.h.settings.Instance+"-"+strconv.FormatUint(c.h.requests.Add(1), 10))
	if slot >= 0 {
		h.Set(wire.HeaderSlot, strconv.Itoa(slot))
		h.Set(wire.HeaderFence, strconv.FormatUint(c.state.Map.Services[c.service.Name].Slots[slot].Fence, 10))
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(wire.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
		h.Set(wire.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	return req, nil
}

func (c *call) setBody(req *http.Request) {
	if c.buffered {
		if len(c.body) > 0 {
			req.Body = noReplay{bytes.NewReader(c.body)}
			req.ContentLength = int64(len(c.body))
		}
		return
	}
	req.Body = noReplay{&touching{c}}
	req.ContentLength = c.r.ContentLength
}

// touching marks a streamed body as used on its first read.
type touching struct{ c *call }

func (t *touching) Read(b []byte) (int, error) {
	t.c.used = true
	return t.c.r.Body.Read(b)
}
