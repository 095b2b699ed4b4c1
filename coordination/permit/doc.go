// Package permit shares the request slots of targets among all instances.
//
// A target runs a few requests at a time. Beyond that it resets connections, or drops what it
// cannot queue, so that the callers of these requests get no response. Many instances that each
// decide alone how much to send would overload it. So each target, or pool of interchangeable
// targets, has one keeper among the instances, found by rendezvous hashing. An instance asks the
// keeper for a permit before it sends a request, and returns the permit when the response has
// arrived.
//
// The keeper has the only queue. Requests that can still be answered within their aim come first.
// Among these, the order is that of arrival, where each lower priority counts as having arrived
// later by the time that the request takes. A request that cannot be served in time is refused at
// once, with the time after which a slot should be free.
//
// Permits control load; they are not needed for correctness. While a keeper does not answer,
// instances send a small number of requests without its permits. When two instances briefly both
// act as the keeper of a target, it gets up to twice as many requests as it has slots. Ownership of
// keys and at-most-once execution do not depend on permits.
//
// The keeper also enforces how many requests a second a target accepts. A cold target, which has
// just started or has not been used for long, is slow, and fails at a request rate that it serves
// easily later; all instances know the cold rate of its service. An overloaded target reports a
// limit in its responses, which instances forward to the keeper with each ask. Nothing is sent to
// cold and limited targets without the keeper's permit. Requests during which a target has crashed
// are let through one at a time.
//
// The slowness of a target is the time that work takes there, divided by the time that it takes at
// an average target of the pool; its speed is 1/slowness. A target may report its slowness, as how
// many times as long as usual its work takes now. The keeper uses a reported value as if the
// target's usual speed were average.
//
// A small number of interchangeable targets forms one pool. A larger number is divided into groups
// with a keeper each, see Groups and Chooser.
//
// Lock order: the Keeper's lock, then the locks that its targets function takes. No other lock is
// taken while the Chooser's lock is held.
package permit
