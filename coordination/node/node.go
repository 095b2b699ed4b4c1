// Package node is the coordination logic of one instance: it holds a session or
// issues them, grants targets their slots, and, when it leads, carries out changes.
//
// Node is a pure state machine. Time, messages and answers go in; effects come out. It
// does no input or output, starts no goroutine and reads no clock, so that sessions of
// many nodes run in virtual time exactly as they run over the network. A driver
// serialises the calls and carries out the effects in the order given.
package node

import (
	"slices"
	"time"

	"lycheehall.example/lycheehall/clock"
	"lycheehall.example/lycheehall/coordination/authority"
	"lycheehall.example/lycheehall/coordination/message"
	"lycheehall.example/lycheehall/coordination/ownership"
	"lycheehall.example/lycheehall/coordination/session"
	"lycheehall.example/lycheehall/state"
	"lycheehall.example/lycheehall/timeline"
)

// Config holds the settings of a node.
type Config struct {
	Self      message.Peer
	Authority authority.Config
	// Seeds are addresses of other instances, for a start while the table is down.
	Seeds []string
	// HeartbeatEvery is the time between renewals of the session. Default 400 ms.
	HeartbeatEvery time.Duration
	// GrantTTL is the length of a grant at a target. Default 900 ms.
	GrantTTL time.Duration
	// GrantEvery is the time between renewals of a grant. Default 250 ms.
	GrantEvery time.Duration
	// Renewers is how many instances renew the grant of each target. Default 2.
	Renewers int
	// TargetSilent is how old a target's last answer may be to count as a sign of life.
	// Default 500 ms.
	TargetSilent time.Duration
	// MaxLostShare is the share of a service's targets above which losses are taken for
	// a fault of the observers, and nothing is moved. Default 0.5.
	MaxLostShare float64
	// Services reads the services out of a configuration text.
	Services func(text string) ([]ownership.ServiceSpec, error)
	// FirstRules is the configuration of a deployment that has none yet; may be empty.
	FirstRules string
}

// DefaultConfig returns the defaults for an instance.
func DefaultConfig(self message.Peer) Config {
	return Config{
		Self:           self,
		Authority:      authority.DefaultConfig(self.ID, self.Address),
		HeartbeatEvery: 400 * time.Millisecond,
		GrantTTL:       900 * time.Millisecond,
		GrantEvery:     250 * time.Millisecond,
		Renewers:       2,
		TargetSilent:   500 * time.Millisecond,
		MaxLostShare:   0.5,
		Services:       func(string) ([]ownership.ServiceSpec, error) { return nil, nil },
	}
}

// View is what the request path works with. It is immutable.
type View struct {
	Map   *ownership.Map
	Rules state.Rules
	// Until is when the session ends; no request may be sent from then on.
	Until clock.Instant
}

// Node is the coordination state of one instance. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	machine *authority.Machine
	holder  *session.Holder
	ledger  *session.Ledger
	effects []Effect

	// The state this instance holds and the services in it.
	owned *ownership.Map
	// working is owned, or what it is resumed to while the state is frozen.
	working *ownership.Map
	resumed bool
	rules   state.Rules
	specs   map[string]ownership.ServiceSpec
	drained uint64

	// What is known about other instances and targets.
	addresses map[string]message.Peer
	members   []state.Member
	listed    bool

	heartbeat heartbeatState
	watch     watchState
	targets   map[string]*targetState
	failing   []string
	suspects  message.SuspectList
	known     message.Roster
	// rosterEpoch grows with each change of known.
	rosterEpoch uint64
	rosterSum   uint64
	duty        dutyCache
	leaving     bool
	// ended says that the session was given up for good.
	ended bool

	watchers []watcher
	leader   leaderState

	lastMode authority.Mode
	hadLease bool
}

