package report

import "peridotmoor.org/peridotmoor/internal/outcome"

// Attempt is one sending to one entry instance.
type Attempt struct {
	// Entry is the address that the caller used.
	Entry string
	// Sent reports whether a byte may have been written.
	Sent bool
	// Outcome is what the instance claimed; empty when the caller got no whole answer.
	Outcome outcome.Outcome
	// MismatchedResponse reports a whole answer that was another request's.
	MismatchedResponse bool
}
