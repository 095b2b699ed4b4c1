// Package peerapi holds the messages between instances.
package peerapi

import (
	"time"

	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/timeline"
)

// KeyLoad is what arrived for one key since the last report.
type KeyLoad struct {
	Service string
	Key     uint16
	// Seconds is the time that the requests should take at a target of average speed.
	Seconds float32
}

// TargetStats is how fast one target answered since the last report.
type TargetStats struct {
	Target string
	// Count is the number of answers.
	Count int
	// Slowness is the sum over them of the time taken, relative to the rule's mean.
	Slowness float64
	// Limit is how many requests a second the target takes from all instances together, by its last
	// answer; 0: it names no limit.
	Limit float64
}

// RelayedInstance is an instance that has reported through another one.
type RelayedInstance struct {
	view.Instance
	// Age is how long ago it reported.
	Age time.Duration
	// Leaving says that it shuts down and takes no duties.
	Leaving bool
}

// SyncArgs is a report to the leading instance, and asks for what is newer than what the
// sender knows.
type SyncArgs struct {
	Self             view.Instance
	RulesVersion     uint64
	TargetsDigest    uint64
	MapVersions      map[string]uint64
	InstancesVersion view.InstancesVersion
	// EvacuationsVersion is that of the evacuations that the sender knows.
	EvacuationsVersion uint64
	// Wait is how long the answer may be held until there is something newer.
	Wait time.Duration
	Work []KeyLoad
	Pace []TargetStats
	// Relayed asks the receiver to pass the report on to the leading instance, and to answer for it.
	Relayed bool
	// Members are instances that have reported through the sender.
	Members []RelayedInstance
	// Lost is the holder of the lease that the sender found not to lead any more.
	Lost string
	// Starting says that the sender knows nothing: whatever is known is of use to it, however old.
	// It is told targets, maps and instances as a whole.
	Starting bool
	// AwaitCurrent says that the store does not answer the sender, who can do nothing but wait: the
	// answer may be held also until there is something current to be said.
	AwaitCurrent bool
	// StoreAnswers says that the store has just answered the sender, who was told that it does
	// not answer the leading instance.
	StoreAnswers bool
	// Leaving says that the sender shuts down and takes no duties.
	Leaving bool
	// LeavingTargets are targets that have said in answers that they leave, to the sender or to others
	// that report through it.
	LeavingTargets []string
	// Quarantine is what the receiver may not know of requests under which targets have ended.
	// QuarantineVersion is the version of the leading instance's table that the sender knows.
	Quarantine        quarantine.Table
	QuarantineVersion quarantine.Version
	// Lamport is the sender's time of the time line.
	Lamport uint64
}

// SyncReply answers a SyncArgs. What is not newer is left out.
type SyncReply struct {
	// Leading is false when the answering instance does not lead.
	Leading bool
	// Current says that one that does not lead has read the lease's row lately, and that the
	// rest of the answer holds; Leader is then the holder that it follows, if any.
	Current bool
	Leader  lease.Row
	// Lease is the version of the lease's row.
	Lease uint64
	// StoreSilent says that the store does not answer the leading instance.
	StoreSilent bool
	// Vacated is the newest term of which the sender knows that its holder has given it up: it
	// does nothing in it any more, and everything that was granted has run out after Held.
	Vacated     uint64
	VacatedHeld time.Duration
	// Held is how long the answer was held back.
	Held time.Duration
	// Age is how long ago what the answer confirms was read from the store.
	Age time.Duration

	// RulesVersion is the version in force; RulesRead is the version of the store as of which
	// that was read.
	RulesVersion uint64
	RulesRead    uint64
	// RulesChanges turn the rules of version RulesFrom into those of RulesVersion, encoded as
	// rules.Changes; nil: the report had that version. RulesFrom is 0 for changes from nothing.
	RulesFrom    uint64
	RulesChanges []byte
	// EvacuationsVersion is given when it is newer than the one in the report, with all data centres
	// that are evacuated.
	EvacuationsVersion uint64
	Evacuated          []string
	// TargetsDigest identifies the targets, TargetsRead is the version of the store as of
	// which they were read.
	TargetsDigest uint64
	TargetsRead   uint64
	// Targets are given when TargetsDigest is not the one in the report: those that are new
	// or changed since TargetsFrom, and the ids of those that are gone. TargetsWhole says that
	// they are all.
	TargetsFrom  uint64
	Targets      []view.Target
	TargetsGone  []string
	TargetsWhole bool
	// TargetsKept are those that the sender believes though the registry does not list them.
	TargetsKept view.Retained
	// Whole tells a sender that knows nothing all targets, maps and instances, compressed, in place of
	// the fields for them.
	Whole []byte
	// Maps are the maps that are newer than those in the report.
	Maps map[string]MapUpdate

	// InstancesVersion is given when it is newer than the one in the report, with the instances
	// that are new or changed since then and the ids of those that are gone. InstancesWhole
	// says that they are all.
	InstancesVersion view.InstancesVersion
	Instances        []view.Instance
	InstancesGone    []string
	InstancesWhole   bool
	// QuarantineVersion is given when it is newer than the one in the report, with all that is known
	// of requests under which targets have ended.
	Quarantine        quarantine.Table
	QuarantineVersion quarantine.Version
	// Lamport is the sender's time of the time line.
	Lamport uint64
}

// MapUpdate is a map, as a whole or as what has changed since the version in the report.
type MapUpdate struct {
	Version uint64
	// From is the version that Changed is to be applied to; 0: Changed is the whole map.
	From    uint64
	Changed []keyrange.Range
}

// AcquireArgs asks a keeper for a permit.
type AcquireArgs struct {
	Ask permit.Ask
}

// AcquireReply is a permit, or the reason why there is none.
type AcquireReply struct {
	Granted    bool
	Permit     permit.Permit
	Reason     string
	RetryAfter time.Duration
	// TargetsRead is the version of the store as of which the keeper knows the targets. A
	// keeper that knows less than who asks is no authority on there being none.
	TargetsRead uint64
}

// ReleaseArgs gives a permit back, or withdraws an ask that is still waiting.
type ReleaseArgs struct {
	Pool    permit.PoolID
	Abandon bool
	Report  permit.Report
}

// Empty is a reply without content.
type Empty struct{}

// DescribeArgs asks an instance what it believes.
type DescribeArgs struct {
	// Events asks for the events that it keeps; Request, if given, for those that name the
	// request and the changes of belief beside them.
	Events  bool
	Request string
}

// Description is what an instance says of itself.
type Description struct {
	Instance     view.Instance
	RulesVersion uint64
	Maps         map[string]uint64
	// Known is the age of what it believes of configuration and registry.
	Known  time.Duration
	Events []timeline.Event
}
