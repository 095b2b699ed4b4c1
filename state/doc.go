// Package state is the lowest layer: what must last, and where it is kept.
//
// Everything durable lives in the platform's transactional table, as a handful of
// rows that are written only under conditions. The package defines the narrow
// interface to that table, the typed rows, their keys and their encoding. It holds
// no policy: who may write a row and when is decided in the coordination layer.
package state
