package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"lycheehall.example/lycheehall/timeline"
	"lycheehall.example/lycheehall/transport/admin"
)

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printResult prints a result as JSON, or the formatted text.
func printResult(o *options, result any, format string, args ...any) error {
	if o.json {
		return printJSON(result)
	}
	fmt.Printf(format, args...)
	return nil
}

// progressWriter returns where progress is printed: standard error if standard output is for JSON.
func progressWriter(o *options) io.Writer {
	if o.json {
		return os.Stderr
	}
	return os.Stdout
}

func runStatus(c *client, o *options) error {
	var s admin.Status
	if err := c.get("/v1/status", &s); err != nil {
		return err
	}
	if o.json {
		return printJSON(s)
	}
	fmt.Printf("as seen by %s: leader %s, term %d, rules %d, known %d ms ago\n", s.Instance, s.Leader, s.Term, s.RulesVersion, s.DataAgeMs)
	for _, dataCentre := range s.Evacuated {
		fmt.Printf("evacuated, its targets get nothing: %s\n", dataCentre)
	}
	for _, mistake := range s.RuleMistakes {
		fmt.Printf("not understood, its callers are refused: %s\n", mistake)
	}
	for _, i := range s.Instances {
		if i.Missing {
			fmt.Printf("instance %-32s no answer\n", i.ID)
			continue
		}
		fmt.Printf("instance %-32s %-12s rules %d, known %d ms ago\n", i.ID, i.DataCentre, i.RulesVersion, i.DataAgeMs)
	}
	for _, service := range s.Services {
		printService(service)
	}
	return nil
}

func printService(s admin.ServiceStatus) {
	moving := 0
	for _, r := range s.Ranges {
		if r.Moving() {
			moving++
		}
	}
	if len(s.Ranges) == 0 {
		fmt.Printf("service %s: not keyed\n", s.Name)
	} else {
		fmt.Printf("service %s: map %d, %d ranges, %d moving\n", s.Name, s.MapVersion, len(s.Ranges), moving)
	}
	for _, t := range s.Targets {
		text := ""
		if t.Draining {
			text = "  draining"
		}
		if t.ColdMs > 0 {
			text += fmt.Sprintf("  cold for %d ms", t.ColdMs)
		}
		if t.Speed > 0 {
			text += fmt.Sprintf("  speed %.2f", t.Speed)
		}
		fmt.Printf("  target %-24s %-12s %5d keys%s\n", t.ID, t.DataCentre, t.Keys, text)
	}
}

func runExplain(c *client, o *options) error {
	header := http.Header{}
	for _, line := range o.header {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return exitErrorf(exitInvalid, "header %q: it must have the form Name: value", line)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	var e admin.Explanation
	req := admin.ExplainRequest{Method: o.method, Host: o.host, Path: o.path, Header: header}
	if err := c.do("POST", "/v1/explain", req, &e); err != nil {
		return err
	}
	if o.json {
		return printJSON(e)
	}
	fmt.Printf("%s", e.Outcome)
	for _, part := range []struct{ name, value string }{{"rule", e.Rule}, {"service", e.Service}, {"key", e.Key}, {"target", e.Target}} {
		if part.value != "" {
			fmt.Printf(", %s %q", part.name, part.value)
		}
	}
	if e.KeyNumber >= 0 {
		fmt.Printf(", number %d, fence %d", e.KeyNumber, e.Fence)
	}
	if e.Detail != "" {
		fmt.Printf(": %s", e.Detail)
	}
	if e.Limit != "" {
		fmt.Printf("; %s", e.Limit)
	}
	fmt.Println()
	return nil
}

func runTimeline(c *client, o *options) error { return printEvents(c, o, "/v1/timeline") }

func runTrace(c *client, o *options) error {
	if len(o.logs) > 0 {
		return traceLogs(o)
	}
	return printEvents(c, o, "/v1/timeline?request="+url.QueryEscape(o.request))
}

func printEvents(c *client, o *options, path string) error {
	var response admin.TimelineResponse
	if err := c.get(path, &response); err != nil {
		return err
	}
	if o.json {
		return printJSON(response)
	}
	printLines(response.Events)
	for _, id := range response.Missing {
		fmt.Println("no answer from", id)
	}
	return nil
}

func printLines(events []timeline.Event) {
	for _, e := range events {
		fmt.Println(e.Time.Format("15:04:05.000"), e)
	}
}
