package view

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Instance is one of lycheehall's own processes.
type Instance struct {
	// ID is unique to one start of the process.
	ID string
	// Address is where the other instances reach it.
	Address    string
	DataCentre string
	// Weight is its share of the work that instances do for each other, in proportion to its
	// processor capacity.
	Weight float64
}

// Score ranks the instance for a duty by weighted rendezvous hashing: each instance has the highest
// score for a share of the duties in proportion to its weight. All who know the same instances find
// the same one, and adding or removing an instance moves only the duties of that instance.
func (i Instance) Score(duty string) float64 {
	const scale = 1 << 53
	u := (float64(xxhash.Sum64String(i.ID+"|"+duty)>>11) + 0.5) / scale
	return -max(i.Weight, 0.01) / math.Log(u)
}
