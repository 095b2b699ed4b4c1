package soak

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// copyLeast and copyMost bound the age of the copy that the store comes back from.
	copyLeast = 300 * time.Millisecond
	copyMost  = 4 * time.Second
	// awayMost is the longest time for which it is away then.
	awayMost = 3 * time.Second
	// returnLeast and returnMost bound the time between two returns.
	returnLeast = 2 * time.Second
	returnMost  = 7 * time.Second
)

// startReturns has the store be away for a moment and come back from a copy, again and again. Rules and
// evacuations are written again, as operators do; instances and targets write theirs. The returned function
// ends that.
// It draws from numbers of its own.
func (s *soak) startReturns() (finish func()) {
	return during(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 4))
		upTo := func(least, most time.Duration) time.Duration {
			return least + time.Duration(random.Int64N(int64(most-least)))
		}
		for wait(stop, upTo(returnLeast, returnMost)) {
			s.askStore("/standin/copy")
			time.Sleep(upTo(copyLeast, copyMost))
			back := s.storeAway()
			time.Sleep(upTo(0, awayMost))
			s.askStore("/standin/come-back")
			s.writeAgain()
			back()
			s.Progress("seed %d: the store has come back from a copy", s.Seed)
		}
	})
}

// askStore tells the stand-in of the store to do something.
func (s *soak) askStore(path string) {
	client := http.Client{Timeout: startTimeout}
	resp, err := client.Post("http://"+s.fleet.storeAt+path, "", nil)
	if err != nil {
		s.Progress("seed %d: %s: %v", s.Seed, path, err)
		return
	}
	resp.Body.Close()
}

// storeAway cuts all instances off from the store until the returned function is called.
func (s *soak) storeAway() (back func()) {
	var touched []func()
	for n, p := range s.fleet.toStore {
		p.Set(Silent)
		touched = append(touched, s.loseTouch(s.fleet.instances[n]))
	}
	return func() {
		for _, p := range s.fleet.toStore {
			p.Set(Sound)
		}
		for _, done := range touched {
			done()
		}
	}
}
