package instance

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/rulestore"
	"lycheehall.example/lycheehall/timeline"
	"lycheehall.example/lycheehall/transport/admin"
)

// adminBackend implements the operators' interface.
type adminBackend struct{ *Instance }

// describeTimeout limits the wait for other instances' descriptions.
const describeTimeout = 800 * time.Millisecond

// Ready implements admin.Backend.
func (o adminBackend) Ready() (bool, string) {
	s := o.board.Snapshot()
	switch {
	case o.leaving.Load():
		return false, "this instance is shutting down"
	case s.Rules == nil:
		return false, "no rules are known yet"
	case s.TargetsDigest == 0:
		return false, "the registry has not been read yet"
	}
	return true, ""
}

// describe returns this instance's current state, as operators see it.
func (i *Instance) describe(args *peerapi.DescribeArgs) *peerapi.Description {
	s := i.board.Snapshot()
	d := &peerapi.Description{
		Instance: i.self, RulesVersion: s.RulesVersion, Maps: map[string]uint64{},
		Known: i.clock.Now().Sub(i.board.CurrentAsOf()),
	}
	for service, m := range s.Maps {
		d.Maps[service] = m.Version
	}
	switch {
	case args.Request != "":
		d.Events = eventsAbout(args.Request, i.log.Requests(), i.log.Events())
	case args.Events:
		d.Events = i.log.Events()
	}
	return d
}

// eventLookback is how far before a request's event other events are included with it.
const eventLookback = 5 * time.Second

// eventsAbout returns the events that name a request, and the other events in the eventLookback
// before each of them.
func eventsAbout(request string, requests, events []timeline.Event) []timeline.Event {
	var out []timeline.Event
	for _, e := range requests {
		if !namesRequest(e, request) {
			continue
		}
		out = append(out, e)
		for _, earlier := range events {
			if before := e.Time.Sub(earlier.Time); before >= 0 && before <= eventLookback && !slices.ContainsFunc(out, func(x timeline.Event) bool { return x.Kind == earlier.Kind && x.Seq == earlier.Seq }) {
				out = append(out, earlier)
			}
		}
	}
	return out
}

func namesRequest(e timeline.Event, request string) bool {
	return slices.ContainsFunc(e.Fields, func(f timeline.Field) bool { return f.Name == "request" && f.Value == request })
}

// describeAll asks all other instances in parallel. The IDs of those that did not answer are in
// missing.
func (o adminBackend) describeAll(ctx context.Context, args *peerapi.DescribeArgs) (found []*peerapi.Description, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, other := range o.board.Snapshot().Instances {
		if other.ID == o.self.ID {
			continue
		}
		wg.Go(func() {
			d, err := o.peerClient.Describe(ctx, other.Address, args)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, other.ID)
				return
			}
			found = append(found, d)
		})
	}
	wg.Wait()
	return append(found, o.describe(args)), missing
}

// Status implements admin.Backend.
func (o adminBackend) Status(ctx context.Context) admin.Status {
	s := o.board.Snapshot()
	leader := o.coordinator.Leader()
	status := admin.Status{
		Instance: o.self.ID, Leader: leader.Holder, Term: leader.Term, Leading: o.coordinator.Leading(),
		DataAgeMs: o.clock.Now().Sub(o.board.CurrentAsOf()).Milliseconds(), RulesVersion: s.RulesVersion, Evacuated: s.Evacuations.List(),
	}
	found, missing := o.describeAll(ctx, &peerapi.DescribeArgs{})
	for _, d := range found {
		status.Instances = append(status.Instances, admin.InstanceStatusOf(d))
	}
	for _, id := range missing {
		status.Instances = append(status.Instances, admin.InstanceStatus{ID: id, Missing: true})
	}
	slices.SortFunc(status.Instances, func(a, b admin.InstanceStatus) int { return compareText(a.ID, b.ID) })
	if s.Rules == nil {
		return status
	}
	for _, note := range s.Rules.Warnings() {
		status.RuleMistakes = append(status.RuleMistakes, note.String())
	}
	for _, service := range s.Rules.Services() {
		status.Services = append(status.Services, o.serviceStatus(service.Name))
	}
	return status
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (o adminBackend) serviceStatus(name string) admin.ServiceStatus {
	s := o.board.Snapshot()
	out := admin.ServiceStatus{Name: name}
	keys := map[string]int{}
	if m := s.Maps[name]; m != nil {
		out.MapVersion = m.Version
		out.Ranges = m.Ranges
		for _, r := range m.Ranges {
			keys[r.Owner] += r.Keys()
		}
	}
	for _, t := range s.ByService[name] {
		cold := time.Duration(0)
		if s.ColdRate(name) > 0 {
			cold = max(0, s.ColdUntil(t).Sub(o.clock.Now()))
		}
		out.Targets = append(out.Targets, admin.TargetSummary{
			ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, Keys: keys[t.ID], Draining: t.Draining, ColdMs: cold.Milliseconds(),
		})
	}
	return out
}

// Explain implements admin.Backend.
func (o adminBackend) Explain(req admin.ExplainRequest) admin.Explanation {
	e := admin.Explanation{KeyNumber: -1}
	s := o.board.Snapshot()
	if s.Rules == nil {
		e.Outcome, e.Detail = "refused", "no rules are known yet"
		return e
	}
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		e.Outcome, e.Detail = "refused", err.Error()
		return e
	}
	header := req.Header
	if header == nil {
		header = http.Header{}
	}
	d := s.Rules.Decide(&rules.Request{Method: req.Method, Host: req.Host, URL: u, Header: header, DataCentre: o.settings.DataCentre})
	if d.Rule == nil {
		e.Outcome, e.Detail = "refused", "no rule matches"
		return e
	}
	e.Rule = d.Rule.Name
	if f := d.Rule.Then.Refuse; f != nil {
		e.Outcome, e.Detail = "refused", strconv.Itoa(f.Status)+" "+f.Message
		return e
	}
	e.Outcome = "routed"
	e.Service = d.Rule.Then.Route
	if e.Service == "" {
		e.Detail = "one of the rule's backends, by weight"
		return e
	}
	o.explainKey(&e, d)
	return e
}

