package shard

import "time"

// Limiter is what the runtime needs of a server's admission gate. Methods may be
// called at any time and do not block.
type Limiter interface {
	// MarkCold restarts the cold start ramp. reason is for the log.
	MarkCold(reason string)
	// MarkLeaving tells whether the server drains and gets no new work.
	MarkLeaving(leaving bool)
	// Cold reports whether the ramp has not completed.
	Cold() bool
	// Latency is the moving average of the server's own latency, 0 when unknown.
	Latency() time.Duration
}
