package main

import (
	"crypto/rand"
	"fmt"
	"os"
	"strings"
	"time"

	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/state/rulestore"
	"lycheehall.example/lycheehall/transport/admin"
)

// readRules reads a rules file and returns its text if it is valid.
func readRules(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", exitErrorf(exitInvalid, "lycheehall: %w", err)
	}
	if _, err := rules.Parse(path, string(text)); err != nil {
		return "", exitError{exitInvalid, err}
	}
	return string(text), nil
}

func runCheck(_ *client, o *options) error {
	text, err := readRules(o.file)
	if err != nil {
		return err
	}
	set, _ := rules.Parse(o.file, text)
	if o.json {
		return printJSON(checkResult{File: o.file, Services: len(set.Services()), Rules: len(set.Rules())})
	}
	fmt.Printf("%s is valid: %d services, %d rules\n", o.file, len(set.Services()), len(set.Rules()))
	return nil
}

// checkResult is the JSON output of check.
type checkResult struct {
	File     string `json:"file"`
	Services int    `json:"services"`
	Rules    int    `json:"rules"`
}

// changeResult is the JSON output of apply and rollback; progress goes to standard error.
type changeResult struct {
	admin.Result
	ChangeID string `json:"change_id"`
}

func runApply(c *client, o *options) error {
	text, err := readRules(o.file)
	if err != nil {
		return err
	}
	return applyText(c, o, text)
}

// applyText stores the text as the next version of the rules and waits until it is in force at every
// instance. Without a base it uses the version in force, and without a change ID it generates one.
func applyText(c *client, o *options, text string) error {
	if o.base == 0 {
		var current rulestore.Record
		if err := c.get("/v1/rules", &current); err != nil {
			return err
		}
		o.base = current.Version
	}
	if o.changeID == "" {
		o.changeID = rand.Text()
	}
	req := admin.ApplyRequest{Base: o.base, ChangeID: o.changeID, Author: o.author, Text: text}
	var res admin.Result
	if err := c.do("POST", "/v1/rules", req, &res); err != nil {
		return fmt.Errorf("%w\n(change id %s)", err, o.changeID)
	}
	if err := printResult(o, changeResult{res, o.changeID}, "accepted as version %d (change id %s)\n", res.Version, o.changeID); err != nil {
		return err
	}
	return waitUntilInForce(c, o, res.Version)
}

// pollInterval is the time between two status requests while waiting for a version.
const pollInterval = 100 * time.Millisecond

// waitUntilInForce prints progress until every instance applies the version, or the wait has ended.
func waitUntilInForce(c *client, o *options, version uint64) error {
	deadline := time.Now().Add(o.wait)
	last := ""
	for {
		var s admin.Status
		err := c.get("/v1/status", &s)
		if err == nil {
			progress, behind := rolloutProgress(s, version)
			if progress != last {
				fmt.Fprintln(progressWriter(o), progress)
				last = progress
			}
			if len(behind) == 0 {
				return nil
			}
		}
		if time.Now().After(deadline) {
			if err != nil {
				return exitErrorf(exitNotInForceEverywhere, "accepted, but the status cannot be read: %w", err)
			}
			_, behind := rolloutProgress(s, version)
			return exitErrorf(exitNotInForceEverywhere, "not yet in force at: %s", strings.Join(behind, ", "))
		}
		time.Sleep(pollInterval)
	}
}

// rolloutProgress returns a line of progress and the instances that have an older version.
func rolloutProgress(s admin.Status, version uint64) (progress string, behind []string) {
	for _, i := range s.Instances {
		if i.RulesVersion < version {
			behind = append(behind, i.ID)
		}
	}
	return fmt.Sprintf("in force at %d of %d instances", len(s.Instances)-len(behind), len(s.Instances)), behind
}

func runShow(c *client, o *options) error {
	var r rulestore.Record
	if err := c.get("/v1/rules", &r); err != nil {
		return err
	}
	if o.json {
		return printJSON(r)
	}
	fmt.Printf("# version %d, change %s, by %s\n%s", r.Version, r.ChangeID, r.Author, r.Text)
	return nil
}

func runDiff(c *client, o *options) error {
	text, err := readRules(o.file)
	if err != nil {
		return err
	}
	var r rulestore.Record
	if err := c.get("/v1/rules", &r); err != nil {
		return err
	}
	lines := diffLines(strings.Split(r.Text, "\n"), strings.Split(text, "\n"))
	if o.json {
		return printJSON(lines)
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}

func runHistory(c *client, o *options) error {
	var list []rulestore.Record
	if err := c.get("/v1/rules/history", &list); err != nil {
		return err
	}
	if o.json {
		return printJSON(list)
	}
	for _, r := range list {
		fmt.Printf("version %d  change %s  by %s  %d lines\n", r.Version, r.ChangeID, r.Author, strings.Count(r.Text, "\n"))
	}
	return nil
}

func runRollback(c *client, o *options) error {
	var list []rulestore.Record
	if err := c.get("/v1/rules/history", &list); err != nil {
		return err
	}
	for _, r := range list {
		if r.Version == o.version {
			return applyText(c, o, r.Text)
		}
	}
	return exitErrorf(exitInvalid, "version %d is not in the history; the command history lists the versions that --to accepts", o.version)
}
