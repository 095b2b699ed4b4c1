package lead

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/protocol/rules"
)

// Where a configuration comes from, as log lines and metrics name it.
const (
	fromStore  = "store"
	fromLeader = "leader"
)

// toldNotes bounds the lines about one configuration.
const toldNotes = 8

var rulesNotUnderstood = metrics.GetOrCreateGauge("lycheehall_rules_not_understood", nil)

// decodeCost is what it took to decode a configuration.
type decodeCost struct {
	took  time.Duration
	bytes int
}

// decodeRules decodes a configuration and measures what that takes.
func decodeRules(source Source, value []byte) (version uint64, set *rules.Set, cost decodeCost, err error) {
	begun := time.Now()
	version, set, err = source.DecodeRules(value)
	return version, set, decodeCost{time.Since(begun), len(value)}, err
}

// tellRules tells operators that a configuration was decoded, also one that was in force
// already: an instance that decodes each version twice is late with both.
func tellRules(log Log, version uint64, set *rules.Set, adopted bool, from string, cost decodeCost, age time.Duration) {
	countRules(adopted, from, cost)
	event := "rules-known"
	if adopted {
		event = "rules-adopted"
	}
	log(event, "rules", version, "from", from, "age_ms", age.Milliseconds(), "decode_ms", cost.took.Milliseconds(), "bytes", cost.bytes)
	if adopted {
		tellNotes(log, version, set)
	}
}

func countRules(adopted bool, from string, cost decodeCost) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_rules_decoded_total{from=%q,adopted="%t"}`, from, adopted)).Inc()
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_rules_bytes_total{from=%q}`, from)).Add(cost.bytes)
	metrics.GetOrCreateHistogram("lycheehall_rules_decode_seconds").Update(cost.took.Seconds())
}

// tellNotes tells operators what of a configuration in force was not understood. The callers
// concerned see no more than refusals.
func tellNotes(log Log, version uint64, set *rules.Set) {
	notes := set.Notes()
	rulesNotUnderstood.Set(float64(len(notes)))
	for _, note := range notes[:min(toldNotes, len(notes))] {
		log("rule-not-understood", "rules", version, "of", len(notes), "mistake", note.String())
	}
}
