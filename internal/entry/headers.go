// Package entry is the neighbour package for callers: HTTP requests in, answers
// and typed refusals out. docs/interface.md describes the interface.
package entry

// Headers between callers and an entry instance.
const (
	HeaderRequestID  = "Peridotmoor-Request-Id"
	HeaderIdempotent = "Peridotmoor-Idempotent"
	HeaderTimeoutMS  = "Peridotmoor-Timeout-Ms"
	HeaderOutcome    = "Peridotmoor-Outcome"
	HeaderReplayed   = "Peridotmoor-Replayed"
	HeaderServer     = "Peridotmoor-Server"
	HeaderInstance   = "Peridotmoor-Instance"
	// headerIncarnation is of the backend server and does not go to callers.
	headerIncarnation = "Peridotmoor-Incarnation"
)

// Bounds on what a caller sends.
const (
	maxHeaderBytes   = 32 << 10
	maxKeyBytes      = 512
	maxPathBytes     = 4 << 10
	maxTimeoutMS     = 3_600_000
	maxBufferedBytes = 64 << 10
	digestBytes      = 64 << 10
)
