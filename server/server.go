// Package server puts the layers together into a running instance.
package server

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/node"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/protocol/rules"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
	"lycheehall.example/lycheehall/transport/admin"
	"lycheehall.example/lycheehall/transport/entry"
	"lycheehall.example/lycheehall/transport/peer"
	"lycheehall.example/lycheehall/transport/rpc"
	"lycheehall.example/lycheehall/transport/target"
)

// Bounds on what a caller can make an instance hold or wait for.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// Platform is what an instance needs of the platform.
type Platform interface {
	state.Table
	state.Directory
	// Announce lists this instance, where the platform's stand-in asks for it.
	Announce(ctx context.Context, m state.Member) error
}

// Server is one instance.
type Server struct {
	settings  settings.Settings
	tls       *tls.Config
	self      message.Peer
	platform  Platform
	driver    *driver
	ring      *timeline.Ring
	publisher *entry.Publisher
	handler   *entry.Handler
	forwarder *entry.Forwarder

	callers   *http.Server
	admin     *http.Server
	peers     *rpc.Server
	listeners [2]net.Listener
	stopping  atomic.Bool
	stopRun   context.CancelFunc
	running   sync.WaitGroup
	logger    *log.Logger
	level     *Level
}

// ServiceSpecs reads the services out of a configuration text, for the node.
func ServiceSpecs(text string) ([]ownership.ServiceSpec, error) {
	set, err := rules.Parse("rules", text)
	if err != nil {
		return nil, err
	}
	var specs []ownership.ServiceSpec
	for _, s := range set.Services() {
		specs = append(specs, ownership.ServiceSpec{
			Name:           s.Name,
			Slots:          s.Slots,
			Fenced:         s.Fencing == rules.FencingChecked,
			MovesPerMinute: *s.MovesPerMinute,
			Imbalance:      s.Imbalance,
		})
	}
	return specs, nil
}

// New opens the listeners of an instance. Nothing is served before Start.
func New(s settings.Settings, platform Platform, logger *log.Logger, level *Level) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("server: settings: %w", err)
	}
	first, err := firstRules(s.FirstRules)
	if err != nil {
		return nil, err
	}
	encryption, err := rpc.LoadTLS(s.TLSCert, s.TLSKey, s.TLSCA)
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	srv := &Server{settings: s, tls: encryption, platform: platform, logger: logger, level: level}
	if err := srv.listen(); err != nil {
		return nil, err
	}
	srv.build(first)
	return srv, nil
}

func firstRules(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("server: first_rules: %w", err)
	}
	if _, err := rules.Parse(path, string(text)); err != nil {
		return "", fmt.Errorf("server: first_rules:\n%w", err)
	}
	return string(text), nil
}

func (s *Server) listen() error {
	var open []net.Listener
	for _, address := range []string{s.settings.Listen, s.settings.Admin, s.settings.Peer} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range open {
				other.Close()
			}
			return fmt.Errorf("server: listen: %w", err)
		}
		open = append(open, l)
	}
	s.listeners = [2]net.Listener{open[0], open[1]}
	s.peers = rpc.NewServer(open[2], s.settings.Secret, s.tls)
	// A start makes a new identity: what an earlier process promised is forgotten.
	s.self = message.Peer{ID: s.settings.Name + "." + startID(), Address: open[2].Addr().String(), DataCentre: s.settings.DataCentre}
	return nil
}

