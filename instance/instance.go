// Package instance builds an instance from the other packages, and starts, stops and reloads it.
package instance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/contention"
	"lycheehall.example/lycheehall/coordination/demand"
	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lead"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/coordination/targetstatus"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/eventlog"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/wire"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/state/store"
	"lycheehall.example/lycheehall/transport/admin"
	"lycheehall.example/lycheehall/transport/front"
	"lycheehall.example/lycheehall/transport/membudget"
	"lycheehall.example/lycheehall/transport/orders"
	"lycheehall.example/lycheehall/transport/peers"
	"lycheehall.example/lycheehall/transport/pipeline"
	"lycheehall.example/lycheehall/transport/targetdial"
	"lycheehall.example/lycheehall/transport/upstream"
)

// Limits on the resources that one caller can occupy.
const (
	// readHeaderTimeout limits the time until the header of a request has arrived.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection is kept. Callers close theirs earlier.
	idleTimeout = 2 * time.Minute
	// MaxHeaderBytes is the size limit of a request's header, in bytes.
	MaxHeaderBytes = 64 << 10
)

// Platform is what an instance needs from the platform that it runs on.
type Platform struct {
	Store   store.Store
	Source  lead.Source
	Encoder orders.Encoder
	Names   wire.Names
	// StoresRules says whether lycheehall itself stores the rules. Otherwise they come from the
	// platform's configuration.
	StoresRules bool
	// DialTarget connects to targets. If it is nil, net.Dialer does.
	DialTarget targetdial.DialFunc
}

// balancePolicy says when keys are reassigned for balance, in addition to the services' own
// settings.
var balancePolicy = keyrange.Policy{
	// At six slots per target, a smaller difference in utilisation is less than one request.
	MinDifference: 0.12,
}

// Instance is a running instance: its listeners, its state and its background loops.
type Instance struct {
	settings settings.Settings
	platform Platform
	self     view.Instance
	clock    clock.Clock
	log      *eventlog.Log

	board        *view.Board
	broker       *permitBroker
	dialer       *targetdial.Dialer
	pool         *upstream.Pool
	upstream     *upstream.Client
	targetStatus *targetstatus.Tracker
	quarantine   *quarantine.Tracker
	quota        *quota.Holder
	handler      *front.Handler
	coordinator  *lead.Coordinator
	peerClient   *peers.Client
	peerServer   *peers.Server

	callers, readiness, admin *http.Server
	listeners                 [3]net.Listener
	shuttingDown              atomic.Bool
	// grace is the grace period, in which a shutdown must end, as a time.Duration. A reload of the
	// settings may change it.
	grace      atomic.Int64
	budget     *front.RetryBudget
	contention contention.Switch
	memory     *membudget.Budget
	// memoryAuto says that the memory budget is in effect only where contention is.
	memoryAuto atomic.Bool
	reload     reloader
	cancelRun  context.CancelFunc
	background sync.WaitGroup
}

// New opens the listeners of an instance. It serves nothing before Start.
func New(s settings.Settings, p Platform, logTo io.Writer) (*Instance, error) {
	i := &Instance{settings: s, platform: p, clock: clock.System{}}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("instance: settings: %w", err)
	}
	tlsConfig, err := peers.LoadTLS(s.TLSCert, s.TLSKey, s.TLSCA)
	if err != nil {
		return nil, fmt.Errorf("instance: %w", err)
	}
	security := peers.Security{Secret: s.Secret, TLS: tlsConfig}
	i.memory = membudget.New(i.clock, memoryLimits(s.Memory), i.memoryInEffect)
	peerListener, err := i.listen()
	if err != nil {
		return nil, err
	}
	i.self = view.Instance{
		// Each start gets a new ID, so that leases and permits of an earlier process do not apply to
		// this one.
		ID:      s.Name + "." + newStartID(),
		Address: peerListener.Addr().String(), DataCentre: s.DataCentre, Weight: s.Weight,
	}
	i.log = eventlog.New(logTo, i.self.ID)
	i.peerClient = peers.NewClient(security)
	i.grace.Store(int64(s.Grace))
	i.reload = reloader{signal: make(chan struct{}, 1), current: s}
	i.build()
	i.peerServer, err = peers.NewServer(peerListener, security, (*peerBackend)(i))
	if err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Instance) listen() (net.Listener, error) {
	var open []net.Listener
	for _, address := range []string{i.settings.Listen, i.settings.Readiness, i.settings.Admin, i.settings.Peer} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range open {
				other.Close()
			}
			return nil, fmt.Errorf("instance: listen: %w", err)
		}
		open = append(open, l)
	}
	// The wrapper of package pipeline goes around this one, which needs the TCP connections.
	open[0] = membudget.NewListener(open[0], i.memory)
	i.listeners = [3]net.Listener(open[:3])
	return open[3], nil
}

