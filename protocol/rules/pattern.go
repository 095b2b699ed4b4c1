package rules

import (
	"fmt"
	"slices"
	"strings"
)

// maxVariables is the largest number of variables in a pattern.
const maxVariables = 8

type segmentKind uint8

const (
	// literal matches one segment with exactly this text.
	literal segmentKind = iota
	// variable, written {name}, matches one segment that is not empty.
	variable
	// remainder, written {name...}, matches the rest of the path.
	remainder
)

// patternSegment is the part of a pattern between two slashes.
type patternSegment struct {
	kind segmentKind
	// text is the literal, or the name of the variable.
	text string
}

// pattern is a parsed path pattern.
type pattern []patternSegment

// parsePattern parses a pattern such as /literal/{variable}/{rest...}.
func parsePattern(text string) (pattern, error) {
	if !strings.HasPrefix(text, "/") {
		return nil, fmt.Errorf("the pattern %q must begin with /", text)
	}
	var p pattern
	var names []string
	parts := strings.Split(text[1:], "/")
	for i, part := range parts {
		s, err := parseSegment(part)
		if err != nil {
			return nil, fmt.Errorf("the pattern %q: %w", text, err)
		}
		if s.kind == remainder && i != len(parts)-1 {
			return nil, fmt.Errorf("the pattern %q: {%s...} must come last", text, s.text)
		}
		if s.kind != literal {
			if slices.Contains(names, s.text) {
				return nil, fmt.Errorf("the pattern %q: {%s} appears twice", text, s.text)
			}
			names = append(names, s.text)
		}
		p = append(p, s)
	}
	if len(p) >= maxSegments {
		return nil, fmt.Errorf("the pattern %q has %d segments; at most %d are accepted", text, len(p), maxSegments-1)
	}
	if len(names) > maxVariables {
		return nil, fmt.Errorf("the pattern %q has %d variables; at most %d are accepted", text, len(names), maxVariables)
	}
	return p, nil
}

func parseSegment(part string) (patternSegment, error) {
	if !strings.ContainsAny(part, "{}") {
		return patternSegment{literal, part}, nil
	}
	name, ok := strings.CutPrefix(part, "{")
	if ok {
		name, ok = strings.CutSuffix(name, "}")
	}
	kind := variable
	if rest, cut := strings.CutSuffix(name, "..."); cut {
		name = rest
		kind = remainder
	}
	if !ok || name == "" || strings.ContainsAny(name, "{}") {
		return patternSegment{}, fmt.Errorf("%q is neither plain text nor {name} nor {name...}", part)
	}
	return patternSegment{kind, name}, nil
}

func hasVariable(path, name string) bool {
	p, err := parsePattern(path)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(p, func(s patternSegment) bool { return s.kind != literal && s.text == name })
}

// variables holds the values of a pattern's variables in a path, in the order of the pattern.
type variables struct {
	values [maxVariables]string
	count  int
}

// maxSegments is the largest number of segments that a path is split into. The last one holds the
// rest of a longer path.
const maxSegments = 24

// pathSegments is a path split at its slashes. A request's path is split once for all rules.
type pathSegments struct {
	path string
	// text holds the first count segments, offset the index in path at which each begins.
	text   [maxSegments]string
	offset [maxSegments]int
	count  int
}

// split splits a path into p. A path that does not begin with a slash has no segments.
func (p *pathSegments) split(path string) {
	p.path = path
	p.count = 0
	if path == "" || path[0] != '/' {
		return
	}
	start := 1
	for i := 1; i <= len(path) && p.count < maxSegments-1; i++ {
		if i == len(path) || path[i] == '/' {
			p.add(path[start:i], start)
			start = i + 1
		}
	}
	if start <= len(path) {
		p.add(path[start:], start)
	}
}

func (p *pathSegments) add(text string, offset int) {
	p.text[p.count] = text
	p.offset[p.count] = offset
	p.count++
}

// match reports whether the path matches the pattern, and stores the variables' values in v. It does
// not allocate memory.
func (p pattern) match(path *pathSegments, v *variables) bool {
	v.count = 0
	if path.count < len(p) || path.count > len(p) && p[len(p)-1].kind != remainder {
		return false
	}
	for i := range p {
		s := &p[i]
		text := path.text[i]
		switch s.kind {
		case literal:
			if s.text != text {
				return false
			}
		case variable:
			if text == "" || i == maxSegments-1 && strings.Contains(text, "/") {
				return false
			}
			v.add(text)
		case remainder:
			v.add(path.path[path.offset[i]:])
		}
	}
	return true
}

func (v *variables) add(value string) {
	v.values[v.count] = value
	v.count++
}

// index returns the position of a variable among the pattern's variables, or -1.
func (p pattern) index(name string) int {
	i := 0
	for _, s := range p {
		if s.kind == literal {
			continue
		}
		if s.text == name {
			return i
		}
		i++
	}
	return -1
}

// covers reports whether every path that matches q also matches p.
func (p pattern) covers(q pattern) bool {
	for i, s := range p {
		if s.kind == remainder {
			return i <= len(q)-1
		}
		if i >= len(q) || q[i].kind == remainder {
			return false
		}
		if s.kind == literal && (q[i].kind != literal || q[i].text != s.text) {
			return false
		}
		if s.kind == variable && q[i].kind == literal && q[i].text == "" {
			return false
		}
	}
	return len(p) == len(q)
}
