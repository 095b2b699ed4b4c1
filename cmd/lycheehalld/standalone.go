package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/instance"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/state/rulestore"
)

// sampleTargets lists the services of the standalone process and the number of targets of each.
var sampleTargets = []struct {
	service string
	keyed   bool
	count   int
}{
	{"bookings", true, 4},
	{"dispatch", false, 2},
	{"catalogue", true, 3},
	{"counter", false, 2},
}

// standaloneToken is the operator token. A fixed one is enough, since the listeners are on the
// loopback interface only.
const standaloneToken = "standalone-secret"

// serveStandalone runs an instance, a store and sample targets in one process.
func serveStandalone(rulesFile string) int {
	s, err := standaloneSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p := platform.NewWithStoredRules(s.Platform)
	if err := storeInitialRules(p, rulesFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	i, err := instance.New(s, p, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	callers, operators := i.Addresses()
	fmt.Printf("callers:   http://%s\noperators: http://%s  token %s\n", callers, operators, s.OperatorToken)
	return serveUntilSignal(i)
}

// standaloneSettings starts the store and the targets and returns the settings of an instance that
// uses them.
func standaloneSettings() (settings.Settings, error) {
	s := settings.Default()
	s.Name = "standalone"
	s.OperatorToken = standaloneToken
	store := standin.NewStore()
	for _, sample := range sampleTargets {
		for n := range sample.count {
			target := standin.NewTarget(fmt.Sprintf("%s-%d", sample.service, n+1), sample.service, sample.keyed)
			address, err := serveOnLoopback(target.Handler())
			if err != nil {
				return s, err
			}
			if err := store.Put(platform.TargetTable, target.ID, target.Entry(address, s.DataCentre, false)); err != nil {
				return s, err
			}
		}
	}
	address, err := serveOnLoopback(store.Handler())
	s.Platform = address
	return s, err
}

// serveOnLoopback serves on a free port of the loopback interface until the process exits, and returns
// the address.
func serveOnLoopback(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("standalone: listen: %w", err)
	}
	go http.Serve(l, h)
	return l.Addr().String(), nil
}

// storeInitialRules writes the first version of the rules to the store, from a file if one is given,
// otherwise the example rules.
func storeInitialRules(p instance.Platform, file string) error {
	text := examples.Rules
	if file != "" {
		read, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("standalone: read the rules: %w", err)
		}
		text = string(read)
	}
	_, err := rulestore.Apply(context.Background(), p.Store, 0, rulestore.Record{Author: "standalone", Text: text})
	return err
}
