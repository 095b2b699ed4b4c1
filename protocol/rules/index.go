package rules

import "strings"

// index finds the rules that can match a path without trying them all. It keeps each rule in
// one list, so that it is made in time linear in the number of rules. A list of all that can
// match for each first part of a path was made in time that grows with their square: 0.2 s of a
// core for 4,200 rules.
type index struct {
	// byPrefix holds the rules that ask for whole parts at the beginning of the path.
	byPrefix map[string][]placed
	// byFirst holds the rules with a pattern that names the first part of the path, others the
	// rest.
	byFirst map[string]*lastIndex
	others  lastIndex
}

// lastIndex holds rules by the last part of the path. Two levels keep the lists that are tried
// one by one short, also when many rules share their beginning.
type lastIndex struct {
	byLast map[string][]placed
	others []placed
}

// placed is a rule with its place among the rules of its set, from 0.
type placed struct {
	*compiled
	place int
}

// indexedDepth is the number of slashes in a prefix up to which it is looked up as a whole.
// Operators' prefixes have one or two parts.
const indexedDepth = 6

func indexOf(list []*compiled) *index {
	x := &index{byPrefix: map[string][]placed{}, byFirst: map[string]*lastIndex{}}
	for place, r := range list {
		p := placed{r, place}
		if prefix := r.when.prefix; len(r.when.path) == 0 && lookedUp(prefix) {
			x.byPrefix[prefix] = append(x.byPrefix[prefix], p)
			continue
		}
		x.lastIndexFor(r.first()).add(r.last(), p)
	}
	return x
}

// lookedUp reports whether a prefix consists of whole parts, and not of too many.
func lookedUp(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/") && strings.Count(prefix, "/") <= indexedDepth
}

func (x *index) lastIndexFor(first string) *lastIndex {
	if first == "" {
		return &x.others
	}
	found := x.byFirst[first]
	if found == nil {
		found = &lastIndex{}
		x.byFirst[first] = found
	}
	return found
}

func (x *lastIndex) add(last string, r placed) {
	if last == "" {
		x.others = append(x.others, r)
		return
	}
	if x.byLast == nil {
		x.byLast = map[string][]placed{}
	}
	x.byLast[last] = append(x.byLast[last], r)
}

// first returns the first part of the rule's path, if its pattern names one.
func (r *compiled) first() string {
	if len(r.when.path) == 0 || r.when.path[0].kind != literal {
		return ""
	}
	return r.when.path[0].text
}

// last returns the last part of the rule's path, if its pattern names one.
func (r *compiled) last() string {
	if len(r.when.path) == 0 || r.when.path[len(r.when.path)-1].kind != literal {
		return ""
	}
	return r.when.path[len(r.when.path)-1].text
}

// candidates are lists of rules, each in order, that are gone through in the order of all.
type candidates struct {
	lists [indexedDepth + 4][]placed
	count int
}

func (c *candidates) add(list []placed) {
	if len(list) > 0 {
		c.lists[c.count] = list
		c.count++
	}
}

// candidates returns the rules that can match a path.
func (x *index) candidates(path *parts) (c candidates) {
	c.add(x.others.others)
	if path.count == 0 {
		return c
	}
	for i := range min(path.count, indexedDepth) {
		c.add(x.byPrefix[path.path[:path.offset[i]]])
	}
	last := path.text[path.count-1]
	c.add(x.others.byLast[last])
	if named := x.byFirst[path.text[0]]; named != nil {
		c.add(named.others)
		c.add(named.byLast[last])
	}
	return c
}

// next takes the first of the rules that are left; nil: there is none.
func (c *candidates) next() *placed {
	if c.count == 0 {
		return nil
	}
	first := 0
	for i := 1; i < c.count; i++ {
		if c.lists[i][0].place < c.lists[first][0].place {
			first = i
		}
	}
	found := &c.lists[first][0]
	if c.lists[first] = c.lists[first][1:]; len(c.lists[first]) == 0 {
		c.count--
		c.lists[first] = c.lists[c.count]
	}
	return found
}
