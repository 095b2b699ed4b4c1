package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"lycheehall.example/lycheehall/timeline"
)

// logLine is a log line of an instance.
type logLine struct {
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
	Fields    map[string]any `json:"fields"`
}

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// traceWindow is how long before a request's line the other events of its instance are shown too.
const traceWindow = 5 * time.Second

// traceLogs prints how a request was handled, from collected log files.
func traceLogs(o *options) error {
	var all []timeline.Event
	for _, path := range o.logs {
		events, err := readLog(path)
		if err != nil {
			return exitErrorf(exitInvalid, "lycheehall: %w", err)
		}
		all = append(all, events...)
	}
	found := eventsOfRequest(all, o.request)
	if len(found) == 0 {
		return exitErrorf(exitFailed, "no log line contains the request ID %s", o.request)
	}
	if o.json {
		return printJSON(found)
	}
	printLines(found)
	return nil
}

// readLog reads the log lines of a file. Other lines are skipped. Text before the JSON, such as the
// prefix of a log collector, is ignored.
func readLog(path string) ([]timeline.Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var events []timeline.Event
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		var line logLine
		if !found || json.Unmarshal([]byte("{"+text), &line) != nil || line.Message == "" {
			continue
		}
		events = append(events, toEvent(line))
	}
	return events, scanner.Err()
}

// toEvent converts a log line to an event, with its fields sorted by name.
func toEvent(line logLine) timeline.Event {
	e := timeline.Event{Time: line.Timestamp, Kind: line.Message}
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value := fmt.Sprint(line.Fields[name])
		switch name {
		case "instance":
			e.Instance = value
		case "lamport":
			if n, ok := line.Fields[name].(float64); ok {
				e.Lamport = uint64(n)
			}
		default:
			e.Fields = append(e.Fields, timeline.Field{Name: name, Value: value})
		}
	}
	return e
}

// eventsOfRequest returns the events with the request's ID, and those of the instance that handled it
// from up to traceWindow before, by time.
func eventsOfRequest(all []timeline.Event, request string) []timeline.Event {
	var ofRequest []timeline.Event
	for _, e := range all {
		if slices.Contains(e.Fields, timeline.Field{Name: "request", Value: request}) {
			ofRequest = append(ofRequest, e)
		}
	}
	var out []timeline.Event
	for _, e := range all {
		if slices.ContainsFunc(ofRequest, func(r timeline.Event) bool { return isRelated(e, r) }) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b timeline.Event) int { return a.Time.Compare(b.Time) })
	return out
}

// isRelated reports whether an event is shown with an event of the request: it is the same event, or
// one of another kind from the same instance, up to traceWindow before. Other requests are left out.
func isRelated(e, ofRequest timeline.Event) bool {
	if e.Kind == ofRequest.Kind {
		return slices.Equal(e.Fields, ofRequest.Fields)
	}
	before := ofRequest.Time.Sub(e.Time)
	return e.Instance == ofRequest.Instance && e.Kind != "request" && before >= 0 && before <= traceWindow
}
