// Package wire holds the HTTP code shared by the request path and the orders to targets: the header
// names and paths of a deployment, the removal of hop-by-hop headers, and the check whether an idle
// connection can be reused.
package wire
