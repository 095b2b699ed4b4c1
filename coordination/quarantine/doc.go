// Package quarantine knows under which requests targets have ended, and which requests are to reach
// no target any more.
//
// Some requests crash each target that begins to run them. Their callers send them again, through any
// instance. Each arrival costs a target for some seconds, with all that it was running; to the instance
// that has it, it looks like any request whose target was lost.
//
// A crash is a target that ended while it ran a request. A request under which Limit targets have ended
// for one caller, and that was not answered since, is quarantined for that caller. One under which
// Limit targets have ended for as many callers, and that nobody has had an answer to since, is so for
// all: a caller's address may change from one arrival to the next. Requests that were merely running
// beside a crash come to Limit crashes without an answer only by two misfortunes.
//
// All instances know the same crashes. Each reports what it has seen to the leading one, which tells
// all; whoever finds that the leading instance lacks something reports it again. What is merged is a
// union, so that order and repetition do not matter. What is quarantined is kept in the store beside
// the lease, so that it outlives all instances.
//
// Lock order: the Registry's lock is a leaf.
package quarantine
