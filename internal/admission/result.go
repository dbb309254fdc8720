package admission

import (
	"time"
)

// Result describes how a request ended, for the release of its slot.
type Result struct {
	Kind ResultKind
	// Latency is the time from the dispatch to the end of the request.
	Latency time.Duration
}
