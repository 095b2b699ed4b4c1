package rules

import (
	"fmt"
	"strings"

	"lycheehall.example/lycheehall/clock"
)

// Duration is a time.Duration that is written as text, such as "250ms" or "2s".
type Duration = clock.Duration

// document is the content of a rules file.
type document struct {
	Service []Service `toml:"service"`
	Rule    []Rule    `toml:"rule"`
}

// Service describes a group of targets.
type Service struct {
	// Name is unique in the file.
	Name string `toml:"name"`
	// Keyed says that the key numbers, 0 to 65535, are divided among the targets: each owns ranges
	// of them under grants.
	Keyed bool `toml:"keyed"`
	// TargetConnections is the largest number of connections to one target from all instances
	// together; 0 means no limit.
	TargetConnections int `toml:"target_connections"`
	// Imbalance is the ratio of the highest load of a target to the mean load from which on keys
	// are reassigned to balance the targets. Default 1.2.
	Imbalance float64 `toml:"imbalance"`
	// ColdStart is how long a target counts as cold after it starts; 0 means not at all.
	ColdStart Duration `toml:"cold_start"`
	// ColdRate is the largest number of requests a second that a cold target accepts from all
	// instances together; 0 means no limit.
	ColdRate float64 `toml:"cold_rate"`
}

// Rule is a condition and what is done with the requests that fulfil it.
type Rule struct {
	// Name is unique in the file. It appears in logs, metrics and responses.
	Name string `toml:"name"`
	When When   `toml:"when"`
	Then Then   `toml:"then"`
}

// When is a condition. A request must match all fields that are set; an empty condition matches every
// request.
type When struct {
	// Method lists the accepted HTTP methods.
	Method []string `toml:"method"`
	// Service lists the accepted services. A caller addresses a service by the first label of the
	// host name, such as bookings in bookings.example.
	Service []string `toml:"service"`
	// Host lists the accepted host names; the port is ignored.
	Host []string `toml:"host"`
	// Path is a pattern such as /jobs/{job}/status; {rest...} matches the rest of the path.
	Path string `toml:"path"`
	// Prefix is the required beginning of the path.
	Prefix string `toml:"prefix"`
	// Header maps header names to required values; "*" matches any value.
	Header map[string]string `toml:"header"`
	// Caller lists the accepted callers.
	Caller []string `toml:"caller"`
	// DataCentre lists the accepted data centres of the instance that has received the request.
	DataCentre []string `toml:"data_centre"`
	// All, Any and Not combine nested conditions.
	All []When `toml:"all"`
	Any []When `toml:"any"`
	Not *When  `toml:"not"`
}

// Then is what is done with a request. Exactly one of Route, Backends and Refuse is set.
type Then struct {
	// Route names the service that the request is sent to.
	Route string `toml:"route"`
	// Key says where the key is: "path:NAME", "header:NAME" or "query:NAME" for a text that
	// is hashed, "number:HEADER" for a header with the key number. A keyed service requires it.
	Key string `toml:"key"`
	// Idempotent says that executing the request twice has the same effect as executing it once.
	Idempotent bool `toml:"idempotent"`
	// Deadline is the time limit for the whole request. Default 3s, at most 60s.
	Deadline Duration `toml:"deadline"`
	// Limit limits the requests of the rule, on each instance or on all of them together.
	Limit *Limit `toml:"limit"`
	// Refuse is the response to a request that is not to be executed.
	Refuse *Refuse `toml:"refuse"`
	// Backends divides the rule's requests among services by weight.
	Backends []Backend `toml:"backends"`
	// MaxAttempts is the largest number of targets that one request is sent to. Default 2.
	MaxAttempts int `toml:"max_attempts"`
	// Aim is the response time up to which a response has its full value for the caller. Default:
	// half of the deadline.
	Aim Duration `toml:"aim"`
	// Priority ranks requests when targets lack free slots; 0 is served first.
	Priority int `toml:"priority"`
}

// Backend is a service with its share of a rule's requests.
type Backend struct {
	Service string `toml:"service"`
	// Weight is the service's share, relative to the sum of the weights of the rule.
	Weight int `toml:"weight"`
}

// Limit limits the requests of a rule. Requests above it are refused immediately.
type Limit struct {
	// PerSecond is the rate in requests a second, with bursts of up to Burst; 0 means no limit.
	PerSecond float64 `toml:"per_second"`
	// Burst defaults to PerSecond, but at least 1.
	Burst int `toml:"burst"`
	// Concurrent is the largest number of requests in flight; 0 means no limit.
	Concurrent int `toml:"concurrent"`
	// Scope says whether the limit applies to each instance or to all of them together: ScopeInstance
	// (the default; also if empty) or ScopeAll.
	Scope Scope `toml:"scope"`
}

// Scope says which requests count towards a limit.
type Scope string

const (
	// ScopeInstance: those on one instance.
	ScopeInstance Scope = "instance"
	// ScopeAll: those on all instances together.
	ScopeAll Scope = "all"
)

// Refuse is a fixed response.
type Refuse struct {
	// Status is the HTTP status, 400 to 599.
	Status int `toml:"status"`
	// Message is the body of the response.
	Message string `toml:"message"`
	// RetryAfter is the Retry-After of the response, which has it in seconds with three decimals.
	RetryAfter Duration `toml:"retry_after"`
}

// Mistake is a mistake in a service or rule.
type Mistake struct {
	File string
	// Line is 0 if the mistake is not at a particular line.
	Line int
	// Where names the service or rule, such as: rule 3 "status check".
	Where   string
	Field   string
	Message string
}

// String returns "FILE:LINE: WHERE: FIELD: MESSAGE" without the parts that are empty.
func (m Mistake) String() string {
	var b strings.Builder
	b.WriteString(m.File)
	if m.Line > 0 {
		fmt.Fprintf(&b, ":%d", m.Line)
	}
	for _, part := range []string{m.Where, m.Field, m.Message} {
		if part != "" {
			b.WriteString(": " + part)
		}
	}
	return b.String()
}

// Mistakes is the list of all mistakes in a rules file, or in services and rules from another
// source. It is an error.
type Mistakes []Mistake

// Error returns the mistakes, one on each line.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, x := range m {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}