// New returns the node of an instance that has just started.
func New(cfg Config) *Node {
	n := &Node{
		cfg:       cfg,
		machine:   authority.New(cfg.Authority),
		holder:    session.NewHolder(),
		ledger:    session.NewLedger(cfg.Authority.Margin),
		owned:     ownership.Empty(),
		working:   ownership.Empty(),
		specs:     map[string]ownership.ServiceSpec{},
		addresses: map[string]message.Peer{},
		targets:   map[string]*targetState{},
	}
	n.heartbeat.next = clock.Never
	n.leader.reset()
	return n
}

// Versions returns the state this instance holds.
func (n *Node) Versions() authority.Versions {
	return authority.Versions{Map: n.owned.Version, Rules: n.rules.Version}
}

// Mode returns what the instance does about the authority.
func (n *Node) Mode() authority.Mode { return n.machine.Mode() }

// View returns what the request path is to work with.
func (n *Node) View() View {
	return View{Map: n.working, Rules: n.rules, Until: n.holder.Until()}
}

// Tick lets time pass. The driver calls it every few tens of milliseconds, and after
// every other input.
func (n *Node) Tick(now clock.Instant) []Effect {
	n.runMachine(now, n.machine.Tick(now))
	n.issueTick(now)
	n.leadTick(now)
	n.beat(now)
	n.keepWatch(now)
	n.grantTick(now)
	n.noteSession(now)
	return n.take()
}

func (n *Node) take() []Effect {
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) event(e timeline.Event) { n.emit(Effect{Event: &e}) }

// runMachine turns the effects of the authority machine into those of the node.
func (n *Node) runMachine(now clock.Instant, effects []authority.Effect) {
	for _, e := range effects {
		switch {
		case e.Send != nil:
			n.sendAuthority(e.Send)
		case e.Read:
			n.emit(Effect{TableRead: &TableRead{ID: readRow, Keys: []string{state.KeyAuthority}}})
		case e.Write != nil:
			n.writeRow(e.Write)
		case e.Probe:
			txn := state.Txn{Writes: []state.Write{{Key: state.KeyProbe, Value: []byte("{}")}}}
			n.emit(Effect{TableCommit: &TableCommit{Purpose: commitProbe, Txn: txn}})
		}
	}
	n.noteMode(now)
}

func (n *Node) sendAuthority(env *authority.Envelope) {
	peer, known := n.addresses[env.To]
	if !known {
		return
	}
	n.emit(Effect{SendAuthority: &SendAuthority{To: peer.Address, Message: env.Message}})
}

func (n *Node) writeRow(w *authority.RowWrite) {
	txn := state.Txn{
		Checks: []state.Check{{Key: state.KeyAuthority, Version: w.Expect}},
		Writes: []state.Write{{Key: state.KeyAuthority, Value: state.Encode(w.Row)}},
	}
	if w.NewTerm {
		txn.Writes = append(txn.Writes, state.Write{Key: state.KeyTerm, Value: state.Encode(w.Row.Term)})
	}
	n.emit(Effect{TableCommit: &TableCommit{Purpose: commitRow, ID: w.ID, Txn: txn}})
}

// noteMode records changes of mode, and forgets what belonged to a former leadership.
func (n *Node) noteMode(now clock.Instant) {
	mode := n.machine.Mode()
	if mode == n.lastMode {
		return
	}
	stage := n.machine.Stage()
	n.event(timeline.Event{Kind: timeline.AuthorityMode, Detail: mode.String(), Term: stage.Term, Episode: stage.Episode})
	if mode == authority.Following || n.lastMode == authority.Following || n.lastMode == authority.Promised {
		n.loseLeadership(now)
	}
	n.lastMode = mode
}

// MembersRead takes the platform's list of machines; ok is false when it gave none.
func (n *Node) MembersRead(now clock.Instant, members []state.Member, ok bool) []Effect {
	if !ok {
		return n.take()
	}
	n.members = members
	n.listed = true
	var listed, live []string
	for _, m := range members {
		if m.Kind != state.KindInstance {
			continue
		}
		n.learn(message.Peer{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre})
		listed = append(listed, m.ID)
		if m.Lifecycle == state.Live && !(n.leaving && m.ID == n.cfg.Self.ID) {
			live = append(live, m.ID)
		}
	}
	n.machine.SetMembers(now, listed, n.preferStandbys(live))
	return n.take()
}

