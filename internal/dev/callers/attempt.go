package callers

import "peridotmoor.org/peridotmoor/internal/outcome"

// Attempt is one sending of a request to one entry instance.
type Attempt struct {
	Entry string `json:"entry"`
	// Sent reports whether a byte of the request may have been written.
	Sent bool `json:"sent"`
	// Outcome is what the instance claimed; empty when it answered nothing whole.
	Outcome     outcome.Outcome `json:"outcome"`
	Status      int             `json:"status"`
	ProblemKind string          `json:"problem,omitempty"`
	// MismatchedResponse reports a whole answer that was another request's.
	MismatchedResponse bool   `json:"crossed"`
	Error              string `json:"error,omitempty"`
}
