package rules

import "strings"

// index finds the rules that can match a path without trying all of them. Each rule is in exactly one
// list, so the index is built in linear time. An index that lists, for each first segment, every rule
// that can match takes quadratic time to build, which is too slow for thousands of rules.
type index struct {
	// byPrefix holds the rules whose prefix consists of whole path segments.
	byPrefix map[string][]indexedRule
	// byFirstSegment holds the other rules by the literal that their path pattern begins with.
	// anyFirstSegment holds those without such a literal.
	byFirstSegment  map[string]*lastSegmentIndex
	anyFirstSegment lastSegmentIndex
}

// lastSegmentIndex holds rules by the literal that their path pattern ends with. This second level
// keeps the lists short when many rules share their first segment.
type lastSegmentIndex struct {
	byLastSegment map[string][]indexedRule
	// anyLastSegment holds the rules whose pattern does not end with a literal.
	anyLastSegment []indexedRule
}

// indexedRule is a rule with its position in the set, from 0.
type indexedRule struct {
	*compiledRule
	position int
}

// maxIndexedSlashes is the largest number of slashes in a prefix that byPrefix holds. The prefixes
// that operators write have one or two segments.
const maxIndexedSlashes = 6

func buildIndex(list []*compiledRule) *index {
	x := &index{byPrefix: map[string][]indexedRule{}, byFirstSegment: map[string]*lastSegmentIndex{}}
	for position, r := range list {
		p := indexedRule{r, position}
		if prefix := r.when.prefix; len(r.when.path) == 0 && indexablePrefix(prefix) {
			x.byPrefix[prefix] = append(x.byPrefix[prefix], p)
			continue
		}
		x.forFirstSegment(r.firstLiteral()).add(r.lastLiteral(), p)
	}
	return x
}

// indexablePrefix reports whether a prefix consists of whole segments, and of few enough of them to
// be looked up in byPrefix.
func indexablePrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/") && strings.Count(prefix, "/") <= maxIndexedSlashes
}

// forFirstSegment returns the second level for a first segment, and creates it if needed. An empty
// first stands for any first segment.
func (x *index) forFirstSegment(first string) *lastSegmentIndex {
	if first == "" {
		return &x.anyFirstSegment
	}
	found := x.byFirstSegment[first]
	if found == nil {
		found = &lastSegmentIndex{}
		x.byFirstSegment[first] = found
	}
	return found
}

func (x *lastSegmentIndex) add(last string, r indexedRule) {
	if last == "" {
		x.anyLastSegment = append(x.anyLastSegment, r)
		return
	}
	if x.byLastSegment == nil {
		x.byLastSegment = map[string][]indexedRule{}
	}
	x.byLastSegment[last] = append(x.byLastSegment[last], r)
}

// firstLiteral returns the first segment of the rule's pattern if it is a literal, or "".
func (r *compiledRule) firstLiteral() string {
	if len(r.when.path) == 0 || r.when.path[0].kind != literal {
		return ""
	}
	return r.when.path[0].text
}

// lastLiteral returns the last segment of the rule's pattern if it is a literal, or "".
func (r *compiledRule) lastLiteral() string {
	if len(r.when.path) == 0 || r.when.path[len(r.when.path)-1].kind != literal {
		return ""
	}
	return r.when.path[len(r.when.path)-1].text
}

// candidateLists iterates over the union of several lists of rules in the order of the set. Each
// list is in that order itself.
type candidateLists struct {
	// lists holds count lists that are not empty: at most one for each number of slashes in byPrefix,
	// and four of the segment indexes.
	lists [maxIndexedSlashes + 4][]indexedRule
	count int
}

func (c *candidateLists) add(list []indexedRule) {
	if len(list) > 0 {
		c.lists[c.count] = list
		c.count++
	}
}

// candidates returns the rules that may match a path; all other rules cannot.
func (x *index) candidates(path *pathSegments) (c candidateLists) {
	c.add(x.anyFirstSegment.anyLastSegment)
	if path.count == 0 {
		return c
	}
	for i := range min(path.count, maxIndexedSlashes) {
		c.add(x.byPrefix[path.path[:path.offset[i]]])
	}
	last := path.text[path.count-1]
	c.add(x.anyFirstSegment.byLastSegment[last])
	if level := x.byFirstSegment[path.text[0]]; level != nil {
		c.add(level.anyLastSegment)
		c.add(level.byLastSegment[last])
	}
	return c
}

// next removes and returns the first remaining rule, or nil if there is none.
func (c *candidateLists) next() *indexedRule {
	if c.count == 0 {
		return nil
	}
	first := 0
	for i := 1; i < c.count; i++ {
		if c.lists[i][0].position < c.lists[first][0].position {
			first = i
		}
	}
	rule := &c.lists[first][0]
	if c.lists[first] = c.lists[first][1:]; len(c.lists[first]) == 0 {
		c.count--
		c.lists[first] = c.lists[c.count]
	}
	return rule
}
