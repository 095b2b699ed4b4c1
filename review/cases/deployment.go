package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
)

const (
	// maxSeeds is the largest number of instances whose addresses are given to all.
	maxSeeds = 3
	// program is the program of the deploy file, relative to the root of the repository.
	program = "target/lycheehalld"
	// grace is the time from SIGTERM until the platform kills a process.
	grace = 6 * time.Second
	// heartbeat is the time between two writes of a target to its entry.
	heartbeat = 870 * time.Millisecond
	// startTimeout limits the wait until all instances are ready.
	startTimeout = 20 * time.Second
	// host is the host of all routes.
	host = "callers.example"
)

// instance is a process of lycheehall.
type instance struct {
	name                      string
	front, ready, peer, admin string
	// source is the local address of connections to targets; empty if the system chooses.
	source  string
	command *exec.Cmd
	exited  chan struct{}
}

// deployment is a platform with targets and instances.
type deployment struct {
	record *record
	dir    string
	store  *standin.Store
	listen net.Listener

	instances []*instance
	seeds     []string
	targets   []*target
	stop      chan struct{}
	stopOnce  sync.Once
}

func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "lycheehall-review-")
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("deployment: platform: %w", err)
	}
	d := &deployment{record: r, dir: dir, store: standin.NewStore(), listen: l, stop: make(chan struct{})}
	// Serve returns when the listener is closed.
	go func() { _ = http.Serve(l, d.store.Handler()) }()
	return d, nil
}

// closeAtEnd closes the deployment and exits on a signal, or when the case takes too long.
func (d *deployment) closeAtEnd() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	d.close()
	fmt.Fprintln(os.Stderr, "not run: interrupted, or out of time")
	os.Exit(exitNotRun)
}

