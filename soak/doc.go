// Package soak runs a deployment of real processes on one machine, injects faults into it
// from outside, and checks the guarantees to callers from what callers and targets observe.
//
// A seed determines the plan of faults: processes are killed, paused and resumed, terminated and
// restarted. Connections to the store and to targets go through loopback proxies, which delay,
// reset or stall them or block one direction. Faults overlap. Callers keep their connections until
// the process at the other end has exited; a quarter of them sends long requests and reads the
// responses slowly. In parallel, one target at a time reports in its responses,
// and nowhere else, that it is leaving; one target at a time reports a limit for all instances
// together; one data centre at a time is evacuated; and the store is repeatedly restored from a backup.
// Targets refuse requests and send responses once more, late; instances are killed that forward
// responses without a length to partitioned ones; and the leader is stopped while the store does not
// answer. Each of these and the partitions can be played alone.
//
// The checks are:
//   - A request that must not run twice ran at most once.
//   - A request that was refused as not executed did not run.
//   - A caller got the response to its own request, with pipelining in the order of its requests.
//   - No part of a response looks like a whole one.
//   - No request that is sent to an instance later than 3 s after its SIGTERM runs.
//   - A request behind a response that closed the connection did not run.
//   - For each key the fences of the runs never decrease, so that no previous owner began work after
//     a later one.
//   - An instance that has forwarded a response that reports a leaving target sends that target no
//     more requests after a while.
//   - A target that reports a limit gets no more than that through all instances that have forwarded
//     the limit.
//   - Targets of an evacuated data centre get no requests after a while.
//   - Cold targets get no more requests a second than the cold rate allows.
//   - While hundreds of rules change at a time, no process returns to an older version.
//   - After the last fault everything is served again, and all instances apply the newest rules.
//
// The injected faults of targets show that the check of results and fences, Check, can fail. Unit
// tests show it for the checks of leaving targets, limits, evacuations, cold targets and versions.
//
// The soak ends only processes that it has started, by their IDs.
package soak
