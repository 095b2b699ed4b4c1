// Command cases plays the scripted cases of the review: it starts instances of lycheehall as separate
// processes, and stands in for their callers, their targets and the platform.
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 118 * time.Second

// caseFunc plays a case and returns the number of violations of its rule. trouble says whether the
// disruption takes place.
type caseFunc func(d *deployment, trouble bool) (violations int, err error)

var cases = map[string]caseFunc{
	"not-executed": playNotExecuted,
	"shutdown":     playShutdown,
	"relay":        playRelay,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases not-executed|shutdown|relay RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	go d.closeAtEnd()
	violations, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.note("violations: %d", violations)
	fmt.Println("violations:", violations)
	if violations > 0 {
		return exitBroken
	}
	return exitHeld
}
