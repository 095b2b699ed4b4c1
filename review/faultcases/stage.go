package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

const (
	// program is the instance as the deploy file starts it.
	program = "target/lycheehalld"
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 1500 * time.Millisecond
	host      = "review.example"
	// exitWait limits the wait for a process that was killed.
	exitWait = 5 * time.Second
)

// stage holds the stand-ins and processes of one case.
type stage struct {
	trouble bool
	// startTimes says that the servers' entries have their start times.
	startTimes bool
	begun      time.Time
	dir        string
	store      *standin.Store
	storeAt    string

	mu         sync.Mutex
	record     *bufio.Writer
	file       *os.File
	violations []string
	servers    []*server
	instances  []*process
	stopped    chan struct{}
	background sync.WaitGroup
	checks     map[string]int
}

func newStage(recordPath string, trouble bool) (*stage, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "faultcases")
	if err != nil {
		return nil, err
	}
	s := &stage{
		trouble: trouble, begun: time.Now(), dir: dir, store: standin.NewStore(), file: file, record: bufio.NewWriter(file),
		stopped: make(chan struct{}), checks: map[string]int{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, s.store.Handler()) }()
	s.note("trouble: %t", trouble)
	return s, nil
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked(format, args...)
}

// noteLocked writes a line to the record. The caller must hold the lock.
func (s *stage) noteLocked(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.begun).Seconds()}, args...)...)
}

// violate records a violation of the rule. The caller must hold the lock.
func (s *stage) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, text)
	s.noteLocked("VIOLATION %s", text)
}

// count counts an occurrence that the record's summary shows.
func (s *stage) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks[what]++
}

func (s *stage) verdict() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for what, n := range s.checks {
		s.noteLocked("total %s: %d", what, n)
	}
	s.noteLocked("violations: %d", len(s.violations))
	// The exit code tells the outcome whether the record is written or not.
	_ = s.record.Flush()
	_ = s.file.Close()
	if len(s.violations) > 0 {
		fmt.Println("broken:", s.violations[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// stop ends all processes and stand-ins.
func (s *stage) stop() {
	close(s.stopped)
	for _, p := range s.instances {
		p.kill()
	}
	for _, w := range s.servers {
		w.close()
	}
	s.background.Wait()
	// What is left is in a temporary folder.
	_ = os.RemoveAll(s.dir)
}

// every calls a function at intervals until the stage is stopped.
func (s *stage) every(interval time.Duration, fn func()) {
	s.background.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				fn()
			case <-s.stopped:
				return
			}
		}
	})
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service, timeout string
}

// configure writes the configuration as the operator does.
func (s *stage) configure(version int, routes []route, keyed map[string]bool) error {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	routeTable := table{Columns: []string{"name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "service", "max-attempts", "backends"}}
	for _, r := range routes {
		routeTable.Rows = append(routeTable.Rows, []any{r.name, host, r.prefix, r.kind, r.timeout, "600ms", 1, r.service, 2, nil})
	}
	serviceTable := table{Columns: []string{"name", "health-path", "max-conns", "protocol", "tls", "sharded", "warm", "grants"}}
	for name, sharded := range keyed {
		row := []any{name, "/health", 130, "h1", false, nil, nil, nil}
		if sharded {
			row = []any{name, "/health", 130, "h1", false, true, "2s", "call"}
		}
		serviceTable.Rows = append(serviceTable.Rows, row)
	}
	return s.store.Put("op", "config", map[string]any{
		"version": version, "routes": routeTable, "services": serviceTable,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
	})
}

// process is an instance.
type process struct {
	name, front, readiness, settings string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startInstances starts instances and waits until they are ready.
func (s *stage) startInstances(count int) error {
	var addresses [][4]string
	for range count {
		var a [4]string
		for i := range a {
			var err error
			if a[i], err = freeAddress(); err != nil {
				return err
			}
		}
		addresses = append(addresses, a)
	}
	var seeds []string
	for _, a := range addresses[:min(3, count)] {
		seeds = append(seeds, a[2])
	}
	for i, a := range addresses {
		seedText, err := json.Marshal(seeds)
		if err != nil {
			return err
		}
		p := &process{name: fmt.Sprintf("front-%d", i+1), front: a[0], readiness: a[1]}
		p.settings = filepath.Join(s.dir, p.name+".toml")
		text := fmt.Sprintf(`name = %q
data_centre = "zone-%d"
weight = 0.32
listen = %q
readiness = %q
peer = %q
seeds = %s
admin = %q
platform = %q
grace = "6s"
hold_max = "10000ms"
drain = "2000ms"
rules = "platform"

[retries]
ratio = 0.2
slack = 60
window = "10s"

[contention]
mode = "auto"

[connections]
pipeline_depth = 8

[memory]
mode = "auto"
limit_mb = 284
`, p.name, i%3+1, a[0], a[1], a[2], seedText, a[3], s.storeAt)
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := s.startProcess(p); err != nil {
			return err
		}
		s.instances = append(s.instances, p)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range s.instances {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("%d instances are ready", count)
	return nil
}

func (s *stage) startProcess(p *process) error {
	log, err := os.Create(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program, "--settings", p.settings)
	p.cmd.Env = append(os.Environ(), "LYCHEEHALL_NODE_FILE="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		log.Close()
		close(p.exited)
	}()
	s.note("started %s", p.name)
	return nil
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.readiness + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	select {
	case <-p.exited:
	case <-time.After(exitWait):
	}
}
