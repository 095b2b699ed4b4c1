// Package settings reads and checks the settings file of an instance, which contains what a process
// needs before it can connect to anything. Operators change the rules at run time instead.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/contention"
)

// Duration is a time.Duration that is written as text, such as "250ms" or "2s".
type Duration = clock.Duration

// The values of Settings.Rules: where the rules are stored.
const (
	RulesFromPlatform = "platform"
	RulesFromStore    = "lycheehall"
)

// Settings holds the settings of an instance.
type Settings struct {
	// Name is the instance's name. Each start of the process appends a unique suffix.
	Name string `toml:"name" comment:"Name of this instance; each start adds a suffix of its own."`
	// DataCentre is where the instance runs.
	DataCentre string `toml:"data_centre" comment:"Data centre that this instance runs in."`
	// Weight is the processor capacity of the instance in cores. Its duties are in proportion to it. A
	// duty is work that an instance does for others: keeping pools of permits and relaying reports.
	Weight float64 `toml:"weight" comment:"Part of a processor core that this instance has; duties for others are shared by it."`
	// Listen is the address for callers, as IP:port like all addresses here.
	Listen string `toml:"listen" comment:"Address for callers, as IP:port."`
	// Readiness is the address for the load balancer's health checks.
	Readiness string `toml:"readiness" comment:"Address for the balancer's health checks, as IP:port."`
	// Peer is the address for other instances; they must be able to reach it.
	Peer string `toml:"peer" comment:"Address for other instances, as IP:port that they can reach."`
	// Seeds are the peer addresses of a few instances to contact at the start. If there are none, the
	// instance reads from the store instead.
	Seeds []string `toml:"seeds" comment:"Peer addresses of a few instances that are asked at the start, as IP:port; none: the store is read instead."`
	// TargetSource is the local IP address of connections to targets. If it is empty, the system chooses.
	TargetSource string `toml:"target_source" comment:"Local IP address of connections to targets, where the machine has several; empty: the system chooses."`
	// Admin is the address for operators and metrics.
	Admin string `toml:"admin" comment:"Address for operators and metrics, as IP:port."`
	// Platform is the address of the platform's store.
	Platform string `toml:"platform" comment:"Address of the platform's store, as IP:port."`
	// Grace is the grace period: the time from SIGTERM until the platform kills the process.
	Grace Duration `toml:"grace" comment:"Time from SIGTERM until the platform ends the process."`
	// HoldMax is the longest hold of a grant of keys that targets accept.
	HoldMax Duration `toml:"hold_max" comment:"Longest hold of a grant of keys that targets accept."`
	// Drain is how long a target still accepts requests after it has reported that it is leaving.
	Drain Duration `toml:"drain" comment:"Time for which a target takes requests after it has said that it leaves."`
	// MaxBody is the largest accepted request body, in bytes.
	MaxBody int64 `toml:"max_body" comment:"Largest request body accepted, in bytes."`
	// Rules is where the rules come from: RulesFromPlatform, the platform's own configuration, or
	// RulesFromStore, lycheehall's table in the store.
	Rules string `toml:"rules" comment:"Who keeps the rules: \"platform\", or \"lycheehall\" itself in the store."`
	// Secret authenticates instances to one another. If it is empty, calls from any process that can
	// reach the peer address are accepted.
	Secret string `toml:"secret" comment:"Secret shared by all instances, at least 16 characters; empty: whoever reaches the peer address is obeyed."`
	// TLSCert, TLSKey and TLSCA are PEM files: the instance's certificate, its private key and the
	// authority that issues the certificates. If they are empty, calls between instances are not
	// encrypted.
	TLSCert string `toml:"tls_cert" comment:"PEM file with this instance's certificate, for its IP number; empty: calls between instances are not encrypted."`
	TLSKey  string `toml:"tls_key" comment:"PEM file with its key."`
	TLSCA   string `toml:"tls_ca" comment:"PEM file with the authority that issued all instances' certificates."`
	// OperatorToken is the bearer token that operators must send. If it is empty, the operator API
	// answers queries without one, and accepts no changes.
	OperatorToken string  `toml:"operator_token" comment:"Token that operators must give, at least 16 characters; empty: the operators' address answers questions and takes no changes."`
	Retries       Retries `toml:"retries" comment:"What all instances together may send again."`
	// Contention says where the decisions for competing kinds of requests are in effect.
	Contention Contention `toml:"contention" comment:"Decisions where kinds of requests compete for the same targets."`
	// Connections says how callers' connections are served.
	Connections Connections `toml:"connections" comment:"Callers' connections."`
	// Memory limits the memory held for callers and targets.
	Memory Memory `toml:"memory" comment:"Memory held for request and response bodies."`
}