func (o adminBackend) explainKey(e *admin.Explanation, d rules.Decision) {
	s := o.board.Snapshot()
	if !s.Rules.Service(e.Service).Keyed {
		return
	}
	e.Key = d.Key
	number, ok := d.KeyNumber()
	if !ok {
		e.Outcome, e.Detail = "refused", "the request must have exactly one key"
		return
	}
	e.KeyNumber = int(number)
	m := s.Maps[e.Service]
	if m == nil {
		e.Outcome, e.Detail = "refused", "no target owns the key yet"
		return
	}
	r := m.Find(number)
	e.Target, e.Fence = r.Owner, r.Fence
	if !r.Served() {
		e.Outcome, e.Detail = "waiting", "the key moves to "+r.Next
	}
}

// Timeline implements admin.Backend.
func (o adminBackend) Timeline(ctx context.Context, request string) ([]timeline.Event, []string) {
	found, missing := o.describeAll(ctx, &peerapi.DescribeArgs{Events: true, Request: request})
	var rings [][]timeline.Event
	for _, d := range found {
		rings = append(rings, d.Events)
	}
	return timeline.Merge(rings...), missing
}

// errRulesOfPlatform says that the rules come from the platform and cannot be changed here.
var errRulesOfPlatform = errors.New("instance: the platform keeps the configuration; change it there")

// Rules implements admin.Backend.
func (o adminBackend) Rules(ctx context.Context) (rulestore.Record, error) {
	if !o.platform.StoresRules {
		return rulestore.Record{}, errRulesOfPlatform
	}
	return rulestore.Current(ctx, o.platform.Store)
}

// History implements admin.Backend.
func (o adminBackend) History(ctx context.Context) ([]rulestore.Record, error) {
	if !o.platform.StoresRules {
		return nil, errRulesOfPlatform
	}
	return rulestore.History(ctx, o.platform.Store)
}

// Apply implements admin.Backend.
func (o adminBackend) Apply(ctx context.Context, base uint64, change rulestore.Record) (uint64, error) {
	if !o.platform.StoresRules {
		return 0, errRulesOfPlatform
	}
	change.Version = o.board.Snapshot().RulesVersion + 1
	version, err := rulestore.Apply(ctx, o.platform.Store, base, change)
	o.log.Event("rules-change", "base", base, "version", version, "author", change.Author, "change", change.ChangeID, "error", errorText(err))
	return version, err
}

// SetEvacuated implements admin.Backend.
func (o adminBackend) SetEvacuated(ctx context.Context, dataCentre string, inForce bool) error {
	if !o.platform.StoresRules {
		return errRulesOfPlatform
	}
	err := rulestore.SetEvacuated(ctx, o.platform.Store, dataCentre, inForce)
	o.log.Event("evacuation-change", "data_centre", dataCentre, "in_force", inForce, "error", errorText(err))
	return err
}

// Quarantine implements admin.Backend.
func (o adminBackend) Quarantine() []quarantine.QuarantinedRequest { return o.quarantine.List() }

// Release implements admin.Backend.
func (o adminBackend) Release(f quarantine.Fingerprint) bool {
	released := o.quarantine.Release(f)
	o.log.Event("quarantine-released", "fingerprint", f.String(), "known", released)
	return released
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
