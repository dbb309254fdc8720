// Package entry is the HTTP interface to callers: it decodes requests and writes
// responses and typed refusals. docs/interface.md describes the interface.
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
	// headerAuthorization is where callers show their key, after authorizationScheme.
	headerAuthorization = "Authorization"
	authorizationScheme = "Token"
	// headerIncarnation is set by backend servers and not forwarded to callers.
	headerIncarnation = "Peridotmoor-Incarnation"
)

// Limits on the requests of callers.
const (
	maxHeaderBytes   = 32 << 10
	maxKeyBytes      = 512
	maxPathBytes     = 4 << 10
	maxTimeoutMS     = 3_600_000
	maxBufferedBytes = 64 << 10
	// maxDigestedBytes limits the part of a body that the digest covers.
	maxDigestedBytes = 64 << 10
)
