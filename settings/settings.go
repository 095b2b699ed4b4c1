// Package settings reads and checks the settings of an instance. They hold what a
// process has to know before it can reach anything else; what operators change while
// the system runs is in the rules.
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
)

// Duration is a time written as text, such as "250ms" or "2s".
type Duration = clock.Duration

// Who keeps the rules.
const (
	RulesFromPlatform = "platform"
	RulesFromStore    = "lycheehall"
)

// Settings of an instance.
type Settings struct {
	// Name is the instance's name; each start adds a suffix of its own.
	Name string `toml:"name" comment:"Name of this instance; each start adds a suffix of its own."`
	// DataCentre is where the instance runs.
	DataCentre string `toml:"data_centre" comment:"Data centre that this instance runs in."`
	// Weight is the part of a processor core that the instance has.
	Weight float64 `toml:"weight" comment:"Part of a processor core that this instance has; duties for others are shared by it."`
	// Listen is the address for callers.
	Listen string `toml:"listen" comment:"Address for callers, as IP:port."`
	// Readiness is the address for the balancer's health checks.
	Readiness string `toml:"readiness" comment:"Address for the balancer's health checks, as IP:port."`
	// Peer is the address for other instances; they must be able to reach it.
	Peer string `toml:"peer" comment:"Address for other instances, as IP:port that they can reach."`
	// Seeds are the peer addresses of other instances.
	Seeds []string `toml:"seeds" comment:"Peer addresses of a few instances that are asked at the start, as IP:port; none: the store is read instead."`
	// Admin is the address for operators and metrics.
	Admin string `toml:"admin" comment:"Address for operators and metrics, as IP:port."`
	// Platform is the address of the platform's store.
	Platform string `toml:"platform" comment:"Address of the platform's store, as IP:port."`
	// Grace is how long the process may take to stop.
	Grace Duration `toml:"grace" comment:"Time from SIGTERM until the platform ends the process."`
	// HoldMax is the longest hold of a grant that targets accept.
	HoldMax Duration `toml:"hold_max" comment:"Longest hold of a grant of keys that targets accept."`
	// Drain is how long a target goes on to take requests after it has said that it leaves.
	Drain Duration `toml:"drain" comment:"Time for which a target takes requests after it has said that it leaves."`
	// MaxBody is the largest body accepted, in bytes.
	MaxBody int64 `toml:"max_body" comment:"Largest request body accepted, in bytes."`
	// Rules says who keeps the rules: "platform", or "lycheehall" itself in the store.
	Rules string `toml:"rules" comment:"Who keeps the rules: \"platform\", or \"lycheehall\" itself in the store."`
	// Secret authenticates instances to one another.
	Secret string `toml:"secret" comment:"Secret shared by all instances, at least 16 characters; empty: whoever reaches the peer address is obeyed."`
	// TLSCert, TLSKey and TLSCA are PEM files that encrypt calls between instances.
	TLSCert string `toml:"tls_cert" comment:"PEM file with this instance's certificate, for its IP number; empty: calls between instances are not encrypted."`
	TLSKey  string `toml:"tls_key" comment:"PEM file with its key."`
	TLSCA   string `toml:"tls_ca" comment:"PEM file with the authority that issued all instances' certificates."`
	// OperatorToken is asked of operators.
	OperatorToken string  `toml:"operator_token" comment:"Token that operators must give, at least 16 characters; empty: the operators' address answers questions and takes no changes."`
	Retries       Retries `toml:"retries" comment:"What all instances together may send again."`
}

// Retries bounds the requests that are sent again, over all instances together.
type Retries struct {
	// Ratio is the share of a service's requests.
	Ratio float64 `toml:"ratio" comment:"Share of a service's requests that may be sent again within the window."`
	// Slack is the number beside that.
	Slack float64 `toml:"slack" comment:"Number that may be sent again beside that."`
	// Window is the time over which both are counted.
	Window Duration `toml:"window" comment:"Time over which both are counted."`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Name: "instance", DataCentre: "dc1", Weight: 1,
		Listen: "127.0.0.1:8080", Readiness: "127.0.0.1:8083", Peer: "127.0.0.1:8081", Admin: "127.0.0.1:8082",
		Platform: "127.0.0.1:8090",
		Seeds:    []string{},
		Grace:    Duration(6 * time.Second), HoldMax: Duration(10 * time.Second), Drain: Duration(2 * time.Second),
		MaxBody: 64 << 20,
		Rules:   RulesFromStore,
		Retries: Retries{Ratio: 0.2, Slack: 60, Window: Duration(10 * time.Second)},
	}
}

