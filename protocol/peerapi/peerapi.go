// Package peerapi defines the messages that instances exchange.
//
// Messages are encoded with gob, which matches exported fields by name: renaming a field breaks
// compatibility with instances of other versions.
package peerapi

import (
	"time"

	"lycheehall.example/lycheehall/coordination/keyrange"
	"lycheehall.example/lycheehall/coordination/lease"
	"lycheehall.example/lycheehall/coordination/permit"
	"lycheehall.example/lycheehall/coordination/quarantine"
	"lycheehall.example/lycheehall/coordination/quota"
	"lycheehall.example/lycheehall/coordination/view"
	"lycheehall.example/lycheehall/timeline"
)

// KeyLoad is the load on one key since the previous report.
type KeyLoad struct {
	Service string
	Key     uint16
	// Seconds is the time, in seconds, that the requests for the key are expected to take at an
	// average target.
	Seconds float32
}

// TargetStats summarises the responses of one target since the previous report.
type TargetStats struct {
	Target string
	// Count is the number of responses.
	Count int
	// Slowness is the sum, over these responses, of the slowness of the target: how many times as
	// long as at an average target work takes. It is reported by the target, or otherwise the time
	// that the request took relative to the mean of its rule.
	Slowness float64
	// Limit is the number of requests a second that the target accepts from all instances together,
	// according to its last response; 0 means no limit.
	Limit float64
}

// RelayedInstance is an instance whose reports reach the leader through a relay.
type RelayedInstance struct {
	view.Instance
	// Age is the time since its last report.
	Age time.Duration
	// Leaving says that the instance is shutting down and takes no duties: work that an instance
	// does for others, such as keeping pools of permits and relaying reports.
	Leaving bool
	// Quota is the instance's report about limits on all instances, if the relay has a newer one than
	// it last forwarded.
	Quota *quota.Report
}

// SyncArgs is a report to the leader. It also requests updates: everything that is newer than what
// the sender knows.
type SyncArgs struct {
	Self view.Instance
	// RulesVersion, TargetsDigest, MapVersions (by service), InstancesVersion and EvacuationsVersion
	// identify what the sender knows.
	RulesVersion       uint64
	TargetsDigest      uint64
	MapVersions        map[string]uint64
	InstancesVersion   view.InstancesVersion
	EvacuationsVersion uint64
	// Wait is how long the receiver may delay the reply while it has no update.
	Wait time.Duration
	// Work and Pace hold the load and the target statistics since the previous report, as observed by
	// the sender and by the instances that report through it.
	Work []KeyLoad
	Pace []TargetStats
	// Relayed asks the receiver to act as a relay: to forward the report to the leader, and to reply
	// in the leader's place.
	Relayed bool
	// Members are the instances that have reported through the sender.
	Members []RelayedInstance
	// Lost is the lease holder that the sender has found not to lead any more.
	Lost string
	// Starting says that the sender has no data yet, so that even stale data is useful to it. The
	// reply contains all targets, maps and instances.
	Starting bool
	// AwaitCurrent says that the store does not answer the sender, so that the sender has no other
	// source than the receiver. The receiver may then delay the reply until it has current data.
	AwaitCurrent bool
	// StoreAnswers says that the store has just answered the sender, after a reply said that it
	// does not answer the leader.
	StoreAnswers bool
	// Leaving says that the sender is shutting down and takes no duties.
	Leaving bool
	// LeavingTargets are the targets that have reported in a response that they are leaving, to the
	// sender or to an instance that reports through it.
	LeavingTargets []string
	// Quarantine holds the observations of requests during which targets exited, as far as the
	// sender has not yet reported them to the receiver. QuarantineVersion is the version of the
	// leader's table that the sender has.
	Quarantine        quarantine.Table
	QuarantineVersion quarantine.Version
	// Quota is the sender's report about limits on all instances; nil if no rule in force has one.
	Quota *quota.Report
	// Lamport is the sender's Lamport time.
	Lamport uint64
}

