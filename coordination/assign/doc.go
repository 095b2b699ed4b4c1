// Package assign keeps every key of a service assigned to a target. It makes the decisions of the
// leader: from the list of targets, the outcomes of orders and the time it derives orders to
// targets and changed maps to be stored. The package does no input or output, and a Manager is not
// safe for concurrent use.
//
// An order is a grant, a renewal or a release of keys. A grant is valid for a time, its hold,
// unless it is renewed. Each order has a fence, see package keyrange.
//
// A key moves to another owner in four steps. Each begins only when the one before is known to be
// done:
//
//  1. The move is stored: the next owner and a fence above all former ones.
//  2. The former owner gets a release with the new fence. From then on it refuses the keys and any
//     grant under an older fence, so that a renewal that arrives late cannot restore its ownership.
//     It responds with a handover when its running work has ended.
//  3. The next owner gets a grant with the new fence and the handover.
//  4. The map with the new owner is stored.
//
// If the former owner does not answer, step 2 ends when its last grant has certainly expired: at
// the latest time at which it may have received that grant, plus the hold, plus the error of its
// clock. Step 2 ends at once when the owner's process is known to have exited: another target
// answers at its address or is listed there. A refused connection is no proof of that: a network
// partition may look the same.
//
// A new leader reads the stored map and repeats the steps that may not have been done; all steps
// may be repeated. It does not know what the former leader granted last. Unless that leader
// announced when its grants expire, the new one assumes that grants with the longest hold were sent
// until it took over.
package assign
