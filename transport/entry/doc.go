// Package entry is the request path: it takes callers' requests over HTTP, lets the
// rules decide, sends keyed work to the owner of its key, and gives each caller its own
// whole answer.
//
// Three things can become of a request. It is answered; or it is refused as not run,
// which is said only when it provably did not reach a target's handler; or its outcome
// is unknown. A request that is not idempotent is tried again only after proof that the
// try before did not run.
//
// Lock order: a Gate's or a Budget's lock is never held while one of Inflight is taken.
// No lock is held during input or output.
package entry