// SyncReply is the reply to a report. Fields for data that is not newer than the sender's are empty.
type SyncReply struct {
	// Leading reports whether the replying instance is the leader.
	Leading bool
	// Current says that a replying follower has read the lease row recently, so that the rest of the
	// reply is valid. Leader is then the leader that it follows, if any.
	Current bool
	Leader  lease.Row
	// Lease is the version of the lease row.
	Lease uint64
	// StoreSilent says that the store does not answer the leader.
	StoreSilent bool
	// Vacated is the latest term that the replying instance knows to be given up by its holder: the
	// holder takes no further action in that term, and all grants of that term and of earlier ones
	// expire within VacatedHeld.
	Vacated     uint64
	VacatedHeld time.Duration
	// Held is how long the reply was delayed.
	Held time.Duration
	// Age is the time since the data that the reply confirms was read from the store.
	Age time.Duration

	// RulesVersion is the version of the rules in force. RulesRead is the store version at which it
	// was read.
	RulesVersion uint64
	RulesRead    uint64
	// RulesChanges are the changes from the rules of version RulesFrom to those of RulesVersion, an
	// encoded rules.Changes; nil if the sender has that version. RulesFrom is 0 for changes from the
	// empty set.
	RulesFrom    uint64
	RulesChanges []byte
	// EvacuationsVersion is set if it is newer than the one in the report. Evacuated then lists all
	// evacuated data centres.
	EvacuationsVersion uint64
	Evacuated          []string
	// TargetsDigest identifies the state of the targets. TargetsRead is the store version at which
	// they were read.
	TargetsDigest uint64
	TargetsRead   uint64
	// Targets and TargetsGone are set if TargetsDigest differs from the one in the report: the
	// targets that are new or changed since the digest TargetsFrom, and the IDs of those removed. If
	// TargetsWhole is set, Targets lists all targets.
	TargetsFrom  uint64
	Targets      []view.Target
	TargetsGone  []string
	TargetsWhole bool
	// TargetsKept are the targets that the replying instance still uses although the registry no
	// longer lists them.
	TargetsKept view.Retained
	// Whole holds all targets, maps and instances, compressed, for a sender that is starting. It
	// replaces the separate fields for them.
	Whole []byte
	// Maps holds the maps, by service, that are newer than those in the report.
	Maps map[string]MapUpdate

	// InstancesVersion is set if it is newer than the one in the report. Instances then lists the
	// instances that are new or changed since, and InstancesGone the IDs of those removed. If
	// InstancesWhole is set, Instances lists all instances.
	InstancesVersion view.InstancesVersion
	Instances        []view.Instance
	InstancesGone    []string
	InstancesWhole   bool
	// QuarantineVersion is set if it is newer than the one in the report. Quarantine then holds all
	// known observations of requests during which targets exited.
	Quarantine        quarantine.Table
	QuarantineVersion quarantine.Version
	// Quota holds the sender's shares of limits on all instances, MemberQuota those of the instances
	// that report through the sender, by ID. A relay passes on those that it has got from the leader.
	Quota       *quota.Shares
	MemberQuota map[string]*quota.Shares
	// Lamport is the replying instance's Lamport time.
	Lamport uint64
}

// MapUpdate is a map of key ranges: either the whole map, or the ranges that have changed since the
// version in the report.
type MapUpdate struct {
	Version uint64
	// From is the version that Changed applies to; 0 means that Changed is the whole map.
	From    uint64
	Changed []keyrange.Range
}

// AcquireArgs is a request to a keeper for a permit.
type AcquireArgs struct {
	Ask permit.Ask
}

// AcquireReply is a permit, or a refusal with its reason.
type AcquireReply struct {
	Granted    bool
	Permit     permit.Permit
	Reason     string
	RetryAfter time.Duration
	// TargetsRead is the store version at which the keeper's list of targets was read. If it is older
	// than the requesting instance's, a refusal because there is no target is not conclusive.
	TargetsRead uint64
}

// ReleaseArgs returns a permit, or withdraws a request for one that is still queued.
type ReleaseArgs struct {
	Pool permit.PoolID
	// Abandon says that the request is withdrawn.
	Abandon bool
	Report  permit.Report
}

// Empty is a message without content.
type Empty struct{}

// DescribeArgs is a request to an instance to describe its state.
type DescribeArgs struct {
	// Events asks for the recorded state changes.
	Events bool
	// Request, if set, is a request ID: the reply then contains the events that have this request
	// ID, and the state changes shortly before each of them.
	Request string
}

// Description is the state of an instance.
type Description struct {
	Instance     view.Instance
	RulesVersion uint64
	// Maps holds the version of the map of each service.
	Maps map[string]uint64
	// Known is the age of the rules and registry data that the instance uses.
	Known  time.Duration
	Events []timeline.Event
	// Speeds are the speeds of targets by target ID, where 1 is average, if the instance leads. Other
	// instances, and older builds, send none.
	Speeds map[string]float64
}
