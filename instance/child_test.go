package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/instance"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/transport/admin"
)

// childRoleVariable is the environment variable that makes the test binary run as a process of a
// deployment, in the role that it names.
const childRoleVariable = "LYCHEEHALL_TEST_CHILD"

const testSecret = "secret-of-the-process-tests"

func TestMain(m *testing.M) {
	if role := os.Getenv(childRoleVariable); role != "" {
		runChild(role, os.Args[1:])
		return
	}
	os.Exit(m.Run())
}

func TestInstance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Instance")
}

// runChild runs a platform, a target or an instance. It first prints its addresses.
func runChild(role string, args []string) {
	switch role {
	case "platform":
		childPlatform()
	case "target":
		childTarget(standin.NewTarget(args[0], "bookings", true), args[1])
	case "crashing target":
		target := standin.NewTarget(args[0], "dispatch", false)
		target.CrashPath = crashPath
		target.Crash = func() { os.Exit(crashCode) }
		childTarget(target, args[1])
	case "instance":
		childInstance(args[0], args[1], nil)
	case "instance with link faults":
		childInstance(args[0], args[1], newTargetLinks())
	}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// registryTTL is how long a registry entry stays after its last renewal.
const registryTTL = 600 * time.Millisecond

func childPlatform() {
	l := listen()
	store := standin.NewStore()
	fmt.Println(l.Addr())
	panic(http.Serve(l, standin.NewRegistry(store, platform.TargetTable, registryTTL).Handler()))
}

func childTarget(target *standin.Target, platformAddress string) {
	l := listen()
	target.Slots = 50
	target.Work = 2 * time.Millisecond
	go func() { panic(target.Serve(l)) }()
	text, err := json.Marshal(target.Entry(l.Addr().String(), "dc1", false))
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	for {
		resp, err := http.Post("http://"+platformAddress+standin.RegisterPath+target.ID, "application/json", bytes.NewReader(text))
		if err == nil {
			resp.Body.Close()
		}
		time.Sleep(registryTTL / 3)
	}
}

// childInstance runs an instance. If links is not nil, its connections to targets go through them.
func childInstance(name, platformAddress string, links *targetLinks) {
	s := settings.Default()
	s.Name, s.DataCentre, s.Platform = name, "dc-"+name, platformAddress
	s.Listen, s.Peer, s.Admin, s.Readiness = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.OperatorToken, s.Secret = testSecret, testSecret
	p := platform.NewWithStoredRules(platformAddress)
	if links != nil {
		p.DialTarget = links.dial
	}
	i, err := instance.New(s, p, io.Discard)
	if err != nil {
		panic(err)
	}
	i.Start()
	callers, operators := i.Addresses()
	fmt.Println(callers, operators)
	if links != nil {
		control := listen()
		go func() { panic(http.Serve(control, links)) }()
		fmt.Println(control.Addr())
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	i.Stop(context.Background())
}

// child is a process of the deployment under test.
type child struct {
	cmd     *exec.Cmd
	address string
	admin   string
	// linkControl is the address at which an instance with link faults takes them.
	linkControl string
}

func childCommand(role string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), childRoleVariable+"="+role)
	cmd.Stderr = GinkgoWriter
	return cmd
}

func startChild(role string, args ...string) *child {
	GinkgoHelper()
	cmd := childCommand(role, args...)
	out, err := cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	c := &child{cmd: cmd}
	_, err = fmt.Fscan(out, &c.address)
	Expect(err).NotTo(HaveOccurred())
	if strings.HasPrefix(role, "instance") {
		_, err = fmt.Fscan(out, &c.admin)
		Expect(err).NotTo(HaveOccurred())
	}
	if role == "instance with link faults" {
		_, err = fmt.Fscan(out, &c.linkControl)
		Expect(err).NotTo(HaveOccurred())
	}
	return c
}

func (c *child) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(c.cmd.Process.Signal(s)).To(Succeed())
}

func (c *child) runs() []standin.Run {
	GinkgoHelper()
	resp, err := http.Get("http://" + c.address + "/standin/runs")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var runs []standin.Run
	Expect(json.NewDecoder(resp.Body).Decode(&runs)).To(Succeed())
	return runs
}

// status returns the status of an instance, or an empty one if the request fails.
func (c *child) status() admin.Status {
	req, _ := http.NewRequest("GET", "http://"+c.admin+"/v1/status", nil)
	req.Header.Set("Authorization", "Bearer "+testSecret)
	resp, err := caller.Do(req)
	if err != nil {
		return admin.Status{}
	}
	defer resp.Body.Close()
	var s admin.Status
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// leaderName returns the name of the leader according to this instance.
func (c *child) leaderName() string {
	name, _, _ := strings.Cut(c.status().Leader, ".")
	return name
}
