// Package upstream sends requests to targets and reads their answers.
//
// It says exactly what is known of each try. Not sent: no byte of the request was taken by
// a connection. Not run: the target said so. Answered: a whole answer that the target has
// signed, to this very request. Everything else is broken: the request may have run.
//
// Beside that it says what the target says of itself in its answer, and of a try that broke off whether
// the target has ended: nobody listens at its address any more.
//
// A connection carries one request at a time. After an answer it is kept only if nothing
// more has come on it. An answer to an earlier request that comes late is recognised by its
// id and skipped.
//
// Lock order: the Pool's lock is a leaf and is not held during input or output.
package upstream
