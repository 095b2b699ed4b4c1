// Package permit shares the slots of targets among all instances.
//
// Targets run a few requests at a time and behave badly beyond that: they reset or silently
// drop what they cannot queue, and the caller of such a request learns nothing. Many
// instances that each send what they think fit overfill them. So each target, or pool of
// targets that serve the same, has one keeper among the instances, found by rendezvous
// hashing. An instance asks it for a permit before it sends, and gives the permit back when
// the answer is there.
//
// The keeper holds the one queue: what can still be answered within its aim first, then by
// arrival, where each rank of urgency goes before the next by the time of a request. What
// cannot be served in time is refused at once, with the time after which there should be room.
//
// Permits are a matter of load, not of safety. When a keeper is lost its instances send a
// little without one; when two instances take themselves for the keeper of a target for a
// moment, it gets up to twice its slots. Ownership and "at most once" do not depend on
// permits.
//
// What targets bear a second is kept by the keeper too: the rate of cold ones, which all instances know, and
// the limit that a target names in its answers, of which the instances that were told tell the keeper with
// each ask. Nothing is sent to such targets without one. Requests under which a target has ended are let
// through one at a time.
//
// Targets that serve the same are one pool as long as they are few; more are divided into
// groups with a keeper each, see Groups and Chooser.
//
// Lock order: the Keeper's lock, then whatever its function slots takes. The Chooser's lock is
// a leaf.
package permit
