package reach

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/coordination/view"
)

const (
	// MaxPeers is the largest number of instances that are asked to connect to a target.
	MaxPeers = 4
	// unusablePeriod is how long an instance is not asked again that does not answer or does not reach
	// targets itself.
	unusablePeriod = time.Second
)

// RecordUnusable records that an instance cannot connect for this one at the moment.
func (t *Tracker) RecordUnusable(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[peer] = t.clock.Now().Add(unusablePeriod)
}

// Peers returns the instances to ask for a connection to a target, the best first. Through those in the
// data centre of this instance or of the target the bytes cross the link between data centres at most
// once. Every second one is in another data centre, since whole data centres may be partitioned.
// Instances that were found unusable are left out. The order differs by target, so that the work is
// spread.
func (t *Tracker) Peers(self view.Instance, target view.Target, instances []view.Instance) []view.Instance {
	duty := "connect " + self.ID + " to " + target.ID
	var near, far ranking
	for _, i := range instances {
		switch {
		case i.ID == self.ID || t.unusable(i.ID):
		case i.DataCentre == self.DataCentre || i.DataCentre == target.DataCentre:
			near.add(i, i.Score(duty))
		default:
			far.add(i, i.Score(duty))
		}
	}
	peers := make([]view.Instance, 0, MaxPeers)
	for n := 0; len(peers) < MaxPeers && (n < len(near.best) || n < len(far.best)); n++ {
		if n < len(near.best) {
			peers = append(peers, near.best[n].Instance)
		}
		if n < len(far.best) && len(peers) < MaxPeers {
			peers = append(peers, far.best[n].Instance)
		}
	}
	return peers
}

// ranking holds the instances with the highest scores, at most MaxPeers, the best first.
type ranking struct{ best []rankedInstance }

type rankedInstance struct {
	view.Instance
	score float64
}

func (r *ranking) add(i view.Instance, score float64) {
	at, _ := slices.BinarySearchFunc(r.best, score, func(e rankedInstance, score float64) int { return cmp.Compare(score, e.score) })
	if at == MaxPeers {
		return
	}
	r.best = slices.Insert(r.best, at, rankedInstance{i, score})
	r.best = r.best[:min(len(r.best), MaxPeers)]
}

// unusable reports whether an instance was found unusable a short time ago.
func (t *Tracker) unusable(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.peers[peer]
	return ok && t.clock.Now() < until
}
