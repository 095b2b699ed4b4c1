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

// process is a process that the soak has started and can start again.
type process struct {
	name string
	path string
	args []string
	log  *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	exited  chan struct{}
}

// start starts the process unless it is running. Two overlapping faults both start it again: a
// second process would fail to listen, and the first one would never be ended.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
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
	p.exited = ended
	go func() {
		// The exit status is not needed: the checks find what a process failed to do.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// running reports whether the process has been started and has not exited. The caller holds the lock.
func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal if the process has been started.
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
	// An error means that the process has exited already.
	_ = p.cmd.Process.Signal(s)
}

// pid returns the id of the process as last started, which tells its starts apart; 0: never started.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// awaitExit waits until the process has exited, and kills it after the timeout.
func (p *process) awaitExit(timeout time.Duration) {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// Fleet is a deployment of processes: a store, targets, instances and the proxies between them.
type Fleet struct {
	dir             string
	store           *process
	storeAddress    string
	instances       []*process
	callerAddresses []string
	// storeProxies has the proxy between each instance and the store. targetProxies has the proxy in
	// front of each target.
	storeProxies  []*Proxy
	targets       []*process
	targetProxies []*Proxy
	// targetAddresses has the addresses at which the targets themselves listen, behind the proxies.
	targetAddresses []string
}

// dataCentres is the number of data centres of a fleet.
const dataCentres = 3

// dataCentreName returns the data centre of the i-th process of a kind.
func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i%dataCentres+1) }

// DeploymentOptions is the number of instances and targets of a Fleet, and the defect of the targets.
type DeploymentOptions struct {
	Instances int
	Targets   int
	// InjectedFault is a deliberate defect of the targets, to test whether the checks find it; "": none.
	InjectedFault string
}

// Ports are chosen below the range from which the system assigns ports to outgoing connections. A
// port of that range may be assigned after it was chosen and before its process starts, or while its
// process is down. The process then cannot listen.
const (
	firstPort = 12000
	endPort   = 32000
)

// portCounter starts at a random value. Its remainder by the size of the range of ports is the offset
// from firstPort of the port that was chosen last.
var portCounter atomic.Int64

// freeAddress returns a loopback address that nothing listens on now and that it has not returned
// before.
func freeAddress() (string, error) {
	portCounter.CompareAndSwap(0, firstPort+rand.Int64N(endPort-firstPort))
	var err error
	for range endPort - firstPort {
		port := firstPort + portCounter.Add(1)%(endPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("soak: no port is free: %w", err)
}

// NewFleet starts a deployment with the built programs of a directory. Logs and records go to dir.
// The fleet is returned also with an error; it must be stopped in any case.
func NewFleet(programs, dir string, size DeploymentOptions) (*Fleet, error) {
	f := &Fleet{dir: dir}
	if err := f.startStore(programs); err != nil {
		return f, err
	}
	for i := range size.Targets {
		if err := f.startTarget(programs, i, size.InjectedFault); err != nil {
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

// startProcess starts a process whose output goes to a log named after it.
func (f *Fleet) startProcess(name, path string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("soak: open the log: %w", err)
	}
	p := &process{name: name, path: path, args: args, log: log}
	return p, p.start()
}

// startStore starts the store and waits until it listens.
func (f *Fleet) startStore(programs string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f.storeAddress = address
	f.store, err = f.startProcess("store", filepath.Join(programs, "lycheehall-standin"), "--listen", address, "platform")
	if err != nil {
		return err
	}
	return awaitListener(address)
}

// startTarget starts a target that registers the address of the proxy in front of it.
func (f *Fleet) startTarget(programs string, i int, plant string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	proxy, err := NewProxy()
	if err != nil {
		return err
	}
	proxy.SetTarget(address)
	name := fmt.Sprintf("target%d", i+1)
	args := []string{
		"--listen", address, "target", "--platform", f.storeAddress, "--id", name, "--service", "bookings", "--work", "15ms",
		"--advertise", proxy.Address(), "--record", filepath.Join(f.dir, name+".runs"),
		"--data-centre", dataCentreName(i), "--cold", coldTime.String(), "--cold-rate", fmt.Sprint(coldRate), "--disturbed",
	}
	if plant != "" {
		args = append(args, "--plant", plant)
	}
	p, err := f.startProcess(name, filepath.Join(programs, "lycheehall-standin"), args...)
	if err != nil {
		return err
	}
	f.targets = append(f.targets, p)
	f.targetProxies = append(f.targetProxies, proxy)
	f.targetAddresses = append(f.targetAddresses, address)
	return nil
}

// startInstance starts an instance that reaches the store through a proxy.
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
	proxy.SetTarget(f.storeAddress)
	name := fmt.Sprintf("instance%d", i+1)
	settings := filepath.Join(f.dir, name+".toml")
	text := fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\npeer = %q\nadmin = %q\nreadiness = %q\nplatform = %q\n",
		name, dataCentreName(i), addresses[0], addresses[1], addresses[2], addresses[3], proxy.Address())
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return fmt.Errorf("soak: write the settings: %w", err)
	}
	p, err := f.startProcess(name, filepath.Join(programs, "lycheehalld"), "--settings", settings)
	if err != nil {
		return err
	}
	f.instances = append(f.instances, p)
	f.callerAddresses = append(f.callerAddresses, addresses[0])
	f.storeProxies = append(f.storeProxies, proxy)
	return nil
}

// startTimeout bounds the wait for a process to listen, to answer a control request, or to exit once
// it was killed.
const startTimeout = 5 * time.Second

// awaitListener waits until something listens at an address.
func awaitListener(address string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("soak: nothing listens at %s", address)
}

// Stop ends all processes that the fleet has started and closes the proxies.
func (f *Fleet) Stop() {
	all := append(append([]*process{}, f.instances...), f.targets...)
	if f.store != nil {
		all = append(all, f.store)
	}
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.awaitExit(startTimeout)
		p.log.Close()
	}
	for _, p := range append(f.storeProxies, f.targetProxies...) {
		p.Close()
	}
}

// readCompleteLines returns the lines of a file that end in a newline; none if there is no file.
func readCompleteLines(path string) ([]string, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("soak: read the record: %w", err)
	}
	defer file.Close()
	var out []string
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			// A last line without a newline was being written when its process was killed.
			return out, nil
		}
		out = append(out, strings.TrimSuffix(line, "\n"))
	}
}
