package rules

import (
	"net/http"
	"slices"
	"strings"
)

// parsedCondition is a condition with its parsed path pattern.
type parsedCondition struct {
	*When
	// pattern is nil if the condition has no path pattern or an invalid one.
	pattern pattern
}

// parseConditions parses the patterns of all rules once, since covers is called for every pair of
// rules.
func parseConditions(list []Rule) []parsedCondition {
	out := make([]parsedCondition, len(list))
	for i := range list {
		out[i].When = &list[i].When
		if p, err := parsePattern(list[i].When.Path); err == nil {
			out[i].pattern = p
		}
	}
	return out
}

// covers reports whether a is certain to match whenever b matches. It compares only the fields that
// are not nested conditions, and returns false if a uses All, Any or Not. So it may miss an
// unreachable rule, but never reports a reachable one.
func covers(a, b *parsedCondition) bool {
	if len(a.All) > 0 || len(a.Any) > 0 || a.Not != nil {
		return false
	}
	return coversList(a.Method, b.Method) &&
		coversList(a.Service, b.Service) &&
		coversList(a.Host, b.Host) &&
		coversList(a.Caller, b.Caller) &&
		coversList(a.DataCentre, b.DataCentre) &&
		(a.Path == "" || coversPath(a.pattern, b.pattern)) &&
		strings.HasPrefix(b.Prefix, a.Prefix) &&
		coversHeader(a.Header, b.Header)
}

// coversList reports whether a accepts every value that b accepts. An empty list accepts all values.
func coversList(a, b []string) bool {
	if len(a) == 0 {
		return true
	}
	if len(b) == 0 {
		return false
	}
	for _, v := range b {
		if !slices.Contains(a, v) {
			return false
		}
	}
	return true
}

func coversPath(a, b pattern) bool { return a != nil && b != nil && a.covers(b) }

func coversHeader(a, b map[string]string) bool {
	for name, value := range a {
		other, set := headerValue(b, name)
		if !set || value != anyValue && value != other {
			return false
		}
	}
	return true
}

func headerValue(h map[string]string, name string) (string, bool) {
	for k, v := range h {
		if http.CanonicalHeaderKey(k) == http.CanonicalHeaderKey(name) {
			return v, true
		}
	}
	return "", false
}
