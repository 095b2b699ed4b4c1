// Command lycheehalld is one instance of lycheehall.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"lycheehall.example/lycheehall/instance"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// version is printed by --version.
const version = "0.2.0"

// options are the flags of the command.
type options struct {
	settings      string
	check         bool
	printDefaults bool
	standalone    bool
	rules         string
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	flaggy.SetName("lycheehalld")
	flaggy.SetDescription("Routes callers' requests to the targets that own their keys.")
	flaggy.SetVersion(version)
	flaggy.String(&o.settings, "s", "settings", "Settings file.")
	flaggy.Bool(&o.check, "", "check", "Check the settings and exit.")
	flaggy.Bool(&o.printDefaults, "", "print-defaults", "Print a settings file with the defaults and exit.")
	flaggy.Bool(&o.standalone, "", "standalone", "Run with an embedded store and sample targets.")
	flaggy.String(&o.rules, "", "rules", "Rules for --standalone in place of the example.")
	flaggy.Parse()
	switch {
	case o.printDefaults:
		return printDefaults()
	case o.standalone:
		return serveStandalone(o.rules)
	case o.settings == "":
		fmt.Fprintln(os.Stderr, "lycheehalld: give --settings FILE, or --standalone")
		return exitSettings
	}
	s, err := settings.Load(o.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.check {
		fmt.Println("the settings are valid")
		return exitOK
	}
	return serve(o.settings, s)
}

func printDefaults() int {
	text, err := settings.Print(settings.Default())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Print(text)
	return exitOK
}

// serve runs an instance on a platform.
func serve(path string, s settings.Settings) int {
	p := platform.New(s.Platform)
	if s.Rules == settings.RulesFromStore {
		p = platform.NewWithOwnRules(s.Platform)
	}
	i, err := instance.New(s, p, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	i.WatchSettings(path)
	return serveUntilSignal(i)
}

// serveUntilSignal serves until the first signal that ends the process, then shuts down
// gracefully; a second one ends it at once. SIGHUP has the settings read again.
func serveUntilSignal(i *instance.Instance) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	i.Start()
	awaitEnd(signals, i)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		awaitEnd(signals, i)
		cancel()
	}()
	i.Stop(ctx)
	return exitOK
}

// awaitEnd waits for a signal that ends the process.
func awaitEnd(signals <-chan os.Signal, i *instance.Instance) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		i.ReloadSettings()
	}
}
