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

// rememberedRules is how many versions of the rules are remembered, so that others are told what has
// changed since the one that they have. Versions share the rules that stay; what each has of its
// own, its index, takes half a megabyte for 4,200 rules.
const rememberedRules = 6

// rulesTold remembers versions of the rules, and what was told of them. The lock of told guards
// it.
type rulesTold struct {
	// versions are the oldest first.
	versions []rulesVersion
	// encoded are changes to the newest one, by the version that they start from. Followers
	// mostly start from the same one.
	encoded map[uint64][]byte
}

type rulesVersion struct {
	version uint64
	set     *rules.Set
}

func (t *rulesTold) remember(s *view.Snapshot) {
	if n := len(t.versions); s.Rules == nil || n > 0 && t.versions[n-1].version >= s.RulesVersion {
		return
	}
	t.versions = append(t.versions, rulesVersion{s.RulesVersion, s.Rules})
	t.versions = t.versions[max(0, len(t.versions)-rememberedRules):]
	t.encoded = map[uint64][]byte{}
}

// changes puts into a reply what has changed among the rules since a version; all of them, if
// that is not remembered.
func (t *rulesTold) changes(reply *peerapi.SyncReply, since uint64) error {
	newest := t.versions[len(t.versions)-1]
	var former *rules.Set
	for _, v := range t.versions {
		if v.version == since {
			former = v.set
			reply.RulesFrom = since
		}
	}
	reply.RulesVersion = newest.version
	text, known := t.encoded[reply.RulesFrom]
	if !known {
		var err error
		if text, err = newest.set.ChangesFrom(former).Encode(); err != nil {
			return err
		}
		t.encoded[reply.RulesFrom] = text
	}
	reply.RulesChanges = text
	return nil
}

// rulesSince puts into a reply what has changed among the rules since a version.
func (t *told) rulesSince(reply *peerapi.SyncReply, since uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rules.changes(reply, since)
}

// adoptRules takes over the rules that another instance told. The error says that they were not
// taken: the next report asks for all of them.
func (c *Coordinator) adoptRules(reply *peerapi.SyncReply, at clock.Instant) error {
	err := c.applyChanges(reply, at)
	c.mu.Lock()
	c.rulesRefused = err != nil
	c.mu.Unlock()
	if err == nil && c.board.Load().RulesVersion >= reply.RulesVersion {
		c.board.ConfirmRules(reply.RulesRead, at)
	}
	return err
}

func (c *Coordinator) applyChanges(reply *peerapi.SyncReply, at clock.Instant) error {
	begun := time.Now()
	s := c.board.Load()
	if reply.RulesChanges == nil || s.RulesVersion >= reply.RulesVersion {
		return nil
	}
	former := s.Rules
	switch reply.RulesFrom {
	case 0:
		former = nil
	case s.RulesVersion:
	default:
		// Another version was read here since the report; the next one says so.
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
	tellRules(c.log, rulesNews{reply.RulesVersion, set, fromLeader, len(reply.RulesChanges), time.Since(begun)}, adopted, c.clock.Now().Sub(at))
	return nil
}

// Where rules come from, as log lines and metrics name it.
const (
	fromStore  = "store"
	fromLeader = "leader"
)

// rulesNews is a version of the rules, and what it took to learn it.
type rulesNews struct {
	version uint64
	set     *rules.Set
	from    string
	bytes   int
	took    time.Duration
}

// tellRules tells operators of rules that were learnt, also of those in force already: an
// instance that works on each version twice is late with both.
func tellRules(log Log, n rulesNews, adopted bool, age time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_rules_decoded_total{from=%q,adopted="%t"}`, n.from, adopted)).Inc()
	metrics.GetOrCreateCounter(fmt.Sprintf(`lycheehall_rules_bytes_total{from=%q}`, n.from)).Add(n.bytes)
	metrics.GetOrCreateHistogram("lycheehall_rules_decode_seconds").Update(n.took.Seconds())
	event := "rules-known"
	if adopted {
		event = "rules-adopted"
	}
	log(event, "rules", n.version, "from", n.from, "age_ms", age.Milliseconds(), "decode_ms", n.took.Milliseconds(), "bytes", n.bytes)
	if adopted {
		tellNotes(log, n.version, n.set)
	}
}

// toldNotes bounds the lines about one configuration.
const toldNotes = 8

var rulesNotUnderstood = metrics.GetOrCreateGauge("lycheehall_rules_not_understood", nil)

// tellNotes tells operators what of a configuration in force was not understood. The callers
// concerned see no more than refusals.
func tellNotes(log Log, version uint64, set *rules.Set) {
	notes := set.Warnings()
	rulesNotUnderstood.Set(float64(len(notes)))
	for _, note := range notes[:min(toldNotes, len(notes))] {
		log("rule-not-understood", "rules", version, "of", len(notes), "mistake", note.String())
	}
}