func memoryLimits(m settings.Memory) membudget.Limits {
	return membudget.Limits{Held: m.HeldBytes(), Connection: m.ConnectionBytes()}
}

// memoryInEffect reports whether the mode of the memory budget and the rules in force let it limit
// anything.
func (i *Instance) memoryInEffect() bool {
	return !i.memoryAuto.Load() || i.contention.Deployment(i.board.Snapshot().Rules)
}

// newStartID returns a random suffix that distinguishes starts of the same instance.
func newStartID() string {
	b := make([]byte, 4)
	// rand.Read never returns an error.
	rand.Read(b)
	return hex.EncodeToString(b)
}

func (i *Instance) build() {
	i.contention.Set(i.settings.Contention.Mode)
	i.memoryAuto.Store(i.settings.Memory.Mode == contention.ModeAuto)
	i.board = view.NewBoard(i.clock)
	i.dialer = targetdial.New(targetdial.Config{
		Self: i.self, Clock: i.clock, Dial: i.dialTarget(), Tunnels: i.peerClient, Board: i.board, Log: i.log.Event,
	})
	i.pool = upstream.NewPool(i.dialer)
	i.upstream = upstream.NewClient(i.pool, i.platform.Names)
	i.upstream.LimitResponses(i.settings.Memory.ReceivedBytes())
	collector := demand.NewCollector()
	i.quarantine = quarantine.NewTracker(time.Now)
	i.quota = quota.NewHolder(i.clock)
	i.targetStatus = targetstatus.NewTracker(i.clock, time.Duration(i.settings.Drain))
	i.broker = newPermitBroker(i.self, i.clock, i.board, i.peerClient, i.targetStatus.Limited, i.log.Event)
	i.budget = front.NewRetryBudget(i.clock, front.RetryBudgetConfig{
		Ratio: i.settings.Retries.Ratio, Slack: i.settings.Retries.Slack, Window: time.Duration(i.settings.Retries.Window),
	})
	i.handler = front.NewHandler(
		front.Config{
			Names: i.platform.Names, DataCentre: i.settings.DataCentre, MaxBody: i.settings.MaxBody, Quarantine: i.quarantine, TargetStatus: i.targetStatus,
			Memory: i.memory, Contended: i.contention.Deployment, Quota: i.quota,
		},
		i.clock, i.self.ID, i.board, i.upstream, i.broker, collector, i.budget, i.log.Event)
	orderClient := orders.NewClient(i.dialer, i.platform.Encoder, i.platform.Names, i.clock, func() bool { return i.coordinator.Leading() })
	placeByLateness := func() bool { return i.contention.Deployment(i.board.Snapshot().Rules) }
	i.coordinator = lead.New(
		lead.Config{
			Self: i.self, Source: i.platform.Source, Seeds: i.settings.Seeds, HoldMax: time.Duration(i.settings.HoldMax), Policy: balancePolicy,
			Quarantine: i.quarantine, TargetStatus: i.targetStatus, Quota: i.quota, PlaceByLateness: placeByLateness,
		},
		i.clock, i.platform.Store, i.board, &lamportPeers{i.peerClient, i.log}, orderClient, collector, i.log.Event)
	i.callers = &http.Server{Handler: i.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes}
	if depth := i.settings.Connections.PipelineDepth; depth > 0 {
		requests := pipeline.New(i.handler, depth)
		requests.Configure(i.callers)
		i.listeners[0] = requests.Listen(i.listeners[0])
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+i.platform.Names.ReadyPath, i.serveReady)
	i.readiness = &http.Server{Handler: ready, ReadHeaderTimeout: readHeaderTimeout}
	i.admin = &http.Server{Handler: admin.Handler(adminBackend{i}, i.settings.OperatorToken), ReadHeaderTimeout: readHeaderTimeout}
}

