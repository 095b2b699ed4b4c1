package rules

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds and defaults of the fields.
const (
	MaxRules        = 1000
	MaxDeadline     = 60 * time.Second
	DefaultDeadline = 3 * time.Second
	// DefaultImbalance lets keys move before a target is full: on an ordinary day, with half
	// of all slots in use, the fullest one is from 1.6 times the mean on.
	DefaultImbalance = 1.2
	// DefaultMaxAttempts lets a request be tried at one more target after the first.
	DefaultMaxAttempts = 2
)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checker collects mistakes, together with the place it is looking at.
type checker struct {
	name     string
	text     string
	services map[string]*Service
	// table, place and named are what is being looked at: a table's n-th entry, and its name.
	table    string
	place    int
	named    string
	mistakes Mistakes
	// contradictions are those mistakes that concern more than one service or rule.
	contradictions Mistakes
}

func check(name, text string, f *file) *checker {
	c := &checker{name: name, text: text, services: map[string]*Service{}}
	for i := range f.Service {
		c.service(i, &f.Service[i])
	}
	names := map[string]int{}
	for i := range f.Rule {
		c.rule(i, &f.Rule[i], names)
	}
	return c
}

// checkText adds what is checked of rules that people write: their number, which bounds
// the time of looking at each pair, and that each of them can match.
func (c *checker) checkText(f *file) Mistakes {
	if len(f.Rule) > MaxRules {
		c.at("", 0, "")
		c.add("rule", "there are %d rules; at most %d are accepted", len(f.Rule), MaxRules)
	}
	c.reachability(f)
	return c.mistakes
}

func (c *checker) add(field, format string, args ...any) {
	m := Mistake{File: c.name, Field: field, Message: fmt.Sprintf(format, args...)}
	if c.table != "" {
		m.Line = lineOf(c.text, c.table, c.place)
		m.Where = fmt.Sprintf("%s %d", c.table, c.place+1)
	}
	if c.named != "" {
		m.Where += fmt.Sprintf(" %q", c.named)
	}
	c.mistakes = append(c.mistakes, m)
}

func (c *checker) contradiction(field, format string, args ...any) {
	c.add(field, format, args...)
	c.contradictions = append(c.contradictions, c.mistakes[len(c.mistakes)-1])
}

// at says what is looked at next. Where that stands in the text is found out for mistakes
// only: for each of 1,000 rules it is a look through the whole text.
func (c *checker) at(table string, place int, name string) {
	c.table, c.place, c.named = table, place, name
}

// service checks one service and fills in its defaults.
func (c *checker) service(i int, s *Service) {
	c.at("service", i, s.Name)
	if s.Name == "" {
		c.add("name", "is missing; give the service a name")
	} else if strings.ContainsAny(s.Name, "/ \t") {
		c.add("name", "must not contain spaces or slashes")
	} else if c.services[s.Name] != nil {
		c.contradiction("name", "another service is called %q too; names must differ", s.Name)
	}
	c.services[s.Name] = s
	if s.TargetConnections < 0 {
		c.add("target_connections", "is %d; write 0 for no bound, or a number above", s.TargetConnections)
	}
	if s.Imbalance == 0 {
		s.Imbalance = DefaultImbalance
	}
	if s.ColdStart < 0 {
		c.add("cold_start", "is %v; write 0s or a time above", time.Duration(s.ColdStart))
	}
	if s.ColdRate < 0 {
		c.add("cold_rate", "is %v; write 0 for no bound, or a number above", s.ColdRate)
	}
	if s.Imbalance < 1 {
		c.add("imbalance", "is %v; it is a ratio of at least 1", s.Imbalance)
	}
}

func (c *checker) rule(i int, r *Rule, names map[string]int) {
	c.at("rule", i, r.Name)
	if r.Name == "" {
		c.add("name", "is missing; give the rule a name")
	} else if first, taken := names[r.Name]; taken {
		c.contradiction("name", "rule %d is called %q too; names must differ", first+1, r.Name)
	}
	names[r.Name] = i
	c.when("when", &r.When)
	c.then(r)
}

func (c *checker) when(field string, w *When) {
	for _, m := range w.Method {
		if !slices.Contains(knownMethods, m) {
			c.add(field+".method", "%q is not a method; write one of %s", m, strings.Join(knownMethods, ", "))
		}
	}
	if w.Path != "" {
		if _, err := parsePattern(w.Path); err != nil {
			c.add(field+".path", "%v", err)
		}
	}
	for name := range w.Header {
		if name == "" || strings.ContainsAny(name, " :\t") {
			c.add(field+".header", "%q is not the name of a header", name)
		}
	}
	for i := range w.All {
		c.when(fmt.Sprintf("%s.all[%d]", field, i), &w.All[i])
	}
	for i := range w.Any {
		c.when(fmt.Sprintf("%s.any[%d]", field, i), &w.Any[i])
	}
	if w.Not != nil {
		c.when(field+".not", w.Not)
	}
}

