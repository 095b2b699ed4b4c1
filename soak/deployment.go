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

	mu     sync.Mutex
	cmd    *exec.Cmd
	paused bool
	exited chan struct{}
	// exits are the times at which the process was found to have exited.
	exits []time.Time
}

// start starts the process unless it is running. Two overlapping faults may both start it again: the
// second process would fail to listen, and would replace the record of the first one, which would
// then never be ended.
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
	p.paused = false
	ended := make(chan struct{})
	p.exited = ended
	go func() {
		// The exit status is not needed: the checks find what a process failed to do.
		_ = cmd.Wait()
		p.mu.Lock()
		p.exits = append(p.exits, time.Now())
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// running reports whether the process has been started and has not exited. The caller must hold the
// lock.
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
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	// An error means that the process has exited already.
	_ = p.cmd.Process.Signal(s)
}

// pid returns the ID of the latest process, which distinguishes its starts. 0 means never started.
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

// Deployment is a store, targets and instances, each a process, and the proxies between them.
type Deployment struct {
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

// dataCentres is the number of data centres of a deployment.
const dataCentres = 3

// dataCentreName returns the data centre of the i-th process of a kind.
func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i%dataCentres+1) }

// DeploymentOptions are the size of a Deployment and the fault of its targets.
type DeploymentOptions struct {
	Instances int
	Targets   int
	// InjectedFault, if not empty, is the injected fault of the targets, to test whether the checks
	// find it.
	InjectedFault string
	// MemoryMB is the memory of each instance by its settings, which turns its memory budget on. 0
	// leaves it off.
	MemoryMB int
}

// Ports are chosen below the range from which the system assigns ports to outgoing connections. It
// could assign a port of that range while the process does not listen: before it starts, or until it
// is restarted. The process could then not listen.
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

// NewDeployment starts a deployment with the built programs of a directory. Logs and records go to
// dir. The deployment is returned also with an error; it must be stopped in any case.
func NewDeployment(programs, dir string, size DeploymentOptions) (*Deployment, error) {
	d := &Deployment{dir: dir}
	if err := d.startStore(programs); err != nil {
		return d, err
	}
	for i := range size.Targets {
		if err := d.startTarget(programs, i, size.InjectedFault); err != nil {
			return d, err
		}
	}
	for i := range size.Instances {
		if err := d.startInstance(programs, i, size.MemoryMB); err != nil {
			return d, err
		}
	}
	return d, nil
}

// startProcess starts a process whose output goes to a log named after it.
func (d *Deployment) startProcess(name, path string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("soak: open the log: %w", err)
	}
	p := &process{name: name, path: path, args: args, log: log}
	return p, p.start()
}

// startStore starts the store and waits until it listens.
func (d *Deployment) startStore(programs string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	d.storeAddress = address
	d.store, err = d.startProcess("store", filepath.Join(programs, "lycheehall-standin"), "--listen", address, "platform")
	if err != nil {
		return err
	}
	return awaitListener(address)
}

// startTarget starts a target that registers the address of the proxy in front of it.
func (d *Deployment) startTarget(programs string, i int, injectedFault string) error {
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
		"--listen", address, "target", "--platform", d.storeAddress, "--id", name, "--service", "bookings", "--work", "15ms",
		"--advertise", proxy.Address(), "--record", filepath.Join(d.dir, name+".runs"),
		"--data-centre", dataCentreName(i), "--cold", coldTime.String(), "--cold-rate", fmt.Sprint(coldRate), "--disturbed",
	}
	if injectedFault != "" {
		args = append(args, "--plant", injectedFault)
	}
	p, err := d.startProcess(name, filepath.Join(programs, "lycheehall-standin"), args...)
	if err != nil {
		return err
	}
	d.targets = append(d.targets, p)
	d.targetProxies = append(d.targetProxies, proxy)
	d.targetAddresses = append(d.targetAddresses, address)
	return nil
}

// startInstance starts an instance that reaches the store through a proxy.
func (d *Deployment) startInstance(programs string, i, memoryMB int) error {
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
	proxy.SetTarget(d.storeAddress)
	name := fmt.Sprintf("instance%d", i+1)
	settings := filepath.Join(d.dir, name+".toml")
	text := fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\npeer = %q\nadmin = %q\nreadiness = %q\nplatform = %q\ntarget_source = %q\n[memory]\nlimit_mb = %d\n",
		name, dataCentreName(i), addresses[0], addresses[1], addresses[2], addresses[3], proxy.Address(), targetSource(i), memoryMB)
	// Every third instance serves connections without pipelining, as by default.
	if i%3 != 2 {
		text += "[connections]\npipeline_depth = 8\n"
	}
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return fmt.Errorf("soak: write the settings: %w", err)
	}
	p, err := d.startProcess(name, filepath.Join(programs, "lycheehalld"), "--settings", settings)
	if err != nil {
		return err
	}
	d.instances = append(d.instances, p)
	d.callerAddresses = append(d.callerAddresses, addresses[0])
	d.storeProxies = append(d.storeProxies, proxy)
	return nil
}

// startTimeout limits the wait for a process to listen, to answer a control request, or to exit once
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

// Stop kills all processes of the deployment and closes the proxies.
func (d *Deployment) Stop() {
	all := append(append([]*process{}, d.instances...), d.targets...)
	if d.store != nil {
		all = append(all, d.store)
	}
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.awaitExit(startTimeout)
		p.log.Close()
	}
	for _, p := range append(d.storeProxies, d.targetProxies...) {
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
