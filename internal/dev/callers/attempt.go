package callers

import "peridotmoor.org/peridotmoor/internal/outcome"

// Attempt is the result of sending a request once to one entry instance.
type Attempt struct {
	Entry string `json:"entry"`
	// Sent reports whether a byte of the request may have been written.
	Sent bool `json:"sent"`
	// Outcome is the outcome that the instance reported; empty without a complete response.
	Outcome     outcome.Outcome `json:"outcome"`
	Status      int             `json:"status"`
	ProblemKind string          `json:"problem,omitempty"`
	// MismatchedResponse reports a response that belongs to another request or whose body is incomplete.
	MismatchedResponse bool   `json:"crossed"`
	Error              string `json:"error,omitempty"`
}
