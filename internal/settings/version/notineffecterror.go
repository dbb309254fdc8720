package version

import (
	"fmt"
)

// NotInEffectError means that the change requires the accepted version to be in effect at
// every instance and this could not be confirmed.
type NotInEffectError struct {
	Current uint64
	cause   error
}

// Error explains what the change requires.
func (e *NotInEffectError) Error() string {
	return fmt.Sprintf("the change decides who owns keys and needs version %d in effect at every instance first: %v", e.Current, e.cause)
}

// Unwrap returns why the version could not be confirmed to be in effect.
func (e *NotInEffectError) Unwrap() error { return e.cause }
