// Package reach decides which way connections to targets take: directly, or through another instance.
//
// A connection that cannot be made may be the fault of the target, of the link to it, or of all links
// of this instance. One instance alone cannot tell. It therefore lets another instance connect to the
// same target: if that succeeds, the direct path is broken, and if it fails too, the target is at
// fault. Two broken paths while nothing arrives from any target directly mean that this instance is
// partitioned from all targets.
//
// Broken paths are probed by direct connections that carry no request. A path is used again after a
// probe has succeeded, so that no request pays for finding out.
//
// No other lock is acquired while a Tracker's lock is held.
package reach
