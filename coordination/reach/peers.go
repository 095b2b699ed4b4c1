package reach

import (
	"cmp"
	"slices"
	"time"

	"lycheehall.example/lycheehall/coordination/view"
)

const (
	// maxPeers is the largest number of instances that are asked to connect to a target.
	maxPeers = 4
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
	var near, far []view.Instance
	for _, i := range instances {
		switch {
		case i.ID == self.ID || t.unusable(i.ID):
		case i.DataCentre == self.DataCentre || i.DataCentre == target.DataCentre:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	duty := "connect " + self.ID + " to " + target.ID
	byScore := func(a, b view.Instance) int { return cmp.Compare(b.Score(duty), a.Score(duty)) }
	slices.SortFunc(near, byScore)
	slices.SortFunc(far, byScore)
	peers := make([]view.Instance, 0, maxPeers)
	for n := 0; len(peers) < maxPeers && (n < len(near) || n < len(far)); n++ {
		peers = append(peers, near[min(n, len(near)):min(n+1, len(near))]...)
		peers = append(peers, far[min(n, len(far)):min(n+1, len(far))]...)
	}
	return peers
}

// unusable reports whether an instance was found unusable a short time ago.
func (t *Tracker) unusable(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.peers[peer]
	return ok && t.clock.Now() < until
}
