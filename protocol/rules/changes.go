package rules

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"reflect"

	"github.com/cespare/xxhash/v2"
)

// Changes is the difference between two sets: the runs of rules that are unchanged, and the rules
// to insert between them. Instances exchange changes because sending a whole set of thousands of
// rules to every instance costs too much bandwidth and CPU time when a single rule has changed.
type Changes struct {
	// Of is the hash of the previous set's rule names in order; see orderHash.
	Of       uint64
	Services []Service
	// Runs lists the rules of the new set in order.
	Runs []Run
	// Notes are the warnings of the new set.
	Notes Mistakes
}

// Run is a run of unchanged rules, followed by new or changed ones.
type Run struct {
	// From is the index in the previous set of the first unchanged rule, Kept the number of
	// consecutive unchanged rules.
	From, Kept int
	// Added are the new or changed rules that follow them.
	Added []Rule
}

// errOtherPrevious means that changes were applied to a set that they were not computed from.
var errOtherPrevious = errors.New("rules: the changes were computed from another set")

// ChangesFrom returns the changes that turn previous into this set. A nil previous stands for the
// empty set.
func (s *Set) ChangesFrom(previous *Set) Changes {
	indexByName := map[string]int{}
	var previousRules []*compiledRule
	if previous != nil {
		previousRules = previous.rules
		for index, r := range previousRules {
			indexByName[r.rule.Name] = index
		}
	}
	c := Changes{Of: orderHash(previousRules), Services: s.services, Notes: s.warnings}
	for _, r := range s.rules {
		index, found := indexByName[r.rule.Name]
		if found && r.equal(previousRules[index]) {
			c.addKept(index)
			continue
		}
		c.addNew(r.rule)
	}
	return c
}

// orderHash hashes the names of rules in order. The order is included because an instance that runs
// another version of this program may have read the same configuration in another order.
func orderHash(list []*compiledRule) uint64 {
	d := xxhash.New()
	for _, r := range list {
		// Writes to a Digest never fail.
		_, _ = d.WriteString(r.rule.Name)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ShareRulesWith returns a set equal to this one that shares unchanged rules with previous, so that
// several versions in memory only take additional space for the rules that differ.
func (s *Set) ShareRulesWith(previous *Set) *Set {
	shared, err := s.ChangesFrom(previous).Apply(previous)
	if err != nil {
		// Unreachable: the changes were computed from previous.
		return s
	}
	return shared
}

// equal reports whether two rules have the same definition.
func (r *compiledRule) equal(other *compiledRule) bool {
	return r == other || reflect.DeepEqual(&r.rule, &other.rule)
}

// addKept appends an unchanged rule, given its index in the previous set.
func (c *Changes) addKept(index int) {
	if n := len(c.Runs); n > 0 {
		last := &c.Runs[n-1]
		if last.Added == nil && last.From+last.Kept == index {
			last.Kept++
			return
		}
	}
	c.Runs = append(c.Runs, Run{From: index, Kept: 1})
}

// addNew appends a new or changed rule.
func (c *Changes) addNew(r Rule) {
	if len(c.Runs) == 0 {
		c.Runs = append(c.Runs, Run{})
	}
	last := &c.Runs[len(c.Runs)-1]
	last.Added = append(last.Added, r)
}

// Apply returns the set that results from applying the changes to previous. A nil previous stands
// for the empty set. Unchanged rules are shared by both sets. It returns an error if the changes
// were computed from another set.
func (c Changes) Apply(previous *Set) (*Set, error) {
	var previousRules []*compiledRule
	if previous != nil {
		previousRules = previous.rules
	}
	if c.Of != orderHash(previousRules) {
		return nil, errOtherPrevious
	}
	s := &Set{services: c.Services, warnings: c.Notes}
	for _, run := range c.Runs {
		if run.From < 0 || run.Kept < 0 || run.Kept > len(previousRules)-run.From {
			return nil, errOtherPrevious
		}
		s.rules = append(s.rules, previousRules[run.From:run.From+run.Kept]...)
		for _, r := range run.Added {
			s.rules = append(s.rules, compileRule(r))
		}
	}
	s.index = buildIndex(s.rules)
	return s, nil
}

// Encode returns the changes in the form that instances exchange. The encoding is compressed because
// the rules of a deployment resemble each other and shrink to about a tenth of their size.
func (c Changes) Encode() ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("rules: compress changes: %w", err)
	}
	if err := gob.NewEncoder(w).Encode(c); err != nil {
		return nil, fmt.Errorf("rules: encode changes: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("rules: compress changes: %w", err)
	}
	return b.Bytes(), nil
}

// DecodeChanges decodes the output of Encode.
func DecodeChanges(text []byte) (Changes, error) {
	var c Changes
	if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(text))).Decode(&c); err != nil {
		return Changes{}, fmt.Errorf("rules: decode changes: %w", err)
	}
	return c, nil
}
