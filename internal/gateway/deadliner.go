package gateway

import (
	"time"
)

// deadliner is a source whose reads can be bounded.
type deadliner interface {
	SetReadDeadline(t time.Time) error
}
