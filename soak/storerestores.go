package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackupAge and maxBackupAge limit the age of the backup when the store outage begins.
	minBackupAge = 300 * time.Millisecond
	maxBackupAge = 4 * time.Second
	// maxStoreOutage is the longest outage before a restore.
	maxStoreOutage = 3 * time.Second
	// minRestorePause and maxRestorePause limit the time between two restores.
	minRestorePause = 2 * time.Second
	maxRestorePause = 7 * time.Second
)

// startStoreRestores repeatedly makes the store unavailable for a moment and restores it from a
// backup. Rules and evacuations are written again, as operators would do; instances and targets write
// their own entries again. The returned function stops that. It uses a random generator of its own.
func (s *soak) startStoreRestores() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 4))
		randomBetween := func(shortest, longest time.Duration) time.Duration {
			return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		}
		for sleep(stop, randomBetween(minRestorePause, maxRestorePause)) {
			s.postToStore("/standin/copy")
			time.Sleep(randomBetween(minBackupAge, maxBackupAge))
			reconnect := s.cutOffStore()
			time.Sleep(randomBetween(0, maxStoreOutage))
			s.postToStore("/standin/come-back")
			s.rewriteStore()
			reconnect()
			s.Progress("seed %d: the store was restored from a backup", s.Seed)
		}
	})
}

// postToStore posts to a control path of the store's stand-in.
func (s *soak) postToStore(path string) {
	client := controlClient()
	resp, err := client.Post("http://"+s.deployment.storeAddress+path, "", nil)
	if err != nil {
		s.Progress("seed %d: post %s to the store: %v", s.Seed, path, err)
		return
	}
	resp.Body.Close()
}

// cutOffStore stalls the connections of all instances to the store until the returned function is
// called.
func (s *soak) cutOffStore() (reconnect func()) {
	var reconnected []func()
	for n, p := range s.deployment.storeProxies {
		p.SetFault(Stalled)
		reconnected = append(reconnected, s.markDisconnected(s.deployment.instances[n]))
	}
	return func() {
		for _, p := range s.deployment.storeProxies {
			p.SetFault(NoFault)
		}
		for _, done := range reconnected {
			done()
		}
	}
}
