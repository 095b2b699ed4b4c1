package server

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/apex/log"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
	"lycheehall.example/lycheehall/transport/admin"
)

// backend serves operators.
type backend struct{ s *Server }

var _ admin.Backend = (*backend)(nil)

// Times for operators' questions to other instances.
const (
	askTimeout     = time.Second
	proposeTimeout = proposeHold + time.Second
	maxHistory     = 50
)

func (b *backend) Ready() (bool, string) {
	if b.s.stopping.Load() {
		return false, "the instance is shutting down"
	}
	st := b.s.publisher.Load()
	if (clock.System{}).Now() >= st.Until {
		return false, "the instance has no session"
	}
	if st.Set == nil {
		return false, "there are no rules yet"
	}
	return true, ""
}

func (b *backend) Rules() state.Rules {
	b.s.driver.mu.Lock()
	defer b.s.driver.mu.Unlock()
	return b.s.driver.node.View().Rules
}

func (b *backend) History(ctx context.Context) ([]state.Rules, error) {
	newest := b.Rules().Version
	var keys []string
	for v := newest; v > 0 && newest-v < maxHistory; v-- {
		keys = append(keys, state.RulesHistoryKey(v))
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rows, err := b.s.platform.Get(ctx, keys)
	if err != nil {
		return nil, fmt.Errorf("%w: the table does not answer: %w", admin.ErrUnavailable, err)
	}
	var out []state.Rules
	for _, row := range rows {
		var r state.Rules
		if err := state.Decode(row, &r); err != nil {
			return nil, err
		}
		if r.Version > 0 {
			out = append(out, r)
		}
	}
	return out, nil
}

// Propose tries here first; an instance that does not lead names the one that does.
func (b *backend) Propose(ctx context.Context, p message.Proposal) (message.ProposalResult, error) {
	res := b.s.driver.propose(p)
	if res.Code != message.NotLeader {
		return res, nil
	}
	if res.Leader.Address == "" || res.Leader.ID == b.s.self.ID {
		return message.ProposalResult{Code: message.Waiting, Detail: "no leader is known"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := b.s.driver.peers.Propose(ctx, res.Leader.Address, p)
	if err != nil {
		return message.ProposalResult{Code: message.Uncertain, Detail: err.Error()}, nil
	}
	return res, nil
}

func (b *backend) Status(ctx context.Context) message.Status {
	own := b.s.driver.status()
	if own.Leader.ID == b.s.self.ID || own.Leader.Address == "" {
		return own
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if st, err := b.s.driver.peers.Status(ctx, own.Leader.Address); err == nil {
		return st
	}
	return own
}

func (b *backend) Explain(req admin.ExplainRequest) admin.Explanation {
	st := b.s.publisher.Load()
	out := admin.Explanation{Slot: -1}
	if st.Set == nil {
		out.Outcome = "not-run"
		out.Detail = "there are no rules yet"
		return out
	}
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		out.Outcome = "not-run"
		out.Detail = err.Error()
		return out
	}
	d := st.Set.Decide(&rules.Request{Method: req.Method, Host: req.Host, URL: u, Header: req.Header, Caller: req.Caller, DataCentre: b.s.settings.DataCentre})
	if d.Rule == nil {
		out.Outcome = "refused 404"
		out.Detail = "no rule matches this request"
		return out
	}
	out.Rule = d.Rule.Name
	if f := d.Rule.Then.Refuse; f != nil {
		out.Outcome = fmt.Sprintf("refused %d", f.Status)
		out.Detail = f.Message
		return out
	}
	out.Outcome = "routed"
	out.Service = d.Rule.Then.Route
	explainOwner(&out, d, st.Map.Services[out.Service])
	return out
}

func explainOwner(out *admin.Explanation, d rules.Decision, service *state.ServiceSlots) {
	switch {
	case service == nil:
		out.Detail = "the service has no targets yet"
	case !d.Keyed:
		out.Detail = fmt.Sprintf("the least loaded of %d targets", len(service.Targets))
	case d.Key == "":
		out.Outcome = "refused 400"
		out.Detail = "the request must have exactly one " + d.Rule.Then.Key
	default:
		out.Key = d.Key
		out.Slot = ownership.SlotOf(d.Key, len(service.Slots))
		slot := service.Slots[out.Slot]
		out.Fence = slot.Fence
		out.Target = slot.Owner
		if slot.Moving() {
			out.Detail = fmt.Sprintf("moving from %s to %s; requests wait", slot.Owner, slot.Next)
		}
	}
}

// Timeline asks all instances at the same time.
func (b *backend) Timeline(ctx context.Context) ([]timeline.Event, []string) {
	st := b.Status(ctx)
	var mu sync.Mutex
	var wg sync.WaitGroup
	rings := [][]timeline.Event{b.s.ring.Events()}
	var missing []string
	for _, instance := range st.Instances {
		if instance.ID == b.s.self.ID {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			events, err := b.s.driver.peers.Timeline(callCtx, instance.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, instance.ID)
				return
			}
			rings = append(rings, events)
		})
	}
	wg.Wait()
	return timeline.Merge(rings...), missing
}

func (b *backend) SetLogLevel(level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("%q is not a level; write debug, info, warn or error", level)
	}
	b.s.level.Set(l)
	return nil
}