// Connections says how callers' connections are served.
type Connections struct {
	// PipelineDepth is how many requests of one connection are served at a time. 0 turns pipelining
	// off.
	PipelineDepth int `toml:"pipeline_depth" comment:"Idempotent requests of one connection that are served at a time, at most 64; 0: one after the other."`
}

// maxPipelineDepth is the largest accepted pipeline_depth. More requests than that of one caller would
// occupy a small instance.
const maxPipelineDepth = 64

// Memory limits the memory held for callers and targets.
type Memory struct {
	// Mode says where the limit is in effect. ModeOff is not valid here.
	Mode contention.Mode `toml:"mode" comment:"\"on\", or \"auto\" (only where the decisions of [contention] are in effect in some service)."`
	// LimitMB is the memory of the instance in MiB; 0 turns the budget off.
	LimitMB float64 `toml:"limit_mb" comment:"Memory of this instance in MiB; 0: no budget, only responses being received are limited, to 256 MiB together."`
	// HeldShare is the share of LimitMB for request and response bodies.
	HeldShare float64 `toml:"held_share" comment:"Share of that for the bodies of requests and responses."`
	// ConnectionShare is the share of the memory for bodies that one connection of a caller may hold.
	ConnectionShare float64 `toml:"connection_share" comment:"Share of the memory for bodies that one connection of a caller may hold."`
}

// HeldBytes returns the limit of the memory for bodies.
func (m Memory) HeldBytes() int64 { return int64(m.LimitMB * m.HeldShare * (1 << 20)) }

// ConnectionBytes returns the limit of the memory for the bodies of one connection.
func (m Memory) ConnectionBytes() int64 { return int64(float64(m.HeldBytes()) * m.ConnectionShare) }

const (
	// receivedShare is the share of LimitMB for the bodies of the responses that are being received from
	// targets, whatever the mode. Each may have half of it.
	receivedShare = 0.125
	// minReceivedBytes is the least limit of one response, in bytes.
	minReceivedBytes = 1 << 20
	// defaultReceivedBytes is the limit of all responses together without a LimitMB, in bytes.
	defaultReceivedBytes = 256 << 20
)

// ReceivedBytes returns the limits of the memory for responses that are being received: all together,
// and each. each is 0 without a LimitMB, for the largest size that is supported.
func (m Memory) ReceivedBytes() (all, each int64) {
	if m.LimitMB == 0 {
		return defaultReceivedBytes, 0
	}
	each = max(minReceivedBytes, int64(m.LimitMB*receivedShare/2*(1<<20)))
	return 2 * each, each
}

// Contention says where the decisions for competing kinds of requests are in effect.
type Contention struct {
	Mode contention.Mode `toml:"mode" comment:"\"off\", \"auto\" (where a less urgent rule of a service has an aim at least twice as long as a more urgent one) or \"on\"."`
}

// Retries is the retry budget of a service, over all instances together.
type Retries struct {
	// Ratio is the share of a service's requests that may be retried within the window.
	Ratio float64 `toml:"ratio" comment:"Share of a service's requests that may be sent again within the window."`
	// Slack is the number of additional retries within the window.
	Slack float64 `toml:"slack" comment:"Number that may be sent again beside that."`
	// Window is the period over which both are counted.
	Window Duration `toml:"window" comment:"Time over which both are counted."`
}

// Default returns the defaults for settings that a file omits.
func Default() Settings {
	return Settings{
		Name: "instance", DataCentre: "dc1", Weight: 1,
		Listen: "127.0.0.1:8080", Readiness: "127.0.0.1:8083", Peer: "127.0.0.1:8081", Admin: "127.0.0.1:8082",
		Platform: "127.0.0.1:8090",
		Seeds:    []string{},
		Grace:    Duration(6 * time.Second), HoldMax: Duration(10 * time.Second), Drain: Duration(2 * time.Second),
		MaxBody:    64 << 20,
		Rules:      RulesFromStore,
		Retries:    Retries{Ratio: 0.2, Slack: 60, Window: Duration(10 * time.Second)},
		Contention: Contention{Mode: contention.ModeOff},
		Memory:     Memory{Mode: contention.ModeOn, HeldShare: 0.25, ConnectionShare: 0.25},
	}
}

// Load reads a file, applies the defaults and checks the result. The error has one line for each
// mistake.
func Load(path string) (Settings, error) {
	s := Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	err = toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&s)
	if err := describeDecodeError(path, err); err != nil {
		return s, err
	}
	if err := s.Validate(); err != nil {
		return s, errors.New(path + ": " + strings.ReplaceAll(err.Error(), "\n", "\n"+path+": "))
	}
	return s, nil
}

