package wire

// Names are the headers and paths that callers and targets of a deployment use. A platform
// has names of its own; its adapter gives them.
type Names struct {
	// RequestID identifies one request of a caller; targets send it back.
	RequestID string
	// Timeout holds the milliseconds that the sender waits for the answer.
	Timeout string
	// Signature marks an answer as a target's own.
	Signature string
	// Target names the target that a request is meant for; any other refuses it.
	Target string
	// NotExecuted in a target's answer says that the request did not run.
	NotExecuted string
	// Leaving in a target's answer says that the target is about to leave.
	Leaving string
	// Limit in a target's answer is how many requests a second it takes from all instances together.
	Limit string
	// Load in a target's answer tells how busy the target is, and how slow now.
	Load string
	// Key holds the number of the key, 0 to 65535.
	Key string
	// ReadyPath is the path of the balancer's health check.
	ReadyPath string
	// AnsweredBy names the target that answers.
	AnsweredBy string
	// HandoverRef in the answer to a release refers to what the former owner prepared for
	// the next one.
	HandoverRef string
}
