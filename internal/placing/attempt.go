package placing

import "time"

// NoKey marks a request of a service that is not divided by key.
const NoKey = -1

// Attempt is one attempt that needs a server.
type Attempt struct {
	AttemptID  AttemptID
	Service string
	// Key is NoKey or a key of the service.
	Key int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Domain is the failure domain of the instance.
	Domain string
	// Large requests are kept in their failure domain when that costs no time.
	Large bool
	// SoftDeadline is when an answer loses part of its value.
	SoftDeadline time.Time
	// Deadline is when an answer is worth nothing.
	Deadline time.Time
	// ContentHash identifies the content of the request, so that one that crashes servers is recognised.
	ContentHash uint64
	// Resubmitted is set when the request has asked before, whatever came of it.
	Resubmitted bool
	// Tried holds the servers that this request was sent to before.
	Tried []string
}

// isRetry reports whether the request was sent to a server before.
func (a *Attempt) isRetry() bool {
	return len(a.Tried) > 0
}
