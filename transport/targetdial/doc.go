// Package targetdial connects to targets, directly or through other instances.
//
// A connection is tried directly first. If that fails or takes long, other instances are asked to
// connect, one after the other, and the first connection that is made is used. The outcomes are
// recorded in a reach.Tracker, which decides from them which way later connections take.
//
// An error distinguishes a target that others could not reach either from one of which only this
// instance knows that it could not reach it (ErrUnconfirmed).
package targetdial
