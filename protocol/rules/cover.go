package rules

import (
	"net/http"
	"slices"
	"strings"
)

// parsedWhen is a condition with its pattern; nil: it has none, or one that cannot be read.
type parsedWhen struct {
	*When
	pattern pattern
}

// parseWhens reads the patterns of all rules once: reading them anew for each pair of 1,000 rules
// took 0.2 s of a core.
func parseWhens(list []Rule) []parsedWhen {
	out := make([]parsedWhen, len(list))
	for i := range list {
		out[i].When = &list[i].When
		if p, err := parsePattern(list[i].When.Path); err == nil {
			out[i].pattern = p
		}
	}
	return out
}

// covers reports whether a surely holds whenever b holds. It looks at the plain fields
// only; where a combines conditions it says no, so it never accuses a rule wrongly.
func covers(a, b *parsedWhen) bool {
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

// coversList reports whether every value that b lets through is in a. An empty list
// lets everything through.
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
