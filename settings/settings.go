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

	"github.com/apex/log"
	"github.com/pelletier/go-toml/v2"
	"lycheehall.example/lycheehall/clock"
)

// Duration is a time written as text, such as "250ms" or "2s".
type Duration = clock.Duration

// Settings of an instance.
type Settings struct {
	// Name is the instance's name; each start adds a suffix of its own.
	Name string `toml:"name" comment:"Name of this instance; each start adds a suffix of its own."`
	// DataCentre is where the instance runs.
	DataCentre string `toml:"data_centre" comment:"Data centre that this instance runs in."`
	// Listen is the address for callers.
	Listen string `toml:"listen" comment:"Address for callers, as IP:port."`
	// Peer is the address for other instances; they must be able to reach it.
	Peer string `toml:"peer" comment:"Address for other instances, as IP:port that they can reach."`
	// Admin is the address for operators, metrics and the balancer's health checks.
	Admin string `toml:"admin" comment:"Address for operators, metrics and health checks, as IP:port."`
	// Platform is the address of the platform's table service.
	Platform string `toml:"platform" comment:"Address of the platform's table service, as IP:port."`
	// Seeds are peer addresses of other instances.
	Seeds []string `toml:"seeds" comment:"Peer addresses of other instances, for a start while the platform is down."`
	// Secret authenticates instances and the platform to one another.
	Secret string `toml:"secret" comment:"Secret shared by all instances; at least 16 characters."`
	// TLSCert, TLSKey and TLSCA are PEM files that encrypt calls between instances.
	TLSCert string `toml:"tls_cert" comment:"PEM file with this instance's certificate, for its IP number; empty: calls between instances are not encrypted."`
	TLSKey  string `toml:"tls_key" comment:"PEM file with its key."`
	TLSCA   string `toml:"tls_ca" comment:"PEM file with the authority that issued all instances' certificates."`
	// OperatorToken is asked of operators.
	OperatorToken string `toml:"operator_token" comment:"Token that operators must give; at least 16 characters."`
	// FirstRules is a file with the rules of a deployment that has none yet.
	FirstRules string `toml:"first_rules" comment:"File with the rules for a deployment that has none yet; may be empty."`
	// CallerHeader is the header in which the balancer names the caller.
	CallerHeader string `toml:"caller_header" comment:"Header in which the balancer names the caller; empty: the sender's address."`
	// MaxWaiting bounds the requests that wait for a key to be served again.
	MaxWaiting int `toml:"max_waiting" comment:"Requests that may wait for a key that is between owners."`
	// Window is how long they wait at most.
	Window Duration `toml:"window" comment:"How long such a request waits at most."`
	// MaxBody is the largest body accepted, in bytes.
	MaxBody int64 `toml:"max_body" comment:"Largest request body accepted, in bytes."`
	// Grace is the time between failing health checks and refusing new work.
	Grace Duration `toml:"grace" comment:"On shutdown, time between failing health checks and refusing new work."`
	// Drain bounds the wait for requests in progress on shutdown.
	Drain Duration `toml:"drain" comment:"On shutdown, longest wait for requests in progress."`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level" comment:"debug, info, warn or error; can be changed while running."`
	// Events is the number of events kept for the time line.
	Events int `toml:"events" comment:"Events kept in memory for the time line."`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Name:       "entry",
		DataCentre: "dc1",
		Listen:     "127.0.0.1:8080",
		Peer:       "127.0.0.1:8081",
		Admin:      "127.0.0.1:8082",
		Platform:   "127.0.0.1:8090",
		Seeds:      []string{},
		MaxWaiting: 1000,
		Window:     Duration(2500 * time.Millisecond),
		MaxBody:    8 << 20,
		Grace:      Duration(2 * time.Second),
		Drain:      Duration(30 * time.Second),
		LogLevel:   "info",
		Events:     4096,
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

// MinSecret is the shortest secret accepted, in characters.
const MinSecret = 16

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
	addresses := map[string]string{"listen": s.Listen, "peer": s.Peer, "admin": s.Admin, "platform": s.Platform}
	for _, field := range []string{"listen", "peer", "admin", "platform"} {
		if err := checkAddress(addresses[field]); err != nil {
			bad(field, "%v", err)
		}
	}
	for _, seed := range s.Seeds {
		if err := checkAddress(seed); err != nil {
			bad("seeds", "%v", err)
		}
	}
	if len(s.Secret) < MinSecret {
		bad("secret", "has %d characters; give at least %d", len(s.Secret), MinSecret)
	}
	if len(s.OperatorToken) < MinSecret {
		bad("operator_token", "has %d characters; give at least %d", len(s.OperatorToken), MinSecret)
	}
	if given := s.TLSCert != ""; given != (s.TLSKey != "") || given != (s.TLSCA != "") {
		bad("tls_cert", "tls_cert, tls_key and tls_ca belong together; give all three or none")
	}
	s.validateNumbers(bad)
	return errors.Join(errs...)
}

func (s Settings) validateNumbers(bad func(field, format string, args ...any)) {
	if s.MaxWaiting < 1 {
		bad("max_waiting", "is %d; write a number above 0", s.MaxWaiting)
	}
	if s.MaxBody < 1 {
		bad("max_body", "is %d; write a number of bytes above 0", s.MaxBody)
	}
	if s.Events < 16 {
		bad("events", "is %d; write at least 16", s.Events)
	}
	durations := map[string]Duration{"window": s.Window, "grace": s.Grace, "drain": s.Drain}
	for _, field := range []string{"window", "grace", "drain"} {
		if durations[field] < 0 {
			bad(field, "is %v; write a time of at least 0s", time.Duration(durations[field]))
		}
	}
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		bad("log_level", "is %q; write debug, info, warn or error", s.LogLevel)
	}
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