// describeDecodeError adds the line and field to an error of the TOML decoder.
func describeDecodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown field; --print-defaults lists all fields", path, row, strings.Join(strict.Errors[i].Key(), ".")))
		}
		return errors.New(strings.Join(lines, "\n"))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return fmt.Errorf("%s:%d: %s: %w", path, row, strings.Join(decodeErr.Key(), "."), decodeErr)
	}
	return err
}

// maxMemoryMB is the largest accepted memory limit. A larger one is a mistake of the unit.
const maxMemoryMB = 1 << 20

// MinSecretLength is the smallest accepted length of a secret or token, in bytes.
const MinSecretLength = 16

// Validate returns an error with one line for each invalid setting, or nil.
func (s Settings) Validate() error {
	var errs []error
	invalid := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	if s.Name == "" || strings.ContainsAny(s.Name, "/ ") {
		invalid("name", "is %q; give a name without spaces and slashes", s.Name)
	}
	if s.DataCentre == "" {
		invalid("data_centre", "is missing")
	}
	if s.Weight <= 0 {
		invalid("weight", "is %v; write a positive number", s.Weight)
	}
	addresses := []struct{ field, value string }{
		{"listen", s.Listen}, {"readiness", s.Readiness}, {"peer", s.Peer}, {"admin", s.Admin}, {"platform", s.Platform},
	}
	for _, a := range addresses {
		if err := checkAddress(a.value); err != nil {
			invalid(a.field, "%v", err)
		}
	}
	for _, seed := range s.Seeds {
		if err := checkAddress(seed); err != nil {
			invalid("seeds", "%v", err)
		}
	}
	if s.TargetSource != "" && net.ParseIP(s.TargetSource) == nil {
		invalid("target_source", "is %q; write an IP address", s.TargetSource)
	}
	if time.Duration(s.Grace) < time.Second {
		invalid("grace", "is %v; write at least 1s", time.Duration(s.Grace))
	}
	if time.Duration(s.HoldMax) < time.Second {
		invalid("hold_max", "is %v; write at least 1s", time.Duration(s.HoldMax))
	}
	if time.Duration(s.Drain) < 0 {
		invalid("drain", "is %v; write at least 0s", time.Duration(s.Drain))
	}
	if s.MaxBody < 1 {
		invalid("max_body", "is %d; write a positive number of bytes", s.MaxBody)
	}
	if s.Secret != "" && len(s.Secret) < MinSecretLength {
		invalid("secret", "has %d characters; give at least %d", len(s.Secret), MinSecretLength)
	}
	if s.OperatorToken != "" && len(s.OperatorToken) < MinSecretLength {
		invalid("operator_token", "has %d characters; give at least %d", len(s.OperatorToken), MinSecretLength)
	}
	if given := s.TLSCert != ""; given != (s.TLSKey != "") || given != (s.TLSCA != "") {
		invalid("tls_cert", "tls_cert, tls_key and tls_ca belong together; give all three or none")
	}
	if s.Rules != RulesFromPlatform && s.Rules != RulesFromStore {
		invalid("rules", "is %q; write %q or %q", s.Rules, RulesFromPlatform, RulesFromStore)
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.Window <= 0 {
		invalid("retries", "ratio and slack must not be negative, and window must be positive")
	}
	if !s.Contention.Mode.Valid() {
		invalid("contention.mode", "is %q; write %q, %q or %q", s.Contention.Mode, contention.ModeOff, contention.ModeAuto, contention.ModeOn)
	}
	if depth := s.Connections.PipelineDepth; depth < 0 || depth > maxPipelineDepth {
		invalid("connections.pipeline_depth", "is %d; write a number from 0 to %d", depth, maxPipelineDepth)
	}
	if mode := s.Memory.Mode; mode != contention.ModeAuto && mode != contention.ModeOn {
		invalid("memory.mode", "is %q; write %q or %q", mode, contention.ModeAuto, contention.ModeOn)
	}
	if !(s.Memory.LimitMB >= 0 && s.Memory.LimitMB <= maxMemoryMB) {
		invalid("memory.limit_mb", "is %v; write 0, or the memory in MiB up to %d", s.Memory.LimitMB, maxMemoryMB)
	}
	shares := []struct {
		field string
		value float64
	}{{"memory.held_share", s.Memory.HeldShare}, {"memory.connection_share", s.Memory.ConnectionShare}}
	for _, share := range shares {
		if !(share.value > 0 && share.value <= 1) {
			invalid(share.field, "is %v; write a share above 0, at most 1", share.value)
		}
	}
	return errors.Join(errs...)
}

// checkAddress checks that an address consists of an IP address and a port. Host names are not
// accepted, because the process does not resolve names.
func checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("is %q; write IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("is %q; write an IP address before the port", address)
	}
	return nil
}

// Print returns the settings as a TOML file with a comment for each field.
func Print(s Settings) (string, error) {
	text, err := toml.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("settings: print: %w", err)
	}
	return string(text), nil
}
