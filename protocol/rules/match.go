package rules

import (
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// anyValue in a header condition asks only that the header is there.
const anyValue = "*"

type keySource uint8

const (
	noKey keySource = iota
	fromPath
	fromHeader
	fromQuery
)

func parseKey(text string) (keySource, string, bool) {
	kind, name, found := strings.Cut(text, ":")
	sources := map[string]keySource{"path": fromPath, "header": fromHeader, "query": fromQuery}
	source := sources[kind]
	return source, name, found && name != "" && source != noKey
}

// Set is a checked configuration, ready to decide requests.
type Set struct {
	services []Service
	rules    []*compiled
	// byFirst holds, for each first path segment that a rule names literally, the rules
	// that can match a path beginning with it, in order; others holds those for the rest.
	byFirst map[string][]*compiled
	others  []*compiled
}

// compiled is a rule in the form that requests are matched against.
type compiled struct {
	rule      Rule
	index     int
	when      condition
	keySource keySource
	keyName   string
	keyIndex  int
	share     float64
}

// condition is a When in the form that requests are matched against.
type condition struct {
	method     []string
	host       []string
	caller     []string
	dataCentre []string
	header     []headerCondition
	path       pattern
	all, any   []condition
	not        *condition
}

type headerCondition struct{ name, value string }

// Request is what rules look at.
type Request struct {
	Method     string
	Host       string
	URL        *url.URL
	Header     http.Header
	Caller     string
	DataCentre string
}

// Decision is what the first matching rule says about a request.
type Decision struct {
	// Rule is nil when no rule matches.
	Rule *Rule
	// Index is the rule's place in the file, from 0.
	Index int
	// Keyed says that the rule asks for a key; Key is empty when the request has none.
	Keyed bool
	Key   string
	// RetryShare is the share of the rule's requests that may be retries.
	RetryShare float64
}

func compile(f *file) *Set {
	s := &Set{services: f.Service, byFirst: map[string][]*compiled{}}
	for i := range f.Rule {
		s.rules = append(s.rules, compileRule(f.Rule[i], i))
	}
	for _, r := range s.rules {
		if first, ok := r.first(); ok {
			s.byFirst[first] = nil
		}
	}
	for _, r := range s.rules {
		s.index(r)
	}
	return s
}

// first returns the literal first segment of the rule's path, if it has one.
func (r *compiled) first() (string, bool) {
	if len(r.when.path) == 0 || r.when.path[0].kind != literal {
		return "", false
	}
	return r.when.path[0].text, true
}

// index puts the rule into the lists it can match in, which keeps the order of rules.
func (s *Set) index(r *compiled) {
	if first, ok := r.first(); ok {
		s.byFirst[first] = append(s.byFirst[first], r)
		return
	}
	for first := range s.byFirst {
		s.byFirst[first] = append(s.byFirst[first], r)
	}
	s.others = append(s.others, r)
}

func compileRule(r Rule, index int) *compiled {
	c := &compiled{rule: r, index: index, when: compileWhen(&r.When), share: DefaultRetryShare}
	if r.Then.RetryShare != nil {
		c.share = *r.Then.RetryShare
	}
	if source, name, ok := parseKey(r.Then.Key); ok {
		c.keySource = source
		c.keyName = name
		c.keyIndex = c.when.path.index(name)
	}
	if c.keySource == fromHeader {
		c.keyName = http.CanonicalHeaderKey(c.keyName)
	}
	return c
}

func compileWhen(w *When) condition {
	c := condition{method: w.Method, host: w.Host, caller: w.Caller, dataCentre: w.DataCentre}
	if w.Path != "" {
		// The pattern has been checked.
		c.path, _ = parsePattern(w.Path)
	}
	for name, value := range w.Header {
		c.header = append(c.header, headerCondition{http.CanonicalHeaderKey(name), value})
	}
	for i := range w.All {
		c.all = append(c.all, compileWhen(&w.All[i]))
	}
	for i := range w.Any {
		c.any = append(c.any, compileWhen(&w.Any[i]))
	}
	if w.Not != nil {
		not := compileWhen(w.Not)
		c.not = &not
	}
	return c
}

// Decide returns what the first matching rule says.
func (s *Set) Decide(r *Request) Decision {
	candidates := s.others
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); true {
		if list, ok := s.byFirst[first]; ok {
			candidates = list
		}
	}
	var v variables
	for _, c := range candidates {
		if c.when.holds(r, &v) {
			return c.decide(r, &v)
		}
	}
	return Decision{Index: -1}
}

func (c *compiled) decide(r *Request, v *variables) Decision {
	d := Decision{Rule: &c.rule, Index: c.index, RetryShare: c.share, Keyed: c.keySource != noKey}
	switch c.keySource {
	case fromPath:
		d.Key = v.values[c.keyIndex]
	case fromHeader:
		if values := r.Header[c.keyName]; len(values) == 1 {
			d.Key = values[0]
		}
	case fromQuery:
		if values := r.URL.Query()[c.keyName]; len(values) == 1 {
			d.Key = values[0]
		}
	}
	return d
}

// holds reports whether the condition holds; v gets the variables of its own path.
func (c *condition) holds(r *Request, v *variables) bool {
	if len(c.path) > 0 && !c.path.match(r.URL.Path, v) {
		return false
	}
	if !among(c.method, r.Method) || !among(c.caller, r.Caller) || !among(c.dataCentre, r.DataCentre) {
		return false
	}
	if len(c.host) > 0 && !among(c.host, hostname(r.Host)) {
		return false
	}
	for _, h := range c.header {
		if !h.holds(r.Header) {
			return false
		}
	}
	return c.combined(r)
}

func (c *condition) combined(r *Request) bool {
	var scratch variables
	for i := range c.all {
		if !c.all[i].holds(r, &scratch) {
			return false
		}
	}
	if c.not != nil && c.not.holds(r, &scratch) {
		return false
	}
	if len(c.any) == 0 {
		return true
	}
	for i := range c.any {
		if c.any[i].holds(r, &scratch) {
			return true
		}
	}
	return false
}

func among(list []string, v string) bool {
	return len(list) == 0 || slices.Contains(list, v)
}

func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (h headerCondition) holds(header http.Header) bool {
	values := header[h.name]
	if h.value == anyValue {
		return len(values) > 0
	}
	return slices.Contains(values, h.value)
}

// Services returns the services in the order of the file.
func (s *Set) Services() []Service { return s.services }

// Service returns the service with the given name, or nil.
func (s *Set) Service(name string) *Service {
	i := slices.IndexFunc(s.services, func(x Service) bool { return x.Name == name })
	if i < 0 {
		return nil
	}
	return &s.services[i]
}

// Rules returns the rules in order.
func (s *Set) Rules() []Rule {
	out := make([]Rule, len(s.rules))
	for i, r := range s.rules {
		out[i] = r.rule
	}
	return out
}

// DeadlineOf returns the time that a rule gives to a whole request.
func (r *Rule) DeadlineOf() time.Duration { return time.Duration(r.Then.Deadline) }
