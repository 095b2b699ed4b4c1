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

// holders watches which instances hold the lease by the store's row, until the returned function is called.
func holders(address string) (finish func() []string) {
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

// keyedTargets are targets in this process that own keys, and register with a store all the time.
type keyedTargets struct {
	store *standin.Store
	mu    sync.Mutex
	list  []*standin.Target
}

// add starts a target.
func (k *keyedTargets) add(id string) {
	GinkgoHelper()
	target := standin.NewTarget(id, "keyed", true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	// It ends with the listener.
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
	k.list = append(k.list, target)
}

// keyStep is the distance of the keys that are looked at.
const keyStep = 61

// hold is a target that holds a key, and its fence.
type hold struct {
	target string
	fence  uint64
}

// held returns who holds each key that is looked at now, and the keys that two hold.
func (k *keyedTargets) held() (holds map[int]hold, twice []int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holds = map[int]hold{}
	for key := 0; key < 1<<16; key += keyStep {
		for _, target := range k.list {
			fence, has := target.Holds(uint16(key))
			if !has {
				continue
			}
			if _, other := holds[key]; other {
				twice = append(twice, key)
			}
			holds[key] = hold{target.ID, fence}
		}
	}
	return holds, twice
}

// of returns how many of the keys that are looked at a target holds.
func (k *keyedTargets) of(n int) (count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := 0; key < 1<<16; key += keyStep {
		if _, holds := k.list[n].Holds(uint16(key)); holds {
			count++
		}
	}
	return count
}

var _ = Describe("a store that comes back from a copy of some time before", func() {
	const (
		instances = 4
		// bound is the time in which a configuration must be in force.
		bound = "2500ms"
	)
	var (
		store     *standin.Store
		operators []string
	)
	put := func(version int) {
		GinkgoHelper()
		Expect(store.Put(platform.ConfigTable, "config", configWith(version, 3, 50))).To(Succeed())
	}
	// others has the store give out many versions for what nobody here reads.
	others := func(count int) {
		GinkgoHelper()
		for n := range count {
			Expect(store.Put("others", fmt.Sprint(n), n)).To(Succeed())
		}
	}
	all := func(version uint64) []uint64 {
		return []uint64{version, version, version, version}
	}
	versions := func() []uint64 { return inForce(operators[0]) }

	BeforeEach(func() {
		store = standin.NewStore()
		plain := standin.NewTarget("t1", "plain", false)
		Expect(store.Put(platform.TargetTable, "t1", plain.Entry("127.0.0.1:1", "dc1", false))).To(Succeed())
		put(1)
		operators = startFollowers(store, instances)
		Eventually(versions, "20s", "50ms").Should(Equal(all(1)))
		store.TakeBackup()
		others(2000)
		put(2)
		Eventually(versions, bound, "50ms").Should(Equal(all(2)))
	})

	It("has what is acknowledged from then on in force in time (guards against versions that are given out again)", func() {
		store.RestoreBackup()
		put(2)
		time.Sleep(time.Second)
		put(3)
		Eventually(versions, bound, "50ms").Should(Equal(all(3)))
	})

	It("has what was acknowledged before stay in force until it is written again (guards against going back)", func() {
		store.RestoreBackup()
		Consistently(versions, bound, "50ms").ShouldNot(ContainElement(uint64(1)))
		put(2)
		put(4)
		Eventually(versions, bound, "50ms").Should(Equal(all(4)))
	})

	It("has what is acknowledged in force in time also when it was away for longer than a lease", func() {
		store.SetFaults(standin.Faults{Unresponsive: true})
		time.Sleep(2200 * time.Millisecond)
		store.RestoreBackup()
		store.SetFaults(standin.Faults{})
		time.Sleep(time.Second)
		put(3)
		Eventually(versions, bound, "50ms").Should(Equal(all(3)))
	})

	It("is led by one instance at a time (guards against a lease that each takes for unchanged)", func() {
		address := serveLocal(GinkgoTB(), store.Handler())
		store.SetFaults(standin.Faults{Unresponsive: true})
		time.Sleep(2200 * time.Millisecond)
		store.RestoreBackup()
		store.SetFaults(standin.Faults{})
		finish := holders(address)
		time.Sleep(4 * time.Second)
		Expect(len(finish())).To(BeNumerically("<=", 2))
	})

	It("has every key held by one target at a time, under rising fences (guards against owners of before and a fence given out twice)", func() {
		targets := &keyedTargets{store: store}
		targets.add("k1")
		targets.add("k2")
		const some = (1 << 16) / keyStep / 5
		Eventually(func() int { return min(targets.of(0), targets.of(1)) }, "10s", "50ms").Should(BeNumerically(">", some))
		store.TakeBackup()
		targets.add("k3")
		Eventually(func() int { return targets.of(2) }, "10s", "50ms").Should(BeNumerically(">", some))
		store.RestoreBackup()
		put(2)
		before := map[int]hold{}
		var twiceBefore []int
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			now, twice := targets.held()
			// A look is no moment: a key that changes hands meanwhile may be seen at both.
			for _, key := range twice {
				Expect(twiceBefore).NotTo(ContainElement(key), "two targets hold key %d", key)
			}
			twiceBefore = twice
			for key, h := range now {
				if former, known := before[key]; known && former.target != h.target {
					Expect(h.fence).To(BeNumerically(">", former.fence), "key %d", key)
				}
				before[key] = h
			}
		}
		now, _ := targets.held()
		Expect(len(now)).To(BeNumerically(">", 4*some))
	})

	It("has what is acknowledged in force in time when it comes back twice in a row", func() {
		store.RestoreBackup()
		time.Sleep(500 * time.Millisecond)
		others(300)
		store.RestoreBackup()
		time.Sleep(500 * time.Millisecond)
		put(3)
		Eventually(versions, bound, "50ms").Should(Equal(all(3)))
	})
})
