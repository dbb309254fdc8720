package version

import (
	"fmt"
)

// NotInEffectError means that the change needs the accepted version to be in
// effect at every instance, and it is not known to be.
type NotInEffectError struct {
	Current uint64
	cause   error
}

// Error says how to proceed.
func (e *NotInEffectError) Error() string {
	return fmt.Sprintf("the change decides who owns keys and needs version %d in effect at every instance first: %v", e.Current, e.cause)
}

// Unwrap returns why the version is not known to be in effect.
func (e *NotInEffectError) Unwrap() error { return e.cause }
