package version

import (
	"fmt"
)

// UnchangedError means that the proposal has the same text as the accepted version.
type UnchangedError struct {
	Current Version
}

// Error describes the accepted version.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("nothing to apply: %s holds the same text", e.Current)
}
