// Package peers implements calls between instances, using net/rpc over TCP.
//
// All calls to an instance share one connection. When a call on it exceeds its deadline, the
// connection is dropped as a whole, and the next call establishes a new one.
package peers
