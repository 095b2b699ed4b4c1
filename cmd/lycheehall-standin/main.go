// Command lycheehall-standin runs the stand-ins for the systems around lycheehall as
// processes of their own: the platform, or a target.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"lycheehall.example/lycheehall/standin"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/transport/platform"
	"lycheehall.example/lycheehall/transport/rpc"
)

// version is printed by --version.
const version = "0.1.0"

type options struct {
	listen     string
	platform   string
	secret     string
	id         string
	service    string
	dataCentre string
	unfenced   bool
	work       time.Duration
	lag        time.Duration
}

func main() {
	o := options{listen: "127.0.0.1:8090", platform: "127.0.0.1:8090", dataCentre: "dc1", lag: 500 * time.Millisecond}
	flaggy.SetName("lycheehall-standin")
	flaggy.SetDescription("Stand-ins for the platform and for targets.")
	flaggy.SetVersion(version)
	flaggy.String(&o.listen, "", "listen", "Address to listen on, as IP:port.")
	flaggy.String(&o.secret, "", "secret", "Secret shared with the instances.")
	runPlatform := flaggy.NewSubcommand("platform")
	runPlatform.Description = "Table service and list of machines."
	runPlatform.Duration(&o.lag, "", "lag", "How long the list of machines lags.")
	runTarget := flaggy.NewSubcommand("target")
	runTarget.Description = "A target that owns keys."
	runTarget.String(&o.platform, "", "platform", "Address of the platform.")
	runTarget.String(&o.id, "", "id", "Id of the target.")
	runTarget.String(&o.service, "", "service", "Service that the target belongs to.")
	runTarget.String(&o.dataCentre, "", "data-centre", "Data centre that the target runs in.")
	runTarget.Bool(&o.unfenced, "", "unfenced", "Check no grants.")
	runTarget.Duration(&o.work, "", "work", "How long a request takes.")
	flaggy.AttachSubcommand(runPlatform, 1)
	flaggy.AttachSubcommand(runTarget, 1)
	flaggy.Parse()
	var err error
	switch {
	case runPlatform.Used:
		err = servePlatform(o)
	case runTarget.Used:
		err = serveTarget(o)
	default:
		err = fmt.Errorf("give a subcommand: platform or target")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lycheehall-standin:", err)
		os.Exit(1)
	}
}

// probeEvery is the time between looks whether the machines still run.
const probeEvery = 200 * time.Millisecond

func servePlatform(o options) error {
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	directory := standin.NewDirectory(o.lag)
	server := rpc.NewServer(l, o.secret, nil)
	service := &platform.Service{Table: standin.NewTable(), Directory: directory, Announced: directory.Add}
	if err := server.Register(platform.ServiceName, service); err != nil {
		return err
	}
	go func() {
		for range time.Tick(probeEvery) {
			directory.DropEnded()
		}
	}()
	server.Serve()
	return nil
}

// announceEvery is the time between announcements, for a platform that starts later.
const announceEvery = 200 * time.Millisecond

func serveTarget(o options) error {
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s.%x", o.id, os.Getpid())
	target := standin.NewTarget(id, o.service, !o.unfenced)
	target.Work = o.work
	m := state.Member{ID: id, Kind: state.KindTarget, Service: o.service, Address: l.Addr().String(), DataCentre: o.dataCentre, Lifecycle: state.Live}
	client := platform.NewClient(o.platform, rpc.NewPool(o.secret, nil))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go http.Serve(l, target.Handler())
	return announceUntil(client, m, target, signals)
}

// announceUntil keeps the target listed; after a signal it is listed as leaving until it
// holds nothing any more.
func announceUntil(client *platform.Client, m state.Member, target *standin.Target, signals <-chan os.Signal) error {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), announceEvery)
		// A platform that is out of service is told again at the next tick.
		_ = client.Announce(ctx, m)
		cancel()
		select {
		case <-signals:
			if m.Lifecycle == state.Leaving {
				return nil
			}
			m.Lifecycle = state.Leaving
		case <-ticker.C:
			if m.Lifecycle == state.Leaving && len(target.Held()) == 0 {
				return nil
			}
		}
	}
}
