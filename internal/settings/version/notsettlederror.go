package version

import (
	"fmt"
)

// NotSettledError means that the change needs the accepted version to be in
// effect at every instance, and it is not known to be.
type NotSettledError struct {
	Current uint64
	cause   error
}

// Error says how to proceed.
func (e *NotSettledError) Error() string {
	return fmt.Sprintf("the change decides who owns keys and needs version %d in effect at every instance first: %v", e.Current, e.cause)
}

// Unwrap returns why the version is not known to be in effect.
func (e *NotSettledError) Unwrap() error { return e.cause }
