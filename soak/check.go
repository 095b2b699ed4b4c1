package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"

	"lycheehall.example/lycheehall/platform/standin"
)

// Check compares what callers were told with what targets recorded. It returns what is wrong.
func Check(told map[string]Told, runs []standin.Record) []string {
	count := map[string]int{}
	for _, r := range runs {
		count[r.Request]++
	}
	var wrong []string
	for id, t := range told {
		n := count[id]
		switch {
		case !t.Twice && n > 1:
			wrong = append(wrong, fmt.Sprintf("%s must not run twice and ran %d times", id, n))
		case t.Outcome == NotRun && n > 0:
			wrong = append(wrong, fmt.Sprintf("%s was refused as not run with status %d, and ran", id, t.Status))
		case t.Outcome == Answered && n == 0:
			wrong = append(wrong, fmt.Sprintf("%s was answered and did not run", id))
		case t.Outcome == Answered && !t.Own:
			wrong = append(wrong, fmt.Sprintf("%s got an answer that is not its own", id))
		}
	}
	slices.Sort(wrong)
	return append(wrong, checkOwners(runs)...)
}

// checkOwners sees whether, for each key, work was begun under fences that never go back, and
// that grow from one process to the next. A target that has lost a key and begins work on it
// after the next owner did shows as an older fence after a newer one; one that was started again
// and got keys by an order for its former process, as the same fence.
func checkOwners(runs []standin.Record) []string {
	byKey := map[int][]standin.Record{}
	for _, r := range runs {
		byKey[r.Key] = append(byKey[r.Key], r)
	}
	var wrong []string
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b standin.Record) int { return cmp.Compare(a.Begun, b.Begun) })
		for i := 1; i < len(list); i++ {
			if list[i].Fence < list[i-1].Fence || list[i].Fence == list[i-1].Fence && list[i].Target != list[i-1].Target {
				wrong = append(wrong, fmt.Sprintf("key %d: %s began %s under fence %d after %s had begun %s under fence %d",
					key, list[i].Target, list[i].Request, list[i].Fence, list[i-1].Target, list[i-1].Request, list[i-1].Fence))
			}
		}
	}
	slices.Sort(wrong)
	return wrong
}

// Runs reads what all targets have recorded, former lives included.
func (f *Fleet) Runs() ([]standin.Record, error) {
	paths, err := filepath.Glob(filepath.Join(f.dir, "*.runs"))
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	var runs []standin.Record
	for _, path := range paths {
		list, err := lines(path)
		if err != nil {
			return nil, err
		}
		for _, line := range list {
			var r standin.Record
			if err := json.Unmarshal([]byte(line), &r); err != nil {
				return nil, fmt.Errorf("soak: %s: %w", path, err)
			}
			runs = append(runs, r)
		}
	}
	return runs, nil
}
