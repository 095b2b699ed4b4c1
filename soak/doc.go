// Package soak runs a deployment of real processes on one machine, injects faults into it
// from outside, and checks the guarantees to callers from what callers and targets observe.
//
// A seed determines the plan of faults: processes are killed, paused and resumed, terminated and
// restarted. Connections to the store and to targets go through loopback proxies, which delay,
// reset or stall them or block one direction. Faults overlap. Callers keep their connections until
// the process at the other end is gone. In parallel, one target at a time announces in its answers,
// and nowhere else, that it is leaving; one target at a time announces a limit for all instances
// together; one data centre at a time is evacuated; and the store is restored from an older copy
// again and again.
//
// The checks are:
//   - A request that must not run twice ran at most once.
//   - A request that was refused as not run did not run.
//   - A caller got the answer to its own request.
//   - For each key the fences of the runs never decrease, so that no former owner began work after
//     a later one.
//   - An instance that has passed on an answer that announces a leaving target sends that target
//     no more requests after a while.
//   - A target that announces a limit gets no more than that through all instances that have passed
//     the limit on.
//   - Targets of an evacuated data centre get no requests after a while.
//   - Cold targets get no more requests a second than the cold rate allows.
//   - The rules change meanwhile, by hundreds at a time: no process goes back to an older version.
//   - After the last fault everything is served again, and all instances follow the newest rules.
//
// Deliberate defects of the targets show that each check of requests can fail. A test shows it for
// the check of versions.
//
// The soak ends only processes that it has started, by their ids.
package soak
