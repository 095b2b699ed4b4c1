package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is one process that the soak has started. It can be started again.
type process struct {
	name string
	path string
	args []string
	log  *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ended   chan struct{}
}

// start starts the process, unless it runs. Two faults that overlap each start it again; a second
// process beside the first would fail to listen, and the first one would never be ended.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", p.name, err)
	}
	p.cmd = cmd
	p.stopped = false
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		// How it ended is seen by what it was doing.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// runs reports whether the process has been started and not ended. The caller holds the lock.
func (p *process) runs() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal, if the process runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	// An error says that it has ended already.
	_ = p.cmd.Process.Signal(s)
}

// life tells one start of the process from the others.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// end waits until the process has ended, and kills it when it takes too long.
func (p *process) end(most time.Duration) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(most):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// Fleet is a deployment of processes.
type Fleet struct {
	dir       string
	store     *process
	storeAt   string
	instances []*process
	callersAt []string
	// toStore are the proxies between each instance and the store, toTargets those before
	// the targets.
	toStore   []*Proxy
	targets   []*process
	toTargets []*Proxy
	// targetsAt are the addresses at which the targets themselves listen.
	targetsAt []string
}

// dataCentres is the number of data centres of a fleet.
const dataCentres = 3

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%dataCentres+1) }

// Size is how many processes of each kind a Fleet has.
type Size struct {
	Instances int
	Targets   int
	// Defect is a fault that the targets are told to have, to see whether it is noticed.
	Defect string
}

// Addresses are taken below the ports that the system gives to outgoing connections. One of
// those may be given away between the choice and the start of its process, or while its process
// is down, and the process then cannot listen.
const (
	firstPort = 12000
	endPort   = 32000
)

// lastPort is the port that was taken last by this process.
var lastPort atomic.Int64

// freeAddress returns a loopback address that nobody listens on now, and that it has not
// returned before.
func freeAddress() (string, error) {
	lastPort.CompareAndSwap(0, firstPort+rand.Int64N(endPort-firstPort))
	var err error
	for range endPort - firstPort {
		port := firstPort + lastPort.Add(1)%(endPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("soak: no port is free: %w", err)
}

// NewFleet starts a deployment with the programs in a folder. Logs and records go to dir.
func NewFleet(programs, dir string, size Size) (*Fleet, error) {
	f := &Fleet{dir: dir}
	if err := f.startStore(programs); err != nil {
		return f, err
	}
	for i := range size.Targets {
		if err := f.startTarget(programs, i, size.Defect); err != nil {
			return f, err
		}
	}
	for i := range size.Instances {
		if err := f.startInstance(programs, i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) process(name, path string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	p := &process{name: name, path: path, args: args, log: log}
	return p, p.start()
}

func (f *Fleet) startStore(programs string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f.storeAt = address
	f.store, err = f.process("store", filepath.Join(programs, "lycheehall-standin"), "--listen", address, "platform")
	if err != nil {
		return err
	}
	return awaitListener(address)
}

// startTarget starts a target that registers the address of the proxy before it.
func (f *Fleet) startTarget(programs string, i int, plant string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	proxy, err := NewProxy()
	if err != nil {
		return err
	}
	proxy.PointTo(address)
	name := fmt.Sprintf("target%d", i+1)
	args := []string{
		"--listen", address, "target", "--platform", f.storeAt, "--id", name, "--service", "bookings", "--work", "15ms",
		"--advertise", proxy.Address(), "--record", filepath.Join(f.dir, name+".runs"),
		"--data-centre", dataCentre(i), "--cold", coldFor.String(), "--cold-rate", fmt.Sprint(coldRate), "--disturbed",
	}
	if plant != "" {
		args = append(args, "--plant", plant)
	}
	p, err := f.process(name, filepath.Join(programs, "lycheehall-standin"), args...)
	if err != nil {
		return err
	}
	f.targets = append(f.targets, p)
	f.toTargets = append(f.toTargets, proxy)
	f.targetsAt = append(f.targetsAt, address)
	return nil
}

func (f *Fleet) startInstance(programs string, i int) error {
	var addresses [4]string
	for n := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[n] = address
	}
	proxy, err := NewProxy()
	if err != nil {
		return err
	}
	proxy.PointTo(f.storeAt)
	name := fmt.Sprintf("instance%d", i+1)
	settings := filepath.Join(f.dir, name+".toml")
	text := fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\npeer = %q\nadmin = %q\nreadiness = %q\nplatform = %q\n",
		name, dataCentre(i), addresses[0], addresses[1], addresses[2], addresses[3], proxy.Address())
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	p, err := f.process(name, filepath.Join(programs, "lycheehalld"), "--settings", settings)
	if err != nil {
		return err
	}
	f.instances = append(f.instances, p)
	f.callersAt = append(f.callersAt, addresses[0])
	f.toStore = append(f.toStore, proxy)
	return nil
}

// startTimeout bounds the wait for a process to listen.
const startTimeout = 5 * time.Second

func awaitListener(address string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("soak: nobody listens at %s", address)
}

// Stop ends all processes that the fleet has started.
func (f *Fleet) Stop() {
	all := append(append([]*process{}, f.instances...), f.targets...)
	if f.store != nil {
		all = append(all, f.store)
	}
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.end(startTimeout)
		p.log.Close()
	}
	for _, p := range append(f.toStore, f.toTargets...) {
		p.Close()
	}
}

// lines reads the lines of a record that are whole.
func lines(path string) ([]string, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer file.Close()
	var out []string
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			// A line without an end was being written when its process was killed.
			return out, nil
		}
		out = append(out, strings.TrimSuffix(line, "\n"))
	}
}
