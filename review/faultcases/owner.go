package main

import "time"

const (
	keyedService = "tally"
	// bothHold is how long two servers may hold the same keys.
	bothHold = 500 * time.Millisecond
	// lookInterval is the time between two looks at who holds what.
	lookInterval = 20 * time.Millisecond
)

// checkGrant checks whether another server is still at work on a key of a grant, before that one's hold
// would have run out. The caller must hold the stage's lock.
func (s *stage) checkGrant(w *server, o order, now time.Time) {
	for _, other := range s.servers {
		if other == w || other.service != w.service {
			continue
		}
		for k := int(o.From); k <= int(o.To); k++ {
			if state := other.keys[k]; state.running > 0 && now.Before(state.grantedUntil) {
				s.violate("OWNER: %s is given key %d under fence %d while %s is still at work on it; its hold would have run out in %v",
					w.id, k, o.Fence, other.id, state.grantedUntil.Sub(now).Round(time.Millisecond))
				return
			}
		}
	}
}

// checkRun checks whether two servers hold the key of a request that begins, and both begin requests on
// it. The caller must hold the stage's lock.
func (s *stage) checkRun(w *server, key int) {
	if !w.keyed() {
		return
	}
	now := time.Now()
	for _, other := range s.servers {
		if other != w && other.service == w.service && now.Before(other.keys[key].heldUntil) {
			s.noteLocked("%s begins a request on key %d, which %s holds too", w.id, key, other.id)
		}
	}
}

// watchHolders looks for keys that two servers hold for too long.
func (s *stage) watchHolders() {
	since := make([]time.Time, keyCount)
	reported := false
	s.every(lookInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		for k := range keyCount {
			var holders []*server
			for _, w := range s.servers {
				if w.keyed() && now.Before(w.keys[k].heldUntil) {
					holders = append(holders, w)
				}
			}
			switch {
			case len(holders) < 2:
				since[k] = time.Time{}
			case since[k].IsZero():
				since[k] = now
			case now.Sub(since[k]) > bothHold && !reported:
				reported = true
				s.violate("OWNER: %s (fence %d) and %s (fence %d) have both held key %d for %v", holders[0].id, holders[0].keys[k].fence,
					holders[1].id, holders[1].keys[k].fence, k, now.Sub(since[k]).Round(time.Millisecond))
			}
		}
	})
}
