package rules

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Limits and defaults of the fields.
const (
	// MaxRules is the largest number of rules in a file that operators write.
	MaxRules        = 1000
	MaxDeadline     = 60 * time.Second
	DefaultDeadline = 3 * time.Second
	// DefaultImbalance has keys reassigned before a target is full: with half of all slots in use,
	// the busiest target is full from 1.6 times the mean load on.
	DefaultImbalance = 1.2
	// DefaultMaxAttempts allows one more target after the first.
	DefaultMaxAttempts = 2
)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checker collects the mistakes in services and rules.
type checker struct {
	fileName string
	text     string
	services map[string]*Service
	// table, index and entryName locate the entry that is being checked: the kind of TOML table
	// ("service" or "rule"), its index among the tables of that kind, and its name.
	table     string
	index     int
	entryName string
	mistakes  Mistakes
	// conflicts are the mistakes that involve more than one service or rule.
	conflicts Mistakes
}

// check checks each service and rule on its own, and fills in defaults.
func check(name, text string, doc *document) *checker {
	c := &checker{fileName: name, text: text, services: map[string]*Service{}}
	for i := range doc.Service {
		c.checkService(i, &doc.Service[i])
	}
	names := map[string]int{}
	for i := range doc.Rule {
		c.checkRule(i, &doc.Rule[i], names)
	}
	return c
}

// checkFile adds the checks for rules that people write: that each of them can match, and that
// there are not too many, since that check compares every pair of rules.
func (c *checker) checkFile(doc *document) Mistakes {
	if len(doc.Rule) > MaxRules {
		c.setLocation("", 0, "")
		c.report("rule", "there are %d rules; at most %d are accepted", len(doc.Rule), MaxRules)
	}
	c.checkReachability(doc)
	return c.mistakes
}

// report adds a mistake at the current location.
func (c *checker) report(field, format string, args ...any) {
	m := Mistake{File: c.fileName, Field: field, Message: fmt.Sprintf(format, args...)}
	if c.table != "" {
		m.Line = lineOf(c.text, c.table, c.index)
		m.Where = fmt.Sprintf("%s %d", c.table, c.index+1)
	}
	if c.entryName != "" {
		m.Where += fmt.Sprintf(" %q", c.entryName)
	}
	c.mistakes = append(c.mistakes, m)
}

// reportConflict adds a mistake that involves more than one service or rule.
func (c *checker) reportConflict(field, format string, args ...any) {
	c.report(field, format, args...)
	c.conflicts = append(c.conflicts, c.mistakes[len(c.mistakes)-1])
}

// setLocation sets the entry that is checked next. Its line number is computed only when a mistake
// is reported, because that scans the whole text.
func (c *checker) setLocation(table string, index int, name string) {
	c.table, c.index, c.entryName = table, index, name
}

// checkService checks one service and fills in its defaults.
func (c *checker) checkService(i int, s *Service) {
	c.setLocation("service", i, s.Name)
	if s.Name == "" {
		c.report("name", "is missing; give the service a name")
	} else if strings.ContainsAny(s.Name, "/ \t") {
		c.report("name", "must not contain spaces or slashes")
	} else if c.services[s.Name] != nil {
		c.reportConflict("name", "another service is called %q too; names must differ", s.Name)
	}
	c.services[s.Name] = s
	if s.TargetConnections < 0 {
		c.report("target_connections", "is %d; write 0 for no limit, or a positive number", s.TargetConnections)
	}
	if s.Imbalance == 0 {
		s.Imbalance = DefaultImbalance
	}
	if s.ColdStart < 0 {
		c.report("cold_start", "is %v; write 0s or a positive duration", time.Duration(s.ColdStart))
	}
	if s.ColdRate < 0 {
		c.report("cold_rate", "is %v; write 0 for no limit, or a positive number", s.ColdRate)
	}
	if s.Imbalance < 1 {
		c.report("imbalance", "is %v; write a ratio of at least 1", s.Imbalance)
	}
}

// checkRule checks one rule and fills in its defaults. names holds the index of each rule name so far.
func (c *checker) checkRule(i int, r *Rule, names map[string]int) {
	c.setLocation("rule", i, r.Name)
	if r.Name == "" {
		c.report("name", "is missing; give the rule a name")
	} else if first, taken := names[r.Name]; taken {
		c.reportConflict("name", "rule %d is called %q too; names must differ", first+1, r.Name)
	}
	names[r.Name] = i
	c.checkWhen("when", &r.When)
	c.checkThen(r)
}

func (c *checker) checkWhen(field string, w *When) {
	for _, m := range w.Method {
		if !slices.Contains(knownMethods, m) {
			c.report(field+".method", "%q is not a method; write one of %s", m, strings.Join(knownMethods, ", "))
		}
	}
	if w.Path != "" {
		if _, err := parsePattern(w.Path); err != nil {
			c.report(field+".path", "%v", err)
		}
	}
	for name := range w.Header {
		if name == "" || strings.ContainsAny(name, " :\t") {
			c.report(field+".header", "%q is not a valid header name", name)
		}
	}
	for i := range w.All {
		c.checkWhen(fmt.Sprintf("%s.all[%d]", field, i), &w.All[i])
	}
	for i := range w.Any {
		c.checkWhen(fmt.Sprintf("%s.any[%d]", field, i), &w.Any[i])
	}
	if w.Not != nil {
		c.checkWhen(field+".not", w.Not)
	}
}

