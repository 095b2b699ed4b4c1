package rules

import (
	"fmt"
	"slices"
	"strings"
)

// maxVariables is how many variables a pattern may have.
const maxVariables = 8

type segmentKind uint8

const (
	literal segmentKind = iota
	variable
	remainder
)

type segment struct {
	kind segmentKind
	text string
}

// pattern is a parsed path pattern.
type pattern []segment

// parsePattern reads /literal/{variable}/{rest...}.
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
				return nil, fmt.Errorf("the pattern %q: {%s} stands twice", text, s.text)
			}
			names = append(names, s.text)
		}
		p = append(p, s)
	}
	if len(p) >= maxParts {
		return nil, fmt.Errorf("the pattern %q has %d parts; at most %d are accepted", text, len(p), maxParts-1)
	}
	if len(names) > maxVariables {
		return nil, fmt.Errorf("the pattern %q has %d variables; at most %d are accepted", text, len(names), maxVariables)
	}
	return p, nil
}

func parseSegment(part string) (segment, error) {
	if !strings.ContainsAny(part, "{}") {
		return segment{literal, part}, nil
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
		return segment{}, fmt.Errorf("%q is neither plain text nor {name} nor {name...}", part)
	}
	return segment{kind, name}, nil
}

func hasVariable(path, name string) bool {
	p, err := parsePattern(path)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(p, func(s segment) bool { return s.kind != literal && s.text == name })
}

// variables holds the values that a path gave to a pattern's variables, in order.
type variables struct {
	values [maxVariables]string
	count  int
}

// maxParts is how many parts of a path are told apart; the last one holds what is left.
const maxParts = 24

// parts is a path cut at its slashes, once for all rules.
type parts struct {
	path   string
	text   [maxParts]string
	offset [maxParts]int
	count  int
}

// split cuts the path. A path that does not begin with a slash has no parts.
func (p *parts) split(path string) {
	p.path = path
	p.count = 0
	if path == "" || path[0] != '/' {
		return
	}
	start := 1
	for i := 1; i <= len(path) && p.count < maxParts-1; i++ {
		if i == len(path) || path[i] == '/' {
			p.add(path[start:i], start)
			start = i + 1
		}
	}
	if start <= len(path) {
		p.add(path[start:], start)
	}
}

func (p *parts) add(text string, offset int) {
	p.text[p.count] = text
	p.offset[p.count] = offset
	p.count++
}

// match reports whether the path has the form of the pattern. It allocates nothing.
func (p pattern) match(path *parts, v *variables) bool {
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
			if text == "" || i == maxParts-1 && strings.Contains(text, "/") {
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

// index returns the position of a variable among those of the pattern, or -1.
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

// covers reports whether every path of the form q also has the form p.
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
