// Package pipeline serves the pipelined requests of a connection concurrently and sends the responses
// in request order. net/http reads the next request of a connection only after the response to the
// previous one, so that a request waits for those in front of it.
//
// The standard server keeps the connection. A wrapped connection passes to it the bytes of exactly one
// request at a time. While the handler of a request runs, the server's background read receives the
// bytes behind it, and the wrapper starts the handlers of further requests from them. Only idempotent
// requests without a body are started ahead of their turn. Any other request is a barrier: it stays in
// the buffer until all requests in front of it have been answered, and then goes to the server.
//
// Responses that others follow are written directly to the connection. The last one of a run goes
// through the server's ResponseWriter, so that the server decides as usual whether the connection is
// reused.
//
// conn.mu is the only lock. It is not held during input or output.
package pipeline