// startID returns a random suffix that tells one start of a process from the next.
func startID() string {
	b := make([]byte, 4)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func (s *Server) build(first string) {
	s.ring = timeline.NewRing(s.self.ID, s.settings.Events)
	s.publisher = entry.NewPublisher()
	s.forwarder = entry.NewForwarder()
	inflight := entry.NewInflight()
	targets := entry.NewTargets(clock.System{})
	cfg := node.DefaultConfig(s.self)
	cfg.Seeds = s.settings.Seeds
	cfg.Services = ServiceSpecs
	cfg.FirstRules = first
	s.driver = &driver{
		clock:         clock.System{},
		table:         s.platform,
		directory:     s.platform,
		peers:         peer.NewClient(s.settings.Secret, s.tls),
		grants:        target.NewClient(grantTimeout),
		publisher:     s.publisher,
		inflight:      inflight,
		targets:       targets,
		record:        s.record,
		ring:          s.ring,
		node:          node.New(cfg),
		watches:       map[uint64]chan message.WatchReply{},
		proposals:     map[uint64]chan message.ProposalResult{},
		tableJobs:     make(chan func(), queueLength),
		heartbeatJobs: make(chan func(), queueLength),
		authorityJobs: make(chan func(), authorityQueue),
		targetJobs:    make(chan func(), queueLength),
	}
	s.handler = entry.NewHandler(entry.Settings{
		Instance:     s.self.ID,
		DataCentre:   s.settings.DataCentre,
		CallerHeader: s.settings.CallerHeader,
		MaxWaiting:   s.settings.MaxWaiting,
		Window:       time.Duration(s.settings.Window),
		MaxBody:      s.settings.MaxBody,
	}, clock.System{}, s.publisher, inflight, targets, s.forwarder, s.observe, s.driver.requestSettled)
	s.callers = &http.Server{
		Handler:           counted(s.handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.admin = &http.Server{
		Handler:           admin.Handler(&backend{s}, s.settings.OperatorToken),
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// Self returns this instance as others see it.
func (s *Server) Self() message.Peer { return s.self }

// Addresses returns the addresses for callers and for operators.
func (s *Server) Addresses() (callers, admin string) {
	return s.listeners[0].Addr().String(), s.listeners[1].Addr().String()
}

// record keeps an event and logs it.
func (s *Server) record(e timeline.Event) {
	e = s.ring.Record(time.Now(), e)
	countEvent(e)
	s.logger.WithFields(eventFields(e)).Info(string(e.Kind))
}

// observe counts a request that no target answered, and keeps the rare kinds as events.
func (s *Server) observe(outcome wire.Outcome, reason, rule, service string) {
	countRefusal(outcome, reason, service)
	if outcome == wire.Unknown {
		s.record(timeline.Event{Kind: timeline.RequestUnknown, Service: service, Detail: reason + " " + rule})
		return
	}
	s.logger.WithFields(log.Fields{"reason": reason, "rule": rule, "service": service}).Debug(string(timeline.RequestRefused))
}

// Start serves until Stop.
func (s *Server) Start() error {
	if err := s.peers.Register(peer.ServiceName, &peerService{s.driver}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopRun = cancel
	s.record(timeline.Event{Kind: timeline.InstanceStarted, Detail: s.self.DataCentre})
	s.running.Go(func() { s.announce(ctx) })
	s.running.Go(func() { s.driver.run(ctx) })
	s.running.Go(s.peers.Serve)
	for i, server := range []*http.Server{s.callers, s.admin} {
		s.running.Go(func() {
			if err := server.Serve(s.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				s.logger.WithError(err).Error("listener failed")
			}
		})
	}
	return nil
}

// announceEvery is the time between tries to be listed by the stand-in. The platform
// itself lists its machines without being told.
const announceEvery = time.Second

func (s *Server) announce(ctx context.Context) {
	m := state.Member{ID: s.self.ID, Kind: state.KindInstance, Address: s.self.Address, DataCentre: s.self.DataCentre, Lifecycle: state.Live}
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		_ = s.platform.Announce(callCtx, m)
		cancel()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Stop shuts the instance down: it fails its health checks first, refuses new work after
// the grace, lets everything in progress finish, and gives its session back. When ctx
// ends, what is left is cut off.
func (s *Server) Stop(ctx context.Context) {
	if !s.stopping.CompareAndSwap(false, true) {
		return
	}
	s.record(timeline.Event{Kind: timeline.InstanceStopping})
	s.driver.leave()
	sleep(ctx, time.Duration(s.settings.Grace))
	s.handler.Stop()
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(s.settings.Drain))
	defer cancel()
	if err := s.callers.Shutdown(drainCtx); err != nil {
		s.logger.WithError(err).Warn("requests in progress were cut off")
	}
	s.driver.endSession()
	s.close()
}

// Close ends the instance at once, as a crash would.
func (s *Server) Close() {
	s.stopping.Store(true)
	s.close()
}

func (s *Server) close() {
	s.callers.Close()
	s.admin.Close()
	s.peers.Close()
	s.stopRun()
	s.running.Wait()
	s.forwarder.Close()
	s.driver.peers.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
