package version

import (
	"fmt"
)

// UncertainError means that the response to a write was lost and its result could not be
// determined before the deadline. The change may have taken effect.
type UncertainError struct {
	Proposal Version
	cause    error
}

// Error explains how to find out the result.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the store's answer was lost (%v); version %d may have been accepted: when the store responds, look for write_id %s in the history before applying again", e.cause, e.Proposal.Number, e.Proposal.WriteID)
}

// Unwrap returns the failure of the last call.
func (e *UncertainError) Unwrap() error { return e.cause }
