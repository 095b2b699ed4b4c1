package view

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Instance is one process of the router, which stands between callers and targets.
type Instance struct {
	// ID is unique to one start of the process.
	ID string
	// Address is the host and port at which the other instances connect to it.
	Address    string
	DataCentre string
	// Weight is the processor capacity of the instance in cores, for example 0.17. Instances get
	// duties in proportion to it.
	Weight float64
}

// Score ranks the instance for a duty by weighted rendezvous hashing. A duty is work that an
// instance does for others, such as keeping pools of permits and relaying reports. Each instance
// has the highest score for a share of the duties in proportion to its weight. All instances with
// the same list of instances choose the same one for a duty, and adding or removing an instance
// moves only the duties of that instance.
func (i Instance) Score(duty string) float64 {
	const scale = 1 << 53
	u := (float64(xxhash.Sum64String(i.ID+"|"+duty)>>11) + 0.5) / scale
	return -max(i.Weight, 0.01) / math.Log(u)
}
