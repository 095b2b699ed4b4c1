package rules

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// MaxTextBytes is the largest accepted size of a rules file.
const MaxTextBytes = 256 << 10

// Parse parses and checks the text of a rules file. name is the file name in mistakes. The error is
// of type Mistakes and lists all of them.
func Parse(name, text string) (*Set, error) {
	if len(text) > MaxTextBytes {
		return nil, Mistakes{{File: name, Message: fmt.Sprintf("the file has %d bytes; at most %d are accepted", len(text), MaxTextBytes)}}
	}
	var doc document
	mistakes := decode(name, text, &doc)
	mistakes = append(mistakes, check(name, text, &doc).checkFile(&doc)...)
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return compile(&doc), nil
}

// Build checks services and rules that were read from another format. Unlike Parse it accepts rules
// that can never match: for generated rules the check, which compares every pair, is not worth its
// cost.
func Build(name string, services []Service, list []Rule) (*Set, error) {
	doc := &document{Service: services, Rule: list}
	if mistakes := check(name, "", doc).mistakes; len(mistakes) > 0 {
		return nil, mistakes
	}
	return compile(doc), nil
}

// The message and Retry-After of the response to a request whose rule has a mistake. Operators need
// at least a few seconds to notice and correct it.
const (
	RuleNotUnderstood           = "rule-not-understood"
	RuleNotUnderstoodRetryAfter = Duration(5 * time.Second)
)

// BuildLenient is like Build, for a configuration of the platform, which the platform has already
// accepted and which must be used as far as possible. A rule with a mistake refuses all requests
// that it matches, so that they are known not to have been executed, and the mistake is added to
// the set's warnings. An error is returned only for conflicts between rules or services: two have
// the same name. So a single rule of an unknown kind does not stop all other rules.
func BuildLenient(name string, services []Service, list []Rule) (*Set, error) {
	doc := &document{Service: services, Rule: list}
	c, mistakes := checkAndRefuseInvalid(name, doc)
	if len(c.conflicts) > 0 {
		return nil, c.conflicts
	}
	s := compile(doc)
	s.AddWarnings(mistakes...)
	return s, nil
}

// checkAndRefuseInvalid checks all services and rules, and makes rules with mistakes refuse all
// requests that they match.
func checkAndRefuseInvalid(name string, doc *document) (*checker, Mistakes) {
	c := &checker{fileName: name, services: map[string]*Service{}}
	for i := range doc.Service {
		c.checkService(i, &doc.Service[i])
	}
	names := map[string]int{}
	for i := range doc.Rule {
		mistakesBefore := len(c.mistakes)
		c.checkRule(i, &doc.Rule[i], names)
		if len(c.mistakes) > mistakesBefore {
			doc.Rule[i].Then = Then{Refuse: &Refuse{Status: http.StatusServiceUnavailable, Message: RuleNotUnderstood, RetryAfter: RuleNotUnderstoodRetryAfter}}
		}
	}
	return c, c.mistakes
}

// decode parses the text and returns syntax errors, wrong types and unknown fields as mistakes.
func decode(name, text string, doc *document) Mistakes {
	dec := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	err := dec.Decode(doc)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownFields(name, text, strict)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return Mistakes{{File: name, Line: line, Where: whereAt(text, line), Field: strings.Join(decodeErr.Key(), "."), Message: decodeErr.Error()}}
	}
	return Mistakes{{File: name, Message: err.Error()}}
}

// unknownFields returns a mistake for each field that is not part of the format.
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
			Message: "unknown field; see docs/RULES.md for the list of fields",
		})
	}
	return out
}

// whereAt returns the service or rule that a line belongs to, such as "rule 3".
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

// lineOf returns the line, from 1, at which the n-th table (from 0) begins, or 0 if there is none.
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
