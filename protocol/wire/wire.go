// Package wire names the headers and paths that lycheehall uses towards callers and
// targets, and the outcomes that a caller is told.
package wire

// Prefix begins the name of every header of lycheehall's own. Such headers are taken
// out of callers' requests: a caller must not be able to pass for an instance.
const Prefix = "Lycheehall-"

// Headers towards targets.
const (
	// HeaderService, HeaderSlot and HeaderFence say which assignment a request is sent
	// under. A target that checks refuses a request whose slot it does not hold under
	// exactly this fence.
	HeaderService = Prefix + "Service"
	HeaderSlot    = Prefix + "Slot"
	HeaderFence   = Prefix + "Fence"
	// HeaderTimeout is the time left for the request, in milliseconds. The target must
	// have ended the request by then.
	HeaderTimeout = Prefix + "Timeout-Ms"
	// HeaderDeadline is when that is, as Unix time in milliseconds. A target that checks no
	// grants must look at this one: time counted from arrival would let a target that was
	// stopped run everything it finds when it goes on. The clocks of instances and such
	// targets must agree within MaxClockSkew.
	HeaderDeadline = Prefix + "Deadline-Unix-Ms"
	// HeaderCaller is the caller as lycheehall knows it.
	HeaderCaller = Prefix + "Caller"
	// HeaderRequestID is unique to one attempt. A target that sends it back lets
	// lycheehall check that the answer belongs to the request.
	HeaderRequestID = Prefix + "Request-Id"
)

// MaxClockSkew is how far the wall clocks of instances and of targets that check no grants
// may differ, in milliseconds.
const MaxClockSkew = 50

// HeaderNotRun in a target's answer says that the request did not reach the handler,
// with the reason.
const HeaderNotRun = Prefix + "Not-Run"

// Reasons in HeaderNotRun.
const (
	// NotRunFence: the target does not own the slot under this fence.
	NotRunFence = "fence"
	// NotRunShed: the target has no room.
	NotRunShed = "shed"
	// NotRunDeadline: the deadline had passed when the request came.
	NotRunDeadline = "deadline"
	// NotRunDraining: the target takes no new work.
	NotRunDraining = "draining"
)

// Headers towards callers.
const (
	// HeaderOutcome tells what became of the request.
	HeaderOutcome = Prefix + "Outcome"
	// HeaderReason says in a word why a request was refused or its outcome is unknown.
	HeaderReason = Prefix + "Reason"
	// HeaderRule names the rule that decided.
	HeaderRule = Prefix + "Rule"
	// HeaderTarget names the target that answered.
	HeaderTarget = Prefix + "Target"
)

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes.
const (
	// Answered: the target's own whole answer follows.
	Answered Outcome = "answered"
	// NotRun: the request provably did not reach a target's handler.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// GrantPath is where targets take grants.
const GrantPath = "/lycheehall/grant"
