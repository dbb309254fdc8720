package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Attempt is one attempt of a caller to send a request to an entry instance.
type Attempt struct {
	// Entry is the address that the caller connected to.
	Entry string
	// Sent reports whether any byte of the request may have been written.
	Sent bool
	// Outcome is the outcome stated by the instance; empty when the caller got no complete
	// response.
	Outcome outcome.Outcome
	// MismatchedResponse reports a complete response that belongs to another request.
	MismatchedResponse bool
}