// close ends all processes that the deployment has started, and removes its files.
func (d *deployment) close() {
	d.stopOnce.Do(func() { close(d.stop) })
	for _, i := range d.instances {
		i.kill()
	}
	for _, t := range d.targets {
		t.close()
	}
	d.listen.Close()
	if err := os.RemoveAll(d.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// service is a service of the configuration, and its only route.
type service struct {
	name, prefix, kind string
	keyed              bool
	timeout, aim       string
	maxAttempts        int
}

type columns struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// configure writes the configuration, as the operator does.
func (d *deployment) configure(s service) error {
	return d.store.Put("op", "config", map[string]any{
		"version": 3,
		"routes": columns{
			Columns: []string{"name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "backends", "max-attempts", "service"},
			Rows:    [][]any{{"r-1", host, s.prefix, s.kind, s.timeout, s.aim, 1, nil, s.maxAttempts, s.name}},
		},
		"services": columns{
			Columns: []string{"name", "health-path", "max-conns", "protocol", "tls", "sharded", "warm", "grants"},
			Rows:    [][]any{{s.name, "/health", 130, "h1", false, s.keyed, nil, "call"}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
	})
}

// addTargets starts targets of the service, which keep their entries in the registry up to date.
func (d *deployment) addTargets(s service, count, slots int, work time.Duration, seed int64) error {
	for n := range count {
		t, err := newTarget(d.record, fmt.Sprintf("i-%s-%d", s.name, n+1), s, slots, work, seed+int64(n))
		if err != nil {
			return err
		}
		d.targets = append(d.targets, t)
		go d.keepListed(t)
	}
	return nil
}

func (d *deployment) keepListed(t *target) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for n := 1; ; n++ {
		entry := t.Entry(t.listener.Addr().String(), "zone-1", false)
		entry["status"] = map[string]any{"state": "ready", "seq-no": n}
		if err := d.store.Put(platform.TargetTable, t.ID, entry); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		select {
		case <-ticker.C:
		case <-d.stop:
			return
		}
	}
}

// startInstances starts instances, and waits until they are ready. With ownSources, each connects to
// targets from an address of its own.
func (d *deployment) startInstances(count int, ownSources bool) error {
	ports, err := freeAddresses(4 * count)
	if err != nil {
		return err
	}
	for n := range count {
		a := ports[4*n : 4*n+4]
		i := &instance{name: fmt.Sprintf("front-zone-1-%d", n+1), front: a[0], ready: a[1], peer: a[2], admin: a[3]}
		if ownSources {
			i.source = fmt.Sprintf("127.0.0.%d", 11+n)
		}
		d.instances = append(d.instances, i)
		if n < maxSeeds {
			d.seeds = append(d.seeds, a[2])
		}
	}
	for _, i := range d.instances {
		if err := d.start(i); err != nil {
			return err
		}
	}
	until := time.Now().Add(startTimeout)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("instance %s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Instances listen on ports below those that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freeAddresses returns loopback addresses that nobody listens on.
func freeAddresses(count int) ([]string, error) {
	var list []string
	port := firstPort + rand.Intn(lastPort-firstPort)
	for range lastPort - firstPort {
		if port++; port >= lastPort {
			port = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer l.Close()
		if list = append(list, l.Addr().String()); len(list) == count {
			return list, nil
		}
	}
	return nil, errors.New("free port: there are not enough")
}

// start starts the process of an instance with the settings of a small deployment.
func (d *deployment) start(i *instance) error {
	ip, adminPort, err := net.SplitHostPort(i.admin)
	if err != nil {
		return err
	}
	text, err := renderSettings(map[string]string{
		"node": i.name, "zone": "zone-1", "ip": ip, "internal-ports.1": adminPort,
		"listen.front": i.front, "listen.readiness": i.ready, "listen.control": i.peer, "platform.address": d.listen.Addr().String(),
		"limits.cpu-share": "0.32", "limits.memory-mb": "284", "bounds.grace": grace.String(), "bounds.hold-max": "10000ms", "bounds.drain": "2000ms",
		"bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "64", "bounds.budget-window": "10s",
	}, map[string][]string{"seeds": d.seeds})
	if err != nil {
		return err
	}
	if i.source != "" {
		text = fmt.Sprintf("target_source = %q\n", i.source) + text
	}
	settings := filepath.Join(d.dir, i.name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.command = exec.Command(program, "--settings", settings)
	i.command.Stdout, i.command.Stderr = log, log
	// The process must not outlive this one.
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	d.record.note("%s started, front %s", i.name, i.front)
	i.exited = make(chan struct{})
	go func() {
		// The status does not matter.
		_ = i.command.Wait()
		close(i.exited)
	}()
	return nil
}

func (i *instance) isReady() bool {
	resp, err := http.Get("http://" + i.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) kill() {
	if i.command == nil || i.command.Process == nil {
		return
	}
	// An error means that the process has exited.
	_ = i.command.Process.Kill()
	<-i.exited
}

// errNoLeader means that no instance has written its address to the lease.
var errNoLeader = errors.New("no instance has written to the store under a condition")

// lastWriter returns the instance that last wrote to the store under a condition, by the newest row of
// the system that has the address of an instance.
func (d *deployment) lastWriter() (*instance, error) {
	resp, err := http.Get("http://" + d.listen.Addr().String() + "/api/rows-get?table=lycheehall&part=coordination")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Rows []struct {
			Value   []byte `json:"value"`
			Version uint64 `json:"ver"`
		} `json:"rows"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, err
	}
	var newest uint64
	var found *instance
	for _, row := range body.Rows {
		for _, i := range d.instances {
			if row.Version >= newest && strings.Contains(string(row.Value), `"`+i.peer+`"`) {
				newest, found = row.Version, i
			}
		}
	}
	if found == nil {
		return nil, errNoLeader
	}
	return found, nil
}

// runsOf returns the runs of a request at all targets.
func (d *deployment) runsOf(id string) []targetRun {
	var list []targetRun
	for _, t := range d.targets {
		t.mu.Lock()
		for _, r := range t.runs[id] {
			list = append(list, *r)
		}
		t.mu.Unlock()
	}
	return list
}
