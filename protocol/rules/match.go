package rules

import (
	"iter"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// anyValue in a header condition asks only that the header is there.
const anyValue = "*"

type keySource uint8

const (
	noKey keySource = iota
	fromPath
	fromHeader
	fromQuery
	// fromNumber is a header that holds the number of the key itself.
	fromNumber
)

func parseKey(text string) (keySource, string, bool) {
	kind, name, found := strings.Cut(text, ":")
	sources := map[string]keySource{"path": fromPath, "header": fromHeader, "query": fromQuery, "number": fromNumber}
	source := sources[kind]
	return source, name, found && name != "" && source != noKey
}

// Set is a checked configuration, ready to decide requests.
type Set struct {
	services []Service
	rules    []*compiled
	index    *index
	notes    Mistakes
}

// AddWarnings adds to what was not understood of the configuration.
func (s *Set) AddWarnings(m ...Mistake) { s.notes = append(s.notes, m...) }

// Warnings are what was not understood of a configuration that is used all the same.
func (s *Set) Warnings() Mistakes { return s.notes }

// compiled is a rule in the form that requests are matched against.
type compiled struct {
	rule      Rule
	when      condition
	keySource keySource
	keyName   string
	keyIndex  int
}

// condition is a When in the form that requests are matched against.
type condition struct {
	method     []string
	service    []string
	host       []string
	caller     []string
	dataCentre []string
	header     []headerCondition
	path       pattern
	prefix     string
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
	// KeyIsNumber says that Key is the number of the key, not a text to be hashed.
	KeyIsNumber bool
}

func compile(f *file) *Set {
	s := &Set{services: f.Service, rules: make([]*compiled, len(f.Rule))}
	for i := range f.Rule {
		s.rules[i] = compileRule(f.Rule[i])
	}
	s.index = indexOf(s.rules)
	return s
}

func compileRule(r Rule) *compiled {
	c := &compiled{rule: r, when: compileWhen(&r.When)}
	if source, name, ok := parseKey(r.Then.Key); ok {
		c.keySource = source
		c.keyName = name
		c.keyIndex = c.when.path.index(name)
	}
	if c.keySource == fromHeader || c.keySource == fromNumber {
		c.keyName = http.CanonicalHeaderKey(c.keyName)
	}
	return c
}

func compileWhen(w *When) condition {
	c := condition{method: w.Method, service: w.Service, host: w.Host, caller: w.Caller, dataCentre: w.DataCentre, prefix: w.Prefix}
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

// KeySpace is the count of key numbers.
const KeySpace = 1 << 16

// KeyNumber returns the number of the decision's key: the key itself where the rule says
// that it is a number, a hash of it elsewhere.
func (d Decision) KeyNumber() (uint16, bool) {
	if d.Key == "" {
		return 0, false
	}
	if !d.KeyIsNumber {
		return uint16(xxhash.Sum64String(d.Key)), true
	}
	n, err := strconv.ParseUint(d.Key, 10, 16)
	return uint16(n), err == nil
}

// Decide returns what the first matching rule says.
func (s *Set) Decide(r *Request) Decision {
	var path parts
	path.split(r.URL.Path)
	var v variables
	left := s.index.candidates(&path)
	for c := left.next(); c != nil; c = left.next() {
		if c.when.holds(r, &path, &v) {
			return c.decide(r, &v)
		}
	}
	return Decision{Index: -1}
}

func (c *placed) decide(r *Request, v *variables) Decision {
	d := Decision{Rule: &c.rule, Index: c.place, Keyed: c.keySource != noKey, KeyIsNumber: c.keySource == fromNumber}
	switch c.keySource {
	case fromPath:
		d.Key = v.values[c.keyIndex]
	case fromHeader, fromNumber:
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
func (c *condition) holds(r *Request, path *parts, v *variables) bool {
	if len(c.path) > 0 && !c.path.match(path, v) {
		return false
	}
	if !strings.HasPrefix(path.path, c.prefix) {
		return false
	}
	if !among(c.method, r.Method) || !among(c.caller, r.Caller) || !among(c.dataCentre, r.DataCentre) {
		return false
	}
	if len(c.host) > 0 && !among(c.host, hostname(r.Host)) {
		return false
	}
	if len(c.service) > 0 && !among(c.service, addressed(r.Host)) {
		return false
	}
	for _, h := range c.header {
		if !h.holds(r.Header) {
			return false
		}
	}
	return c.combined(r, path)
}

func (c *condition) combined(r *Request, path *parts) bool {
	var scratch variables
	for i := range c.all {
		if !c.all[i].holds(r, path, &scratch) {
			return false
		}
	}
	if c.not != nil && c.not.holds(r, path, &scratch) {
		return false
	}
	if len(c.any) == 0 {
		return true
	}
	for i := range c.any {
		if c.any[i].holds(r, path, &scratch) {
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

// addressed returns the service that the host name names.
func addressed(host string) string {
	name, _, _ := strings.Cut(hostname(host), ".")
	return name
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
	out := make([]Rule, 0, len(s.rules))
	for r := range s.All() {
		out = append(out, *r)
	}
	return out
}

// All gives the rules in order, which must not be changed.
func (s *Set) All() iter.Seq[*Rule] {
	return func(yield func(*Rule) bool) {
		for _, r := range s.rules {
			if !yield(&r.rule) {
				return
			}
		}
	}
}

// Deadline returns the time that a rule gives to a whole request.
func (r *Rule) Deadline() time.Duration { return time.Duration(r.Then.Deadline) }
