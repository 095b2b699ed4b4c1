// Command lycheehall-soak plays seeds of random faults against real processes; see package
// soak.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"lycheehall.example/lycheehall/soak"
)

type options struct {
	programs  string
	dir       string
	first     uint64
	count     int
	length    time.Duration
	instances int
	targets   int
	plant     string
	quiet     bool
}

func main() {
	o := options{programs: "bin", first: uint64(time.Now().Unix()), count: 1, length: 20 * time.Second, instances: 4, targets: 5}
	flaggy.SetName("lycheehall-soak")
	flaggy.SetDescription("Injects random faults into real processes and checks the promises to callers.")
	flaggy.String(&o.programs, "", "programs", "Folder with the built programs.")
	flaggy.String(&o.dir, "", "dir", "Folder for logs and records; default: a new one.")
	flaggy.UInt64(&o.first, "s", "seed", "First seed; default: a fresh one.")
	flaggy.Int(&o.count, "n", "count", "Number of seeds.")
	flaggy.Duration(&o.length, "l", "length", "How long faults are injected for each seed.")
	flaggy.Int(&o.instances, "", "instances", "Number of instances.")
	flaggy.Int(&o.targets, "", "targets", "Number of targets.")
	flaggy.String(&o.plant, "", "plant", "Fault of the targets that must be noticed: twice, denied, foreign or fence.")
	flaggy.Bool(&o.quiet, "q", "quiet", "Print only what is wrong and the end.")
	flaggy.Parse()
	failed := 0
	for i := range o.count {
		if !play(o, o.first+uint64(i)) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with something wrong\n", o.count, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// play plays one seed and reports whether all was well. The logs of one that failed are kept.
func play(o options, seed uint64) bool {
	dir, err := seedDir(o, seed)
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
		Seed: seed, Size: soak.Size{Instances: o.instances, Targets: o.targets, Defect: o.plant},
		Length: o.length, ProgramDir: o.programs, Dir: dir, Progress: progress,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %v, %d wrong\n", seed, result.Faults, result.Counts, len(result.Violations))
	for _, w := range result.Violations[:min(len(result.Violations), 10)] {
		fmt.Println("  ", w)
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

func seedDir(o options, seed uint64) (string, error) {
	if o.dir == "" {
		return os.MkdirTemp("", fmt.Sprintf("lycheehall-soak-%d-*", seed))
	}
	dir := filepath.Join(o.dir, fmt.Sprint("seed-", seed))
	return dir, os.MkdirAll(dir, 0o755)
}
