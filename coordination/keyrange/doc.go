// Package keyrange holds the map from key numbers to the targets that own them, and decides which
// key ranges should move.
//
// The key space, the key numbers 0 to 65535, is divided into ranges without gaps. A range has an
// owner under a fence, and may be moving to a next owner under a higher fence. A fence is a number
// that orders the owners of a key: a target refuses grants with a lower fence than the highest one
// that it has seen for the key. Maps are immutable; each change makes a new one. The package does
// no input or output.
//
// Invariants: ranges are sorted, have no gaps between them and cover the whole key space; the fence
// of a next owner is above that of the owner; a fence is never used for two different owners of a
// key, because every fence is the version of the map that introduced it.
package keyrange
