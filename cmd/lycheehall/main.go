// Command lycheehall is the operators' command line.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

// version is printed by --version.
const version = "0.2.0"

// Exit codes; docs/OPERATIONS.md describes them.
const (
	exitOK = 0
	// exitFailed: the instance could not be reached, or refused for another reason.
	exitFailed = 1
	// exitInvalid: the input is not valid; nothing was changed.
	exitInvalid = 2
	// exitConflict: somebody else's change came first; nothing was changed.
	exitConflict = 3
	// exitUncertain: the change may have been accepted; repeat it with the same change id.
	exitUncertain = 4
	// exitNotEverywhere: accepted, but not yet in force everywhere when the wait ended.
	exitNotEverywhere = 5
)

// exitError is an error with the exit code it leads to.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func (e exitError) Unwrap() error { return e.err }

func failf(code int, format string, args ...any) error {
	return exitError{code, fmt.Errorf(format, args...)}
}

// options are the values of all flags and positions.
type options struct {
	admin  string
	token  string
	json   bool
	author string
	file   string
	base   uint64
	change string
	wait   time.Duration

	version uint64
	method  string
	path    string
	header  []string
	host    string
	request string
	logs    []string

	fingerprint string

	dataCentre string
	over       bool
}

// command is a subcommand with its action.
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
	fmt.Fprintln(os.Stderr, "lycheehall: give a command; --help lists them")
	return exitInvalid
}

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

// parse declares the commands and reads the command line.
func parse(o *options) []command {
	flaggy.SetName("lycheehall")
	flaggy.SetDescription("Operates a deployment of lycheehall.")
	flaggy.SetVersion(version)
	flaggy.String(&o.admin, "a", "admin", "Address of an instance's operator listener.")
	flaggy.String(&o.token, "", "token", "Operator token; default $LYCHEEHALL_TOKEN.")
	flaggy.Bool(&o.json, "", "json", "Print JSON.")
	var list []command
	add := func(name, description string, run func(*client, *options) error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		flaggy.AttachSubcommand(sub, 1)
		list = append(list, command{sub, run})
		return sub
	}
	check := add("check", "Check a file of rules; nothing is changed.", runCheck)
	check.AddPositionalValue(&o.file, "file", 1, true, "File of rules.")
	apply := add("apply", "Put a file of rules in force and wait until it is so everywhere.", runApply)
	apply.AddPositionalValue(&o.file, "file", 1, true, "File of rules.")
	declareChange(apply, o)
	add("show", "Print the rules in force.", runShow)
	diff := add("diff", "Compare a file with the rules in force.", runDiff)
	diff.AddPositionalValue(&o.file, "file", 1, true, "File of rules.")
	add("history", "List the versions of the rules.", runHistory)
	rollback := add("rollback", "Put an earlier version in force again, as a new version.", runRollback)
	rollback.UInt64(&o.version, "v", "to", "Version to go back to.")
	declareChange(rollback, o)
	add("status", "Show instances, targets and versions in force, and how old they are.", runStatus)
	declareExplain(add("explain", "Tell what would happen to a request.", runExplain), o)
	evacuate := add("evacuate", "Send nothing to the targets of a data centre.", runEvacuate)
	evacuate.AddPositionalValue(&o.dataCentre, "data-centre", 1, true, "Name of the data centre.")
	evacuate.Bool(&o.over, "", "over", "Take the data centre back.")
	add("quarantine", "List the requests that reach no target, since targets have ended under them.", runQuarantine)
	release := add("release", "Let a quarantined request in again.", runRelease)
	release.AddPositionalValue(&o.fingerprint, "fingerprint", 1, true, "Fingerprint of the request.")
	add("timeline", "Print the events of all instances in causal order.", runTimeline)
	trace := add("trace", "Tell how a request was decided, and what its instance learned shortly before.", runTrace)
	trace.AddPositionalValue(&o.request, "request", 1, true, "Id of the request.")
	trace.StringSlice(&o.logs, "l", "log", "File of log lines to search in place of the running instances; may be repeated.")
	flaggy.Parse()
	return list
}

func declareChange(sub *flaggy.Subcommand, o *options) {
	sub.UInt64(&o.base, "b", "base", "Version the change starts from; default: the one in force.")
	sub.String(&o.change, "", "change-id", "Id of the change; repeat it to retry after a lost answer.")
	sub.String(&o.author, "", "author", "Who makes the change.")
	sub.Duration(&o.wait, "w", "wait", "How long to wait until it is in force everywhere.")
}

func declareExplain(sub *flaggy.Subcommand, o *options) {
	sub.AddPositionalValue(&o.method, "method", 1, true, "HTTP method.")
	sub.AddPositionalValue(&o.path, "path", 2, true, "Path with query.")
	sub.StringSlice(&o.header, "H", "header", "Header as Name: value; may be repeated.")
	sub.String(&o.host, "", "host", "Host that the caller addresses.")
}