// preferStandbys puts instances of other data centres first, so that the loss of one
// data centre leaves a named instance.
func (n *Node) preferStandbys(ids []string) []string {
	seen := map[string]bool{n.cfg.Self.DataCentre: true}
	var first, rest []string
	slices.Sort(ids)
	for _, id := range ids {
		dc := n.addresses[id].DataCentre
		if seen[dc] {
			rest = append(rest, id)
			continue
		}
		seen[dc] = true
		first = append(first, id)
	}
	return append(first, rest...)
}

func (n *Node) learn(p message.Peer) {
	if p.ID != "" && p.Address != "" {
		n.addresses[p.ID] = p
	}
}

// Drained tells the node up to which map version no request that was sent under an
// older assignment is still under way.
func (n *Node) Drained(now clock.Instant, version uint64) []Effect {
	if version > n.drained {
		n.drained = version
		n.heartbeat.next = now
	}
	return n.take()
}

// SetFailing names targets that answer grants but none of the requests.
func (n *Node) SetFailing(ids []string) { n.failing = ids }

// Leave makes the node prepare its exit: it takes no leadership from now on.
func (n *Node) Leave() { n.leaving = true }

// EndSession gives the session back. The driver calls it once no request is left.
func (n *Node) EndSession(now clock.Instant) []Effect {
	n.leaving = true
	n.ended = true
	n.ledger.End(n.cfg.Self.ID)
	n.holder.End()
	n.publish()
	n.heartbeat.next = now
	n.beat(now)
	return n.take()
}

// SessionGivenBack reports whether the issuer knows that the session is over.
func (n *Node) SessionGivenBack() bool {
	return n.holder.Until() == clock.Never && n.heartbeat.givenBack
}

func (n *Node) noteSession(now clock.Instant) {
	has := now < n.holder.Until()
	if has == n.hadLease {
		return
	}
	n.hadLease = has
	kind := timeline.SessionLost
	if has {
		kind = timeline.SessionGained
	}
	n.event(timeline.Event{Kind: kind, Map: n.owned.Version, Rules: n.rules.Version})
}

// adopt takes in an update. Versions only go up: an older update is late and ignored.
func (n *Node) adopt(now clock.Instant, u message.Update) {
	changed := false
	if u.Full != nil && u.Full.Version > n.owned.Version {
		n.owned = u.Full
		changed = true
	}
	for _, c := range u.Changes {
		next, err := n.owned.Apply(c)
		if err != nil {
			continue
		}
		n.owned = next
		changed = true
	}
	if u.Rules != nil && u.Rules.Version > n.rules.Version && n.adoptRules(*u.Rules) {
		changed = true
	}
	if !changed {
		return
	}
	n.machine.SetVersions(n.Versions())
	n.setWorking()
	n.event(timeline.Event{Kind: timeline.ViewAdopted, Map: n.owned.Version, Rules: n.rules.Version})
	n.publish()
	n.wakeWatchers(now)
}

// resume takes over whether moves that were cut short are undone for the time being.
func (n *Node) resume(resumed bool) {
	if resumed == n.resumed {
		return
	}
	n.resumed = resumed
	// What was sent under resumed slots counts as under way afresh.
	n.drained = 0
	n.setWorking()
	n.publish()
}

func (n *Node) setWorking() {
	n.working = n.owned
	if n.resumed {
		n.working = n.owned.Resume()
	}
}

// adoptRules reads the services of a configuration. A stored text has been checked
// before it was accepted; one that this version of the program cannot read is refused,
// and the instance stays without acknowledgement, which the leader shows.
func (n *Node) adoptRules(r state.Rules) bool {
	specs, err := n.cfg.Services(r.Text)
	if err != nil {
		return false
	}
	n.rules = r
	n.specs = map[string]ownership.ServiceSpec{}
	for _, s := range specs {
		n.specs[s.Name] = s
	}
	return true
}

func (n *Node) publish() {
	v := n.View()
	n.emit(Effect{Publish: &v})
}
