package placing

import "time"

// NoKey is the key of a request for a service that is not divided by key.
const NoKey = -1

// Attempt is one attempt of a request that needs a server.
type Attempt struct {
	AttemptID AttemptID
	Service   string
	// Key is NoKey or a key of the service.
	Key int
	// Team is the name of the team of the caller, or empty.
	Team string
	// Priority is the priority class of the request; 0 is the highest.
	Priority int
	// Domain is the failure domain of the instance.
	Domain string
	// Large requests stay in their failure domain unless that costs much time.
	Large bool
	// SoftDeadline is the time by which the caller should have the response to meet
	// the latency target of the route.
	SoftDeadline time.Time
	// Deadline is the time after which a response is useless.
	Deadline time.Time
	// ContentHash identifies the content of the request, to recognise requests that
	// crash servers.
	ContentHash uint64
	// Resubmitted is set when an earlier attempt of the request was submitted,
	// whatever its outcome.
	Resubmitted bool
	// Tried holds the servers that the request was sent to before.
	Tried []string
	// Hedge is set for a second attempt beside one that has not ended, whose server is the last
	// of Tried. It is assigned at once or refused, never queued.
	Hedge bool
}

// isRetry reports whether the request was sent to a server before.
func (a *Attempt) isRetry() bool {
	return len(a.Tried) > 0
}
