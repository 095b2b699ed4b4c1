package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"lycheehall.example/lycheehall/platform/standin"
)

const (
	// lateShare, refusedShare, unframedShare and malformedShare are the shares of requests at which
	// targets go wrong.
	lateShare      = 0.05
	refusedShare   = 0.25
	unframedShare  = 0.3
	malformedShare = 0.05
	// garbleTime is how long targets go wrong, maxGarblePause the longest time between.
	garbleTime     = 4 * time.Second
	maxGarblePause = 2 * time.Second
	// killInterval is the mean time between kills of instances that forward for others.
	killInterval = 700 * time.Millisecond
	// partitionLead is the time that a partitioned instance has to connect through others.
	partitionLead = time.Second
)

// startLateResponses makes all targets refuse requests, send responses once more, late, and send
// malformed ones, for a while and then again. The returned function ends that.
func (s *soak) startLateResponses() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 8))
		for sleep(stop, time.Duration(random.Int64N(int64(maxGarblePause)))) {
			s.Progress("seed %d: targets refuse requests and send responses once more, or malformed ones", s.Seed)
			s.setGarble(standin.Garble{Late: lateShare, Refused: refusedShare, Malformed: malformedShare})
			sleep(stop, garbleTime)
			s.setGarble(standin.Garble{})
		}
	})
}

// startKilledPeers partitions one instance after another from all targets while targets send responses
// without a length, and kills instances that forward these. The returned function ends that.
func (s *soak) startKilledPeers() (finish func()) {
	return runInBackground(func(stop <-chan struct{}) {
		random := rand.New(rand.NewPCG(s.Seed, 9))
		for sleep(stop, time.Duration(random.Int64N(int64(maxGarblePause)))) {
			s.killPeers(stop, random)
		}
	})
}

func (s *soak) killPeers(stop <-chan struct{}, random *rand.Rand) {
	count := len(s.deployment.instances)
	cut := random.IntN(count)
	s.setGarble(standin.Garble{Unframed: unframedShare})
	defer s.setGarble(standin.Garble{})
	s.unfinishedFaults.Go(func() { s.partition(cut, false, Reset, partitionLead+garbleTime) })
	sleep(stop, partitionLead)
	for end := time.Now().Add(garbleTime); time.Now().Before(end); {
		victim := s.deployment.instances[(cut+1+random.IntN(count-1))%count]
		delay := time.Duration(random.Int64N(int64(maxRestartDelay)))
		s.Progress("seed %d: kill %s, which may forward for instance %d", s.Seed, victim.name, cut+1)
		s.interrupted.add(victim)
		victim.signal(syscall.SIGKILL)
		s.scheduleRestartAfter(victim, delay, stopTimeout)
		if !sleep(stop, time.Duration(random.Int64N(int64(2*killInterval)))) {
			return
		}
	}
}

// setGarble sets the shares at all targets that can be reached.
func (s *soak) setGarble(g standin.Garble) {
	client := controlClient()
	for _, address := range s.deployment.targetAddresses {
		s.unfinishedFaults.Go(func() {
			resp, err := client.PostForm("http://"+address+"/standin/garble", url.Values{
				"late": {fmt.Sprint(g.Late)}, "refused": {fmt.Sprint(g.Refused)}, "unframed": {fmt.Sprint(g.Unframed)}, "malformed": {fmt.Sprint(g.Malformed)},
			})
			if err != nil {
				// The target is down or paused by another fault.
				return
			}
			resp.Body.Close()
		})
	}
}

// controlClient returns a client for control requests to targets. It keeps no connections: a kept one
// could get a late response.
func controlClient() *http.Client {
	return &http.Client{Timeout: startTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}
