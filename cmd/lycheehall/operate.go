package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/transport/admin"
)

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// report prints a result as JSON or as text.
func report(o *options, result any, format string, args ...any) error {
	if o.json {
		return printJSON(result)
	}
	fmt.Printf(format, args...)
	return nil
}

// progressWriter returns where progress goes: not among the JSON.
func progressWriter(o *options) io.Writer {
	if o.json {
		return os.Stderr
	}
	return os.Stdout
}

func runStatus(c *client, o *options) error {
	var s message.Status
	if err := c.get("/v1/status", &s); err != nil {
		return err
	}
	if o.json {
		return printJSON(s)
	}
	fmt.Printf("leader %s (%s), term %d, map %d, rules %d\n", s.Leader.ID, s.Mode, s.Term, s.Versions.Map, s.Versions.Rules)
	for _, i := range s.Instances {
		fmt.Printf("instance %-24s %-8s map %d  rules %d\n", i.ID, i.DataCentre, i.Map, i.Rules)
	}
	if s.Map == nil {
		return nil
	}
	for _, name := range s.Map.ServiceNames() {
		printService(s.Map, name, s.Lost)
	}
	return nil
}

func printService(m *ownership.Map, name string, lost []string) {
	service := m.Services[name]
	moving := 0
	for _, slot := range service.Slots {
		if slot.Moving() {
			moving++
		}
	}
	fmt.Printf("service %s: %d slots, %d moving\n", name, len(service.Slots), moving)
	for _, t := range service.Targets {
		fmt.Printf("  target %-24s %-8s %4d slots%s\n", t.ID, t.DataCentre, len(m.HeldBy(name, t.ID)), condition(t, lost))
	}
}

func condition(t state.Target, lost []string) string {
	text := ""
	if t.Draining {
		text += "  draining"
	}
	for _, id := range lost {
		if id == t.ID {
			text += "  lost"
		}
	}
	return text
}

func runExplain(c *client, o *options) error {
	header := http.Header{}
	for _, line := range o.header {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return failf(exitInvalid, "header %q: write Name: value", line)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	var e admin.Explanation
	req := admin.ExplainRequest{Method: o.method, Path: o.path, Header: header, Caller: o.caller}
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
	if e.Slot >= 0 {
		fmt.Printf(", slot %d, fence %d", e.Slot, e.Fence)
	}
	if e.Detail != "" {
		fmt.Printf(": %s", e.Detail)
	}
	fmt.Println()
	return nil
}

func runMove(c *client, o *options) error {
	var res admin.Result
	if err := c.do("POST", "/v1/move", admin.MoveRequest{Service: o.service, Slot: o.slot, Target: o.target}, &res); err != nil {
		return err
	}
	if err := report(o, res, "accepted as map version %d\n", res.Version); err != nil {
		return err
	}
	return waitSettled(c, o, func(s *state.ServiceSlots) bool {
		slot := s.Slots[o.slot]
		return slot.Owner == o.target && !slot.Moving()
	})
}

func runDrain(c *client, o *options) error {
	var res admin.Result
	if err := c.do("POST", "/v1/drain", admin.DrainRequest{Service: o.service, Target: o.target, Undo: o.undo}, &res); err != nil {
		return err
	}
	if err := report(o, res, "accepted as map version %d\n", res.Version); err != nil {
		return err
	}
	if o.undo {
		return nil
	}
	return waitSettled(c, o, func(s *state.ServiceSlots) bool {
		for _, slot := range s.Slots {
			if slot.Owner == o.target || slot.Next == o.target {
				return false
			}
		}
		return true
	})
}

// waitSettled waits until a move or a drain is done.
func waitSettled(c *client, o *options, done func(*state.ServiceSlots) bool) error {
	for deadline := time.Now().Add(o.wait); time.Now().Before(deadline); time.Sleep(pollEvery) {
		var s message.Status
		if c.get("/v1/status", &s) != nil || s.Map == nil {
			continue
		}
		if service := s.Map.Services[o.service]; service != nil && done(service) {
			fmt.Fprintln(progressWriter(o), "done")
			return nil
		}
	}
	return failf(exitNotEverywhere, "accepted, but not done within %v; the command status shows how far it is", o.wait)
}

func runTimeline(c *client, o *options) error {
	var reply admin.TimelineReply
	if err := c.get("/v1/timeline", &reply); err != nil {
		return err
	}
	if o.json {
		return printJSON(reply)
	}
	for _, e := range reply.Events {
		fmt.Println(e.Time.Format("15:04:05.000"), e)
	}
	for _, id := range reply.Missing {
		fmt.Println("no answer from", id)
	}
	return nil
}
