package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// workTime is how long a request on a key takes.
const workTime = 700 * time.Millisecond

// startKeyed starts a small deployment with a service that is divided by key, and traffic on it.
func (s *stage) startKeyed(servers int, perSecond float64) error {
	routes := []route{{"r-look", "/look/", "safe", keyedService, "4000ms"}, {"r-book", "/book/", "unsafe", keyedService, "4000ms"}}
	if err := s.configure(1, routes, map[string]bool{keyedService: true}); err != nil {
		return err
	}
	for n := range servers {
		if _, err := s.startServer(fmt.Sprintf("i-%08d", n+1), keyedService, fmt.Sprintf("zone-%d", n%3+1), 6, workTime); err != nil {
			return err
		}
	}
	if err := s.startInstances(3); err != nil {
		return err
	}
	s.watchHolders()
	c := s.newClient(false)
	c.load(perSecond, http.MethodPost, "/book/7", func() int { return rand.IntN(keyCount) }, 4*time.Second)
	return nil
}

// awaitOwners waits until every key is held by a server.
func (s *stage) awaitOwners() error {
	deadline := time.Now().Add(20 * time.Second)
	for !s.allHeld() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not all keys are held")
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.note("all keys are held")
	return nil
}

func (s *stage) allHeld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for k := range keyCount {
		held := false
		for _, w := range s.servers {
			held = held || now.Before(w.keys[k].heldUntil)
		}
		if !held {
			return false
		}
	}
	return true
}

const (
	// garbleShare is the largest share of its answers that a server sends once more, garbleServers the
	// largest share of the servers that do, and garbleTime how long they do.
	garbleShare   = 0.03
	garbleServers = 0.6
	garbleTime    = 5 * time.Second
	// garblePause is the time between two periods in which servers send answers once more, and
	// garblePeriods their number.
	garblePause   = 3 * time.Second
	garblePeriods = 7
)

// lateRelease lets servers send a few of their responses once more, late, while keys move for balance.
func lateRelease(s *stage) error {
	if err := s.startKeyed(4, 14); err != nil {
		return err
	}
	if err := s.awaitOwners(); err != nil {
		return err
	}
	for range garblePeriods {
		time.Sleep(garblePause)
		s.setGarbling(s.trouble)
		time.Sleep(garbleTime)
		s.setGarbling(false)
	}
	return nil
}

// setGarbling begins or ends a period in which servers send answers once more.
func (s *stage) setGarbling(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked("garbling: %t", on)
	for _, w := range s.servers[:int(garbleServers*float64(len(s.servers)))] {
		w.garbling = on
	}
}

// writeForeign writes an entry as another writer does: it names an address and lacks info.version, info.zone,
// status.seq-no and status.cold-remaining.
func (s *stage) writeForeign(name, address string) error {
	s.note("another writer writes servers/%s with address %s and without info.version, info.zone, status.seq-no and status.cold-remaining", name, address)
	entry := map[string]any{
		"address": address,
		"info":    map[string]any{"service": keyedService, "slots": 6},
		"status":  map[string]any{"state": "ready"},
	}
	if s.startTimes {
		entry["born"] = time.Now().UnixMilli()
	}
	return s.store.Put("servers", name, entry)
}

// settleTime is how long traffic runs before the disruption, and watchTime how long after it.
const (
	settleTime = 6 * time.Second
	watchTime  = 12 * time.Second
)

// foreignEntry lets another writer write an entry under the name of a server, in which fields are
// missing.
func foreignEntry(s *stage) error {
	s.startTimes = true
	if err := s.startKeyed(4, 8); err != nil {
		return err
	}
	if err := s.awaitOwners(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	elsewhere, err := freeAddress()
	if err != nil {
		return err
	}
	if s.trouble {
		if err := s.writeForeign(s.servers[1].id, elsewhere); err != nil {
			return err
		}
	}
	time.Sleep(watchTime)
	return nil
}

const (
	// lapseAfter is how long after its last heartbeat a server's entry is removed.
	lapseAfter = 3 * heartbeat
	// cutTime is how long a server is partitioned from the store.
	cutTime = 10 * time.Second
)

// foreignName lets another writer write an entry under a name of its own, with the address of a server
// that is partitioned from the store later. With and without the entry, the server is partitioned.
func foreignName(s *stage) error {
	if err := s.startKeyed(5, 8); err != nil {
		return err
	}
	if err := s.awaitOwners(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	w := s.servers[1]
	if s.trouble {
		if err := s.writeForeign("i-another", w.address); err != nil {
			return err
		}
	}
	time.Sleep(settleTime / 2)
	s.setSilent(w, true)
	time.Sleep(lapseAfter)
	s.note("the entry of %s is removed", w.id)
	s.store.Remove("servers", w.id)
	time.Sleep(cutTime - lapseAfter)
	s.setSilent(w, false)
	time.Sleep(settleTime / 2)
	return nil
}

// setSilent partitions a server from the store, or ends the partition.
func (s *stage) setSilent(w *server, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked("%s is partitioned from the store: %t", w.id, silent)
	w.silent = silent
}
