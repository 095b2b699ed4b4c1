package wire

// Names holds the header names and paths that the callers and targets of a deployment use. They
// differ between platforms and are provided by the platform's adapter.
type Names struct {
	// RequestID identifies a caller's request. Targets return it in the response.
	RequestID string
	// Timeout is how long the sender waits for the response, in milliseconds.
	Timeout string
	// Signature marks a response as produced by the target itself.
	Signature string
	// Target names the target that a request is meant for. Any other target refuses the request.
	Target string
	// NotExecuted in a target's response reports that the request was not executed.
	NotExecuted string
	// Leaving in a target's response reports that the target is leaving.
	Leaving string
	// Limit in a target's response is the number of requests a second that it accepts from all
	// instances together.
	Limit string
	// Load in a target's response reports its current load and its slowness: how many times as long
	// as usual work takes there now.
	Load string
	// Key holds the key number, 0 to 65535.
	Key string
	// ReadyPath is the path of the load balancer's health check.
	ReadyPath string
	// RespondingTarget names the target that has produced the response.
	RespondingTarget string
	// HandoverRef in the response to a release order refers to the state that the previous owner of
	// the keys has prepared for the next one.
	HandoverRef string
}
