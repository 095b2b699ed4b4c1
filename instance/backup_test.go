package instance_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/platform"
	"lycheehall.example/lycheehall/platform/standin"
)

// watchLeaseHolders polls the lease row of the store. The returned function stops this and returns
// the holders in the order in which they were seen.
func watchLeaseHolders(address string) (finish func() []string) {
	client := platform.NewStore(address)
	stop := make(chan struct{})
	var seen []string
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			rows, _, err := client.Scan(context.Background(), "lycheehall", "coordination")
			if err != nil {
				continue
			}
			for _, row := range rows {
				if l, err := lease.Decode(row.Value); row.Key == "lease" && err == nil && (len(seen) == 0 || seen[len(seen)-1] != l.Holder) {
					seen = append(seen, l.Holder)
				}
			}
		}
	})
	return func() []string {
		close(stop)
		running.Wait()
		client.Close()
		return seen
	}
}

// keyedTargets are targets in this process that own keys and renew their registration continuously.
type keyedTargets struct {
	store   *standin.Store
	mu      sync.Mutex
	targets []*standin.Target
}

// add starts a target and registers it until the spec ends.
func (k *keyedTargets) add(id string) {
	GinkgoHelper()
	target := standin.NewTarget(id, "keyed", true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	// Serve returns when the listener is closed.
	go func() { _ = target.Serve(l) }()
	stop := make(chan struct{})
	DeferCleanup(func() {
		close(stop)
		l.Close()
	})
	entry := target.Entry(l.Addr().String(), "dc1", false)
	go func() {
		for {
			if err := k.store.Put(platform.TargetTable, id, entry); err != nil {
				panic(err)
			}
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.targets = append(k.targets, target)
}

// keySampleStep is the distance between sampled keys.
const keySampleStep = 61

// keyHolder is a target that holds a key, and the fence under which it holds it.
type keyHolder struct {
	target string
	fence  uint64
}

// sampleKeyHolders returns the holder of each sampled key, and the keys that two targets hold.
func (k *keyedTargets) sampleKeyHolders() (holders map[int]keyHolder, heldTwice []int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holders = map[int]keyHolder{}
	for key := 0; key < 1<<16; key += keySampleStep {
		for _, target := range k.targets {
			fence, held := target.Holds(uint16(key))
			if !held {
				continue
			}
			if _, other := holders[key]; other {
				heldTwice = append(heldTwice, key)
			}
			holders[key] = keyHolder{target.ID, fence}
		}
	}
	return holders, heldTwice
}

// countHeld returns how many of the sampled keys target n holds.
func (k *keyedTargets) countHeld(n int) (count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := 0; key < 1<<16; key += keySampleStep {
		if _, holds := k.targets[n].Holds(uint16(key)); holds {
			count++
		}
	}
	return count
}

var _ = Describe("a store that is restored from an older backup", func() {
	const (
		instances = 4
		// maxDelay is the time within which a configuration must come into force.
		maxDelay = "2500ms"
	)
	var (
		store     *standin.Store
		operators []string
	)
	put := func(version int) {
		GinkgoHelper()
		Expect(store.Put(platform.ConfigTable, "config", configuration(version, 3, 50))).To(Succeed())
	}
	// writeOtherRows uses up store versions with rows that no instance reads.
	writeOtherRows := func(count int) {
		GinkgoHelper()
		for n := range count {
			Expect(store.Put("others", fmt.Sprint(n), n)).To(Succeed())
		}
	}
	atAllInstances := func(version uint64) []uint64 {
		return []uint64{version, version, version, version}
	}
	currentVersions := func() []uint64 { return rulesVersions(operators[0]) }

	BeforeEach(func() {
		store = standin.NewStore()
		plain := standin.NewTarget("t1", "plain", false)
		Expect(store.Put(platform.TargetTable, "t1", plain.Entry("127.0.0.1:1", "dc1", false))).To(Succeed())
		put(1)
		operators = startPlatformInstances(store, instances)
		Eventually(currentVersions, "20s", "50ms").Should(Equal(atAllInstances(1)))
		store.TakeBackup()
		writeOtherRows(2000)
		put(2)
		Eventually(currentVersions, maxDelay, "50ms").Should(Equal(atAllInstances(2)))
	})

	// Guards against changes that instances ignore because the store has reused their versions.
	It("lets later changes come into force in time", func() {
		store.RestoreBackup()
		put(2)
		time.Sleep(time.Second)
		put(3)
		Eventually(currentVersions, maxDelay, "50ms").Should(Equal(atAllInstances(3)))
	})

	// Guards against a return to the older rules of the backup.
	It("keeps earlier changes in force until they are written again", func() {
		store.RestoreBackup()
		Consistently(currentVersions, maxDelay, "50ms").ShouldNot(ContainElement(uint64(1)))
		put(2)
		put(4)
		Eventually(currentVersions, maxDelay, "50ms").Should(Equal(atAllInstances(4)))
	})

	It("lets later changes come into force in time after it was unavailable for longer than a lease", func() {
		store.SetFaults(standin.Faults{Unresponsive: true})
		time.Sleep(2200 * time.Millisecond)
		store.RestoreBackup()
		store.SetFaults(standin.Faults{})
		time.Sleep(time.Second)
		put(3)
		Eventually(currentVersions, maxDelay, "50ms").Should(Equal(atAllInstances(3)))
	})

	// Guards against a lease that every instance takes for unchanged.
	It("has one leader at a time", func() {
		address := serveLocal(GinkgoTB(), store.Handler())
		store.SetFaults(standin.Faults{Unresponsive: true})
		time.Sleep(2200 * time.Millisecond)
		store.RestoreBackup()
		store.SetFaults(standin.Faults{})
		finish := watchLeaseHolders(address)
		time.Sleep(4 * time.Second)
		Expect(len(finish())).To(BeNumerically("<=", 2))
	})

	// Guards against previous owners that hold on to keys, and against reused fences.
	It("has every key held by one target at a time, under increasing fences", func() {
		targets := &keyedTargets{store: store}
		targets.add("k1")
		targets.add("k2")
		const minHeld = (1 << 16) / keySampleStep / 5
		Eventually(func() int { return min(targets.countHeld(0), targets.countHeld(1)) }, "10s", "50ms").Should(BeNumerically(">", minHeld))
		store.TakeBackup()
		targets.add("k3")
		Eventually(func() int { return targets.countHeld(2) }, "10s", "50ms").Should(BeNumerically(">", minHeld))
		store.RestoreBackup()
		put(2)
		before := map[int]keyHolder{}
		var twiceBefore []int
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			now, twice := targets.sampleKeyHolders()
			// Sampling takes time: a key that is reassigned meanwhile may be seen at both targets once.
			for _, key := range twice {
				Expect(twiceBefore).NotTo(ContainElement(key), "two targets hold key %d", key)
			}
			twiceBefore = twice
			for key, h := range now {
				if previous, found := before[key]; found && previous.target != h.target {
					Expect(h.fence).To(BeNumerically(">", previous.fence), "key %d", key)
				}
				before[key] = h
			}
		}
		now, _ := targets.sampleKeyHolders()
		Expect(len(now)).To(BeNumerically(">", 4*minHeld))
	})

	It("lets later changes come into force in time when it is restored twice in a row", func() {
		store.RestoreBackup()
		time.Sleep(500 * time.Millisecond)
		writeOtherRows(300)
		store.RestoreBackup()
		time.Sleep(500 * time.Millisecond)
		put(3)
		Eventually(currentVersions, maxDelay, "50ms").Should(Equal(atAllInstances(3)))
	})
})
