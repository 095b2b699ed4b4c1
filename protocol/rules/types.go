package rules

import (
	"fmt"
	"strings"

	"lycheehall.example/lycheehall/clock"
)

// Duration is a time written as text, such as "250ms" or "2s".
type Duration = clock.Duration

// file is the configuration as written.
type file struct {
	Service []Service `toml:"service"`
	Rule    []Rule    `toml:"rule"`
}

// Service describes a group of targets.
type Service struct {
	// Name is unique in the file.
	Name string `toml:"name"`
	// Keyed says that each target owns ranges of key numbers, 0 to 65535, under grants.
	Keyed bool `toml:"keyed"`
	// TargetConnections is how many connections one target takes from all instances.
	// 0 sets no bound.
	TargetConnections int `toml:"target_connections"`
	// Imbalance is the ratio of the fullest target to the mean from which on keys move for
	// balance. Default 1.2.
	Imbalance float64 `toml:"imbalance"`
	// ColdStart is how long a target is cold after it starts. 0: it is not.
	ColdStart Duration `toml:"cold_start"`
	// ColdRate is how many requests a second a cold target bears, from all instances. 0 sets no
	// bound.
	ColdRate float64 `toml:"cold_rate"`
}

// Rule is one "when … then …".
type Rule struct {
	// Name is unique in the file and appears in logs, metrics and answers.
	Name string `toml:"name"`
	When When   `toml:"when"`
	Then Then   `toml:"then"`
}

// When is a condition. All fields that are set must hold; an empty condition always
// holds.
type When struct {
	// Method lists HTTP methods, one of which must match.
	Method []string `toml:"method"`
	// Service lists services, one of which the caller must address: the first label of the
	// host name, such as bookings in bookings.example.
	Service []string `toml:"service"`
	// Host lists host names, one of which must match; the port is ignored.
	Host []string `toml:"host"`
	// Path is a pattern such as /jobs/{job}/status; {rest...} matches the remainder.
	Path string `toml:"path"`
	// Prefix is a text that the path must begin with.
	Prefix string `toml:"prefix"`
	// Header maps header names to values; the value "*" asks for presence only.
	Header map[string]string `toml:"header"`
	// Caller lists callers, one of which must match.
	Caller []string `toml:"caller"`
	// DataCentre lists data centres, one of which must be the instance's own.
	DataCentre []string `toml:"data_centre"`
	// All, Any and Not combine further conditions.
	All []When `toml:"all"`
	Any []When `toml:"any"`
	Not *When  `toml:"not"`
}

// Then is what happens to a request. Either Route or Refuse is set.
type Then struct {
	// Route names the service that runs the request.
	Route string `toml:"route"`
	// Key says where the key is: "path:NAME", "header:NAME" or "query:NAME" for a text that
	// is hashed, "number:HEADER" for a header with the key's number. A keyed service needs
	// it.
	Key string `toml:"key"`
	// Idempotent says that running the request twice does the same as running it once.
	Idempotent bool `toml:"idempotent"`
	// Deadline is the time for the whole request. Default 3s, at most 60s.
	Deadline Duration `toml:"deadline"`
	// Limit bounds the requests that the rule lets through on each instance.
	Limit *Limit `toml:"limit"`
	// Refuse answers the request without running it.
	Refuse *Refuse `toml:"refuse"`
	// Backends share the requests of the rule among services by weight, in place of Route.
	Backends []Backend `toml:"backends"`
	// MaxAttempts bounds the targets that one request may be sent to. Default 2.
	MaxAttempts int `toml:"max_attempts"`
	// Aim is the time within which an answer is of full use to the caller. Default: half
	// of the deadline.
	Aim Duration `toml:"aim"`
	// Priority is the rank of the requests where targets are short of room; 0 goes first.
	Priority int `toml:"priority"`
}

// Backend is a service with its share of a rule's requests.
type Backend struct {
	Service string `toml:"service"`
	// Weight is the share, relative to the sum of the rule's weights.
	Weight int `toml:"weight"`
}

// Limit bounds requests on each instance. Requests above it are refused at once.
type Limit struct {
	// PerSecond is the rate, with bursts of up to Burst. 0 sets no bound.
	PerSecond float64 `toml:"per_second"`
	// Burst defaults to PerSecond, at least 1.
	Burst int `toml:"burst"`
	// Concurrent is the number of requests under way at a time. 0 sets no bound.
	Concurrent int `toml:"concurrent"`
}

// Refuse is a fixed answer.
type Refuse struct {
	// Status is the HTTP status, 400 to 599.
	Status int `toml:"status"`
	// Message is the text of the answer.
	Message string `toml:"message"`
	// RetryAfter tells the caller when to come back; rounded up to whole seconds.
	RetryAfter Duration `toml:"retry_after"`
}

// Mistake is one thing wrong with a configuration.
type Mistake struct {
	File string
	// Line is 0 when the mistake has no single place.
	Line int
	// Where names the service or rule, such as: rule 3 "status check".
	Where   string
	Field   string
	Message string
}

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

// Mistakes are all that is wrong with a configuration. It is an error.
type Mistakes []Mistake

func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, x := range m {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}
