// Command lycheehalld runs an instance of lycheehall.
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

// Exit codes. exitSettings means that the settings, the flags or the initial rules are invalid.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// version is what --version prints.
const version = "0.2.0"

// options holds the values of the flags.
type options struct {
	settingsFile  string
	check         bool
	printDefaults bool
	standalone    bool
	rulesFile     string
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	flaggy.SetName("lycheehalld")
	flaggy.SetDescription("Routes callers' requests to the targets that own their keys.")
	flaggy.SetVersion(version)
	flaggy.String(&o.settingsFile, "s", "settings", "Settings file.")
	flaggy.Bool(&o.check, "", "check", "Check the settings and exit.")
	flaggy.Bool(&o.printDefaults, "", "print-defaults", "Print a settings file with the defaults and exit.")
	flaggy.Bool(&o.standalone, "", "standalone", "Run with an embedded store and sample targets.")
	flaggy.String(&o.rulesFile, "", "rules", "Rules file for --standalone; default: the example rules.")
	flaggy.Parse()
	switch {
	case o.printDefaults:
		return printDefaults()
	case o.standalone:
		return serveStandalone(o.rulesFile)
	case o.settingsFile == "":
		fmt.Fprintln(os.Stderr, "lycheehalld: --settings FILE or --standalone is required")
		return exitSettings
	}
	s, err := settings.Load(o.settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.check {
		fmt.Println("the settings are valid")
		return exitOK
	}
	return serve(o.settingsFile, s)
}

// printDefaults prints the default settings as a settings file.
func printDefaults() int {
	text, err := settings.Print(settings.Default())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Print(text)
	return exitOK
}

// serve runs an instance with the settings, which were read from path.
func serve(path string, s settings.Settings) int {
	p := platform.New(s.Platform)
	if s.Rules == settings.RulesFromStore {
		p = platform.NewWithStoredRules(s.Platform)
	}
	i, err := instance.New(s, p, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	i.WatchSettings(path)
	return serveUntilSignal(i)
}

// serveUntilSignal serves until SIGTERM or SIGINT, then shuts down gracefully. A second signal ends
// the graceful shutdown at once. SIGHUP reloads the settings.
func serveUntilSignal(i *instance.Instance) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	i.Start()
	awaitTermination(signals, i)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		awaitTermination(signals, i)
		cancel()
	}()
	i.Stop(ctx)
	return exitOK
}

// awaitTermination waits for SIGTERM or SIGINT. It reloads the settings at each SIGHUP.
func awaitTermination(signals <-chan os.Signal, i *instance.Instance) {
	for s := range signals {
		if s != syscall.SIGHUP {
			return
		}
		i.ReloadSettings()
	}
}
