package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	plainService = "haul"
	// longWork is how long a request of the plain service takes.
	longWork = 1500 * time.Millisecond
	grace    = 6 * time.Second
)

// secondTerm sends SIGTERM to an instance twice while it has requests.
func secondTerm(s *stage) error {
	routes := []route{{"r-haul", "/haul/", "unsafe", plainService, "5000ms"}}
	if err := s.configure(1, routes, map[string]bool{plainService: false}); err != nil {
		return err
	}
	for n := range 3 {
		if _, err := s.startServer(fmt.Sprintf("i-%08d", n+1), plainService, fmt.Sprintf("zone-%d", n%3+1), 6, longWork); err != nil {
			return err
		}
	}
	if err := s.startInstances(3); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	p := s.instances[1]
	c := s.newClient(false)
	var sent sync.WaitGroup
	for range 6 {
		sent.Go(func() {
			o := c.send(p, http.MethodPost, "/haul/1", -1, 5*time.Second)
			if o.err != nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.violate("LOST: %s was sent before the SIGTERM and read; its connection ends without an answer: %v; runs %d", o.id, o.err, s.runs(o.id))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	s.note("SIGTERM to %s", p.name)
	p.signal(syscall.SIGTERM)
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		s.note("SIGTERM to %s again", p.name)
		p.signal(syscall.SIGTERM)
	}
	select {
	case <-p.exited:
		s.note("%s has exited", p.name)
	case <-time.After(grace):
		s.note("%s is killed after the grace period", p.name)
		p.kill()
	}
	sent.Wait()
	return nil
}

// runs returns how often a request ran. The caller must hold the lock.
func (s *stage) runs(id string) int {
	n := 0
	for _, w := range s.servers {
		n += w.ran[id]
	}
	return n
}
