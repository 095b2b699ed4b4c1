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
	// Weight is its share of work for the others: the processor it has.
	Weight float64
}

// Score ranks the instance for a duty by rendezvous hashing, such that each wins in
// proportion to its weight. Everyone who knows the same instances finds the same winner,
// and a list that differs in one moves only the duties of that one.
func (i Instance) Score(duty string) float64 {
	const scale = 1 << 53
	u := (float64(xxhash.Sum64String(i.ID+"|"+duty)>>11) + 0.5) / scale
	return -max(i.Weight, 0.01) / math.Log(u)
}
