package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/apex/log"

	"lycheehall.example/lycheehall/examples"
	"lycheehall.example/lycheehall/server"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/standin"
	"lycheehall.example/lycheehall/state"
)

// sampleTargets says how many targets of each service run in the standalone process.
var sampleTargets = []struct {
	service string
	count   int
}{
	{"bookings", 4},
	{"dispatch", 2},
	{"catalogue", 3},
	{"counter", 2},
}

// embedded is the platform of the standalone process.
type embedded struct {
	*standin.Table
	*standin.Directory
}

// Announce lists the instance.
func (e embedded) Announce(_ context.Context, m state.Member) error {
	e.Add(m)
	return nil
}

// standaloneSecret guards listeners on the loopback interface only.
const standaloneSecret = "standalone-secret"

// serveStandalone runs an instance, the platform and sample targets in one process.
func serveStandalone(rulesFile string) int {
	p := embedded{standin.NewTable(), standin.NewDirectory(0)}
	for _, sample := range sampleTargets {
		for i := range sample.count {
			if err := startTarget(p, sample.service, i+1); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return exitFailed
			}
		}
	}
	file, err := exampleRules(rulesFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s := settings.Default()
	s.Name = "standalone"
	s.Secret = standaloneSecret
	s.OperatorToken = standaloneSecret
	s.FirstRules = file
	s.Grace = 0
	logger, level := server.NewLogger(os.Stderr, log.InfoLevel)
	srv, err := server.New(s, p, logger, level)
	if rulesFile == "" {
		os.Remove(file)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	callers, admin := srv.Addresses()
	fmt.Printf("callers:   http://%s\noperators: http://%s  token %s\n", callers, admin, s.OperatorToken)
	return serveUntilSignal(srv)
}

// exampleRules returns the file to start with: the one given, or a copy of the example.
func exampleRules(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	f, err := os.CreateTemp("", "lycheehall-rules-*.toml")
	if err != nil {
		return "", err
	}
	defer f.Close()
	_, err = f.WriteString(examples.Rules)
	return f.Name(), err
}

func startTarget(p embedded, service string, n int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%d", service, n)
	go http.Serve(l, standin.NewTarget(id, service, true).Handler())
	p.Add(state.Member{ID: id, Kind: state.KindTarget, Service: service, Address: l.Addr().String(), DataCentre: "dc1", Lifecycle: state.Live})
	return nil
}
