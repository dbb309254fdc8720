package gateway

import (
	"time"
)

// readDeadliner is a source whose reads can be bounded.
type readDeadliner interface {
	SetReadDeadline(t time.Time) error
}
