package instance

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/rulestore"
	"lycheehall.example/lycheehall/timeline"
	"lycheehall.example/lycheehall/transport/admin"
)

// adminBackend implements the operator API.
type adminBackend struct{ *Instance }

// describeTimeout limits the wait for other instances' descriptions.
const describeTimeout = 800 * time.Millisecond

// Ready implements admin.Backend.
func (b adminBackend) Ready() (bool, string) {
	s := b.board.Snapshot()
	switch {
	case b.shuttingDown.Load():
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
	default:
		d.Speeds = i.coordinator.Speeds()
	}
	return d
}

// eventLookback is how far before a request's event other events are included with it.
const eventLookback = 5 * time.Second

// eventsAbout returns the events with the ID of a request, and the other events in the eventLookback
// before each of them.
func eventsAbout(request string, requests, events []timeline.Event) []timeline.Event {
	var out []timeline.Event
	for _, e := range requests {
		if !concernsRequest(e, request) {
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

func concernsRequest(e timeline.Event, request string) bool {
	return slices.ContainsFunc(e.Fields, func(f timeline.Field) bool { return f.Name == "request" && f.Value == request })
}

// describeAll asks all other instances in parallel for their descriptions, and adds that of this
// instance. The IDs of those that did not answer are in missing.
func (b adminBackend) describeAll(ctx context.Context, args *peerapi.DescribeArgs) (found []*peerapi.Description, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, other := range b.board.Snapshot().Instances {
		if other.ID == b.self.ID {
			continue
		}
		wg.Go(func() {
			d, err := b.peerClient.Describe(ctx, other.Address, args)
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
	return append(found, b.describe(args)), missing
}

// Status implements admin.Backend.
func (b adminBackend) Status(ctx context.Context) admin.Status {
	s := b.board.Snapshot()
	leader := b.coordinator.Leader()
	status := admin.Status{
		Instance: b.self.ID, Leader: leader.Holder, Term: leader.Term, Leading: b.coordinator.Leading(),
		DataAgeMs: b.clock.Now().Sub(b.board.CurrentAsOf()).Milliseconds(), RulesVersion: s.RulesVersion, Evacuated: s.Evacuations.List(),
	}
	found, missing := b.describeAll(ctx, &peerapi.DescribeArgs{})
	speeds := map[string]float64{}
	for _, d := range found {
		status.Instances = append(status.Instances, admin.InstanceStatusOf(d))
		maps.Copy(speeds, d.Speeds)
	}
	for _, id := range missing {
		status.Instances = append(status.Instances, admin.InstanceStatus{ID: id, Missing: true})
	}
	slices.SortFunc(status.Instances, func(a, b admin.InstanceStatus) int { return compareText(a.ID, b.ID) })
	if s.Rules == nil {
		return status
	}
	for _, mistake := range s.Rules.Warnings() {
		status.RuleMistakes = append(status.RuleMistakes, mistake.String())
	}
	for _, service := range s.Rules.Services() {
		status.Services = append(status.Services, b.serviceStatus(service.Name, speeds))
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

// serviceStatus returns the state of a service; speeds are those of targets by ID.
func (b adminBackend) serviceStatus(name string, speeds map[string]float64) admin.ServiceStatus {
	s := b.board.Snapshot()
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
			cold = max(0, s.ColdUntil(t).Sub(b.clock.Now()))
		}
		out.Targets = append(out.Targets, admin.TargetSummary{
			ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, Keys: keys[t.ID], Draining: t.Draining, ColdMs: cold.Milliseconds(), Speed: speeds[t.ID],
		})
	}
	return out
}

// Explain implements admin.Backend.
func (b adminBackend) Explain(req admin.ExplainRequest) admin.Explanation {
	e := admin.Explanation{KeyNumber: -1}
	s := b.board.Snapshot()
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
	d := s.Rules.Decide(&rules.Request{Method: req.Method, Host: req.Host, URL: u, Header: header, DataCentre: b.settings.DataCentre})
	if d.Rule == nil {
		e.Outcome, e.Detail = "refused", "no rule matches"
		return e
	}
	e.Rule = d.Rule.Name
	if refuse := d.Rule.Then.Refuse; refuse != nil {
		e.Outcome, e.Detail = "refused", strconv.Itoa(refuse.Status)+" "+refuse.Message
		return e
	}
	e.Outcome = "routed"
	e.Limit = b.explainLimit(d.Rule)
	e.Service = d.Rule.Then.Route
	if e.Service == "" {
		e.Detail = "one of the rule's backends, by weight"
		return e
	}
	b.explainKey(&e, d)
	return e
}

// explainLimit describes this instance's share of a rule's limit, if that applies to all instances
// together.
func (b adminBackend) explainLimit(r *rules.Rule) string {
	limit := r.Then.Limit
	if limit == nil || limit.Scope != rules.ScopeAll {
		return ""
	}
	share := b.quota.Share(r.Name)
	var parts []string
	if limit.PerSecond > 0 {
		parts = append(parts, fmt.Sprintf("%.3g of %g requests a second", share.Rate, limit.PerSecond), fmt.Sprintf("a burst of %d of %d", share.Burst, limit.Burst))
	}
	if limit.Concurrent > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d concurrent requests", share.Concurrent, limit.Concurrent))
	}
	return "limit on all instances, share of this one: " + strings.Join(parts, ", ")
}

func (b adminBackend) explainKey(e *admin.Explanation, d rules.Decision) {
	s := b.board.Snapshot()
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
		e.Outcome, e.Detail = "refused", "nobody owns the key yet"
		return
	}
	r := m.Find(number)
	e.Target, e.Fence = r.Owner, r.Fence
	if !r.Served() {
		e.Outcome, e.Detail = "waiting", "the key moves to "+r.Next
	}
}

// Timeline implements admin.Backend.
func (b adminBackend) Timeline(ctx context.Context, request string) ([]timeline.Event, []string) {
	found, missing := b.describeAll(ctx, &peerapi.DescribeArgs{Events: true, Request: request})
	var lists [][]timeline.Event
	for _, d := range found {
		lists = append(lists, d.Events)
	}
	return timeline.Merge(lists...), missing
}

// errPlatformRules means that the rules come from the platform, and are neither stored nor changed
// here.
var errPlatformRules = errors.New("instance: the rules come from the platform; change them there")

// Rules implements admin.Backend.
func (b adminBackend) Rules(ctx context.Context) (rulestore.Record, error) {
	if !b.platform.StoresRules {
		return rulestore.Record{}, errPlatformRules
	}
	return rulestore.Current(ctx, b.platform.Store)
}

// History implements admin.Backend.
func (b adminBackend) History(ctx context.Context) ([]rulestore.Record, error) {
	if !b.platform.StoresRules {
		return nil, errPlatformRules
	}
	return rulestore.History(ctx, b.platform.Store)
}

// Apply implements admin.Backend.
func (b adminBackend) Apply(ctx context.Context, base uint64, change rulestore.Record) (uint64, error) {
	if !b.platform.StoresRules {
		return 0, errPlatformRules
	}
	change.Version = b.board.Snapshot().RulesVersion + 1
	version, err := rulestore.Apply(ctx, b.platform.Store, base, change)
	b.log.Event("rules-change", "base", base, "version", version, "author", change.Author, "change", change.ChangeID, "error", errorText(err))
	return version, err
}

// SetEvacuated implements admin.Backend.
func (b adminBackend) SetEvacuated(ctx context.Context, dataCentre string, inForce bool) error {
	if !b.platform.StoresRules {
		return errPlatformRules
	}
	err := rulestore.SetEvacuated(ctx, b.platform.Store, dataCentre, inForce)
	b.log.Event("evacuation-change", "data_centre", dataCentre, "in_force", inForce, "error", errorText(err))
	return err
}

// Quarantine implements admin.Backend.
func (b adminBackend) Quarantine() []quarantine.QuarantinedRequest { return b.quarantine.List() }

// Release implements admin.Backend.
func (b adminBackend) Release(f quarantine.Fingerprint) bool {
	released := b.quarantine.Release(f)
	b.log.Event("quarantine-released", "fingerprint", f.String(), "known", released)
	return released
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
