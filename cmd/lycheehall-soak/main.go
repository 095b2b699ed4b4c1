// Command lycheehall-soak runs soak tests, which inject random faults into real processes; see package
// soak.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"lycheehall.example/lycheehall/soak"
)

// options holds the values of all flags.
type options struct {
	programDir    string
	dir           string
	firstSeed     uint64
	count         int
	length        time.Duration
	instances     int
	targets       int
	injectedFault string
	memoryMB      int
	only          string
	quiet         bool
}

func main() {
	o := options{programDir: "bin", firstSeed: uint64(time.Now().Unix()), count: 1, length: 20 * time.Second, instances: 4, targets: 5}
	flaggy.SetName("lycheehall-soak")
	flaggy.SetDescription("Injects random faults into real processes and checks the guarantees to callers.")
	flaggy.String(&o.programDir, "", "programs", "Directory of the built programs.")
	flaggy.String(&o.dir, "", "dir", "Directory for logs and records; default: a new one.")
	flaggy.UInt64(&o.firstSeed, "s", "seed", "First seed; default: the current Unix time in seconds.")
	flaggy.Int(&o.count, "n", "count", "Number of seeds.")
	flaggy.Duration(&o.length, "l", "length", "How long to inject faults for each seed.")
	flaggy.Int(&o.instances, "", "instances", "Number of instances.")
	flaggy.Int(&o.targets, "", "targets", "Number of targets.")
	flaggy.String(&o.injectedFault, "", "plant", "Injected fault of the targets, which the checks must find: twice, denied, foreign or fence.")
	flaggy.Int(&o.memoryMB, "", "memory", "Memory of each instance in MiB, which turns its memory budget on; default: off.")
	flaggy.String(&o.only, "", "only", "The only kind of events: partitions, late-responses, killed-peers or stops; default: all, beside other faults.")
	flaggy.Bool(&o.quiet, "q", "quiet", "Print only results, not progress.")
	flaggy.Parse()
	if o.only != "" && !slices.Contains(soak.Kinds, soak.Kind(o.only)) {
		fmt.Fprintf(os.Stderr, "lycheehall-soak: --only: %q is not one of %v\n", o.only, soak.Kinds)
		os.Exit(2)
	}
	failed := 0
	for i := range o.count {
		if !runSeed(o, o.firstSeed+uint64(i)) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", o.count, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed and reports whether it passed. The logs of a failed run are kept.
func runSeed(o options, seed uint64) bool {
	dir, err := makeSeedDir(o, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	progress := func(format string, args ...any) {
		if !o.quiet {
			fmt.Printf(format+"\n", args...)
		}
	}
	result, err := soak.Run(soak.Options{
		Seed: seed, DeploymentOptions: soak.DeploymentOptions{Instances: o.instances, Targets: o.targets, InjectedFault: o.injectedFault, MemoryMB: o.memoryMB},
		Only: soak.Kind(o.only), Length: o.length, ProgramDir: o.programDir, Dir: dir, Progress: progress,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %v, %d violations\n", seed, result.Faults, result.Counts, len(result.Violations))
	for _, v := range result.Violations[:min(len(result.Violations), 10)] {
		fmt.Println("  ", v)
	}
	if len(result.Violations) > 0 {
		fmt.Println("   logs and records in", dir)
		return false
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return true
}

// makeSeedDir creates the directory for the logs and records of a seed.
func makeSeedDir(o options, seed uint64) (string, error) {
	if o.dir == "" {
		return os.MkdirTemp("", fmt.Sprintf("lycheehall-soak-%d-*", seed))
	}
	dir := filepath.Join(o.dir, fmt.Sprint("seed-", seed))
	return dir, os.MkdirAll(dir, 0o755)
}
