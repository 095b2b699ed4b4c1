// Package authority decides which instance may lead, and which instances may go on
// serving a frozen state while the platform's table cannot be reached.
//
// The invariant: when a version of the state is changed, no session of an older
// version that was issued by anybody else is alive, and nobody else can issue one.
//
// One row of the table names the leader and its standbys. The leader rewrites the
// row before its lease ends; it counts the lease from before it sent the write. A
// named instance takes the row only by a conditional write, after it has watched the
// row unchanged for a whole lease on its own clock, so no two clocks are compared.
//
// When the table stops answering, the leader freezes the state instead of losing it:
//
//  1. prepare: every named instance promises not to take the row by itself. Only the
//     table releases it from the promise, by showing a later term or episode.
//  2. commit: once all have promised, the leader gives up changing anything, and every
//     named instance may issue sessions of exactly the frozen version.
//  3. leave: once the table answers again, every named instance first stops issuing;
//     then one of them takes the row with the next term and waits out the sessions.
//
// To change anything all named instances must agree; to go on serving the frozen state
// any one of them is enough. Nothing is stored for it and nobody is elected.
//
// Machine is a pure state machine: time and messages go in, effects come out. It does
// no input or output and starts no goroutine.
package authority
