// Package upstream sends requests to targets and reads their responses.
//
// It reports exactly what is known about each attempt, as one of:
//
//   - ErrNotSent: no byte of the request was accepted by a connection.
//   - ErrNotExecuted: the target reported that it did not execute the request.
//   - A Response: it is complete, signed by the target, and belongs to this request.
//   - ErrOutcomeUnknown, in all other cases: the request may have been executed.
//
// A malformed response is none of the first three, whatever it contains. A response without a length is
// complete only if the target has ended its stream; a reset is no end.
//
// It also reports the target's status from the response headers, and, if an attempt broke off,
// whether the target's process has exited (ErrTargetExited): its address refuses connections. An attempt
// that failed because this instance is partitioned from all targets says so (ErrPathLost).
//
// A connection carries one request at a time. After a response it is reused only if no further
// bytes have arrived on it. A late response to an earlier request is recognised by its request ID
// and skipped.
//
// No other lock is acquired while the Pool's lock is held, and it is not held during input or
// output.
package upstream