// dialTarget returns the function that connects to targets; nil for the default one.
func (i *Instance) dialTarget() targetdial.DialFunc {
	if i.platform.DialTarget != nil || i.settings.TargetSource == "" {
		return i.platform.DialTarget
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(i.settings.TargetSource)}}
	return dialer.DialContext
}

// serveReady answers the load balancer's readiness check.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ready, _ := (adminBackend{i}).Ready(); !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// lamportPeers adds the Lamport time of the log to sync reports, and advances the log by the
// replies.
type lamportPeers struct {
	*peers.Client
	log *eventlog.Log
}

// Sync implements lead.PeerClient.
func (p *lamportPeers) Sync(ctx context.Context, address string, args *peerapi.SyncArgs) (*peerapi.SyncReply, error) {
	args.Lamport = p.log.Lamport()
	reply, err := p.Client.Sync(ctx, address, args)
	if err == nil {
		p.log.AdvanceLamport(reply.Lamport)
	}
	return reply, err
}

// Addresses returns the listening addresses for callers and for operators.
func (i *Instance) Addresses() (callers, operators string) {
	return i.listeners[0].Addr().String(), i.listeners[2].Addr().String()
}

// Start starts all servers and background loops. They run until Stop or Close.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancelRun = cancel
	i.log.Event("start", "address", i.self.Address, "data_centre", i.self.DataCentre)
	i.background.Go(func() { i.coordinator.Run(ctx) })
	i.background.Go(func() { i.broker.ownPools.Run(ctx) })
	i.background.Go(func() { i.broker.fallbackPools.Run(ctx) })
	i.background.Go(func() { i.sweepPeriodically(ctx) })
	i.background.Go(func() { i.watchSettings(ctx) })
	i.background.Go(func() {
		if err := i.peerServer.Serve(); err != nil {
			i.log.Event("listener-failed", "error", err.Error())
		}
	})
	for n, server := range []*http.Server{i.callers, i.readiness, i.admin} {
		i.background.Go(func() {
			if err := server.Serve(i.listeners[n]); !errors.Is(err, http.ErrServerClosed) {
				i.log.Event("listener-failed", "error", err.Error())
			}
		})
	}
}

// sweepInterval is the time between removals of expired connections and of the state of targets that
// are not listed in the registry.
const sweepInterval = 2 * time.Second

func (i *Instance) sweepPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			targets := i.board.Snapshot().Targets
			listed := func(id string) bool { _, known := targets[id]; return known }
			i.pool.CloseExpired(listed)
			i.dialer.Prune(listed)
			i.targetStatus.Prune(listed)
		case <-ctx.Done():
			return
		}
	}
}

const (
	// balancerRemovalTime is how long the load balancer may take to stop sending connections to an
	// instance that shuts down: two health checks a second apart, and the time of connection attempts
	// in progress.
	balancerRemovalTime = 2700 * time.Millisecond
	// The reserves are the times before the end of the grace period at which the steps of a shutdown
	// begin. With a grace period of 6 s, targets may work on requests for the first five sixths of it.

	// refuseWaitingReserve is the reserve for refusing requests that no target runs.
	refuseWaitingReserve = 950 * time.Millisecond
	// abortRunningReserve is the reserve for aborting requests that targets run.
	abortRunningReserve = 550 * time.Millisecond
	// closeReserve is the reserve for closing, which takes some tenths of a second on a busy machine
	// with a third of a CPU core.
	closeReserve = 300 * time.Millisecond
	// closeTimeout limits the wait for background loops to end. A call that ignores its context, or
	// a log that nobody reads, must not keep a process running that has nothing left to do.
	closeTimeout = 200 * time.Millisecond
)

