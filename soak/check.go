package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

// Check compares the results of the callers' requests, by request ID, with the runs that targets
// recorded, and checks the fences of the runs. It returns the violations.
func Check(results map[string]CallResult, runs []standin.Record) []string {
	runCount := map[string]int{}
	for _, r := range runs {
		runCount[r.Request]++
	}
	var violations []string
	for id, result := range results {
		count := runCount[id]
		switch {
		case !result.Idempotent && count > 1:
			violations = append(violations, fmt.Sprintf("%s must not run twice, but ran %d times", id, count))
		case result.Outcome == NotExecuted && count > 0:
			violations = append(violations, fmt.Sprintf("%s was refused as not executed with status %d, but ran", id, result.Status))
		case result.Outcome == Answered && count == 0:
			violations = append(violations, fmt.Sprintf("%s was answered, but did not run", id))
		case result.Outcome == Answered && !result.OwnResponse:
			violations = append(violations, fmt.Sprintf("%s got a response that is not its own", id))
		}
	}
	slices.Sort(violations)
	return append(violations, checkFences(runs)...)
}

// exitDelay is how long after the exit of a process it may be noticed.
const exitDelay = 500 * time.Millisecond

// checkParts returns a violation for each part of a response that looked like a whole one, unless the
// target's process exited meanwhile: nothing tells the end of a response without a length from that of
// its target. exits has the times at which the processes of each target exited, by its name.
func checkParts(results map[string]CallResult, runs []standin.Record, exits map[string][]time.Time) []string {
	exited := map[string]bool{}
	for _, run := range runs {
		r := results[run.Request]
		name, _, _ := strings.Cut(run.Target, " ")
		if r.Part && anyBetween(exits[name], time.Unix(0, run.StartedAt), r.Received.Add(exitDelay)) {
			exited[run.Request] = true
		}
	}
	var violations []string
	for id, r := range results {
		if r.Outcome == Answered && r.Part && !exited[id] {
			violations = append(violations, fmt.Sprintf("%s got a part of its response as a whole one", id))
		}
	}
	slices.Sort(violations)
	return violations
}

// targetExits returns the times at which the processes of targets exited, by the targets' names.
func (d *Deployment) targetExits() map[string][]time.Time {
	exits := map[string][]time.Time{}
	for _, p := range d.targets {
		p.mu.Lock()
		exits[p.name] = slices.Clone(p.exits)
		p.mu.Unlock()
	}
	return exits
}

// checkFences checks for each key, with the runs in the order in which they began, that fences never
// decrease and that they increase from one process to the next. A lower fence shows a target that has
// lost the key and began work on it after the next owner did. An equal fence of another process shows
// a restarted target that got keys by an order for its previous process.
func checkFences(runs []standin.Record) []string {
	byKey := map[int][]standin.Record{}
	for _, r := range runs {
		byKey[r.Key] = append(byKey[r.Key], r)
	}
	var violations []string
	for key, keyRuns := range byKey {
		slices.SortFunc(keyRuns, func(a, b standin.Record) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
		for i := 1; i < len(keyRuns); i++ {
			if keyRuns[i].Fence < keyRuns[i-1].Fence || keyRuns[i].Fence == keyRuns[i-1].Fence && keyRuns[i].Target != keyRuns[i-1].Target {
				violations = append(violations, fmt.Sprintf("key %d: %s began %s under fence %d after %s had begun %s under fence %d",
					key, keyRuns[i].Target, keyRuns[i].Request, keyRuns[i].Fence, keyRuns[i-1].Target, keyRuns[i-1].Request, keyRuns[i-1].Fence))
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// Runs reads the runs that all processes of all targets have recorded.
func (d *Deployment) Runs() ([]standin.Record, error) {
	paths, err := filepath.Glob(filepath.Join(d.dir, "*.runs"))
	if err != nil {
		return nil, fmt.Errorf("soak: list the records: %w", err)
	}
	var runs []standin.Record
	for _, path := range paths {
		lines, err := readCompleteLines(path)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			var r standin.Record
			if err := json.Unmarshal([]byte(line), &r); err != nil {
				return nil, fmt.Errorf("soak: %s: %w", path, err)
			}
			runs = append(runs, r)
		}
	}
	return runs, nil
}
