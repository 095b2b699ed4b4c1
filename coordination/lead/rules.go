package lead

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/protocol/peerapi"
	"lycheehall.example/lycheehall/protocol/rules"
)

// rulesHistoryLength is how many versions of the rules are recorded, so that replies can contain
// only the changes since the version that a follower has. Versions share unchanged rules; the index
// that each has of its own takes half a megabyte for 4,200 rules.
const rulesHistoryLength = 6

// rulesHistory records versions of the rules and caches the encoded changes between them. The lock
// of history guards it.
type rulesHistory struct {
	// versions are ordered from the oldest to the newest.
	versions []rulesEntry
	// encoded caches the changes to the newest version, by the version that they start from. Most
	// followers start from the same one.
	encoded map[uint64][]byte
}

type rulesEntry struct {
	version uint64
	set     *rules.Set
}

func (h *rulesHistory) record(s *view.Snapshot) {
	if n := len(h.versions); s.Rules == nil || n > 0 && h.versions[n-1].version >= s.RulesVersion {
		return
	}
	h.versions = append(h.versions, rulesEntry{s.RulesVersion, s.Rules})
	h.versions = h.versions[max(0, len(h.versions)-rulesHistoryLength):]
	h.encoded = map[uint64][]byte{}
}

// addChanges adds the changes of the rules since a version to a reply; all rules if that version is
// not recorded.
func (h *rulesHistory) addChanges(reply *peerapi.SyncReply, since uint64) error {
	newest := h.versions[len(h.versions)-1]
	var former *rules.Set
	for _, v := range h.versions {
		if v.version == since {
			former = v.set
			reply.RulesFrom = since
		}
	}
	reply.RulesVersion = newest.version
	text, cached := h.encoded[reply.RulesFrom]
	if !cached {
		var err error
		if text, err = newest.set.ChangesFrom(former).Encode(); err != nil {
			return err
		}
		h.encoded[reply.RulesFrom] = text
	}
	reply.RulesChanges = text
	return nil
}

// addRules adds the changes of the rules since a version to a reply.
func (h *history) addRules(reply *peerapi.SyncReply, since uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rules.addChanges(reply, since)
}

// applyRules adopts the rules of a reply. After an error, the rules are unchanged, and the next
// report asks for all rules.
func (c *Coordinator) applyRules(reply *peerapi.SyncReply, at clock.Instant) error {
	err := c.applyRulesChanges(reply, at)
	c.mu.Lock()
	c.rulesRefused = err != nil
	c.mu.Unlock()
	if err == nil && c.board.Snapshot().RulesVersion >= reply.RulesVersion {
		c.board.ConfirmRules(reply.RulesRead, at)
	}
	return err
}

func (c *Coordinator) applyRulesChanges(reply *peerapi.SyncReply, at clock.Instant) error {
	begun := time.Now()
	s := c.board.Snapshot()
	if reply.RulesChanges == nil || s.RulesVersion >= reply.RulesVersion {
		return nil
	}
	former := s.Rules
	switch reply.RulesFrom {
	case 0:
		former = nil
	case s.RulesVersion:
	default:
		// Another version was read here since the report; the next report contains its number.
		return nil
	}
	changes, err := rules.DecodeChanges(reply.RulesChanges)
	if err != nil {
		return err
	}
	set, err := changes.Apply(former)
	if err != nil {
		return err
	}
	adopted := c.board.SetRules(reply.RulesVersion, set, at)
	recordRules(c.log, decodedRules{reply.RulesVersion, set, fromLeader, len(reply.RulesChanges), time.Since(begun)}, adopted, c.clock.Now().Sub(at))
	return nil
}

// Sources of rules, as log lines and metrics name them.
const (
	fromStore  = "store"
	fromLeader = "leader"
)

// decodedRules is a version of the rules, with its source and the cost of decoding it.
type decodedRules struct {
	version uint64
	set     *rules.Set
	from    string
	bytes   int
	took    time.Duration
}

// recordRules reports a decoded version of the rules in metrics and in the log, also if it was
// already in force: an instance that decodes each version twice is late with both.
func recordRules(log Log, n decodedRules, adopted bool, age time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_rules_decoded_total{from=%q,adopted="%t"}`, n.from, adopted)).Inc()
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_rules_bytes_total{from=%q}`, n.from)).Add(n.bytes)
	metrics.GetOrCreateHistogram("lycheehall_rules_decode_seconds").Update(n.took.Seconds())
	event := "rules-known"
	if adopted {
		event = "rules-adopted"
	}
	log(event, "rules", n.version, "from", n.from, "age_ms", age.Milliseconds(), "decode_ms", n.took.Milliseconds(), "bytes", n.bytes)
	if adopted {
		recordWarnings(log, n.version, n.set)
	}
}

// maxLoggedWarnings limits the log lines about one version of the rules.
const maxLoggedWarnings = 8

var rulesNotUnderstood = metrics.GetOrCreateGauge("lycheehall_rules_not_understood", nil)

// recordWarnings logs the rules that were not understood. The callers of requests that such rules
// decide only see refusals.
func recordWarnings(log Log, version uint64, set *rules.Set) {
	notes := set.Warnings()
	rulesNotUnderstood.Set(float64(len(notes)))
	for _, note := range notes[:min(maxLoggedWarnings, len(notes))] {
		log("rule-not-understood", "rules", version, "of", len(notes), "mistake", note.String())
	}
}
