package gateway

import (
	"time"
)

// readDeadliner is a body source with a read deadline.
type readDeadliner interface {
	SetReadDeadline(t time.Time) error
}
