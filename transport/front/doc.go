// Package front handles callers' HTTP requests: it evaluates the rules, sends requests with a key
// to the owner of the key, and forwards to each caller the complete response to its own request.
//
// A request ends in one of three ways:
//
//   - A target responds.
//   - It is refused as not executed, with a Retry-After. This is only said if no byte of it reached
//     a target, or if each target that received it reported that it did not execute it.
//   - Its outcome is unknown.
//
// The outcome of an attempt decides whether there is a retry and what the caller gets:
//
//	outcome of the attempt                retry              final response
//	no byte accepted by a connection      yes, unless this   503, not executed
//	                                      instance reaches
//	                                      no target at all
//	target reported: not executed         yes, in budget     503, not executed
//	broken off, or timed out              only if idempotent 502 or 504, unknown
//	response with a status >= 500         only if idempotent that response
//	                                      and without a key
//	any other complete response           no                 that response
//
// A request during which targets have exited, at this or other instances, is quarantined and not
// sent in any of these cases; see quarantine.go. Nothing is sent either to a target that has
// reported that it is leaving, once its drain time is over, or during a pause that a target has
// reported; see targetstatus.go.
//
// Where the memory budget is on, a request reserves its body and the expected size of its response
// before it asks for a permit, and again before a retry; see memory.go.
//
// Once an attempt of a request has an unknown outcome, the request is never reported as not
// executed.
//
// No other lock is acquired while a lock of RetryBudget, BackendPicker, CallerRetryDetector or
// ruleLimits is held. No lock is held during input or output.
package front
