package shard

import "time"

// Limiter is the part of a server's admission control that the runtime uses. Its
// methods may be called from any goroutine and do not block.
type Limiter interface {
	// MarkCold restarts the slow start of the server. The reason is logged.
	MarkCold(reason string)
	// MarkLeaving sets whether the server is draining and must get no new work.
	MarkLeaving(leaving bool)
	// Cold reports whether the slow start has not finished.
	Cold() bool
	// Latency returns the moving average of the server's own latency, or 0 when it is
	// unknown.
	Latency() time.Duration
}
