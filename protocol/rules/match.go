package rules

import (
	"iter"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// anyValue in a header condition matches any value, as long as the header is present.
const anyValue = "*"

// keySource is the part of a request that holds the key.
type keySource uint8

const (
	noKey keySource = iota
	fromPath
	fromHeader
	fromQuery
	// fromNumber is a header that holds the key number itself.
	fromNumber
)

// parseKey parses a key expression such as "path:NAME".
func parseKey(text string) (keySource, string, bool) {
	kind, name, found := strings.Cut(text, ":")
	sources := map[string]keySource{"path": fromPath, "header": fromHeader, "query": fromQuery, "number": fromNumber}
	source := sources[kind]
	return source, name, found && name != "" && source != noKey
}

// Set holds checked services and rules in the form that requests are matched against.
type Set struct {
	services []Service
	rules    []*compiledRule
	index    *index
	warnings Mistakes
	// contended is computed when it is first asked for; see Contended.
	contendedOnce sync.Once
	contended     bool
	// shared holds the rules with a limit on all instances together; see SharedLimits.
	sharedOnce sync.Once
	shared     []*Rule
}

// AddWarnings adds mistakes in services or rules that could not be used, while the rest of the set
// is.
func (s *Set) AddWarnings(m ...Mistake) { s.warnings = append(s.warnings, m...) }

// Warnings returns the mistakes in spite of which the set is used.
func (s *Set) Warnings() Mistakes { return s.warnings }

// compiledRule is a rule in the form that requests are matched against.
type compiledRule struct {
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

// Request holds the properties of a request that conditions refer to.
type Request struct {
	Method string
	Host   string
	URL    *url.URL
	Header http.Header
	Caller string
	// DataCentre is the instance's own data centre.
	DataCentre string
}

// Decision is the outcome of matching a request against the rules.
type Decision struct {
	// Rule is the first rule that matches, or nil if none does.
	Rule *Rule
	// Index is the rule's position in the set from 0, or -1 without a rule.
	Index int
	// Keyed reports whether the rule takes a key from the request. Key is empty if the request has no
	// key, or several.
	Keyed bool
	Key   string
	// KeyIsNumber reports whether Key is the key number itself, rather than a text to be hashed.
	KeyIsNumber bool
}

func compile(doc *document) *Set {
	s := &Set{services: doc.Service, rules: make([]*compiledRule, len(doc.Rule))}
	for i := range doc.Rule {
		s.rules[i] = compileRule(doc.Rule[i])
	}
	s.index = buildIndex(s.rules)
	return s
}

func compileRule(r Rule) *compiledRule {
	c := &compiledRule{rule: r, when: compileWhen(&r.When)}
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
		// The checker has reported invalid patterns.
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

// KeySpace is the number of key numbers.
const KeySpace = 1 << 16

// KeyNumber returns the key number of the decision: the key itself if KeyIsNumber, and a hash of it
// otherwise. It returns false if there is no key, or if the key is not a valid number.
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

// Decide matches a request against the rules in order.
func (s *Set) Decide(r *Request) Decision {
	var path pathSegments
	path.split(r.URL.Path)
	var v variables
	candidates := s.index.candidates(&path)
	for c := candidates.next(); c != nil; c = candidates.next() {
		if c.when.matches(r, &path, &v) {
			return c.decide(r, &v)
		}
	}
	return Decision{Index: -1}
}

// decide returns the decision for a request that the rule matches; v holds the path variables.
func (c *indexedRule) decide(r *Request, v *variables) Decision {
	d := Decision{Rule: &c.rule, Index: c.position, Keyed: c.keySource != noKey, KeyIsNumber: c.keySource == fromNumber}
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

// matches reports whether the request fulfils the condition. It stores the variables of the
// condition's own path pattern in v.
func (c *condition) matches(r *Request, path *pathSegments, v *variables) bool {
	if len(c.path) > 0 && !c.path.match(path, v) {
		return false
	}
	if !strings.HasPrefix(path.path, c.prefix) {
		return false
	}
	if !emptyOrContains(c.method, r.Method) || !emptyOrContains(c.caller, r.Caller) || !emptyOrContains(c.dataCentre, r.DataCentre) {
		return false
	}
	if len(c.host) > 0 && !emptyOrContains(c.host, hostname(r.Host)) {
		return false
	}
	if len(c.service) > 0 && !emptyOrContains(c.service, serviceFromHost(r.Host)) {
		return false
	}
	for _, h := range c.header {
		if !h.matches(r.Header) {
			return false
		}
	}
	return c.matchesCombined(r, path)
}

// matchesCombined evaluates the nested conditions all, any and not.
func (c *condition) matchesCombined(r *Request, path *pathSegments) bool {
	var scratch variables
	for i := range c.all {
		if !c.all[i].matches(r, path, &scratch) {
			return false
		}
	}
	if c.not != nil && c.not.matches(r, path, &scratch) {
		return false
	}
	if len(c.any) == 0 {
		return true
	}
	for i := range c.any {
		if c.any[i].matches(r, path, &scratch) {
			return true
		}
	}
	return false
}

// emptyOrContains reports whether a condition's list accepts a value; an empty list accepts all.
func emptyOrContains(list []string, v string) bool {
	return len(list) == 0 || slices.Contains(list, v)
}

// hostname returns a host without its port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// serviceFromHost returns the service that a caller addresses: the first label of the host name.
func serviceFromHost(host string) string {
	name, _, _ := strings.Cut(hostname(host), ".")
	return name
}

func (h headerCondition) matches(header http.Header) bool {
	values := header[h.name]
	if h.value == anyValue {
		return len(values) > 0
	}
	return slices.Contains(values, h.value)
}

// Services returns the services in the order in which they were defined.
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

// All iterates over the rules in order. The caller must not modify them.
func (s *Set) All() iter.Seq[*Rule] {
	return func(yield func(*Rule) bool) {
		for _, r := range s.rules {
			if !yield(&r.rule) {
				return
			}
		}
	}
}

// Deadline returns the time limit for a whole request, including all attempts.
func (r *Rule) Deadline() time.Duration { return time.Duration(r.Then.Deadline) }
