// Package soak runs a deployment of real processes on one machine, injects faults into it
// from outside, and checks the promises to callers from what callers and targets see.
//
// A seed gives the whole plan of faults: processes are killed, stopped and gone on with,
// asked to end, and started again; connections to the store and to targets, which go through
// loopback proxies, are delayed, reset, silenced and cut one way. Faults overlap. Callers
// keep their connections until the process at the other end is gone. Beside the faults one target
// after the other says in its answers, and nowhere else, that it leaves, one after the other names a limit for
// all instances together, and the store comes back from a copy of some time before, again and again.
//
// The checks: a request that must not run twice ran at most once; what was refused as not run
// did not run; a caller got its own answer; for each key the fences of the runs never go back,
// so that no former owner began work after a later one; an instance that has passed on an answer
// that says that its target leaves sends that target nothing more after a while; a target that names a limit
// gets no more than that through all instances that have passed it on; everything is
// served again after the last fault. Meanwhile the rules change, by hundreds at a time: no process goes back to an older
// version, and all follow the newest one after the last fault. Planted faults show that each
// check of requests can fail, a test that the one of versions can.
//
// It ends only processes that it has started, by their ids.
package soak
