// Package view holds what an instance knows about the deployment: the rules, the targets, the key
// maps, the evacuations and the other instances. Each part has a version. For the rules and the
// targets it also holds the time at which they were last known to be current.
//
// Data from the store and from the leader is written to a Board in any order: an older version
// never replaces a newer one. Readers load a Snapshot without a lock. A Snapshot and everything
// that it refers to are immutable.
//
// Lock order: no other lock is taken while the Board's lock is held.
package view
