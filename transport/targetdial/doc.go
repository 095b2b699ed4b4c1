// Package targetdial connects to targets.
package targetdial