func (c *checker) then(r *Rule) {
	t := &r.Then
	switch {
	case t.Route == "" && len(t.Backends) == 0 && t.Refuse == nil:
		c.add("then", "does nothing; write route = \"SERVICE\" or refuse = { status = … }")
	case t.Route != "" && len(t.Backends) > 0:
		c.add("then", "has both route and backends; keep one")
	case (t.Route != "" || len(t.Backends) > 0) && t.Refuse != nil:
		c.add("then", "has both route and refuse; keep one")
	case t.Refuse != nil:
		c.refuse(t.Refuse)
	default:
		c.route(r)
	}
	if t.Limit != nil {
		c.limit(t.Limit)
	}
}

func (c *checker) refuse(r *Refuse) {
	if r.Status < 400 || r.Status > 599 {
		c.add("then.refuse.status", "is %d; write a status from 400 to 599", r.Status)
	}
	if r.RetryAfter < 0 {
		c.add("then.refuse.retry_after", "is negative; write a time such as \"30s\"")
	}
}

func (c *checker) limit(l *Limit) {
	if l.PerSecond < 0 || l.Burst < 0 || l.Concurrent < 0 {
		c.add("then.limit", "has a negative number; write 0 for no bound")
	}
	if l.PerSecond == 0 && l.Concurrent == 0 {
		c.add("then.limit", "bounds nothing; set per_second or concurrent, or leave it out")
	}
	if l.Burst == 0 {
		l.Burst = max(1, int(l.PerSecond))
	}
}

func (c *checker) route(r *Rule) {
	t := &r.Then
	if t.Route != "" && !c.routeTo(r, "then.route", t.Route) {
		return
	}
	if t.Deadline < 0 || time.Duration(t.Deadline) > MaxDeadline {
		c.add("then.deadline", "is %v; write a time above 0 and up to %v", time.Duration(t.Deadline), MaxDeadline)
	}
	if t.Deadline == 0 {
		t.Deadline = Duration(DefaultDeadline)
	}
	if t.Aim < 0 || t.Priority < 0 || t.MaxAttempts < 0 {
		c.add("then", "aim, priority and max_attempts must not be negative")
	}
	if t.Aim == 0 {
		t.Aim = t.Deadline / 2
	}
	if t.MaxAttempts == 0 {
		t.MaxAttempts = DefaultMaxAttempts
	}
	total := 0
	for _, b := range t.Backends {
		if b.Weight < 0 {
			c.add("then.backends", "the weight of %q is %d; write 0 or more", b.Service, b.Weight)
		}
		total += b.Weight
		c.routeTo(r, "then.backends", b.Service)
	}
	if len(t.Backends) > 0 && total <= 0 {
		c.add("then.backends", "no service has a weight above 0")
	}
}

// routeTo checks that a rule can send to a service, and reports whether there is one.
func (c *checker) routeTo(r *Rule, field, service string) bool {
	s := c.services[service]
	if s == nil {
		c.add(field, "there is no service %q; add a [[service]] with this name", service)
		return false
	}
	switch {
	case s.Keyed:
		c.keyed(r, s)
	case len(r.Then.Backends) == 0 && r.Then.Key != "":
		c.add("then.key", "the service %q is not keyed and takes no key; set keyed, or leave the key out", s.Name)
	}
	return true
}

// keyed checks where the key number comes from.
func (c *checker) keyed(r *Rule, s *Service) {
	if r.Then.Key == "" {
		c.add("then.key", "is missing; the service %q is divided by key: write \"path:NAME\", \"header:NAME\", \"query:NAME\" or \"number:HEADER\"", s.Name)
		return
	}
	source, name, found := parseKey(r.Then.Key)
	if !found {
		c.add("then.key", "is %q; the service %q is divided by key: write \"number:HEADER\", \"path:NAME\", \"header:NAME\" or \"query:NAME\"", r.Then.Key, s.Name)
		return
	}
	if source == fromPath && !hasVariable(r.When.Path, name) {
		c.add("then.key", "the path %q has no variable {%s}", r.When.Path, name)
	}
}

// reachability reports rules that an earlier rule always decides before them.
func (c *checker) reachability(f *file) {
	parsed := parseWhens(f.Rule)
	for j := range f.Rule {
		for i := range f.Rule[:j] {
			if covers(&parsed[i], &parsed[j]) {
				c.at("rule", j, f.Rule[j].Name)
				c.add("when", "can never match: rule %d %q above matches all of it; move this rule up", i+1, f.Rule[i].Name)
				break
			}
		}
	}
}
