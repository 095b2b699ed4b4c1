// Package quarantine records during which requests targets have crashed, and which requests must
// not reach any target.
//
// Some requests crash every target that starts to run them. Their callers send them again, through
// any instance. Each time, a target is out of use for some seconds, and everything that it was
// running is lost. An instance cannot tell such a request from any other whose target has exited.
//
// A crash is the exit of a target while it ran a request. If CrashLimit targets have crashed during
// a request of one caller, and the request has not been answered since, it is quarantined for that
// caller. If CrashLimit targets have crashed during requests of at least CrashLimit callers, and no
// caller has got a response since, it is quarantined for all callers, because a caller's address
// may change from one arrival to the next. A request that was merely running during a crash reaches
// CrashLimit crashes without a response only if that happens to it twice.
//
// All instances know the same crashes. Each instance reports what it has seen to the leader, which
// distributes it. An instance that finds something missing in the leader's table reports it again.
// Tables are merged as unions, so order and repetition do not matter. Quarantined requests are
// written to the store beside the lease, so that they are still known after all instances have shut
// down or crashed.
//
// Lock order: no other lock is taken while the Tracker's lock is held.
package quarantine
