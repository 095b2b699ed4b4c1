// Command faultcases plays the scripts of the review cases: it starts instances of lycheehall as
// separate processes, with stand-ins for the platform's store, servers and clients in its own
// process, and checks one rule by what these stand-ins see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// scenario plays one case. It reports the violations of the rule to the stage.
type scenario func(s *stage) error

var scenarios = map[string]scenario{
	"late-release":  lateRelease,
	"foreign-entry": foreignEntry,
	"foreign-name":  foreignName,
	"second-term":   secondTerm,
}

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	if len(args) != 3 || scenarios[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: faultcases CASE RECORD")
		return exitNotRun
	}
	s, err := newStage(args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "the time limit is over")
		for _, p := range s.instances {
			p.kill()
		}
		os.Exit(exitNotRun)
	})
	err = scenarios[args[1]](s)
	s.stop()
	if err != nil {
		s.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return s.verdict()
}
