package record

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// higherTokenError means that a mirror has accepted a higher token than the holder's.
type higherTokenError struct {
	mirror  authority.Instance
	highest authority.Token
}

// Error implements error.
func (e *higherTokenError) Error() string {
	return fmt.Sprintf("mirror %s has accepted %s and follows no lower token; the next holder, or this one under its next token, goes on", e.mirror, e.highest)
}