// Load reads a file on top of the defaults and checks the result.
func Load(path string) (Settings, error) {
	s := Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	err = toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&s)
	if err := describe(path, err); err != nil {
		return s, err
	}
	if err := s.Validate(); err != nil {
		return s, errors.New(path + ": " + strings.ReplaceAll(err.Error(), "\n", "\n"+path+": "))
	}
	return s, nil
}

// describe names the line and field of what is wrong with the file.
func describe(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown field; --print-defaults lists the fields there are", path, row, strings.Join(strict.Errors[i].Key(), ".")))
		}
		return errors.New(strings.Join(lines, "\n"))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		return fmt.Errorf("%s:%d: %s: %w", path, row, strings.Join(bad.Key(), "."), bad)
	}
	return err
}

// MinSecretLength is the shortest secret accepted, in characters.
const MinSecretLength = 16

// Validate reports everything that is wrong, one line for each field.
func (s Settings) Validate() error {
	var errs []error
	bad := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	if s.Name == "" || strings.ContainsAny(s.Name, "/ ") {
		bad("name", "is %q; give a name without spaces and slashes", s.Name)
	}
	if s.DataCentre == "" {
		bad("data_centre", "is missing")
	}
	if s.Weight <= 0 {
		bad("weight", "is %v; write a number above 0", s.Weight)
	}
	addresses := []struct{ field, value string }{
		{"listen", s.Listen}, {"readiness", s.Readiness}, {"peer", s.Peer}, {"admin", s.Admin}, {"platform", s.Platform},
	}
	for _, a := range addresses {
		if err := checkAddress(a.value); err != nil {
			bad(a.field, "%v", err)
		}
	}
	for _, seed := range s.Seeds {
		if err := checkAddress(seed); err != nil {
			bad("seeds", "%v", err)
		}
	}
	if time.Duration(s.Grace) < time.Second {
		bad("grace", "is %v; write at least 1s", time.Duration(s.Grace))
	}
	if time.Duration(s.HoldMax) < time.Second {
		bad("hold_max", "is %v; write at least 1s", time.Duration(s.HoldMax))
	}
	if time.Duration(s.Drain) < 0 {
		bad("drain", "is %v; write at least 0s", time.Duration(s.Drain))
	}
	if s.MaxBody < 1 {
		bad("max_body", "is %d; write a number of bytes above 0", s.MaxBody)
	}
	if s.Secret != "" && len(s.Secret) < MinSecretLength {
		bad("secret", "has %d characters; give at least %d", len(s.Secret), MinSecretLength)
	}
	if s.OperatorToken != "" && len(s.OperatorToken) < MinSecretLength {
		bad("operator_token", "has %d characters; give at least %d", len(s.OperatorToken), MinSecretLength)
	}
	if given := s.TLSCert != ""; given != (s.TLSKey != "") || given != (s.TLSCA != "") {
		bad("tls_cert", "tls_cert, tls_key and tls_ca belong together; give all three or none")
	}
	if s.Rules != RulesFromPlatform && s.Rules != RulesFromStore {
		bad("rules", "is %q; write %q or %q", s.Rules, RulesFromPlatform, RulesFromStore)
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.Window <= 0 {
		bad("retries", "ratio and slack must not be negative, and window must be above 0s")
	}
	return errors.Join(errs...)
}

// checkAddress asks for an IP number and a port: names are not looked up.
func checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("is %q; write IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("is %q; write an IP number before the port", address)
	}
	return nil
}

// Print returns the settings as a file with a comment for each field.
func Print(s Settings) (string, error) {
	text, err := toml.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("settings: print: %w", err)
	}
	return string(text), nil
}
