package admission

import (
	"time"
)

// Result is what the release of a slot reports.
type Result struct {
	Kind ResultKind
	// Latency is the time from the dispatch to the end.
	Latency time.Duration
}
