// Package rules parses, checks and evaluates what operators define: a list of services, and an
// ordered list of rules that each have a condition ("when") and an action ("then"). The first rule
// that matches a request determines what happens to it. A request that no rule matches is refused
// with status 404.
//
// Services and rules are written in a TOML file, the rules file. Parse reports all mistakes at
// once, each with its line, rule and field. A parsed Set is immutable and safe for concurrent use.
package rules
