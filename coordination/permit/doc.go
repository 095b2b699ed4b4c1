// Package permit shares the request slots of targets among all instances.
//
// A target runs a few requests at a time. Beyond that it resets connections or silently drops what
// it cannot queue, and the caller of such a request learns nothing. Many instances that each decide
// alone how much to send would overload it. So each target, or pool of interchangeable targets, has
// one keeper among the instances, found by rendezvous hashing. An instance asks the keeper for a
// permit before it sends a request, and returns the permit when the answer has arrived.
//
// The keeper holds the only queue. Requests that can still be answered within their aim come first.
// Among these, the order is that of arrival, where each lower priority counts as having arrived
// later by the time that the request takes. A request that cannot be served in time is refused at
// once, with the time after which a slot should be free.
//
// Permits control load; they are not needed for correctness. While a keeper is unavailable,
// instances send a small number of requests without permits. When two instances briefly both act as
// the keeper of a target, it gets up to twice as many requests as it has slots. Ownership of keys
// and at-most-once execution do not depend on permits.
//
// The keeper also enforces how many requests a second a target takes: the cold rate of cold
// targets, which all instances know, and the limit that a target states in its answers, which
// instances forward to the keeper with each ask. Nothing is sent to such targets without a permit.
// Requests during which a target has crashed are let through one at a time.
//
// A small number of interchangeable targets forms one pool. A larger number is divided into groups
// with a keeper each, see Groups and Chooser.
//
// Lock order: the Keeper's lock, then the locks that its targets function takes. The Chooser's lock
// is a leaf.
package permit
