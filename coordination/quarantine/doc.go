// Package quarantine records during which requests targets have crashed, and which requests must
// not reach any target.
//
// Some requests crash every target that starts to run them. Their callers send them again, through
// any instance. Each arrival disables a target for some seconds, with everything that it was
// running. To the instance that handles it, it looks like any other request whose target was lost.
//
// A crash is the end of a target while it ran a request. If CrashLimit targets have crashed during
// a request of one caller, and the request has not been answered since, it is quarantined for that
// caller. If CrashLimit targets have crashed for as many callers, and no caller has got an answer
// since, it is quarantined for all callers, because a caller's address may change from one arrival
// to the next. A request that was merely running during a crash reaches CrashLimit crashes without
// an answer only if that happens to it twice.
//
// All instances know the same crashes. Each instance reports what it has seen to the leader, which
// distributes it. An instance that finds something missing in the leader's table reports it again.
// Tables are merged as unions, so order and repetition do not matter. Quarantined requests are
// written to the store beside the lease, so that they survive the loss of all instances.
//
// Lock order: the Registry's lock is a leaf.
package quarantine
