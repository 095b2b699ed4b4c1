// Package membudget limits the memory that an instance holds for callers and targets: request bodies
// until the request is answered, and response bodies until they are written.
//
// A request reserves its body and the expected size of its response before it asks for a permit.
// Decide admits or refuses it by values only. A reservation is corrected by Resize, which never
// refuses: a response that has begun to arrive is never dropped because of the budget.
//
// ReadBody reads a body into a buffer that grows with the bytes received. WriteInPieces writes a
// response to a caller and gives up only if the caller takes nothing for some time.
//
// The lock of a Budget is not held during input or output, and no other lock is acquired while it is
// held. docs/design/memory.md describes the design.
package membudget
