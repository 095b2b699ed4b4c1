package rules

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// MaxTextBytes is the largest configuration accepted, in bytes.
const MaxTextBytes = 256 << 10

// Parse reads and checks a configuration. name is used in mistakes. The error is of
// type Mistakes and lists everything found.
func Parse(name, text string) (*Set, error) {
	if len(text) > MaxTextBytes {
		return nil, Mistakes{{File: name, Message: fmt.Sprintf("the file has %d bytes; at most %d are accepted", len(text), MaxTextBytes)}}
	}
	var f file
	mistakes := decode(name, text, &f)
	mistakes = append(mistakes, check(name, text, &f).checkText(&f)...)
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return compile(&f), nil
}

// Build checks a configuration that was read from another format. Rules that can never
// match are accepted: where they are made by a program, looking at each pair costs more
// than it tells.
func Build(name string, services []Service, list []Rule) (*Set, error) {
	f := &file{Service: services, Rule: list}
	if mistakes := check(name, "", f).mistakes; len(mistakes) > 0 {
		return nil, mistakes
	}
	return compile(f), nil
}

// What a caller is told whose rule cannot be used, and when to come back: operators who see it
// need some seconds to put another configuration into force.
const (
	RuleNotUnderstood           = "rule-not-understood"
	RuleNotUnderstoodRetryAfter = Duration(5 * time.Second)
)

// BuildLenient is Build for a configuration that others have accepted, and that must be used as
// far as it goes: a mistake in one rule keeps its own requests unserved, refused as not run, and
// is told by Notes. The error says that rules or services contradict each other: two have one
// name.
//
// One rule of a kind that was not known once refused the whole, so that nothing was served at
// all.
func BuildLenient(name string, services []Service, list []Rule) (*Set, error) {
	f := &file{Service: services, Rule: list}
	c, notes := checkEach(name, f)
	if len(c.contradictions) > 0 {
		return nil, c.contradictions
	}
	s := compile(f)
	s.AddWarnings(notes...)
	return s, nil
}

// checkEach checks all rules, and makes those with mistakes of their own refuse.
func checkEach(name string, f *file) (*checker, Mistakes) {
	c := &checker{name: name, services: map[string]*Service{}}
	for i := range f.Service {
		c.service(i, &f.Service[i])
	}
	names := map[string]int{}
	for i := range f.Rule {
		before := len(c.mistakes)
		c.rule(i, &f.Rule[i], names)
		if len(c.mistakes) > before {
			f.Rule[i].Then = Then{Refuse: &Refuse{Status: http.StatusServiceUnavailable, Message: RuleNotUnderstood, RetryAfter: RuleNotUnderstoodRetryAfter}}
		}
	}
	return c, c.mistakes
}

// decode reads the text and reports syntax errors, wrong types and unknown fields.
func decode(name, text string, f *file) Mistakes {
	dec := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	err := dec.Decode(f)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownFields(name, text, strict)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return Mistakes{{File: name, Line: line, Where: whereAt(text, line), Field: strings.Join(bad.Key(), "."), Message: bad.Error()}}
	}
	return Mistakes{{File: name, Message: err.Error()}}
}

func unknownFields(name, text string, strict *toml.StrictMissingError) Mistakes {
	var out Mistakes
	for i := range strict.Errors {
		e := &strict.Errors[i]
		line, _ := e.Position()
		out = append(out, Mistake{
			File:    name,
			Line:    line,
			Where:   whereAt(text, line),
			Field:   strings.Join(e.Key(), "."),
			Message: "unknown field; see docs/RULES.md for the fields there are",
		})
	}
	return out
}

// whereAt names the service or rule that a line belongs to.
func whereAt(text string, line int) string {
	counts := map[string]int{}
	where := ""
	for i, l := range strings.Split(text, "\n") {
		if i >= line {
			break
		}
		for _, table := range []string{"service", "rule"} {
			if strings.HasPrefix(strings.TrimSpace(l), "[["+table+"]]") {
				counts[table]++
				where = fmt.Sprintf("%s %d", table, counts[table])
			}
		}
	}
	return where
}

// lineOf returns the line at which the n-th table (counted from 0) begins, or 0.
func lineOf(text, table string, n int) int {
	for i, l := range strings.Split(text, "\n") {
		if !strings.HasPrefix(strings.TrimSpace(l), "[["+table+"]]") {
			continue
		}
		if n == 0 {
			return i + 1
		}
		n--
	}
	return 0
}
