// Package rules reads, checks and applies the operators' configuration: the services
// and the ordered rules "when this holds, then do that". The first rule that matches
// decides what happens to a request; a request that no rule matches is refused with
// status 404.
//
// The text is TOML. Parse reports every mistake at once, each with its line, rule and
// field. A parsed Set is immutable and safe for concurrent use.
package rules