// Stop shuts the instance down. It first fails the readiness check, serves on until the load
// balancer has removed the instance, and returns when no request is in flight or the grace period
// is over. Each step begins at a fixed time after the call, however long others take.
func (i *Instance) Stop(ctx context.Context) {
	if !i.shuttingDown.CompareAndSwap(false, true) {
		return
	}
	i.log.Event("stop", "in_flight", i.handler.InFlight())
	i.handler.DisableKeepAlives()
	grace := time.Duration(i.grace.Load())
	ctx, cancel := context.WithTimeout(ctx, grace-closeReserve)
	defer cancel()
	defer time.AfterFunc(grace-refuseWaitingReserve, i.handler.RefuseWaiting).Stop()
	defer time.AfterFunc(grace-abortRunningReserve, i.handler.AbortRunning).Stop()
	i.handler.StopSendingBy(time.Now().Add(grace - abortRunningReserve))
	// The store and other instances may not answer. Callers do not wait for them.
	leaseGivenUp := make(chan struct{})
	go func() {
		defer close(leaseGivenUp)
		i.coordinator.PrepareShutdown(ctx)
	}()
	balancerRemoval := time.NewTimer(balancerRemovalTime)
	defer balancerRemoval.Stop()
	select {
	case <-balancerRemoval.C:
	case <-ctx.Done():
	}
	// From here on no request is accepted, not even on open keep-alive connections: a late request
	// might not get a response before the process is killed.
	i.log.Event("stop-accepting", "in_flight", i.handler.InFlight())
	i.handler.RefuseNew()
	i.peerServer.RefuseTunnels()
	if err := i.callers.Shutdown(ctx); err != nil {
		i.log.Event("cut-off", "in_flight", i.handler.InFlight(), "error", err.Error())
	}
	// Other instances end the tunnels through this one once it is not listed any more.
	i.peerServer.DrainTunnels(ctx)
	select {
	case <-leaseGivenUp:
	case <-ctx.Done():
		i.log.Event("lease-not-given-up", "error", ctx.Err().Error())
	}
	i.log.Event("stopped", "in_flight", i.handler.InFlight())
	i.Close()
}

// Close shuts the instance down at once, without waiting for requests, as a crash would.
func (i *Instance) Close() {
	i.cancelRun()
	i.callers.Close()
	i.readiness.Close()
	i.admin.Close()
	i.peerServer.Close()
	i.peerClient.Close()
	i.dialer.Close()
	ended := make(chan struct{})
	go func() {
		i.background.Wait()
		i.log.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
	}
}

// peerBackend answers calls of other instances.
type peerBackend Instance

// Sync implements peers.Backend.
func (b *peerBackend) Sync(ctx context.Context, args *peerapi.SyncArgs) *peerapi.SyncReply {
	b.log.AdvanceLamport(args.Lamport)
	reply := b.coordinator.Sync(ctx, args)
	reply.Lamport = b.log.Lamport()
	return reply
}

// Describe implements peers.Backend.
func (b *peerBackend) Describe(args *peerapi.DescribeArgs) *peerapi.Description {
	return (*Instance)(b).describe(args)
}

// Acquire implements peers.Backend.
func (b *peerBackend) Acquire(ctx context.Context, args *peerapi.AcquireArgs) *peerapi.AcquireReply {
	p, err := b.broker.ownPools.Acquire(ctx, args.Ask)
	if err == nil {
		return &peerapi.AcquireReply{Granted: true, Permit: p}
	}
	var refused *permit.RefusedError
	if errors.As(err, &refused) {
		return &peerapi.AcquireReply{Reason: refused.Reason, RetryAfter: refused.RetryAfter, TargetsRead: b.board.TargetsReadVersion()}
	}
	return &peerapi.AcquireReply{Reason: "stopping", RetryAfter: time.Second}
}

// DialTarget implements peers.Backend.
func (b *peerBackend) DialTarget(ctx context.Context, target string) (net.Conn, peers.TunnelStatus) {
	return b.dialer.DialForPeer(ctx, target)
}

// Release implements peers.Backend.
func (b *peerBackend) Release(args *peerapi.ReleaseArgs) {
	if args.Abandon {
		b.broker.ownPools.Abandon(args.Pool, args.Report.ID)
		return
	}
	b.broker.ownPools.Release(args.Pool, args.Report)
}