func (c *checker) checkThen(r *Rule) {
	t := &r.Then
	switch {
	case t.Route == "" && len(t.Backends) == 0 && t.Refuse == nil:
		c.report("then", "does nothing; write route = \"SERVICE\" or refuse = { status = … }")
	case t.Route != "" && len(t.Backends) > 0:
		c.report("then", "has both route and backends; keep one")
	case (t.Route != "" || len(t.Backends) > 0) && t.Refuse != nil:
		c.report("then", "has both route and refuse; keep one")
	case t.Refuse != nil:
		c.checkRefuse(t.Refuse)
	default:
		c.checkRoute(r)
	}
	if t.Limit != nil {
		c.checkLimit(t.Limit)
	}
}

func (c *checker) checkRefuse(r *Refuse) {
	if r.Status < 400 || r.Status > 599 {
		c.report("then.refuse.status", "is %d; write a status from 400 to 599", r.Status)
	}
	if r.RetryAfter < 0 {
		c.report("then.refuse.retry_after", "is negative; write a duration such as \"30s\"")
	}
}

func (c *checker) checkLimit(l *Limit) {
	if l.PerSecond < 0 || l.Burst < 0 || l.Concurrent < 0 {
		c.report("then.limit", "has a negative number; write 0 for no limit")
	}
	if l.PerSecond == 0 && l.Concurrent == 0 {
		c.report("then.limit", "limits nothing; set per_second or concurrent, or remove it")
	}
	switch l.Scope {
	case "", ScopeInstance, ScopeAll:
	default:
		c.report("then.limit.scope", "is %q; write %q or %q", string(l.Scope), string(ScopeInstance), string(ScopeAll))
	}
	if l.Burst == 0 {
		l.Burst = max(1, int(l.PerSecond))
	}
}

func (c *checker) checkRoute(r *Rule) {
	t := &r.Then
	if t.Route != "" && !c.checkDestination(r, "then.route", t.Route) {
		return
	}
	if t.Deadline < 0 || time.Duration(t.Deadline) > MaxDeadline {
		c.report("then.deadline", "is %v; write a positive duration of at most %v", time.Duration(t.Deadline), MaxDeadline)
	}
	if t.Deadline == 0 {
		t.Deadline = Duration(DefaultDeadline)
	}
	if t.Aim < 0 || t.Priority < 0 || t.MaxAttempts < 0 {
		c.report("then", "aim, priority and max_attempts must not be negative")
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
			c.report("then.backends", "the weight of %q is %d; write 0 or more", b.Service, b.Weight)
		}
		total += b.Weight
		c.checkDestination(r, "then.backends", b.Service)
	}
	if len(t.Backends) > 0 && total <= 0 {
		c.report("then.backends", "no service has a positive weight")
	}
}

// checkDestination checks that a rule can route to a service, and reports whether the service exists.
func (c *checker) checkDestination(r *Rule, field, service string) bool {
	s := c.services[service]
	if s == nil {
		c.report(field, "there is no service %q; add a [[service]] with this name", service)
		return false
	}
	switch {
	case s.Keyed:
		c.checkKey(r, s)
	case len(r.Then.Backends) == 0 && r.Then.Key != "":
		c.report("then.key", "the service %q is not keyed and takes no key; set keyed, or remove the key", s.Name)
	}
	return true
}

// checkKey checks the key expression of a rule for a keyed service.
func (c *checker) checkKey(r *Rule, s *Service) {
	if r.Then.Key == "" {
		c.report("then.key", "is missing; the service %q is keyed: write \"path:NAME\", \"header:NAME\", \"query:NAME\" or \"number:HEADER\"", s.Name)
		return
	}
	source, name, found := parseKey(r.Then.Key)
	if !found {
		c.report("then.key", "is %q; the service %q is keyed: write \"number:HEADER\", \"path:NAME\", \"header:NAME\" or \"query:NAME\"", r.Then.Key, s.Name)
		return
	}
	if source == fromPath && !hasVariable(r.When.Path, name) {
		c.report("then.key", "the path %q has no variable {%s}", r.When.Path, name)
	}
}

// checkReachability reports rules that can never match because an earlier rule matches every request
// that they do.
func (c *checker) checkReachability(doc *document) {
	parsed := parseConditions(doc.Rule)
	for j := range doc.Rule {
		for i := range doc.Rule[:j] {
			if covers(&parsed[i], &parsed[j]) {
				c.setLocation("rule", j, doc.Rule[j].Name)
				c.report("when", "can never match: rule %d %q matches every request that this rule matches; move this rule above it", i+1, doc.Rule[i].Name)
				break
			}
		}
	}
}
