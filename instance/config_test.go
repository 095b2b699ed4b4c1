package instance_test

import (
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/instance"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
	"lycheehall.example/lycheehall/settings"
	"lycheehall.example/lycheehall/transport/admin"
)

// configuration returns a configuration with many routes. One route has two backends; weight is
// that of the first one.
func configuration(version, routes, weight int) map[string]any {
	rows := [][]any{{"shared", "a.example", "/shared/", "safe", "4s", "1200ms", 2, nil, 2, []any{
		map[string]any{"service": "plain", "weight": weight}, map[string]any{"service": "other", "weight": 100 - weight},
	}}}
	for i := range routes {
		rows = append(rows, []any{fmt.Sprintf("r-%d", i), "a.example", fmt.Sprintf("/added%d/", i), "unsafe", "5s", "1500ms", 1, "plain", 2, nil})
	}
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "service", "max-attempts", "backends"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "max-conns", "sharded"}, "rows": [][]any{{"plain", 130, nil}, {"other", 130, nil}, {"keyed", 130, true}}},
	}
}

// startPlatformInstances starts instances in this process that read their rules from a platform. It
// returns their addresses for operators.
func startPlatformInstances(store *standin.Store, count int) (operators []string) {
	GinkgoHelper()
	address := serveLocal(GinkgoTB(), store.Handler())
	for n := range count {
		s := settings.Default()
		s.Name = fmt.Sprintf("i%d", n)
		s.Rules = settings.RulesFromPlatform
		s.Platform = address
		s.Listen, s.Peer, s.Admin, s.Readiness = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.OperatorToken = testSecret
		log, err := os.CreateTemp(GinkgoTB().TempDir(), "log")
		Expect(err).NotTo(HaveOccurred())
		i, err := instance.New(s, platform.New(address), log)
		Expect(err).NotTo(HaveOccurred())
		i.Start()
		DeferCleanup(i.Close)
		_, o := i.Addresses()
		operators = append(operators, o)
	}
	return operators
}

// rulesVersions returns the rules versions of all instances, as reported by one of them.
func rulesVersions(operators string) (versions []uint64) {
	GinkgoHelper()
	_, text := callAdmin(operators, "GET", "/v1/status", "", testSecret)
	var status admin.Status
	Expect(json.Unmarshal([]byte(text), &status)).To(Succeed())
	for _, i := range status.Instances {
		versions = append(versions, i.RulesVersion)
	}
	return versions
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	GinkgoHelper()
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var _ = Describe("a large configuration", func() {
	// Guards against rules that come into force too late at instances with a sixth of a CPU core: 2.9 s
	// after the store has acknowledged them, where 2.5 s are allowed. 1,400 routes are added to 2,800,
	// and a second later the weights of one route change. An instance that decodes each version as a
	// whole, whatever has changed, needs 0.25 s of a core for 4,200 routes if the time grows with the
	// square of their number, and twice that if it is so busy that it takes the leader for unreachable
	// and reads the store as well.
	It("needs little enough CPU time for two changes in a row", func() {
		const (
			instances = 4
			routes    = 4200
			// coreShare is the share of a CPU core that a small instance has. maxDelay is the time
			// within which a change must come into force.
			coreShare = 0.16
			maxDelay  = 2500 * time.Millisecond
		)
		store := standin.NewStore()
		target := standin.NewTarget("t1", "plain", false)
		Expect(store.Put(platform.TargetTable, "t1", target.Entry("127.0.0.1:1", "dc1", false))).To(Succeed())
		Expect(store.Put(platform.ConfigTable, "config", configuration(1, routes-1400, 50))).To(Succeed())
		operators := startPlatformInstances(store, instances)
		all := func(version uint64) []uint64 { return []uint64{version, version, version, version} }
		Eventually(func() []uint64 { return rulesVersions(operators[0]) }, "20s", "50ms").Should(Equal(all(1)))
		before := cpuTime()
		Expect(store.Put(platform.ConfigTable, "config", configuration(2, routes, 50))).To(Succeed())
		time.Sleep(time.Second)
		Expect(store.Put(platform.ConfigTable, "config", configuration(3, routes, 60))).To(Succeed())
		Eventually(func() []uint64 { return rulesVersions(operators[0]) }, "20s", "50ms").Should(Equal(all(3)))
		perInstance := (cpuTime() - before) / instances / raceSlowdown
		Expect(float64(perInstance)/coreShare).To(BeNumerically("<", float64(maxDelay)), "%v of CPU time each", perInstance)
	})
})
