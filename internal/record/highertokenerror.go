package record

import (
	"fmt"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// higherTokenError means that a mirror has accepted a token higher than the holder's.
type higherTokenError struct {
	mirror  authority.Instance
	highest authority.Token
}

// Error implements error.
func (e *higherTokenError) Error() string {
	return fmt.Sprintf("mirror %s has accepted token %s and refuses lower ones; requests resume under a new holder or this holder's raised token", e.mirror, e.highest)
}
