// Package assign keeps every key of a service assigned to a target. It makes the decisions of the
// leader: from the list of targets, the outcomes of orders and the time it derives orders to
// targets and changed maps to be stored. It does no input or output and is not safe for concurrent
// use.
//
// A key moves to another owner in four steps. Each begins only when the one before is known to be
// done:
//
//  1. The move is stored: the next owner and a fence above all former ones.
//  2. The former owner gets a release with the new fence. From then on it refuses the keys and any
//     grant under an older fence, so that a renewal that arrives late cannot restore its ownership.
//     It answers with a handover when its running work has ended.
//  3. The next owner gets a grant with the new fence and the handover.
//  4. The map with the new owner is stored.
//
// If the former owner does not answer, step 2 ends when its hold is certain to have run out: the
// time of the last grant that it may have received, plus the hold, plus the error of its clock.
// Step 2 ends at once when the owner is known to have ended: another target answers at its address
// or is listed there. A refused connection is no proof of that: a network partition may look the
// same.
//
// A new leader reads the stored map and repeats the steps that may not have been done; all steps
// may be repeated. It does not know what the former leader granted last, so it counts holds from
// the time when it took over.
package assign
