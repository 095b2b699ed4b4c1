// Package front handles callers' HTTP requests: it evaluates the rules, sends requests with a key
// to the owner of the key, and passes each caller the complete response to its own request.
//
// A request ends in one of three ways. A target answers it. Or it is refused as not executed, with
// a Retry-After; this is only said if no byte of it reached a target, or if each target that
// received it said that it did not execute it. Or its outcome is unknown.
//
// The outcome of an attempt decides whether the request may be sent again and what the caller gets:
//
//	outcome of the attempt            sent again         final response
//	no byte taken by a connection     yes                503, not executed
//	target said: not executed         yes, in budget     503, not executed
//	broken off, or timed out          only if idempotent 502 or 504, unknown
//	response with a status >= 500     only if idempotent that response
//	                                  and without a key
//	any other complete response       no                 that response
//
// A request under which targets have exited, at this or other instances, is quarantined and not
// sent in any of these cases; see quarantine.go. Nothing is sent either to a target that has
// announced that it is leaving, once its drain time is over, or that has asked for a pause; see
// targetstatus.go.
//
// Once an attempt of a request has an unknown outcome, the request is never reported as not
// executed.
//
// Lock order: the locks of RetryBudget, BackendPicker, ReturnDetector and ruleLimits are leaves. No
// lock is held during input or output.
package front
