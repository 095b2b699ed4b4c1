// Package lead coordinates the instances of a deployment. One of them is the leader: the holder of
// the lease in the store. It reads the registry and the rules for all instances, keeps keys
// assigned to targets, and replies to the reports of the other instances with what has changed.
//
// The other instances are followers: each keeps one call open at the leader. When that call fails,
// or when its own snapshot is stale, a follower reads the store itself, and takes the lease once it
// is certain that the lease is free.
//
// Only changes depend on the leader. While another instance takes over, requests are routed by the
// last known snapshot and grants stay valid.
//
// Lock order: Coordinator.mu before the locks of Board and Aggregator.
package lead
