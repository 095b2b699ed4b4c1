// Package front is the request path: it takes callers' requests over HTTP, lets the rules
// decide, sends keyed work to the owner of its key, and gives each caller its own whole
// answer.
//
// Three things can become of a request. It is answered by a target. Or it is refused as not
// run, with the time to come back; that is said only when no byte of it reached a target, or
// each target that got it said that it did not run it. Or its outcome is unknown.
//
// What was seen of a try decides what may be said and done:
//
//	seen                              sent again         said in the end
//	no byte taken by a connection     yes                503, not run
//	target said it did not run it     yes, in budget     503, not run
//	broken off, or time ran out       only if idempotent 502 or 504, unknown
//	answer with a failure             only if idempotent that answer
//	whole answer                      no                 that answer
//
// A request under which targets have ended, here or at other instances, is not sent any more by any of
// these ways; see crash.go. Nor is anything sent to a target that has said that it leaves, or that it wants
// nothing for a time; see standing.go.
//
// Once one try of a request has an unknown outcome, it is never again said not to have run.
//
// Lock order: the locks of Budget, Weights and Patience are leaves. No lock is held during
// input or output.
package front
