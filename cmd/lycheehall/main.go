// Command lycheehall is the command line client for operators of a deployment.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

// version is what --version prints.
const version = "0.2.0"

// Exit codes; docs/OPERATIONS.md describes them.
const (
	exitOK = 0
	// exitFailed: the instance could not be reached, or it refused for a reason that is not listed
	// below.
	exitFailed = 1
	// exitInvalid: the input is invalid; nothing was changed.
	exitInvalid = 2
	// exitConflict: another change was made after the base version; nothing was changed.
	exitConflict = 3
	// exitUncertain: the change may have been made; it can be retried with the same change ID.
	exitUncertain = 4
	// exitNotInForceEverywhere: accepted, but not in force at every instance when the wait ended.
	exitNotInForceEverywhere = 5
)

// exitError is an error with the exit code that the process returns for it.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func (e exitError) Unwrap() error { return e.err }

// exitErrorf formats an exitError.
func exitErrorf(code int, format string, args ...any) error {
	return exitError{code, fmt.Errorf(format, args...)}
}

// options holds the values of all flags and positional arguments.
type options struct {
	admin    string
	token    string
	json     bool
	author   string
	file     string
	base     uint64
	changeID string
	wait     time.Duration

	version uint64
	method  string
	path    string
	header  []string
	host    string
	request string
	logs    []string

	fingerprint string

	dataCentre    string
	endEvacuation bool
}

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(c *client, o *options) error
}

func main() { os.Exit(run()) }

func run() int {
	o := &options{
		admin:  "127.0.0.1:8082",
		token:  os.Getenv("LYCHEEHALL_TOKEN"),
		author: os.Getenv("USER"),
		wait:   20 * time.Second,
	}
	commands := parse(o)
	for _, c := range commands {
		if c.sub.Used {
			return exitCode(c.run(newClient(o), o))
		}
	}
	fmt.Fprintln(os.Stderr, "lycheehall: a command is required; --help lists the commands")
	return exitInvalid
}

// exitCode prints an error to standard error and returns its exit code.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

// parse declares the flags and commands, parses the command line and returns the commands.
func parse(o *options) []command {
	flaggy.SetName("lycheehall")
	flaggy.SetDescription("Operates a deployment of lycheehall.")
	flaggy.SetVersion(version)
	flaggy.String(&o.admin, "a", "admin", "Address of an instance's operator API.")
	flaggy.String(&o.token, "", "token", "Operator token; default: $LYCHEEHALL_TOKEN.")
	flaggy.Bool(&o.json, "", "json", "Print JSON.")
	var list []command
	add := func(name, description string, run func(*client, *options) error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		flaggy.AttachSubcommand(sub, 1)
		list = append(list, command{sub, run})
		return sub
	}
	check := add("check", "Check a rules file; nothing is changed.", runCheck)
	check.AddPositionalValue(&o.file, "file", 1, true, "Rules file.")
	apply := add("apply", "Put a rules file in force and wait until every instance applies it.", runApply)
	apply.AddPositionalValue(&o.file, "file", 1, true, "Rules file.")
	addChangeFlags(apply, o)
	add("show", "Print the rules in force.", runShow)
	diff := add("diff", "Compare a rules file with the rules in force.", runDiff)
	diff.AddPositionalValue(&o.file, "file", 1, true, "Rules file.")
	add("history", "List the versions of the rules.", runHistory)
	rollback := add("rollback", "Put an earlier version in force again, as a new version.", runRollback)
	rollback.UInt64(&o.version, "v", "to", "Version to restore.")
	addChangeFlags(rollback, o)
	add("status", "Show instances, targets and the versions in force, and how old this information is.", runStatus)
	addExplainFlags(add("explain", "Show how a request would be routed.", runExplain), o)
	evacuate := add("evacuate", "Stop sending requests to the targets of a data centre.", runEvacuate)
	evacuate.AddPositionalValue(&o.dataCentre, "data-centre", 1, true, "Name of the data centre.")
	evacuate.Bool(&o.endEvacuation, "", "over", "End the evacuation.")
	add("quarantine", "List the quarantined requests: they are sent to no target, since targets have crashed on them.", runQuarantine)
	release := add("release", "Release a request from quarantine.", runRelease)
	release.AddPositionalValue(&o.fingerprint, "fingerprint", 1, true, "Fingerprint of the request.")
	add("timeline", "Print the events of all instances in causal order.", runTimeline)
	trace := add("trace", "Show how a request was handled, and the events of its instance shortly before.", runTrace)
	trace.AddPositionalValue(&o.request, "request", 1, true, "ID of the request.")
	trace.StringSlice(&o.logs, "l", "log", "Log file to search instead of the running instances; may be repeated.")
	flaggy.Parse()
	return list
}

// addChangeFlags declares the flags of a command that changes the rules.
func addChangeFlags(sub *flaggy.Subcommand, o *options) {
	sub.UInt64(&o.base, "b", "base", "Version that the change is based on; default: the one in force.")
	sub.String(&o.changeID, "", "change-id", "ID of the change; to retry after a lost response, give the same one.")
	sub.String(&o.author, "", "author", "Author of the change.")
	sub.Duration(&o.wait, "w", "wait", "How long to wait until the change is in force at every instance.")
}

// addExplainFlags declares the arguments and flags that describe a request.
func addExplainFlags(sub *flaggy.Subcommand, o *options) {
	sub.AddPositionalValue(&o.method, "method", 1, true, "HTTP method.")
	sub.AddPositionalValue(&o.path, "path", 2, true, "Path with query.")
	sub.StringSlice(&o.header, "H", "header", "Header as Name: value; may be repeated.")
	sub.String(&o.host, "", "host", "Host that the request is for.")
}
